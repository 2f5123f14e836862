package placement

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// TestNotices checks that servers which have stated that they are leaving or closed get no requests, however loaded
// the others are, until they have restarted or the stated time is over.
func TestNotices(t *testing.T) {
	start := time.Unix(1000, 0)
	overload := func(b *Balancer) {
		for range 40 {
			b.Start(start, Decision{ID: "g1"}, Request{})
		}
	}
	tests := []struct {
		name  string
		setup func(b *Balancer)
		after time.Duration
		retry bool
		// never must not be chosen; want is the expected reason.
		never string
		want  Reason
		// wantRetryAfter is the least time after which a rejected caller may be asked to retry.
		wantRetryAfter time.Duration
	}{
		{"leaving", func(b *Balancer) { b.RecordNotice(start, "g0", 1, Notice{Leaving: true}) }, time.Minute, false, "g0", ReasonNone, 0},
		{"leaving, the other is full", func(b *Balancer) { b.RecordNotice(start, "g0", 1, Notice{Leaving: true}); overload(b) }, 0, false, "g0", ReasonFull, 0},
		{"leaving, in a new group", func(b *Balancer) {
			b.RecordNotice(start, "g0", 1, Notice{Leaving: true})
			e := groups(1)[0]
			e.Epoch = 7
			b.UpdateEndpoints(false, []wire.Endpoint{e}, nil)
		}, time.Second, false, "g0", ReasonNone, 0},
		{"closed", func(b *Balancer) { b.RecordNotice(start, "g0", 1, Notice{ClosedFor: 2 * time.Second}) }, 1900 * time.Millisecond, true, "g0", ReasonNone, 0},
		{"a shorter time doesn't open it", func(b *Balancer) {
			b.RecordNotice(start, "g0", 1, Notice{ClosedFor: 2 * time.Second})
			b.RecordNotice(start, "g0", 1, Notice{ClosedFor: time.Millisecond})
		}, time.Second, false, "g0", ReasonNone, 0},
		{"all closed", func(b *Balancer) {
			b.RecordNotice(start, "g0", 1, Notice{ClosedFor: 5 * time.Second})
			b.RecordNotice(start, "g1", 1, Notice{ClosedFor: 4 * time.Second})
		}, time.Second, true, "", ReasonFull, 3 * time.Second},
		{"one leaving, one closed", func(b *Balancer) {
			b.RecordNotice(start, "g0", 1, Notice{Leaving: true})
			b.RecordNotice(start, "g1", 1, Notice{ClosedFor: 4 * time.Second})
		}, time.Second, false, "", ReasonFull, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(2)
			tt.setup(b)
			for range 30 {
				req := chatRequest()
				req.Retry = tt.retry
				got := b.Pick(start.Add(tt.after), req)
				if got.Reason != tt.want || (tt.never != "" && got.ID == tt.never) || got.RetryAfter < tt.wantRetryAfter {
					t.Fatalf("%+v, want reason %q, not %q, and a retry after %v or later", got, tt.want, tt.never, tt.wantRetryAfter)
				}
			}
		})
	}
}

// TestNoticeEnds checks that a server is used again once the stated time is over, or once it has restarted.
func TestNoticeEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name   string
		notice Notice
		change func(b *Balancer)
	}{
		{"the time is over", Notice{ClosedFor: 2 * time.Second}, nil},
		{"restarted", Notice{Leaving: true, ClosedFor: time.Hour}, func(b *Balancer) {
			e := groups(1)[0]
			e.Born = 2
			b.UpdateEndpoints(false, []wire.Endpoint{e}, nil)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(1)
			if !b.RecordNotice(start, "g0", 1, tt.notice) || b.RecordNotice(start, "g0", 1, tt.notice) {
				t.Error("only the first of two equal notices is new")
			}
			now := start.Add(2 * time.Second)
			if tt.change != nil {
				tt.change(b)
			}
			if got := b.Pick(now, chatRequest()); got.Reason != ReasonNone || !b.Accepts(now, "g0") {
				t.Errorf("%+v, want the only endpoint", got)
			}
			if got := b.Leaving(); len(got) != 0 {
				t.Errorf("reported as leaving: %v", got)
			}
		})
	}
}

// TestLeavingIsReported checks that endpoints are reported as leaving while the leader lists them.
func TestLeavingIsReported(t *testing.T) {
	b := newBalancer(2)
	b.RecordNotice(time.Unix(1000, 0), "g1", 1, Notice{Leaving: true})
	if got := fmt.Sprint(b.Leaving()); got != "[{1 g1}]" {
		t.Errorf("leaving: %s", got)
	}
	b.UpdateEndpoints(false, nil, []string{"g1"})
	if got := b.Leaving(); len(got) != 0 {
		t.Errorf("leaving after the leader has removed it: %v", got)
	}
}

// TestNoticeOfUnlistedServer guards against requests to a server that has said that it leaves just as it wasn't listed, and that a
// new leader lists again.
func TestNoticeOfUnlistedServer(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		born int64
		// accepted reports whether the server gets requests once it is listed again.
		accepted bool
	}{
		{"the same incarnation", 1, false},
		{"an earlier incarnation", 0, true},
	} {
		b := newBalancer(1)
		endpoint := groups(1)[0]
		b.UpdateEndpoints(true, nil, nil)
		if !b.RecordNotice(start, endpoint.ID, tt.born, Notice{Leaving: true}) {
			t.Errorf("%s: the notice is not new", tt.name)
		}
		b.UpdateEndpoints(true, []wire.Endpoint{endpoint}, nil)
		if got := b.Accepts(start.Add(time.Second), endpoint.ID); got != tt.accepted {
			t.Errorf("%s: accepted %v, want %v", tt.name, got, tt.accepted)
		}
		if got := len(b.Leaving()) == 0; got != tt.accepted {
			t.Errorf("%s: told to the leader %v, want %v", tt.name, !got, !tt.accepted)
		}
	}
}

package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/wire"
)

// grant is a leader's answer with permits for servers, and the time until it has further ones.
func grant(wait time.Duration, servers ...string) wire.FleetUpdate {
	req := chatRequest()
	return wire.FleetUpdate{Term: 1, Echo: 1, Entries: 1, Permits: []wire.PermitGrant{
		{Service: req.Service, Model: req.Model, Servers: servers, WaitMs: wait.Milliseconds()},
	}}
}

// TestLimitedServers checks that servers with a limit are chosen with a permit only, also for a request that is sent again,
// and what happens to requests for which there is none.
func TestLimitedServers(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := func(b *Balancer, servers ...string) {
		for _, id := range servers {
			b.RecordResponse(start, quota.Response{Server: id, Born: b.byID[id].Born, SentAt: start, Limited: true, PerSecond: 2})
		}
		b.ApplyLimits(start, wire.FleetUpdate{Term: 1, Echo: 1, Entries: 1})
	}
	cold := func(b *Balancer, servers ...string) {
		u := wire.FleetUpdate{Term: 1, Echo: 1, Entries: 1}
		for _, id := range servers {
			e := b.byID[id].Endpoint
			e.ColdMs, e.ColdShare = 3000, 5
			u.Endpoints = append(u.Endpoints, e)
		}
		b.ReportLimits(start, &wire.Usage{SentAt: 1})
		b.ApplyLimits(start, u)
	}
	for _, tt := range []struct {
		name  string
		setup func(b *Balancer)
		// retry makes the requests ones that were sent before.
		retry bool
		// want are the reasons of one request after the other; never must not be chosen.
		want      []Reason
		never     string
		wantAwait bool
	}{
		{"one limited", func(b *Balancer) { limit(b, "g0") }, false, []Reason{ReasonNone, ReasonNone, ReasonNone, ReasonNone}, "g0", false},
		{"one limited, sent again", func(b *Balancer) { limit(b, "g0") }, true, []Reason{ReasonNone, ReasonNone, ReasonNone, ReasonNone}, "g0", false},
		{"all limited", func(b *Balancer) { limit(b, "g0", "g1") }, false, []Reason{ReasonLimited}, "", true},
		{"all limited, sent again", func(b *Balancer) { limit(b, "g0", "g1") }, true, []Reason{ReasonLimited}, "", true},
		{"all limited, nothing to be had soon", func(b *Balancer) {
			limit(b, "g0", "g1")
			b.ApplyLimits(start, grant(3*time.Second))
		}, false, []Reason{ReasonLimited}, "", false},
		{"two permits", func(b *Balancer) {
			limit(b, "g0", "g1")
			b.ApplyLimits(start, grant(time.Second, "g1", "g1"))
		}, false, []Reason{ReasonNone, ReasonNone, ReasonLimited}, "g0", false},
		{"two permits, sent again", func(b *Balancer) {
			limit(b, "g0", "g1")
			b.ApplyLimits(start, grant(time.Second, "g1", "g1"))
		}, true, []Reason{ReasonNone, ReasonNone, ReasonLimited}, "g0", false},
		{"a permit and an unlimited server that is full", func(b *Balancer) {
			limit(b, "g0")
			b.ApplyLimits(start, grant(time.Second, "g0"))
			for range 60 {
				b.Start(start, Decision{ID: "g1"}, Request{})
			}
		}, false, []Reason{ReasonNone, ReasonFull}, "g1", false},
		{"one cold", func(b *Balancer) { cold(b, "g0") }, false, []Reason{ReasonNone, ReasonNone, ReasonNone}, "g0", false},
		{"all cold", func(b *Balancer) { cold(b, "g0", "g1") }, false, []Reason{ReasonLimited}, "", true},
		{"all cold, sent again", func(b *Balancer) { cold(b, "g0", "g1") }, true, []Reason{ReasonLimited}, "", true},
		{"two permits for a cold server", func(b *Balancer) {
			cold(b, "g0")
			b.ApplyLimits(start, grant(0, "g0", "g0"))
		}, false, []Reason{ReasonNone, ReasonNone}, "g1", false},
		{"the limit may have ended", func(b *Balancer) {
			b.ApplyLimits(start, wire.FleetUpdate{
				Term: 1, Echo: 1, Entries: 1, LimitRevision: 1, Permits: grant(0, "g0").Permits,
				Limits: []wire.ServerLimit{{ID: "g0", Born: b.byID["g0"].Born, PerSecond: 1, AgeMs: 5000, Unconfirmed: true}},
			})
		}, false, []Reason{ReasonNone}, "g1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(2)
			tt.setup(b)
			req := chatRequest()
			req.Retry = tt.retry
			for n, want := range tt.want {
				got := b.Pick(start, req)
				if got.Reason != want || (got.ID != "" && got.ID == tt.never) {
					t.Fatalf("request %d: %+v, want reason %q and not %q", n, got, want, tt.never)
				}
				if got.AwaitPermit != tt.wantAwait || (want != ReasonNone && got.RetryAfter <= 0) {
					t.Errorf("request %d: %+v, want to ask for a permit: %v, and a time to retry", n, got, tt.wantAwait)
				}
				if got.Reason == ReasonNone {
					b.Start(start, got, req)
				}
			}
		})
	}
}

// TestUnsentRequestReturnsPermit checks that a permit isn't lost with a connection that could not be opened.
func TestUnsentRequestReturnsPermit(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		result Result
		want   Reason
	}{{Unreachable, ReasonNone}, {Served, ReasonLimited}, {Shed, ReasonLimited}, {Failed, ReasonLimited}} {
		b := newBalancer(1)
		b.RecordResponse(start, quota.Response{Server: "g0", Born: b.byID["g0"].Born, SentAt: start, Limited: true, PerSecond: 2})
		b.ApplyLimits(start, grant(time.Second, "g0"))
		d := b.Pick(start, chatRequest())
		b.Finish(start, b.Start(start, d, chatRequest()), tt.result)
		if got := b.Pick(start, chatRequest()); got.Reason != tt.want {
			t.Errorf("after result %d: %+v, want reason %q", tt.result, got, tt.want)
		}
	}
}

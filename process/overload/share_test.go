package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newShare(seed uint64) *Share { return NewShare(rand.New(rand.NewPCG(seed, 1))) }

// TestShare checks how many requests all hosts together send to a pool in a second in which each asks far more often than the pool
// can serve. None of them learns meanwhile what the others have sent.
func TestShare(t *testing.T) {
	const slots, released = 480, 400
	for _, tt := range []struct {
		name     string
		hosts    int
		load     int
		late     bool
		min, max int
	}{
		{"24 hosts, full", 24, 456, false, released * 8 / 10, released * 12 / 10},
		{"126 hosts, full", 126, 456, false, released * 8 / 10, released * 13 / 10},
		{"126 hosts, overfull", 126, 600, false, 0, 126},
		{"24 hosts, not full", 24, 200, false, 24 * 50, 24 * 50},
		{"24 hosts, late requests only", 24, 456, true, released / 10, released * 12 / 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sent := 0
			for h := range tt.hosts {
				s, now := newShare(uint64(h)), time.Unix(1000, 0)
				c := Capacity{Load: tt.load, Slots: slots, Released: released, Hosts: tt.hosts, Interval: 100 * time.Millisecond}
				for range 50 {
					now = now.Add(20 * time.Millisecond)
					if s.Allow(now, c, Claim{Late: tt.late}) {
						s.RecordSent(now, Claim{})
						sent++
					}
				}
			}
			if sent < tt.min || sent > tt.max {
				t.Errorf("%d requests in a second, want %d to %d", sent, tt.min, tt.max)
			}
		})
	}
}

// TestLateYields checks that late requests take nothing while others are rejected, and are sent again once the overload is over.
func TestLateYields(t *testing.T) {
	s, now := newShare(1), time.Unix(1000, 0)
	c := Capacity{Load: 456, Slots: 480, Released: 400, Hosts: 24, Interval: 100 * time.Millisecond}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		if s.Allow(now, c, Claim{}) {
			s.RecordSent(now, Claim{})
		}
		if s.Allow(now, c, Claim{Late: true}) {
			t.Fatal("a late request was sent while one that could be in time was rejected")
		}
	}
	now = now.Add(overloadMemory / 2)
	if s.Allow(now, c, Claim{Late: true}) {
		t.Error("a late request was sent in a pause between others")
	}
	now = now.Add(overloadMemory/2 + time.Millisecond)
	if !s.Allow(now, c, Claim{Late: true}) {
		t.Error("a late request was rejected after the overload")
	}
}

// TestRetryAfter checks that callers are told times that they keep to, and evenly spread ones.
func TestRetryAfter(t *testing.T) {
	for _, remaining := range []time.Duration{time.Second, 6 * time.Second, 8 * time.Second} {
		s, now := newShare(1), time.Unix(1000, 0)
		told := map[int64]int{}
		const n = 2000
		for i := range n {
			at := now.Add(time.Duration(i) * time.Millisecond)
			d := s.RetryAfter(at, remaining)
			if d < minReturn || (remaining > 3*minReturn && d > remaining/3) {
				t.Fatalf("%v of %v", d, remaining)
			}
			told[slotOf(at.Add(d))]++
		}
		// One caller a millisecond is rejected, so as many return.
		for slot, k := range told {
			if k > 2*int(slotTime/time.Millisecond) {
				t.Errorf("remaining %v: %d callers are told to return in slot %d", remaining, k, slot)
			}
		}
	}
}

// TestReturnsExpire checks that callers that were expected long ago, or before the clock was set back, don't count.
func TestReturnsExpire(t *testing.T) {
	s, now := newShare(1), time.Unix(1000, 0)
	for _, step := range []time.Duration{0, time.Minute, -30 * time.Second} {
		now = now.Add(step)
		s.RetryAfter(now, 6*time.Second)
		total := 0
		for _, k := range s.returns.told {
			total += k
		}
		if total != 1 {
			t.Errorf("after %v: %d callers expected, want 1", step, total)
		}
	}
}

// TestRetryAfterBounds checks that callers are told a bounded time whatever they wait, and that those rejected together don't return
// together.
func TestRetryAfterBounds(t *testing.T) {
	for _, tt := range []struct {
		remaining, min, max time.Duration
	}{
		{-time.Second, 250 * time.Millisecond, 300 * time.Millisecond},
		{6 * time.Second, 1320 * time.Millisecond, 1970 * time.Millisecond},
		{10 * time.Minute, 10 * time.Second, 30 * time.Second},
		{24 * time.Hour, 10 * time.Second, 30 * time.Second},
	} {
		s, now, atOnce := newShare(1), time.Unix(1000, 0), map[time.Duration]int{}
		for range 200 {
			d := s.RetryAfter(now, tt.remaining)
			if atOnce[d/time.Second]++; d < tt.min || d > tt.max {
				t.Fatalf("%v left: told %v, want %v to %v", tt.remaining, d, tt.min, tt.max)
			}
		}
		if tt.remaining > time.Minute && len(atOnce) < 5 {
			t.Errorf("%v left: told in %d different seconds", tt.remaining, len(atOnce))
		}
	}
}

package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
)

// TestShareOfArea checks that callers who are restricted to a region get no more and no less than the slots that become free there
// while others, whose requests the rest of the pool takes, ask as often.
func TestShareOfArea(t *testing.T) {
	for _, tt := range []struct {
		name     string
		load     int
		others   bool
		min, max int
	}{
		// Half of 16 slots in 1.5 s is 5.3 a second.
		{"alone", 16, false, 15, 25},
		{"with others", 16, true, 15, 25},
		{"full, with others", 17, true, 12, 22},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, now, sent, restrictedSent := newBalancer(4), time.Unix(1000, 0), 0, 0
			locate(b, "x", "x", "x", "y")
			restricted, other := chatRequest(), chatRequest()
			restricted.Area, other.Area = area("south"), area()
			ask := func(req Request) {
				d := b.Pick(now, req)
				if d.Reason != ReasonNone {
					return
				}
				if d.ID == "g3" {
					sent++
				}
				if req.Area.IsRestricted() {
					restrictedSent++
				}
				b.Finish(now, b.Start(now, d, req), CallerGone)
			}
			for i := range 400 {
				now = now.Add(10 * time.Millisecond)
				if i%10 == 0 {
					b.SetLoads(now, []fleet.Load{{Handle: 4, InFlight: tt.load}}, 2)
				}
				ask(restricted)
				if tt.others {
					ask(other)
				}
			}
			if sent < tt.min || sent > tt.max || restrictedSent == 0 {
				t.Errorf("%d requests sent to the region in 4 s, %d of them restricted to it, want %d to %d", sent, restrictedSent, tt.min, tt.max)
			}
		})
	}
}

// TestLevelStale checks that a host that gets no updates goes on to count all requests of the other hosts.
func TestLevelStale(t *testing.T) {
	for _, inFlight := range []int{0, 1, 5, 16} {
		b, now, total := newBalancer(28), time.Unix(1000, 0), 0
		var loads []fleet.Load
		for i := range 27 {
			n := min(17, inFlight+i%2)
			total += n
			loads = append(loads, fleet.Load{Handle: uint64(i + 1), InFlight: n, WaitingTokens: 100 * n})
		}
		b.SetLoads(now, loads, 24)
		b.levelStale(now.Add(time.Minute))
		got, waiting, least, most := 0, 0, 17, 0
		for _, e := range b.byID {
			got, waiting = got+e.load(), waiting+e.waitingTokens()
			least, most = min(least, e.load()), max(most, e.load())
		}
		if got != total || waiting != 100*total || most-least > 1 {
			t.Errorf("%d in flight and %d tokens waiting, %d to %d at a group, want %d and %d, evenly spread", got, waiting, least, most, total, 100*total)
		}
	}
}

// TestHostsOfNewLeader checks that a host doesn't take itself for the only one when a new leader has heard of no other yet, and that its
// part of what a server may get grows once others are gone.
func TestHostsOfNewLeader(t *testing.T) {
	b, now := newBalancer(1), time.Unix(1000, 0)
	for _, tt := range []struct {
		after          time.Duration
		reported, want int
	}{
		{0, 24, 24}, {100 * time.Millisecond, 1, 24}, {100 * time.Millisecond, 20, 24}, {100 * time.Millisecond, 24, 24}, {900 * time.Millisecond, 23, 24},
		{500 * time.Millisecond, 23, 24}, {600 * time.Millisecond, 23, 23}, {0, 30, 30},
	} {
		now = now.Add(tt.after)
		b.SetLoads(now, nil, tt.reported)
		if got := b.EntryHosts(); got != tt.want {
			t.Errorf("%v: %d hosts after an update with %d, want %d", now.Sub(time.Unix(1000, 0)), got, tt.reported, tt.want)
		}
	}
}

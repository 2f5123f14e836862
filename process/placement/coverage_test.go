package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
)

// TestSumsOfNewLeader replays a full pool whose leader is replaced by one that has heard of few hosts yet. Until the next update, the
// host may send no more than its part of the slots that become free, whatever the sums lack, and the whole pool once it is alone.
func TestSumsOfNewLeader(t *testing.T) {
	const hosts, slots = 24, 17
	for _, tt := range []struct {
		name string
		// heard is the number of hosts in the new leader's sums, which lack the other hosts' part of the load for that long.
		heard    int
		after    time.Duration
		min, max int
	}{
		{"all heard", hosts, 0, 0, 4},
		{"half heard", hosts / 2, 0, 0, 4},
		{"none but this one heard", 1, 0, 0, 4},
		{"the others have ended", 1, 2 * fewerHostsAfter, 50, 4 * slots},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, now := newBalancer(4), time.Unix(1000, 0)
			sums := func(inFlight int) (list []fleet.Load) {
				for i := range 4 {
					list = append(list, fleet.Load{Handle: uint64(i + 1), InFlight: inFlight, Progressed: true})
				}
				return list
			}
			for range 5 {
				now = now.Add(100 * time.Millisecond)
				b.SetLoads(now, sums(slots-1), hosts)
			}
			partial := sums((slots - 1) * (tt.heard - 1) / (hosts - 1))
			for until := now.Add(tt.after); !now.After(until); now = now.Add(100 * time.Millisecond) {
				b.SetLoads(now, partial, tt.heard)
			}
			sent := 0
			for range 100 {
				if d := b.Pick(now, chatRequest()); d.Reason == ReasonNone {
					b.Start(now, d, chatRequest())
					sent++
				}
			}
			if sent < tt.min || sent > tt.max {
				t.Errorf("%d requests sent until the next update, want %d to %d", sent, tt.min, tt.max)
			}
		})
	}
}

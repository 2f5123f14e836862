package entry

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/process/admission"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/wire"
)

// TestLendableSlotsAreUsed guards against requests that wait at the only busy one of a few entry hosts while slots could be
// lent, since its shares are rounded down.
func TestLendableSlotsAreUsed(t *testing.T) {
	const slots, maxRequests = 16, 256
	// The slots that are never lent belong to other hosts.
	want := 0
	for admission.LendableSlots(slots, want) > 0 {
		want++
	}
	for _, hosts := range []int{1, 2, 3} {
		for index := range hosts {
			t.Run(fmt.Sprintf("host %d of %d", index, hosts), func(t *testing.T) {
				now := time.Now()
				c := registry.Candidate{ID: "group", Load: wire.Load{Slots: slots}, RequestedAt: now}
				q := newRequestQueue(nil, 1)
				got := 0
				for got < slots && len(q.available(now, []registry.Candidate{c}, hostIndex{index: index, hosts: hosts}, maxRequests, nil)) > 0 {
					got++
					q.recordStart(now.Add(time.Duration(got)), c.ID)
				}
				if got < want {
					t.Errorf("%d requests may run at once, want at least %d", got, want)
				}
			})
		}
	}
}

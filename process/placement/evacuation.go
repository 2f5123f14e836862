package placement

import (
	"time"

	"savorywing.example/savorywing/process/evacuation"
)

// evacuatedRetryAfter is the shortest time after which callers of a pool that is evacuated as a whole are asked to return: about
// that in which groups form elsewhere from hosts that have the weights.
const evacuatedRetryAfter = 1 * time.Second

// SetEvacuated excludes the endpoints of evacuated data centres from then on. Their requests in flight go on and are counted.
func (b *Balancer) SetEvacuated(s *evacuation.Set) {
	if s == b.evacuated {
		return
	}
	b.evacuated = s
	b.rebuildIndex()
}

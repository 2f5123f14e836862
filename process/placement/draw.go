package placement

import (
	"time"

	"savorywing.example/savorywing/process/overload"
	"savorywing.example/savorywing/version/residency"
)

// Every entry host receives the sums of all hosts' requests only a few times a second. If each sent its requests to
// the groups that the latest sums show as least loaded, all would choose the same ones. If each filled all free slots of these, they
// would be overloaded until the next update. So a group is drawn at random, weighted by its headroom, and while a pool
// is full, each host sends no more than its fraction of the slots that become free.

const (
	// targetFraction is the fraction of its slots that a group is filled to. In a group that is always full, requests
	// that are sent there at the same time by chance have to wait.
	targetFraction = 0.95
	// defaultInterval is the assumed time between two updates of the leader until two have arrived; maxInterval bounds
	// each sample.
	defaultInterval = 200 * time.Millisecond
	maxInterval     = time.Second
	// minHeadroom is the weight of a full group in the draw, so that its state is still observed.
	minHeadroom = 0.2
)

// updateInterval returns the estimated time between two updates of the leader.
func (b *Balancer) updateInterval() time.Duration {
	if b.interval == 0 {
		return defaultInterval
	}
	return b.interval
}

// headroom returns how many requests a group can take until the leader's next update.
func (b *Balancer) headroom(e *endpoint, occupancy time.Duration) float64 {
	busy := float64(min(e.load(), e.slots()))
	released := busy * float64(b.updateInterval()) / float64(occupancy)
	return targetFraction*float64(e.slots()) - float64(e.load()) + released
}

// staleIntervals is the number of missed updates from which the differences between the groups in the last one no longer count, and
// minStale the shortest time for that.
const (
	staleIntervals = 4
	minStale       = 400 * time.Millisecond
)

// levelStale spreads the other hosts' requests in each pool evenly over its slots if the last update is old. Without updates, all
// hosts would go on to choose the groups that were empty at the last one.
func (b *Balancer) levelStale(now time.Time) {
	if b.isLevelled || b.updatedAt.IsZero() || now.Sub(b.updatedAt) < max(minStale, staleIntervals*b.updateInterval()) {
		return
	}
	b.isLevelled = true
	for _, list := range b.pools {
		inFlight, waiting, slots := 0, 0, 0
		for _, e := range list {
			inFlight, waiting, slots = inFlight+e.remoteInFlight, waiting+e.remoteWaiting, slots+e.slots()
		}
		// Each gets its part of what is left, so that rounding loses none.
		for _, e := range list {
			n := e.slots()
			e.remoteInFlight, e.remoteWaiting = inFlight*n/slots, waiting*n/slots
			inFlight, waiting, slots = inFlight-e.remoteInFlight, waiting-e.remoteWaiting, slots-n
		}
	}
}

// occupancyOf returns how long a request with this key occupies its slot.
func (b *Balancer) occupancyOf(req Request) time.Duration {
	if occupancy := b.occupancies[req.key()]; occupancy > 0 {
		return occupancy
	}
	return defaultOccupancy
}

// draw returns a random group, weighted by headroom.
func (b *Balancer) draw(list []*endpoint, req Request) *endpoint {
	occupancy := b.occupancyOf(req)
	total := 0.0
	for _, e := range list {
		total += max(minHeadroom, b.headroom(e, occupancy))
	}
	x := b.random.Float64() * total
	for _, e := range list {
		if x -= max(minHeadroom, b.headroom(e, occupancy)); x <= 0 {
			return e
		}
	}
	return list[len(list)-1]
}

// mayLoad reports whether this host may send one more request to a pool. Servers on pace count with all of their slots: most of them are
// well, and a pool that is short of room mustn't reject for the second in which they show it.
func (b *Balancer) mayLoad(now time.Time, list []*endpoint, req Request) bool {
	occupancy := b.occupancyOf(req)
	c := overload.Capacity{Hosts: b.EntryHosts(), Interval: b.updateInterval()}
	for _, e := range list {
		c.Load += e.load()
		c.Slots += e.ownSlots()
		c.Released += float64(min(e.load(), e.ownSlots())) / occupancy.Seconds()
	}
	return b.share(req).Allow(now, c, b.claim(req))
}

// shareKey identifies a pool's servers in an area. These can be full while others of the pool aren't.
type shareKey struct {
	endpointKey
	area string
}

// poolShare is the share of a pool's servers in an area.
type poolShare struct {
	*overload.Share
	area residency.Area
}

func (b *Balancer) share(req Request) *poolShare {
	k := shareKey{req.key(), req.Area.Key()}
	s := b.shares[k]
	if s == nil {
		s = &poolShare{Share: overload.NewShare(b.random)}
		b.shares[k] = s
	}
	s.area = req.Area
	return s
}

// recordSent counts a request to a server in all shares of its pool that the server is part of.
func (b *Balancer) recordSent(now time.Time, e *endpoint, req Request) {
	for k, s := range b.shares {
		if k.service == e.Service && k.model == e.Model && s.area.Contains(e.DataCentre) {
			s.RecordSent(now, overload.Claim{Priority: req.Priority, Organisation: req.Organisation})
		}
	}
}

func (b *Balancer) claim(req Request) overload.Claim {
	return overload.Claim{Late: b.missesObjective(req), Priority: req.Priority, Organisation: req.Organisation}
}

// waitedFraction is the fraction of the objective from which a caller counts as one that has waited. Below it, a request that
// misses its objective is just a large one.
const waitedFraction = 0.25

// missesObjective reports whether the request of a caller that has waited can't meet its objective any more at any endpoint.
func (b *Balancer) missesObjective(req Request) bool {
	return req.Elapsed > time.Duration(waitedFraction*float64(req.Objective)) && req.Elapsed+b.idleFirstEvent(req) > req.Objective
}

package placement

import "time"

// Every entry host receives the sums of all hosts' requests only a few times a second. If each sent its requests to
// the groups that the latest sums show as least loaded, all would choose the same ones. If each filled all free slots of these, they
// would be overloaded until the next update. So a group is drawn at random, weighted by its headroom, and while a pool
// is full, each host sends no more than its fraction of the slots that become free.

// sendBudget is a token bucket: the requests that this host may still send to a full pool.
type sendBudget struct {
	tokens float64
	at     time.Time
}

const (
	// fullFraction is the utilisation of a pool's slots from which budgets apply. Below it, the random choice leaves
	// free slots in most groups.
	fullFraction = 0.8
	// targetFraction is the fraction of its slots that a group is filled to. In a group that is always full, requests
	// that are sent there at the same time by chance have to wait.
	targetFraction = 0.95
	// lateTokens is the number of tokens that must be left for a request that can't meet its objective any more: it
	// takes only the budget that requests that can meet theirs don't use.
	lateTokens = 0.75 * budgetBurst
	// budgetBurst is the number of requests that a host may send at once after it has sent none for a while.
	budgetBurst = 8.0
	// freeSlotIntervals is the number of update intervals over which the free slots of a full pool are handed out.
	freeSlotIntervals = 3.0
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

// hasBudget reports whether this host may send one more request to a pool. It refills the budget; Start takes a token
// for each request sent.
func (b *Balancer) hasBudget(now time.Time, list []*endpoint, req Request) bool {
	occupancy := b.occupancyOf(req)
	load, slots, released := 0, 0, 0.0
	for _, e := range list {
		load += e.load()
		slots += e.slots()
		released += float64(min(e.load(), e.slots())) / occupancy.Seconds()
	}
	k := req.key()
	if float64(load) < fullFraction*float64(slots) {
		delete(b.budgets, k)
		return true
	}
	// Free slots are handed out over several intervals: the leader's update is old and doesn't contain what all hosts
	// have sent since.
	free := targetFraction*float64(slots) - float64(load)
	perSecond := max(0, released+free/(freeSlotIntervals*b.updateInterval().Seconds())) / float64(b.EntryHosts())
	capacity := max(budgetBurst, free/float64(b.EntryHosts()))
	s := b.budgets[k]
	if s == nil {
		s = &sendBudget{tokens: capacity / 2, at: now}
		b.budgets[k] = s
	}
	s.tokens = min(capacity, s.tokens+perSecond*now.Sub(s.at).Seconds())
	s.at = now
	if b.missesObjective(req) {
		return s.tokens >= lateTokens
	}
	return s.tokens >= 1
}

// missesObjective reports whether a retried request can't meet its objective any more at any endpoint.
func (b *Balancer) missesObjective(req Request) bool {
	return req.Elapsed > 0 && req.Elapsed+b.idleFirstEvent(req) > req.Objective
}

package placement

import (
	"time"

	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/wire"
)

// Some servers state how many requests a second they take from all hosts together. They are chosen only with a permit of the
// leader's; the hosts' permits together stay within the limit.

// RecordResponse records what a response says about its server's limit, and reports whether the leader has to be told at
// once.
func (b *Balancer) RecordResponse(now time.Time, r quota.Response) bool {
	return b.permits.RecordResponse(now, r)
}

// ApplyLimits applies the limits and permits in a leader's update, after its endpoints and loads.
func (b *Balancer) ApplyLimits(now time.Time, u wire.FleetUpdate) {
	u.Entries = max(u.Entries, b.EntryHosts())
	b.permits.Apply(now, u)
}

// ReportLimits adds limits, and requests for permits, to the report to the leader.
func (b *Balancer) ReportLimits(now time.Time, u *wire.Usage) {
	b.permits.Report(now, u, func(server string, born int64) (quota.Pool, bool) {
		e := b.byID[server]
		if e == nil || e.Born != born {
			return quota.Pool{}, false
		}
		return quota.Pool{Service: e.Service, Model: e.Model}, true
	})
}

// RecordDemand counts a caller's request for the pool for which permits may be needed.
func (b *Balancer) RecordDemand(req Request) {
	if len(b.pools[req.key()]) > 0 {
		b.permits.RecordDemand(req.pool())
	}
}

// Await counts a request that waits for a permit; with n = -1, it does no more.
func (b *Balancer) Await(req Request, n int) { b.permits.Await(req.pool(), n) }

// isLimited reports whether a server that could take a request lacks only a permit.
func (b *Balancer) isLimited(now time.Time, req Request) bool {
	for _, e := range b.pools[req.key()] {
		if mayServe(req, e) && b.accepts(now, e) && !b.permits.Allows(now, e.ID, e.Born) {
			return true
		}
	}
	return false
}

// mayGetPermit reports whether the leader may permit a request to such a server.
func (b *Balancer) mayGetPermit(now time.Time, req Request) bool {
	return b.isLimited(now, req) && b.permits.MayAsk(now, req.pool())
}

// unconfirmed returns a server whose limit may have ended: its response to a permitted request tells.
func (b *Balancer) unconfirmed(usable []*endpoint, req Request) (scoredEndpoint, bool) {
	return b.bestOf(usable, req, func(e *endpoint) bool { return b.permits.IsUnconfirmed(e.ID, e.Born) })
}

// cold returns a cold server for which there is a permit, which would expire soon.
func (b *Balancer) cold(usable []*endpoint, req Request) (scoredEndpoint, bool) {
	e, found := b.bestOf(usable, req, func(e *endpoint) bool { return b.permits.IsCold(e.ID, e.Born) })
	return e, found && !exceedsGap(e, req)
}

// MaySend reports whether a request that was counted by Start, and hasn't been sent yet, may still be sent.
func (b *Balancer) MaySend(now time.Time, res *Reservation) bool {
	return b.Accepts(now, res.ID) && b.permits.MaySend(now, res.ID, res.born, res.permitExpiry)
}

// permitted returns the best server for which there is a permit. The permit stands for the host's part of its capacity, so
// no budget applies.
func (b *Balancer) permitted(usable []*endpoint, req Request) (scoredEndpoint, bool) {
	return b.bestOf(usable, req, func(e *endpoint) bool { return b.permits.IsLimited(e.ID, e.Born) })
}

// bestOf returns the best endpoint of those that match, if it fits.
func (b *Balancer) bestOf(list []*endpoint, req Request, matches func(e *endpoint) bool) (scoredEndpoint, bool) {
	var matching []*endpoint
	for _, e := range list {
		if matches(e) {
			matching = append(matching, e)
		}
	}
	if len(matching) == 0 {
		return scoredEndpoint{}, false
	}
	best := b.best(matching, req)
	return best, b.fits(best, req)
}

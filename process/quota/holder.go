package quota

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"savorywing.example/savorywing/process/clone"
	"savorywing.example/savorywing/wire"
)

// Pool identifies the endpoints that serve a model of a service.
type Pool struct{ Service, Model string }

// Holder is what one entry host knows of servers' limits, with its permits.
type Holder struct {
	// random draws from source.
	random *rand.Rand
	source *rand.PCG
	limits map[string]*limit
	// cold holds the endpoints of services that bound what cold servers get.
	cold  map[string]*coldServer
	pools map[Pool]*poolDemand
	// sent lists the last usage reports, oldest first.
	sent []sentReport
	// term and revision are those of the leader's list that was applied last.
	term, revision uint64
	// answeredAt is when the leader last answered a usage report.
	answeredAt time.Time
	// entryHosts is the number of entry hosts that share the limits, at least 1.
	entryHosts int
	reportedAt time.Time
}

// limit is one server's limit, as far as it is known here.
type limit struct {
	born      int64
	perSecond float64
	// statedAt is when the latest response that states the limit arrived, here or at another host.
	statedAt time.Time
	// ended reports that a response states no limit any more; its request was sent at endedAt.
	ended   bool
	endedAt time.Time
	// pending reports whether the leader isn't known to have been told; sentAt is the time in the report that contained the
	// limit as it is now, 0 if none did.
	pending bool
	sentAt  int64
	// confirmedAt is when an unchanged limit was last marked as pending.
	confirmedAt time.Time
	unconfirmed bool
	// permits holds when each permit expires, earliest first.
	permits []time.Time
	// credit is the part of the next permit that this host makes by itself, as of creditAt.
	credit   float64
	creditAt time.Time
}

// poolDemand is this host's demand for a pool.
type poolDemand struct {
	// requests counts those since the last report; rate is the moving average of requests per second.
	requests int
	rate     float64
	// waiting is the number of requests that wait for a permit.
	waiting int
	// nextAt is when the leader expects to have a permit again.
	nextAt time.Time
}

// rateTime is the time constant of the average of requests per second, and maxRateSample bounds the time of one sample.
const rateTime = 1 * time.Second

// NewHolder returns a Holder that knows of no limit.
func NewHolder(seed uint64) *Holder {
	source := rand.NewPCG(seed, seed+1)
	return &Holder{random: rand.New(source), source: source, limits: map[string]*limit{}, cold: map[string]*coldServer{}, pools: map[Pool]*poolDemand{}, entryHosts: 1}
}

// Clone returns a copy that shares nothing with h.
func (h *Holder) Clone() *Holder {
	c := *h
	source := *h.source
	c.source, c.random = &source, rand.New(&source)
	c.limits, c.cold, c.pools = clone.Values(h.limits), clone.Values(h.cold), clone.Values(h.pools)
	for _, l := range c.limits {
		l.permits = slices.Clone(l.permits)
	}
	for _, s := range c.cold {
		s.permits = slices.Clone(s.permits)
	}
	c.sent = slices.Clone(h.sent)
	return &c
}

// Response is what a response of a server says about its limit.
type Response struct {
	Server string
	Born   int64
	// SentAt is when the request was sent.
	SentAt time.Time
	// Limited reports whether the response states a limit, which is PerSecond.
	Limited   bool
	PerSecond float64
}

// RecordResponse records a response, and reports whether the leader has to be told at once.
func (h *Holder) RecordResponse(now time.Time, r Response) (urgent bool) {
	l := h.limits[r.Server]
	if l != nil && r.Born < l.born {
		return false
	}
	if l == nil || r.Born > l.born {
		if !r.Limited || (l == nil && len(h.limits) >= maxLimits) {
			return false
		}
		h.limits[r.Server] = &limit{born: r.Born, perSecond: r.PerSecond, statedAt: now, pending: true, confirmedAt: now}
		return true
	}
	if !r.Limited {
		// A response to an earlier request may arrive after those that state the limit.
		if l.ended || !r.SentAt.After(l.statedAt) {
			return false
		}
		l.ended, l.endedAt, l.permits, l.pending, l.sentAt = true, r.SentAt, nil, true, 0
		return true
	}
	urgent = l.ended || r.PerSecond < l.perSecond
	if urgent || r.PerSecond != l.perSecond || now.Sub(l.confirmedAt) >= confirmInterval {
		l.pending, l.sentAt, l.confirmedAt = true, 0, now
	}
	l.setRate(r.PerSecond)
	l.ended, l.statedAt, l.unconfirmed = false, now, false
	return urgent
}

// setRate replaces the limit. If it falls, so does the number of permits, which were granted at the higher rate.
func (l *limit) setRate(perSecond float64) {
	if perSecond < l.perSecond {
		l.permits = l.permits[:int(float64(len(l.permits))*perSecond/l.perSecond)]
	}
	l.perSecond = perSecond
}

// Allows reports whether this host may send a request to a server now.
func (h *Holder) Allows(now time.Time, server string, born int64) bool {
	if c := h.bounded(now, server, born); c != nil {
		h.refreshCold(now, c)
		if len(c.permits) == 0 || c.cold {
			// A permit for a cold server is also one of its limit.
			return len(c.permits) > 0
		}
	}
	l := h.inForce(server, born)
	if l == nil {
		return true
	}
	h.refresh(now, l)
	return len(l.permits) > 0
}

// IsUnconfirmed reports whether a server has a limit that may have ended.
func (h *Holder) IsUnconfirmed(server string, born int64) bool {
	l := h.inForce(server, born)
	return l != nil && l.unconfirmed
}

// IsLimited reports whether a server has a limit, or is cold and takes requests with permits only.
func (h *Holder) IsLimited(server string, born int64) bool {
	return h.inForce(server, born) != nil || h.IsCold(server, born)
}

// inForce returns the limit of one incarnation of a server, or nil if it has none.
func (h *Holder) inForce(server string, born int64) *limit {
	if len(h.limits) == 0 {
		return nil
	}
	if l := h.limits[server]; l != nil && l.born == born && !l.ended {
		return l
	}
	return nil
}

// Use uses up a permit for a request that is sent, and returns when the permit expires; zero if none was needed.
func (h *Holder) Use(now time.Time, server string, born int64) time.Time {
	if c := h.bounded(now, server, born); c != nil {
		h.refreshCold(now, c)
		if len(c.permits) == 0 {
			return time.Time{}
		}
		expiry := c.permits[0]
		c.permits = c.permits[1:]
		if !c.cold {
			h.useLimit(now, server, born)
		}
		return expiry
	}
	return h.useLimit(now, server, born)
}

func (h *Holder) useLimit(now time.Time, server string, born int64) time.Time {
	l := h.inForce(server, born)
	if l == nil {
		return time.Time{}
	}
	h.refresh(now, l)
	if len(l.permits) == 0 {
		return time.Time{}
	}
	expiry := l.permits[0]
	l.permits = l.permits[1:]
	return expiry
}

// Return gives back a permit that Use returned, for a request that was not sent after all.
func (h *Holder) Return(server string, born int64, expiry time.Time) {
	if c := h.cold[server]; c != nil && h.IsCold(server, born) && !expiry.IsZero() {
		c.permits = returned(c.permits, expiry)
		return
	}
	if l := h.inForce(server, born); l != nil && !expiry.IsZero() {
		l.permits = returned(l.permits, expiry)
	}
}

// returned returns permits with one more, earliest first.
func returned(permits []time.Time, expiry time.Time) []time.Time {
	permits = append(permits, expiry)
	sort.Slice(permits, func(i, j int) bool { return permits[i].Before(permits[j]) })
	return permits
}

// refresh drops expired permits, and makes new ones while there is no leader to ask.
func (h *Holder) refresh(now time.Time, l *limit) {
	l.permits = dropExpired(now, l.permits)
	if !h.lacksLeader(now) {
		return
	}
	if l.creditAt.Before(h.answeredAt.Add(leaderTimeout)) {
		// Hosts that lose the leader at the same moment must not all send at the same moment.
		l.credit, l.creditAt = h.random.Float64(), now
	}
	// Credit isn't gathered while nothing asks for it, such as while this host is suspended.
	elapsed := min(now.Sub(l.creditAt), permitValidity)
	l.credit += independentFraction * rateOf(l.perSecond) / float64(h.entryHosts) * elapsed.Seconds()
	l.creditAt = now
	for ; l.credit >= 1; l.credit-- {
		l.permits = append(l.permits, now.Add(permitValidity))
	}
}

func (h *Holder) lacksLeader(now time.Time) bool { return now.Sub(h.answeredAt) > leaderTimeout }

// RecordDemand counts a caller's request for a pool.
func (h *Holder) RecordDemand(p Pool) { h.demand(p).requests++ }

func (h *Holder) demand(p Pool) *poolDemand {
	d := h.pools[p]
	if d == nil {
		d = &poolDemand{}
		h.pools[p] = d
	}
	return d
}

// Await counts a request that waits for a permit of a pool, or, with n = -1, one that does no more.
func (h *Holder) Await(p Pool, n int) { h.demand(p).waiting += n }

// MayAsk reports whether the leader may have a permit for a pool, as far as known here.
func (h *Holder) MayAsk(now time.Time, p Pool) bool {
	return !h.lacksLeader(now) && !now.Before(h.demand(p).nextAt)
}

// UntilNext returns the time until a permit for a pool may be had, as far as known here.
func (h *Holder) UntilNext(now time.Time, p Pool) time.Duration {
	return max(0, h.demand(p).nextAt.Sub(now))
}

// Report adds to a usage report what the leader has to know, and the permits that this host needs. pool returns the pool of
// one incarnation of a server, if it is an endpoint.
func (h *Holder) Report(now time.Time, u *wire.Usage, pool func(server string, born int64) (Pool, bool)) {
	u.LimitRevision = h.revision
	h.recordSent(now, u.SentAt)
	interval := min(now.Sub(h.reportedAt), rateTime)
	h.reportedAt = now
	for _, d := range h.pools {
		if interval > 0 {
			d.rate += (float64(d.requests)/interval.Seconds() - d.rate) * interval.Seconds() / rateTime.Seconds()
			d.requests = 0
		}
	}
	held, early := map[Pool]int{}, map[Pool]bool{}
	for id, c := range h.cold {
		if p, known := pool(id, c.born); known && c.cold {
			h.refreshCold(now, c)
			held[p] += len(c.permits)
			early[p] = h.demand(p).rate*coldValidity.Seconds() >= minColdAhead
		}
	}
	for id, l := range h.limits {
		if l.pending {
			u.Limits = append(u.Limits, l.report(now, id))
			l.sentAt = u.SentAt
		}
		if p, known := pool(id, l.born); known && !l.ended && !h.IsCold(id, l.born) {
			h.refresh(now, l)
			held[p] += len(l.permits)
			early[p] = early[p] || l.unconfirmed
		}
	}
	u.PermitRequests = append(u.PermitRequests, h.permitRequests(held, early, interval)...)
	sort.Slice(u.Limits, func(i, j int) bool { return u.Limits[i].ID < u.Limits[j].ID })
}

// permitRequests returns the permits that this host needs beside those that it holds for each pool. early holds the pools for
// which it asks ahead of fewer requests than usual.
func (h *Holder) permitRequests(held map[Pool]int, early map[Pool]bool, interval time.Duration) []wire.PermitRequest {
	var out []wire.PermitRequest
	for p, n := range held {
		d := h.demand(p)
		r := wire.PermitRequest{Service: p.Service, Model: p.Model, Waiting: max(0, d.waiting-n)}
		// Where requests are rare, a permit would probably expire unused.
		if d.rate*permitValidity.Seconds() >= 1 || early[p] {
			r.Ahead = max(0, h.round(d.rate*interval.Seconds())-max(0, n-d.waiting))
		}
		if r.Waiting > 0 || r.Ahead > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (l *limit) report(now time.Time, id string) wire.ServerLimit {
	at := l.statedAt
	if l.ended {
		at = l.endedAt
	}
	return wire.ServerLimit{ID: id, Born: l.born, PerSecond: l.perSecond, AgeMs: now.Sub(at).Milliseconds(), Ended: l.ended}
}

// round rounds up or down at random, so that the mean of many results is x.
func (h *Holder) round(x float64) int { return int(x + h.random.Float64()) }

// Apply applies a leader's update. It is called after the update's endpoints have been applied.
func (h *Holder) Apply(now time.Time, u wire.FleetUpdate) {
	if u.Term < h.term {
		return
	}
	if u.Term > h.term {
		// A new leader knows nothing until it is told.
		h.term, h.revision = u.Term, 0
		for _, l := range h.limits {
			l.pending, l.sentAt = true, 0
		}
	}
	if u.Echo != 0 {
		h.answeredAt, h.entryHosts = now, max(1, u.Entries)
		for id, l := range h.limits {
			if l.pending && l.sentAt != 0 && u.Echo >= l.sentAt {
				l.pending = false
				if l.ended {
					// The leader may know of a later response that states the limit, so the list is asked for.
					delete(h.limits, id)
					h.revision = 0
				}
			}
		}
	}
	h.applyEndpoints(now, u)
	if u.LimitRevision != 0 {
		h.revision = u.LimitRevision
		h.applyList(now, u.Limits)
	}
	h.applyPermits(now, u)
}

// applyPermits keeps the permits of an update.
func (h *Holder) applyPermits(now time.Time, u wire.FleetUpdate) {
	reportedAt, isRemembered := h.sentAt(u.Echo)
	for _, g := range u.Permits {
		h.demand(Pool{g.Service, g.Model}).nextAt = now.Add(time.Duration(g.WaitMs) * time.Millisecond)
		for _, server := range g.Servers {
			if c := h.cold[server]; c != nil && c.cold {
				// A report that isn't remembered is older than its permits last.
				if isRemembered {
					c.permits = returned(c.permits, reportedAt.Add(coldValidity))
				}
				continue
			}
			if l := h.limits[server]; l != nil && !l.ended {
				l.permits = append(l.permits, now.Add(permitValidity))
			}
		}
	}
}

// applyList replaces the limits by the leader's list, other than those that the leader has to be told of.
func (h *Holder) applyList(now time.Time, list []wire.ServerLimit) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		l := h.limits[s.ID]
		if l != nil && (l.pending || s.Born < l.born) {
			continue
		}
		if l == nil || l.born != s.Born {
			l = &limit{born: s.Born}
			h.limits[s.ID] = l
		}
		if at := now.Add(-time.Duration(s.AgeMs) * time.Millisecond); at.After(l.statedAt) {
			l.statedAt = at
		}
		l.setRate(s.PerSecond)
		l.unconfirmed, l.ended = s.Unconfirmed, false
	}
	for id, l := range h.limits {
		if !listed[id] && !l.pending {
			delete(h.limits, id)
		}
	}
}

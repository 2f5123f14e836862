package quota

import (
	"math"
	"time"

	"savorywing.example/savorywing/wire"
)

// ColdBound bounds what all entry hosts together send to a backend server of a service while it is cold.
type ColdBound struct {
	// PerSecond is the rate in requests per second that a cold server bears; 0 if there is no bound.
	PerSecond float64
	// In any second, at most PerSecond*Overage + Slack requests are sent.
	Overage, Slack float64
}

const (
	// coldValidity is how long a permit for a cold server may be used, from when the host sent the report that asked for it.
	coldValidity = 450 * time.Millisecond
	// maxColdBurst bounds the bucket of a cold server, in requests.
	maxColdBurst = 2.0
	// coldNotice is the time for which a server that was warm until now gets no permits: hosts that don't know yet send to it.
	coldNotice = 250 * time.Millisecond
	// coldRetention is how long a server's bucket is kept that is no endpoint: longer than what was sent there counts.
	coldRetention = 2 * time.Second
	// minColdAhead is the number of requests that a host must expect within coldValidity to ask for permits ahead of them.
	minColdAhead = 0.5
	// coldLeaderTimeout is the time without an answer of the leader after which a host can't know who is cold: longer than an
	// election usually takes.
	coldLeaderTimeout = 2 * time.Second
	// outOfTouchRatio is the largest fraction of the hosts that are taken to lack a leader while the others have one, and
	// maxColdShare the largest fraction of the rate that hosts without a leader use together.
	outOfTouchRatio = 0.5
	maxColdShare    = 0.8
	// withinBound keeps rates strictly below those at which a bound would be exceeded.
	withinBound = 0.99
	// minColdShare marks an endpoint whose bound leaves nothing for hosts without a leader.
	minColdShare = 1e-6
	// maxReportsSent is how many of its reports a host remembers the time of.
	maxReportsSent = 32
)

// most returns the number of requests that may be sent in a second.
func (c ColdBound) most() float64 { return math.Floor(c.PerSecond*c.Overage + c.Slack) }

// plan returns the burst and the rate of a bucket whose permits keep within the bound: in any second, those may be used that
// are granted in a second and coldValidity.
func (c ColdBound) plan() (burst, rate float64) {
	span := 1 + coldValidity.Seconds()
	burst = max(1, min(maxColdBurst, c.most()-c.PerSecond*span))
	rate = min(c.PerSecond, withinBound*(c.most()+1-burst)/span)
	if c.most() < 1 {
		return 0, 0
	}
	return burst, rate
}

// Share returns the requests per second that the hosts without a leader may send together to a server of the service, cold
// or not; 0 if there is no bound. They can't know which servers have become cold.
func (c ColdBound) Share() float64 {
	if c.PerSecond <= 0 {
		return 0
	}
	burst, rate := c.plan()
	left := c.most() - burst - rate*(1+coldValidity.Seconds())
	return max(minColdShare, min(maxColdShare*rate, left/outOfTouchRatio))
}

// coldBucket is the leader's knowledge of an endpoint of a service with a bound, with the token bucket for the time in which it
// is cold.
type coldBucket struct {
	born        int64
	cold        bool
	burst, rate float64
	// tokens is the number of requests that may be permitted, as of refilledAt. It is negative while hosts may not know yet
	// that the server is cold.
	tokens     float64
	refilledAt time.Time
	// granted counts the permits since the server became cold.
	granted int
	// awaitedAt is when a request last waited for a permit, and listedAt when the server was last an endpoint.
	awaitedAt, listedAt time.Time
}

func (c *coldBucket) refill(now time.Time) {
	c.tokens = min(c.burst, c.tokens+c.rate*max(0, now.Sub(c.refilledAt)).Seconds())
	c.refilledAt = now
}

func (c *coldBucket) reserved(now time.Time) float64 {
	if now.Sub(c.awaitedAt) > unconfirmedAfter {
		return 0
	}
	return min(reservedTokens, c.burst-1)
}

// ColdChange is the begin or the end of a time in which a server is cold, for the log.
type ColdChange struct {
	Server string
	Born   int64
	Cold   bool
	Left   time.Duration
	// Rate is the number of requests per second for which permits are granted.
	Rate float64
	// Granted is the number of permits that were granted while it was cold.
	Granted int
	// WasWarm reports that hosts knew the server as warm until now.
	WasWarm bool
}

// SetEndpoints takes over which endpoints are cold, and returns what has changed. It is called before the entry hosts are told
// of the same endpoints. bound returns the bound of a service.
func (t *Allocator) SetEndpoints(now time.Time, list []wire.Endpoint, bound func(service string) ColdBound) []ColdChange {
	var changes []ColdChange
	for _, e := range list {
		limit := bound(e.Service)
		if limit.PerSecond <= 0 {
			delete(t.cold, e.ID)
			continue
		}
		c := t.cold[e.ID]
		isNew, wasCold := c == nil, c != nil && c.cold
		if isNew {
			c = &coldBucket{refilledAt: now}
			t.cold[e.ID] = c
		}
		restarted := c.born != e.Born
		c.born, c.cold, c.listedAt = e.Born, e.ColdMs > 0, now
		c.burst, c.rate = limit.plan()
		if c.cold && !wasCold {
			// A server that an earlier list lacks has no requests of hosts that don't know.
			c.tokens, c.refilledAt = 0, now
			if !isNew || !t.hasEndpoints {
				c.tokens = -c.rate * coldNotice.Seconds()
			}
		}
		if c.cold != wasCold || (c.cold && restarted) {
			changes = append(changes, ColdChange{
				Server: e.ID, Born: e.Born, Cold: c.cold, Left: time.Duration(e.ColdMs) * time.Millisecond, Rate: c.rate, Granted: c.granted, WasWarm: !isNew && !wasCold,
			})
			c.granted = 0
		}
	}
	t.hasEndpoints = true
	for id, c := range t.cold {
		if now.Sub(c.listedAt) > coldRetention {
			delete(t.cold, id)
		}
	}
	return changes
}

// coldServer is what an entry host knows of an endpoint of a service with a bound, with its permits.
type coldServer struct {
	born int64
	// share is the number of requests per second that all hosts without a leader send together.
	share float64
	// cold is what the leader last said; the server has stated to be cold until coldUntil.
	cold      bool
	coldUntil time.Time
	// permits holds when each permit expires, earliest first.
	permits []time.Time
	// credit is the part of the next permit that this host makes by itself, as of creditAt.
	credit   float64
	creditAt time.Time
}

// sentReport is when a usage report was sent.
type sentReport struct {
	sentAt int64
	at     time.Time
}

// recordSent remembers when a report was sent, by a clock that isn't stepped.
func (h *Holder) recordSent(now time.Time, sentAt int64) {
	if len(h.sent) >= maxReportsSent {
		h.sent = append(h.sent[:0], h.sent[1:]...)
	}
	h.sent = append(h.sent, sentReport{sentAt, now})
}

// sentAt returns when the report was sent that an update answers, or false if that isn't known any more.
func (h *Holder) sentAt(echo int64) (time.Time, bool) {
	for _, r := range h.sent {
		if r.sentAt == echo {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// applyEndpoints takes over from an update which servers are cold.
func (h *Holder) applyEndpoints(now time.Time, u wire.FleetUpdate) {
	if u.Full {
		listed := make(map[string]bool, len(u.Endpoints))
		for _, e := range u.Endpoints {
			listed[e.ID] = true
		}
		for id := range h.cold {
			if !listed[id] {
				delete(h.cold, id)
			}
		}
	}
	for _, id := range u.Removed {
		delete(h.cold, id)
	}
	for _, e := range u.Endpoints {
		if e.ColdShare <= 0 {
			delete(h.cold, e.ID)
			continue
		}
		c := h.cold[e.ID]
		if c == nil || c.born != e.Born {
			c = &coldServer{born: e.Born}
			h.cold[e.ID] = c
		}
		if cold := e.ColdMs > 0; cold != c.cold {
			c.cold, c.permits = cold, nil
		}
		c.share, c.coldUntil = e.ColdShare, now.Add(time.Duration(e.ColdMs)*time.Millisecond)
	}
}

// bounded returns a server for which a permit is needed since it is cold, or may be without this host's knowledge; nil if there is
// no such need.
func (h *Holder) bounded(now time.Time, server string, born int64) *coldServer {
	if len(h.cold) == 0 {
		return nil
	}
	if c := h.cold[server]; c != nil && c.born == born && (c.cold || h.isOutOfTouch(now)) {
		return c
	}
	return nil
}

func (h *Holder) isOutOfTouch(now time.Time) bool { return now.Sub(h.answeredAt) > coldLeaderTimeout }

// IsCold reports whether a server is known to be cold and takes requests with permits only.
func (h *Holder) IsCold(server string, born int64) bool {
	c := h.cold[server]
	return c != nil && c.born == born && c.cold
}

// MaySend reports whether a request for which Use returned expiry may still be sent.
func (h *Holder) MaySend(now time.Time, server string, born int64, expiry time.Time) bool {
	c := h.cold[server]
	switch {
	case c == nil:
		return true
	case c.born != born:
		// It has started again since.
		return false
	}
	return h.bounded(now, server, born) == nil || now.Before(expiry)
}

// refreshCold drops expired permits, and makes new ones while there is no leader to ask.
func (h *Holder) refreshCold(now time.Time, c *coldServer) {
	c.permits = dropExpired(now, c.permits)
	if !h.isOutOfTouch(now) || (c.cold && now.Before(c.coldUntil)) {
		return
	}
	if c.creditAt.Before(h.answeredAt.Add(coldLeaderTimeout)) {
		c.credit, c.creditAt = h.random.Float64(), now
	}
	elapsed := min(now.Sub(c.creditAt), permitValidity)
	c.credit += c.share / float64(h.entryHosts) * elapsed.Seconds()
	c.creditAt = now
	for ; c.credit >= 1; c.credit-- {
		c.permits = append(c.permits, now.Add(permitValidity))
	}
}

// dropExpired returns the permits that haven't expired.
func dropExpired(now time.Time, permits []time.Time) []time.Time {
	for len(permits) > 0 && !now.Before(permits[0]) {
		permits = permits[1:]
	}
	return permits
}

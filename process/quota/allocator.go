package quota

import (
	"math"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// Allocator is the leader's knowledge of servers' limits. It grants permits to the entry hosts.
type Allocator struct {
	limits map[string]*allocation
	// cold holds the endpoints of services that bound what cold servers get.
	cold map[string]*coldBucket
	// hasEndpoints reports whether a list of the endpoints has been taken over.
	hasEndpoints bool
	// revision increases when the hosts are to be told of changes; 0 is the revision of a host that has no list. Changes that
	// aren't urgent wait for nextRevision, since each host is sent the whole list.
	revision     uint64
	changed      bool
	nextRevision time.Time
	nextStep     time.Time
	changes      []Change
}

// allocation is one server's limit with its token bucket.
type allocation struct {
	born      int64
	perSecond float64
	// statedAt is when the latest response that states the limit arrived, endedAt when the request was sent whose response
	// states none any more; zero if there is none. The limit is in force if statedAt is later.
	statedAt, endedAt time.Time
	unconfirmed       bool
	// awaitedAt is when a request last waited for a permit.
	awaitedAt time.Time
	// tokens is the number of requests that may be permitted, as of refilledAt; never negative.
	tokens     float64
	refilledAt time.Time
}

// Change is a change of a limit, for the log.
type Change struct {
	Server    string
	Born      int64
	PerSecond float64
	Ended     bool
}

// NewAllocator returns an Allocator without limits.
func NewAllocator() *Allocator {
	return &Allocator{limits: map[string]*allocation{}, cold: map[string]*coldBucket{}, revision: 1}
}

func (a *allocation) inForce() bool { return a.statedAt.After(a.endedAt) }

func (a *allocation) burst() float64 { return baseBurst + a.perSecond*burstTime.Seconds() }

func (a *allocation) refill(now time.Time) {
	a.tokens = min(a.burst(), a.tokens+rateOf(a.perSecond)*max(0, now.Sub(a.refilledAt)).Seconds())
	a.refilledAt = now
}

// reserved returns the tokens that are left for requests that wait.
func (a *allocation) reserved(now time.Time) float64 {
	if a.unconfirmed && now.Sub(a.awaitedAt) > unconfirmedAfter {
		return 0
	}
	return reservedTokens
}

// Record records what an entry host reports.
func (t *Allocator) Record(now time.Time, list []wire.ServerLimit) {
	for _, l := range list {
		t.record(now, l)
	}
}

func (t *Allocator) record(now time.Time, l wire.ServerLimit) {
	at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	a := t.allocation(now, l)
	if a == nil {
		return
	}
	was, old := a.inForce(), a.perSecond
	switch {
	case l.Ended && at.After(a.endedAt):
		a.endedAt = at
	case !l.Ended && !at.Before(a.statedAt):
		a.refill(now)
		a.statedAt, a.perSecond = at, l.PerSecond
	}
	if a.inForce() == was && (a.perSecond == old || !was) {
		return
	}
	t.changed = true
	if a.inForce() != was || a.perSecond < old {
		t.revision++
	}
	t.changes = append(t.changes, Change{Server: l.ID, Born: l.Born, PerSecond: a.perSecond, Ended: !a.inForce()})
}

// allocation returns the bucket for the incarnation of a server in a report, or nil if the report is of no use.
func (t *Allocator) allocation(now time.Time, l wire.ServerLimit) *allocation {
	a := t.limits[l.ID]
	switch {
	case a != nil && l.Born == a.born:
		return a
	case l.Ended || (a != nil && l.Born < a.born) || (a == nil && len(t.limits) >= maxLimits):
		return nil
	}
	a = &allocation{born: l.Born, refilledAt: now}
	t.limits[l.ID] = a
	return a
}

// Step drops limits that nothing confirms, and marks those that no response has confirmed lately.
func (t *Allocator) Step(now time.Time) {
	if (len(t.limits) == 0 && !t.changed) || now.Before(t.nextStep) {
		return
	}
	t.nextStep = now.Add(unconfirmedAfter / 10)
	for id, a := range t.limits {
		if now.Sub(a.statedAt) > limitRetention && now.Sub(a.endedAt) > limitRetention {
			if a.inForce() {
				t.changes = append(t.changes, Change{Server: id, Born: a.born, Ended: true})
			}
			delete(t.limits, id)
			t.changed = true
			continue
		}
		if unconfirmed := a.inForce() && now.Sub(a.statedAt) > unconfirmedAfter; unconfirmed != a.unconfirmed {
			a.unconfirmed, t.changed = unconfirmed, true
		}
	}
	if t.changed && !now.Before(t.nextRevision) {
		t.changed, t.nextRevision = false, now.Add(listInterval)
		t.revision++
	}
}

// Changes returns the changes since it was last called.
func (t *Allocator) Changes() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// Revision returns the revision of List.
func (t *Allocator) Revision() uint64 { return t.revision }

// List returns the limits in force for the hosts, sorted.
func (t *Allocator) List(now time.Time) []wire.ServerLimit {
	var out []wire.ServerLimit
	for id, a := range t.limits {
		if a.inForce() {
			out = append(out, wire.ServerLimit{ID: id, Born: a.born, PerSecond: a.perSecond, AgeMs: now.Sub(a.statedAt).Milliseconds(), Unconfirmed: a.unconfirmed})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Grant answers an entry host's requests for permits. endpoint returns the endpoint with an ID, if it exists.
func (t *Allocator) Grant(now time.Time, requests []wire.PermitRequest, endpoint func(id string) (wire.Endpoint, bool)) []wire.PermitGrant {
	var out []wire.PermitGrant
	for _, r := range requests {
		g := wire.PermitGrant{Service: r.Service, Model: r.Model}
		pool := t.pool(now, r, endpoint)
		for range min(maxGrant, r.Waiting) {
			if !take(pool, &g, func(b *buckets) bool { return b.has(1) }) {
				break
			}
		}
		for range min(maxGrant, r.Ahead) {
			if !take(pool, &g, func(b *buckets) bool { return b.has(1 + b.reserved(now)) }) {
				break
			}
		}
		g.WaitMs = untilNextToken(pool).Milliseconds()
		out = append(out, g)
	}
	return out
}

// buckets are those of a server from which a permit takes a token: of its limit, of the time in which it is cold, or both.
type buckets struct {
	limit *allocation
	cold  *coldBucket
}

// tokens returns the number of requests that may be permitted.
func (b *buckets) tokens() float64 {
	n := math.Inf(1)
	if b.limit != nil {
		n = b.limit.tokens
	}
	if b.cold != nil {
		n = min(n, b.cold.tokens)
	}
	return n
}

func (b *buckets) has(n float64) bool { return b.tokens() >= n }

func (b *buckets) reserved(now time.Time) float64 {
	n := 0.0
	if b.limit != nil {
		n = b.limit.reserved(now)
	}
	if b.cold != nil {
		n = max(n, b.cold.reserved(now))
	}
	return n
}

func (b *buckets) take() {
	if b.limit != nil {
		b.limit.tokens--
	}
	if b.cold != nil {
		b.cold.tokens--
		b.cold.granted++
	}
}

// wait returns the time until a further request may be permitted.
func (b *buckets) wait() time.Duration {
	wait := time.Duration(0)
	if b.limit != nil {
		wait = refillTime(1-b.limit.tokens, b.limit.perSecond)
	}
	if b.cold != nil {
		wait = max(wait, refillTime(1-b.cold.tokens, b.cold.rate))
	}
	return wait
}

func refillTime(tokens, perSecond float64) time.Duration {
	return time.Duration(max(0, tokens) / rateOf(perSecond) * float64(time.Second))
}

// pool returns the buckets, refilled, of the servers for which permits are asked.
func (t *Allocator) pool(now time.Time, r wire.PermitRequest, endpoint func(id string) (wire.Endpoint, bool)) map[string]*buckets {
	pool := map[string]*buckets{}
	of := func(id string, born int64) *buckets {
		e, known := endpoint(id)
		if !known || e.Born != born || e.Service != r.Service || e.Model != r.Model {
			return nil
		}
		if pool[id] == nil {
			pool[id] = &buckets{}
		}
		return pool[id]
	}
	for id, a := range t.limits {
		if !a.inForce() {
			continue
		}
		if b := of(id, a.born); b != nil {
			a.refill(now)
			if r.Waiting > 0 {
				a.awaitedAt = now
			}
			b.limit = a
		}
	}
	for id, c := range t.cold {
		if !c.cold {
			continue
		}
		if b := of(id, c.born); b != nil {
			c.refill(now)
			if r.Waiting > 0 {
				c.awaitedAt = now
			}
			b.cold = c
		}
	}
	return pool
}

// take takes a token of the server with the most tokens among those that allow it, and reports whether there is one.
func take(pool map[string]*buckets, g *wire.PermitGrant, allows func(b *buckets) bool) bool {
	best := ""
	for id, b := range pool {
		if allows(b) && (best == "" || b.tokens() > pool[best].tokens()) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	pool[best].take()
	g.Servers = append(g.Servers, best)
	return true
}

// untilNextToken returns the time until a server can take a further request, rounded up to a millisecond.
func untilNextToken(pool map[string]*buckets) time.Duration {
	shortest := time.Duration(-1)
	for _, b := range pool {
		if wait := b.wait(); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest+time.Millisecond-1).Truncate(time.Millisecond)
}

// Package admission decides which requests wait, run or are refused at one entry host. It is pure.
package admission

import (
	"math"
	"sort"
	"time"
)

// Policy selects the next request.
type Policy int

// Policies.
const (
	// FirstCome runs requests in the order of their arrival and refuses only what has become impossible.
	FirstCome Policy = iota
	// EarliestDeadline runs the request with the earliest deadline.
	EarliestDeadline
	// FairDeadline shares capacity among organisations by weight, and runs the earliest deadline of each.
	FairDeadline
)

// String returns the policy's name.
func (o Policy) String() string {
	return [...]string{"firstCome", "deadline", "fairDeadline"}[o]
}

const (
	// serviceSmoothing is the weight of the newest request in running averages.
	serviceSmoothing = 0.05
	minRetryAfter    = 100 * time.Millisecond
	// burst is how many requests, for each unit of share, an organisation that has used less than its
	// share may run ahead of others.
	burst = 6.0
	// rememberedBursts is for how many bursts' worth of virtual time an idle organisation is remembered.
	rememberedBursts = 3
	// reservePart is the inverse of the part of the slots that is kept free of organisations above their share.
	reservePart = 20
)

// Item is one request that waits.
type Item struct {
	ID           string
	Organisation string
	// Deadline is when the first token must be there.
	Deadline time.Time
	// Arrival orders requests that are otherwise equal.
	Arrival time.Time
	index   int
	order   uint64
	// cost is the expected time in a slot, in seconds.
	cost float64
}

// Decision is the answer to an offered request.
type Decision struct {
	Refused bool
	// RetryAfter tells a refused caller when coming back helps.
	RetryAfter time.Duration
}

// Queue holds the requests that wait for one model or service at one entry host.
type Queue struct {
	order   Policy
	shares  map[string]float64
	tenants map[string]*tenant
	waiting int
	nextID  uint64
	// virtual is the virtual time of fair sharing; it only grows.
	virtual float64
	// slots is the number of requests that this entry host may run at once.
	slots int
	// service and first are the running averages of time in a slot and until the first token.
	service time.Duration
	first   time.Duration
}

// tenant is one organisation's waiting requests.
type tenant struct {
	items itemHeap
	// finish is the virtual time at which the organisation has used up its share so far.
	finish float64
}

// Option sets an optional part of a Queue.
type Option func(*Queue)

// WithShares sets the weights of organisations; others weigh 1.
func WithShares(shares map[string]float64) Option {
	return func(q *Queue) { q.shares = shares }
}

// WithInitialEstimates sets the first guesses of the time in a slot and of the time to the first token.
func WithInitialEstimates(service, first time.Duration) Option {
	return func(q *Queue) { q.service, q.first = service, first }
}

// NewQueue returns an empty queue.
func NewQueue(order Policy, opts ...Option) *Queue {
	q := &Queue{order: order, tenants: map[string]*tenant{}, service: time.Second, first: 100 * time.Millisecond, slots: 1}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetSlots tells how many requests this entry host may run at once.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 0) }

// SetShares replaces the weights of organisations.
func (q *Queue) SetShares(shares map[string]float64) { q.shares = shares }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// RecordCompletion learns from a request that ran: its time in the slot and until its first token.
func (q *Queue) RecordCompletion(service, first time.Duration) {
	q.service = smooth(q.service, service)
	if first > 0 {
		q.first = smooth(q.first, first)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(serviceSmoothing*float64(sample-old))
}

func (q *Queue) share(organisation string) float64 {
	if s, known := q.shares[organisation]; known && s > 0 {
		return s
	}
	return 1
}

// Admit takes a request in, or refuses it if its deadline can't be met. running is the number of
// requests that this entry host has in flight.
func (q *Queue) Admit(now time.Time, running int, item Item) Decision {
	wait := q.predict(running, item)
	if q.order != FirstCome && now.Add(wait+q.first).After(item.Deadline) {
		return Decision{Refused: true, RetryAfter: max(minRetryAfter, now.Add(wait+q.first).Sub(item.Deadline))}
	}
	if now.Add(q.first).After(item.Deadline) {
		return Decision{Refused: true, RetryAfter: max(minRetryAfter, wait)}
	}
	q.nextID++
	item.order, item.cost = q.nextID, q.service.Seconds()
	q.push(item)
	return Decision{}
}

// predict returns how long a request would wait for a slot.
func (q *Queue) predict(running int, item Item) time.Duration {
	if q.slots == 0 {
		return q.service
	}
	ahead := q.ahead(item)
	free := q.slots - running
	if ahead < float64(free) {
		return 0
	}
	return time.Duration((ahead - float64(free) + 1) / float64(q.slots) * float64(q.service))
}

// ahead returns how many waiting requests run before the item, counted in whole requests.
func (q *Queue) ahead(item Item) float64 {
	switch q.order {
	case FirstCome:
		return float64(q.waiting)
	case EarliestDeadline:
		n := 0
		for _, t := range q.tenants {
			n += t.items.before(item.Deadline)
		}
		return float64(n)
	}
	return q.fairAhead(item)
}

// fairAhead counts the organisation's own earlier requests, and those of others whose turn by virtual
// time comes before the item's.
func (q *Queue) fairAhead(item Item) float64 {
	cost := q.service.Seconds()
	own, start := 0, q.idleStart()
	if t := q.tenants[item.Organisation]; t != nil {
		own, start = t.items.before(item.Deadline), t.finish
		if len(t.items.items) == 0 {
			start = max(start, q.idleStart())
		}
	}
	turn := start + float64(own)*cost/q.share(item.Organisation)
	total := float64(own)
	for name, t := range q.tenants {
		if name == item.Organisation || len(t.items.items) == 0 || t.finish > turn {
			continue
		}
		turns := math.Floor((turn-t.finish)*q.share(name)/cost) + 1
		total += min(float64(len(t.items.items)), turns)
	}
	return total
}

// idleStart is the virtual time at which an organisation that was idle begins to be charged.
func (q *Queue) idleStart() float64 { return q.virtual - burst*q.service.Seconds() }

func (q *Queue) push(item Item) {
	t := q.tenants[item.Organisation]
	if t == nil {
		t = &tenant{}
		q.tenants[item.Organisation] = t
	}
	if len(t.items.items) == 0 {
		t.finish = max(t.finish, q.idleStart())
	}
	if q.order == FirstCome {
		t.items.firstCome = true
	}
	t.items.push(&item)
	q.waiting++
}

// Next removes and returns the request to run now, while running requests are in flight. In the fair
// order, the last free slots are kept for organisations that have used less than their share.
func (q *Queue) Next(running int) (Item, bool) {
	t, name := q.choose()
	if t == nil || q.reserved(t, running) {
		return Item{}, false
	}
	item := t.items.pop()
	q.waiting--
	q.virtual = max(q.virtual, t.finish)
	t.finish += item.cost / q.share(name)
	q.forget(name, t)
	return *item, true
}

// reserved tells whether the free slots are kept from an organisation: it has used up its share, and
// one that has not was active so recently that it may come back at any moment.
func (q *Queue) reserved(t *tenant, running int) bool {
	if q.order != FairDeadline || t.finish < q.virtual || q.slots-running > q.slots/reservePart {
		return false
	}
	for _, other := range q.tenants {
		if other != t && len(other.items.items) == 0 && other.finish < q.virtual {
			return true
		}
	}
	return false
}

// forget drops an idle organisation whose past use no longer counts against it.
func (q *Queue) forget(name string, t *tenant) {
	if len(t.items.items) == 0 && t.finish <= q.virtual-rememberedBursts*burst*q.service.Seconds() {
		delete(q.tenants, name)
	}
}

func (q *Queue) choose() (*tenant, string) {
	var best *tenant
	bestName := ""
	for name, t := range q.tenants {
		if len(t.items.items) == 0 {
			continue
		}
		if best == nil || q.earlier(t, name, best, bestName) {
			best, bestName = t, name
		}
	}
	return best, bestName
}

func (q *Queue) earlier(a *tenant, aName string, b *tenant, bName string) bool {
	if q.order == FairDeadline && a.finish != b.finish {
		return a.finish < b.finish
	}
	x, y := a.items.items[0], b.items.items[0]
	if q.order == FirstCome {
		return x.order < y.order
	}
	if !x.Deadline.Equal(y.Deadline) {
		return x.Deadline.Before(y.Deadline)
	}
	return aName < bName
}

// Expire removes and returns every request that can't meet its deadline even if it ran now.
func (q *Queue) Expire(now time.Time) []Item {
	var gone []Item
	for name, t := range q.tenants {
		for _, item := range t.items.expired(now.Add(q.first)) {
			q.waiting--
			gone = append(gone, *item)
		}
		q.forget(name, t)
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].order < gone[j].order })
	return gone
}

// Backlog returns how long the waiting requests will take.
func (q *Queue) Backlog() time.Duration {
	if q.slots == 0 {
		return q.service
	}
	return time.Duration(float64(q.waiting) / float64(q.slots) * float64(q.service))
}

// Requeue returns a request as Next gave it out, because it could not run, and takes back its charge.
func (q *Queue) Requeue(item Item) {
	q.push(item)
	q.tenants[item.Organisation].finish -= item.cost / q.share(item.Organisation)
}

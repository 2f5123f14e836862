// Package admission decides which requests are queued, run or rejected at one entry host. It does no I/O.
package admission

import (
	"math"
	"sort"
	"time"
)

// Policy is a scheduling policy: it decides in which order queued requests run.
type Policy int

// Policies.
const (
	// FirstComeFirstServed runs requests in the order of their arrival and rejects only those that can't meet their
	// deadline even if they run at once.
	FirstComeFirstServed Policy = iota
	// EarliestDeadline runs the request with the earliest deadline.
	EarliestDeadline
	// FairDeadline divides the capacity among organisations by weight, and runs the request with the earliest deadline
	// of each.
	FairDeadline
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"firstCome", "deadline", "fairDeadline"}[p]
}

const (
	// smoothingFactor is the weight of the newest request in moving averages.
	smoothingFactor = 0.05
	minRetryAfter   = 100 * time.Millisecond
	// burst is the number of requests, per unit of weight, that an organisation that has used less than its fair share
	// may run ahead of others.
	burst = 6.0
	// retentionBursts is how long the state of an idle organisation is kept in virtual time, as a multiple of burst x
	// service time.
	retentionBursts = 3
	// reserveDivisor sets the reserve: 1/reserveDivisor of the slots is reserved for organisations below their fair share.
	reserveDivisor = 20
)

// Item is a queued request.
type Item struct {
	ID           string
	Organisation string
	// Deadline is the time by which the first token must arrive.
	Deadline time.Time
	Arrival  time.Time
	// index is the position in the heap.
	index int
	// sequence is the sequence number of admission; it orders requests that are otherwise equal.
	sequence uint64
	// cost is the expected time in a slot, in seconds, at admission.
	cost float64
}

// Decision is the result of Admit.
type Decision struct {
	Rejected bool
	// RetryAfter is the time after which a retry of a rejected request may succeed.
	RetryAfter time.Duration
}

// Queue holds the waiting requests for one model or service at one entry host.
type Queue struct {
	policy        Policy
	weights       map[string]float64
	organisations map[string]*organisation
	waiting       int
	// lastSequence is the sequence number of the request admitted last.
	lastSequence uint64
	// virtualTime is the virtual time of weighted fair queueing, in seconds of slot time per unit of weight; it never
	// decreases.
	virtualTime float64
	// slots is the number of requests that this entry host may have in flight.
	slots int
	// serviceTime and firstTokenTime are the moving averages of the time in a slot and of the time to the first token.
	serviceTime    time.Duration
	firstTokenTime time.Duration
}

// organisation is the state of one organisation.
type organisation struct {
	items itemHeap
	// finish is the virtual finish time of the organisation's latest request that ran.
	finish float64
}

// Option sets an optional part of a Queue.
type Option func(*Queue)

// WithWeights sets the weights of organisations; the weight of others is 1.
func WithWeights(weights map[string]float64) Option {
	return func(q *Queue) { q.weights = weights }
}

// WithInitialEstimates sets the initial estimates of the time in a slot and of the time to the first token.
func WithInitialEstimates(serviceTime, firstTokenTime time.Duration) Option {
	return func(q *Queue) { q.serviceTime, q.firstTokenTime = serviceTime, firstTokenTime }
}

// NewQueue returns an empty queue.
func NewQueue(policy Policy, opts ...Option) *Queue {
	q := &Queue{policy: policy, organisations: map[string]*organisation{}, serviceTime: time.Second, firstTokenTime: 100 * time.Millisecond, slots: 1}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetSlots sets how many requests this entry host may have in flight; a negative n counts as 0.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 0) }

// SetWeights replaces the weights of organisations.
func (q *Queue) SetWeights(weights map[string]float64) { q.weights = weights }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// RecordCompletion updates the estimates with a request that ran: its time in the slot and its time to the first token,
// or 0 if it had none.
func (q *Queue) RecordCompletion(serviceTime, firstTokenTime time.Duration) {
	q.serviceTime = smooth(q.serviceTime, serviceTime)
	if firstTokenTime > 0 {
		q.firstTokenTime = smooth(q.firstTokenTime, firstTokenTime)
	}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(sample-old))
}

func (q *Queue) weight(organisation string) float64 {
	if w, known := q.weights[organisation]; known && w > 0 {
		return w
	}
	return 1
}

// Admit queues a request, or rejects it if its deadline can't be met. running is the number of requests that this entry
// host has in flight.
func (q *Queue) Admit(now time.Time, running int, item Item) Decision {
	wait := q.predictWait(running, item)
	if q.policy != FirstComeFirstServed && now.Add(wait+q.firstTokenTime).After(item.Deadline) {
		return Decision{Rejected: true, RetryAfter: max(minRetryAfter, now.Add(wait+q.firstTokenTime).Sub(item.Deadline))}
	}
	if now.Add(q.firstTokenTime).After(item.Deadline) {
		return Decision{Rejected: true, RetryAfter: max(minRetryAfter, wait)}
	}
	q.lastSequence++
	item.sequence, item.cost = q.lastSequence, q.serviceTime.Seconds()
	q.push(item)
	return Decision{}
}

// predictWait predicts how long a request would wait for a slot.
func (q *Queue) predictWait(running int, item Item) time.Duration {
	if q.slots == 0 {
		return q.serviceTime
	}
	ahead := q.ahead(item)
	free := q.slots - running
	if ahead < float64(free) {
		return 0
	}
	return time.Duration((ahead - float64(free) + 1) / float64(q.slots) * float64(q.serviceTime))
}

// ahead returns the number of waiting requests that would run before the item.
func (q *Queue) ahead(item Item) float64 {
	switch q.policy {
	case FirstComeFirstServed:
		return float64(q.waiting)
	case EarliestDeadline:
		n := 0
		for _, t := range q.organisations {
			n += t.items.countUntil(item.Deadline)
		}
		return float64(n)
	}
	return q.fairAhead(item)
}

// fairAhead returns the number of the organisation's own requests with an earlier deadline, plus those of other
// organisations whose virtual start time is not after the item's.
func (q *Queue) fairAhead(item Item) float64 {
	cost := q.serviceTime.Seconds()
	ownAhead, start := 0, q.idleStart()
	if t := q.organisations[item.Organisation]; t != nil {
		ownAhead, start = t.items.countUntil(item.Deadline), t.finish
		if len(t.items.items) == 0 {
			start = max(start, q.idleStart())
		}
	}
	virtualStart := start + float64(ownAhead)*cost/q.weight(item.Organisation)
	total := float64(ownAhead)
	for name, t := range q.organisations {
		if name == item.Organisation || len(t.items.items) == 0 || t.finish > virtualStart {
			continue
		}
		count := math.Floor((virtualStart-t.finish)*q.weight(name)/cost) + 1
		total += min(float64(len(t.items.items)), count)
	}
	return total
}

// idleStart returns the virtual time from which an organisation that was idle is charged.
func (q *Queue) idleStart() float64 { return q.virtualTime - burst*q.serviceTime.Seconds() }

func (q *Queue) push(item Item) {
	t := q.organisations[item.Organisation]
	if t == nil {
		t = &organisation{}
		q.organisations[item.Organisation] = t
	}
	if len(t.items.items) == 0 {
		t.finish = max(t.finish, q.idleStart())
	}
	if q.policy == FirstComeFirstServed {
		t.items.firstCome = true
	}
	t.items.push(&item)
	q.waiting++
}

// Next removes and returns the request to run now; running is the number of requests in flight. With FairDeadline, the
// last free slots are reserved for organisations that have used less than their fair share.
func (q *Queue) Next(running int) (Item, bool) {
	t, name := q.choose()
	if t == nil || q.isReserved(t, running) {
		return Item{}, false
	}
	item := t.items.pop()
	q.waiting--
	q.virtualTime = max(q.virtualTime, t.finish)
	t.finish += item.cost / q.weight(name)
	q.dropIdle(name, t)
	return *item, true
}

// isReserved reports whether the last free slots are reserved for organisations other than t: t has used its fair
// share, and another that has not used its own was active recently. That one is idle now, but its next request
// may arrive at any moment.
func (q *Queue) isReserved(t *organisation, running int) bool {
	if q.policy != FairDeadline || t.finish < q.virtualTime || q.slots-running > q.slots/reserveDivisor {
		return false
	}
	for _, other := range q.organisations {
		if other != t && len(other.items.items) == 0 && other.finish < q.virtualTime {
			return true
		}
	}
	return false
}

// dropIdle deletes an idle organisation whose past use no longer counts against it.
func (q *Queue) dropIdle(name string, t *organisation) {
	if len(t.items.items) == 0 && t.finish <= q.virtualTime-retentionBursts*burst*q.serviceTime.Seconds() {
		delete(q.organisations, name)
	}
}

// choose returns the organisation whose request runs next, and its name; nil if none waits.
func (q *Queue) choose() (*organisation, string) {
	var best *organisation
	bestName := ""
	for name, t := range q.organisations {
		if len(t.items.items) == 0 {
			continue
		}
		if best == nil || q.runsEarlier(t, name, best, bestName) {
			best, bestName = t, name
		}
	}
	return best, bestName
}

func (q *Queue) runsEarlier(a *organisation, aName string, b *organisation, bName string) bool {
	if q.policy == FairDeadline && a.finish != b.finish {
		return a.finish < b.finish
	}
	x, y := a.items.items[0], b.items.items[0]
	if q.policy == FirstComeFirstServed {
		return x.sequence < y.sequence
	}
	if !x.Deadline.Equal(y.Deadline) {
		return x.Deadline.Before(y.Deadline)
	}
	return aName < bName
}

// Expire removes and returns every request that can't meet its deadline even if it runs now, in order of admission.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	for name, t := range q.organisations {
		for _, item := range t.items.removeExpired(now.Add(q.firstTokenTime)) {
			q.waiting--
			expired = append(expired, *item)
		}
		q.dropIdle(name, t)
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].sequence < expired[j].sequence })
	return expired
}

// Remove removes a waiting request of an organisation, and reports whether it was waiting.
func (q *Queue) Remove(organisation, id string) bool {
	t := q.organisations[organisation]
	if t == nil || !t.items.removeID(id) {
		return false
	}
	q.waiting--
	q.dropIdle(organisation, t)
	return true
}

// Backlog returns the expected time to run all waiting requests.
func (q *Queue) Backlog() time.Duration {
	if q.slots == 0 {
		return q.serviceTime
	}
	return time.Duration(float64(q.waiting) / float64(q.slots) * float64(q.serviceTime))
}

// Requeue puts back a request that Next returned but that could not run, and refunds its cost to the organisation.
func (q *Queue) Requeue(item Item) {
	q.push(item)
	q.organisations[item.Organisation].finish -= item.cost / q.weight(item.Organisation)
}

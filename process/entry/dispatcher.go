package entry

import (
	"context"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/admission"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/version/settings"
)

const (
	dispatchQueueSize = 8192
	dispatchBatch     = 256
	expiryInterval    = 5 * time.Millisecond
	// groupRetryAfter is the Retry-After while no complete group serves.
	groupRetryAfter = 2 * time.Second
)

// event is an entry of the dispatcher's queue.
type event interface{ isEvent() }

type (
	// submitEvent submits a request to admission; the decision is sent to done.
	submitEvent struct {
		request *savorywing.Request
		exclude map[string]bool
		done    chan<- decision
	}
	// cancelEvent withdraws a request that waits for its decision.
	cancelEvent struct{ request *savorywing.Request }
	// finishedEvent returns the grant of a finished attempt; observed is set if its times are to be recorded.
	finishedEvent struct {
		queue       string
		candidateID string
		serviceTime time.Duration
		firstToken  time.Duration
		interToken  time.Duration
		observed    bool
	}
)

func (submitEvent) isEvent()   {}
func (cancelEvent) isEvent()   {}
func (finishedEvent) isEvent() {}

// decision is a grant, or the error with which the request is rejected.
type decision struct {
	grant grant
	err   *savorywing.RequestError
}

// dispatcher queues, grants and rejects the requests of one entry host. Only the goroutine of run uses its queues.
type dispatcher struct {
	clock    savorywing.Clock
	registry *registry.Registry
	events   *queue.Queue[event]
	queues   map[string]*requestQueue
	seed     uint64
	// weights are the weights of the organisations in weightsFrom.
	weightsFrom *settings.Settings
	weights     map[string]float64
	// hostIndex returns this host's index among the entry hosts that are up, and their number.
	hostIndex func() hostIndex
}

func newDispatcher(clock savorywing.Clock, r *registry.Registry, seed uint64) *dispatcher {
	return &dispatcher{clock: clock, registry: r, events: queue.New[event](dispatchQueueSize), queues: map[string]*requestQueue{}, seed: seed,
		hostIndex: func() hostIndex { return hostIndex{index: 0, hosts: 1} },
	}
}

func (d *dispatcher) run(ctx context.Context) {
	// timer is nil while no request waits.
	var timer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-d.events.Out():
			for _, e := range d.events.Drain(first, dispatchBatch) {
				d.handle(e)
			}
		case <-timer:
			timer = nil
			d.tick()
		}
		if timer == nil && d.hasWaiting() {
			timer = d.clock.After(expiryInterval)
		}
	}
}

func (d *dispatcher) hasWaiting() bool {
	for _, q := range d.queues {
		if q.admission.Len() > 0 {
			return true
		}
	}
	return false
}

func (d *dispatcher) handle(e event) {
	switch e := e.(type) {
	case submitEvent:
		d.submit(e)
	case cancelEvent:
		d.withdraw(e.request)
	case finishedEvent:
		d.finish(e)
	}
}

func (d *dispatcher) queueOf(r *savorywing.Request) *requestQueue {
	name := r.Queue()
	q := d.queues[name]
	if q == nil {
		q = newRequestQueue(d.organisationWeights(), d.seed)
		d.queues[name] = q
	}
	return q
}

// organisationWeights returns the weights of organisations. They are collected again only after a change of the
// configuration.
func (d *dispatcher) organisationWeights() map[string]float64 {
	s := d.registry.Settings()
	if s == d.weightsFrom {
		return d.weights
	}
	d.weightsFrom, d.weights = s, make(map[string]float64, len(s.Organisations))
	for name, o := range s.Organisations {
		d.weights[name] = o.Weight
	}
	return d.weights
}

func (d *dispatcher) candidates(r *savorywing.Request) []registry.Candidate {
	if r.Service != "" {
		return d.registry.ServiceCandidates(r.Service)
	}
	return d.registry.GroupCandidates(r.Model)
}

func (d *dispatcher) maxGroupRequests() int { return d.registry.Settings().Limits.MaxGroupRequests }

// submit grants at once, queues or rejects a request.
func (d *dispatcher) submit(e submitEvent) {
	q := d.queueOf(e.request)
	q.admission.SetWeights(d.organisationWeights())
	candidates := d.candidates(e.request)
	now := d.clock.Now()
	q.admission.SetSlots(q.slots(now, candidates, d.hostIndex(), d.maxGroupRequests()))
	if !anyUntried(candidates, e.exclude) {
		e.done <- decision{err: noCandidateError()}
		return
	}
	item := admission.Item{
		ID: string(e.request.ID), Organisation: e.request.Organisation, Deadline: e.request.FirstTokenDeadline(), Arrival: e.request.Arrival,
	}
	if v := q.admission.Admit(now, q.running, item); v.Rejected {
		e.done <- decision{err: deadlineError(v.RetryAfter)}
		return
	}
	q.waiting[item.ID] = e
	d.dispatch(q)
}

// withdraw rejects a request if it still waits.
func (d *dispatcher) withdraw(r *savorywing.Request) {
	q := d.queues[r.Queue()]
	if q == nil || !q.admission.Remove(r.Organisation, string(r.ID)) {
		return
	}
	submitted := q.waiting[string(r.ID)]
	delete(q.waiting, string(r.ID))
	submitted.done <- decision{err: savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable, "the request was withdrawn")}
}

// anyUntried reports whether there is a candidate that has not failed this request.
func anyUntried(candidates []registry.Candidate, exclude map[string]bool) bool {
	for _, c := range candidates {
		if !exclude[c.ID] {
			return true
		}
	}
	return false
}

func noCandidateError() *savorywing.RequestError {
	return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable,
		"no whole group serves this now", savorywing.WithRetryAfter(groupRetryAfter))
}

func deadlineError(retryAfter time.Duration) *savorywing.RequestError {
	return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable,
		"the answer would come later than the caller can wait", savorywing.WithRetryAfter(retryAfter))
}

// dispatch grants slots to waiting requests as long as there are free ones.
func (d *dispatcher) dispatch(q *requestQueue) {
	host, maxRequests := d.hostIndex(), d.maxGroupRequests()
	var blocked []admission.Item
	for q.admission.Len() > 0 {
		item, ok := q.admission.Next(q.running)
		if !ok {
			break
		}
		submitted := q.waiting[item.ID]
		candidates := d.candidates(submitted.request)
		if !anyUntried(candidates, submitted.exclude) {
			delete(q.waiting, item.ID)
			submitted.done <- decision{err: noCandidateError()}
			continue
		}
		available := q.available(d.clock.Now(), candidates, host, maxRequests, submitted.exclude)
		if len(available) == 0 {
			blocked = append(blocked, item)
			if len(submitted.exclude) == 0 {
				break
			}
			continue
		}
		d.grant(q, submitted, q.pick(available, submitted.request.PrefixDigest))
	}
	for _, item := range blocked {
		q.admission.Requeue(item)
	}
}

func (d *dispatcher) grant(q *requestQueue, submitted submitEvent, c registry.Candidate) {
	now := d.clock.Now()
	q.recordStart(now, c.ID)
	delete(q.waiting, string(submitted.request.ID))
	submitted.done <- decision{grant: grant{candidate: c, grantedAt: now}}
}

func (d *dispatcher) finish(e finishedEvent) {
	q := d.queues[e.queue]
	if q == nil {
		return
	}
	q.recordEnd(e.candidateID)
	if e.observed {
		q.admission.RecordCompletion(e.serviceTime, e.firstToken)
	}
	if e.interToken > 0 {
		q.detector.Observe(d.clock.Now(), e.candidateID, e.interToken)
	}
	d.dispatch(q)
}

// tick rejects requests whose deadline can't be met any more, and grants slots that have become free.
func (d *dispatcher) tick() {
	for _, q := range d.queues {
		if q.admission.Len() == 0 {
			continue
		}
		retryAfter := q.admission.Backlog()
		for _, item := range q.admission.Expire(d.clock.Now()) {
			submitted := q.waiting[item.ID]
			delete(q.waiting, item.ID)
			submitted.done <- decision{err: deadlineError(max(retryAfter, expiryInterval))}
		}
		d.dispatch(q)
	}
}

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
	dispatchRing  = 8192
	dispatchBatch = 256
	expireEvery   = 5 * time.Millisecond
	// wholeGroupRetry is when coming back helps while no whole group serves.
	wholeGroupRetry = 2 * time.Second
)

// event is what the dispatcher's thread takes from its queue.
type event interface{ isEvent() }

type (
	// offerEvent asks for a grant.
	offerEvent struct {
		request *savorywing.Request
		exclude map[string]bool
		done    chan<- decision
	}
	// finishedEvent gives a grant back.
	finishedEvent struct {
		lane     string
		id       string
		service  time.Duration
		first    time.Duration
		between  time.Duration
		observed bool
	}
)

func (offerEvent) isEvent()    {}
func (finishedEvent) isEvent() {}

// decision is a grant or a refusal.
type decision struct {
	grant   grant
	refusal *savorywing.RequestError
}

// dispatcher decides for all lanes of one entry host on a thread of its own.
type dispatcher struct {
	clock    savorywing.Clock
	registry *registry.Registry
	events   *queue.Queue[event]
	lanes    map[string]*lane
	seed     uint64
	// sharesNow are the weights of organisations in sharesFrom.
	sharesFrom *settings.Settings
	sharesNow  map[string]float64
	// place tells this host's place among the entry hosts that are up.
	place func() place
}

func newDispatcher(clock savorywing.Clock, r *registry.Registry, seed uint64) *dispatcher {
	return &dispatcher{clock: clock, registry: r, events: queue.New[event](dispatchRing), lanes: map[string]*lane{}, seed: seed,
		place: func() place { return place{index: 0, hosts: 1} },
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
		if timer == nil && d.anyWaits() {
			timer = d.clock.After(expireEvery)
		}
	}
}

func (d *dispatcher) anyWaits() bool {
	for _, l := range d.lanes {
		if l.queue.Len() > 0 {
			return true
		}
	}
	return false
}

func (d *dispatcher) handle(e event) {
	switch e := e.(type) {
	case offerEvent:
		d.offer(e)
	case finishedEvent:
		d.finished(e)
	}
}

func (d *dispatcher) lane(r *savorywing.Request) *lane {
	name := r.Queue()
	l := d.lanes[name]
	if l == nil {
		l = newLane(d.shares(), d.seed)
		d.lanes[name] = l
	}
	return l
}

// shares returns the weights of organisations; they are gathered anew only with a new configuration.
func (d *dispatcher) shares() map[string]float64 {
	s := d.registry.Settings()
	if s == d.sharesFrom {
		return d.sharesNow
	}
	d.sharesFrom, d.sharesNow = s, make(map[string]float64, len(s.Organisations))
	for name, o := range s.Organisations {
		d.sharesNow[name] = o.Weight
	}
	return d.sharesNow
}

func (d *dispatcher) candidates(r *savorywing.Request) []registry.Candidate {
	if r.Service != "" {
		return d.registry.ServiceCandidates(r.Service)
	}
	return d.registry.GroupCandidates(r.Model)
}

func (d *dispatcher) groupRequests() int { return d.registry.Settings().Limits.MaxGroupRequests }

// offer grants at once, queues, or refuses.
func (d *dispatcher) offer(e offerEvent) {
	l := d.lane(e.request)
	l.queue.SetShares(d.shares())
	candidates := d.candidates(e.request)
	now := d.clock.Now()
	l.queue.SetSlots(l.slots(now, candidates, d.place(), d.groupRequests()))
	if !anyLeft(candidates, e.exclude) {
		e.done <- decision{refusal: noneLeft()}
		return
	}
	item := admission.Item{
		ID: string(e.request.ID), Organisation: e.request.Organisation, Deadline: e.request.FirstTokenDeadline(), Arrival: e.request.Arrival,
	}
	if v := l.queue.Admit(now, l.running, item); v.Refused {
		e.done <- decision{refusal: tooLate(v.RetryAfter)}
		return
	}
	l.waiting[item.ID] = e
	d.pump(l)
}

// anyLeft tells whether there is a candidate that has not failed this request.
func anyLeft(candidates []registry.Candidate, exclude map[string]bool) bool {
	for _, c := range candidates {
		if !exclude[c.ID] {
			return true
		}
	}
	return false
}

func noneLeft() *savorywing.RequestError {
	return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable,
		"no whole group serves this now", savorywing.WithRetryAfter(wholeGroupRetry))
}

func tooLate(retryAfter time.Duration) *savorywing.RequestError {
	return savorywing.NewRequestError(savorywing.CodeNotRun, statusUnavailable,
		"the answer would come later than the caller can wait", savorywing.WithRetryAfter(retryAfter))
}

// pump grants to waiting requests while there is room.
func (d *dispatcher) pump(l *lane) {
	p, most := d.place(), d.groupRequests()
	var blocked []admission.Item
	for l.queue.Len() > 0 {
		item, ok := l.queue.Next(l.running)
		if !ok {
			break
		}
		w := l.waiting[item.ID]
		candidates := d.candidates(w.request)
		if !anyLeft(candidates, w.exclude) {
			delete(l.waiting, item.ID)
			w.done <- decision{refusal: noneLeft()}
			continue
		}
		free := l.room(d.clock.Now(), candidates, p, most, w.exclude)
		if len(free) == 0 {
			blocked = append(blocked, item)
			if len(w.exclude) == 0 {
				break
			}
			continue
		}
		d.grant(l, w, l.pick(free, w.request.PrefixDigest))
	}
	for _, item := range blocked {
		l.queue.Requeue(item)
	}
}

func (d *dispatcher) grant(l *lane, w offerEvent, c registry.Candidate) {
	now := d.clock.Now()
	l.begin(now, c.ID)
	delete(l.waiting, string(w.request.ID))
	w.done <- decision{grant: grant{candidate: c, grantedAt: now}}
}

func (d *dispatcher) finished(e finishedEvent) {
	l := d.lanes[e.lane]
	if l == nil {
		return
	}
	l.end(e.id)
	if e.observed {
		l.queue.RecordCompletion(e.service, e.first)
	}
	if e.between > 0 {
		l.detector.Observe(d.clock.Now(), e.id, e.between)
	}
	d.pump(l)
}

// tick refuses what has become impossible and uses new room.
func (d *dispatcher) tick() {
	for _, l := range d.lanes {
		if l.queue.Len() == 0 {
			continue
		}
		retryAfter := l.queue.Backlog()
		for _, item := range l.queue.Expire(d.clock.Now()) {
			w := l.waiting[item.ID]
			delete(l.waiting, item.ID)
			w.done <- decision{refusal: tooLate(max(retryAfter, expireEvery))}
		}
		d.pump(l)
	}
}

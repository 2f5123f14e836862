package placement

import (
	"time"
)

// Want describes a request that needs a place.
type Want struct {
	Service string
	Model   string
	// Reading is how long an idle engine takes to read the prompt.
	Reading time.Duration
	// Objective is the time in which the answer or the first event earns its full value; Elapsed is what
	// is gone of it.
	Objective, Elapsed time.Duration
	// Left is the time in which any answer is of use.
	Left time.Duration
	// Tried lists endpoints that are not to be chosen again.
	Tried []string
	// Again tells that the request has been begun elsewhere and must go on.
	Again bool
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNone means that there is a place.
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that nothing serves the model or service now.
	ReasonNoEndpoint Reason = "noEndpoint"
	// ReasonFull means that the answer could not be begun in time.
	ReasonFull Reason = "full"
)

// Decision is where a request goes, or why and for how long not.
type Decision struct {
	ID, Address string
	Reason      Reason
	RetryAfter  time.Duration
	// Load and Slots are what the decision was made on: requests in flight and places of the endpoint,
	// or of all of them for a refusal.
	Load, Slots int
}

// Pick decides on one request.
func (l *Ledger) Pick(now time.Time, w Want) Decision {
	usable, known := l.usable(now, w)
	if len(usable) == 0 {
		return l.refuseEmpty(known)
	}
	best := l.choose(usable)
	if wait := l.waitAt(best); !l.fits(wait, w) {
		best = l.leastLoaded(usable)
		if wait = l.waitAt(best); !l.fits(wait, w) {
			return l.refuseFull(usable, wait, w)
		}
	}
	return Decision{ID: best.ID, Address: best.Address, Load: best.load(), Slots: best.slots()}
}

// usable returns the endpoints that may be chosen: healthy ones, or, if there are none, any that is known.
func (l *Ledger) usable(now time.Time, w Want) (usable []*endpoint, known int) {
	list := l.lanes[lane{w.Service, w.Model}]
	var doubtful []*endpoint
	for _, e := range list {
		if isTried(w, e.ID) {
			continue
		}
		stalled := e.isStalled(now, l.cfg.StallAfter) || (e.othersStalled && e.load() > 0)
		if now.Before(e.ejected) || stalled || e.Silent {
			doubtful = append(doubtful, e)
			continue
		}
		usable = append(usable, e)
	}
	// At most half of a lane is kept out on doubt alone.
	if len(usable)*2 < len(list) {
		for _, e := range doubtful {
			if !e.isStalled(now, l.cfg.StallAfter) && !now.Before(e.ejected) {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		usable = doubtful
	}
	return usable, len(list)
}

func isTried(w Want, id string) bool {
	for _, t := range w.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// choices is how many endpoints are compared. Comparing all would send every entry host to the same one
// until the next word of the leader.
const choices = 3

func (l *Ledger) choose(list []*endpoint) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for range min(choices, len(list)) {
		e := list[l.random.IntN(len(list))]
		if score := l.score(e, list); best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func (l *Ledger) leastLoaded(list []*endpoint) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range list {
		if score := l.score(e, list); best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// score is the relative load; a server that is slow beside its peers counts as more loaded.
func (l *Ledger) score(e *endpoint, peers []*endpoint) float64 {
	load := float64(e.load()) + 1
	if e.DataCentre == l.cfg.DataCentre {
		load -= localBonus
	}
	score := load / float64(e.slots())
	if slow := slowness(e, peers); slow > slowFactor {
		score *= slow
	}
	if e.ColdMs > 0 {
		score *= slowFactor
	}
	return score
}

// slowness compares the time between events with the quickest peer's mean.
func slowness(e *endpoint, peers []*endpoint) float64 {
	if e.gap == 0 {
		return 1
	}
	quickest := e.gap
	for _, p := range peers {
		if p.gap > 0 && p.gap < quickest {
			quickest = p.gap
		}
	}
	return float64(e.gap) / float64(quickest)
}

// waitAt predicts how long a request waits for a slot.
func (l *Ledger) waitAt(e *endpoint) time.Duration {
	ahead := e.load() + 1 - e.slots()
	if ahead <= 0 {
		return 0
	}
	hold := e.hold
	if hold == 0 {
		hold = defaultHold
	}
	return hold * time.Duration(ahead) / time.Duration(e.slots())
}

// fits tells whether a wait leaves the answer its value. A request that was begun elsewhere has waited
// enough to be worth a place as long as it can be of use at all.
func (l *Ledger) fits(wait time.Duration, w Want) bool {
	if w.Again {
		return wait+w.Reading < w.Left
	}
	limit := time.Duration(objectivePart * float64(w.Objective))
	if w.Elapsed+w.Reading > limit {
		// Full value is out of reach; what remains is worth a wait of the same length.
		return wait < limit && wait+w.Reading < w.Left
	}
	return w.Elapsed+wait+w.Reading <= limit
}

func (l *Ledger) refuseEmpty(known int) Decision {
	d := Decision{Reason: ReasonNoEndpoint, RetryAfter: l.spread(2 * shortestReturn)}
	if known > 0 {
		d.Reason = ReasonFull
	}
	return d
}

// refuseFull says when slots have come free: the time in which the queue in front of the caller is served,
// spread, so that callers don't come back together.
func (l *Ledger) refuseFull(list []*endpoint, wait time.Duration, w Want) Decision {
	d := Decision{Reason: ReasonFull, RetryAfter: l.spread(max(shortestReturn, wait))}
	for _, e := range list {
		d.Load += e.load()
		d.Slots += e.slots()
	}
	return d
}

// spread returns a time between one and two times d.
func (l *Ledger) spread(d time.Duration) time.Duration {
	return d + time.Duration(l.random.Float64()*float64(d))
}

package placement

import (
	"time"
)

// Request describes a request that needs a place.
type Request struct {
	Service string
	Model   string
	// PromptTokens are the tokens to read before the first event.
	PromptTokens int
	// Engine describes how engines work; nil for plain services.
	Engine *EngineProfile
	// Objective is the time in which the answer or the first event earns its full value; Elapsed is what
	// is gone of it.
	Objective, Elapsed time.Duration
	// MaxEventGap is the longest pause between two events of a stream that is on time; 0 for other answers.
	MaxEventGap time.Duration
	// Remaining is the time in which any answer is of use.
	Remaining time.Duration
	// Excluded lists endpoints that are not to be chosen again.
	Excluded []string
	// Retry tells that the request has been begun elsewhere and must go on.
	Retry bool
}

func (w Request) lane() lane { return lane{w.Service, w.Model} }

// EngineProfile describes how a group works: in passes of a few steps, each of which reads a chunk of prompts and writes
// a token of every request that is being answered.
type EngineProfile struct {
	// ChunkTokens is the most prompt tokens that a step reads.
	ChunkTokens  int
	PrefillRate  float64
	StepsPerPass int
	// StepTime and StepTimePerRequest are the times of one written token: fixed, and for each request.
	StepTime, StepTimePerRequest time.Duration
	// TimeFactor multiplies all times.
	TimeFactor float64
}

// pass returns the time of a pass that reads tokens and writes for n requests.
func (e *EngineProfile) pass(tokens float64, n int) time.Duration {
	read := tokens / max(1, e.PrefillRate) * float64(time.Second)
	write := float64(e.StepsPerPass) * float64(e.StepTime+time.Duration(n)*e.StepTimePerRequest)
	return time.Duration(max(minPace, e.TimeFactor) * (read + write))
}

// minPace keeps a model without a stated pace from counting as infinitely fast.
const minPace = 0.05

// first predicts the time to the first event behind waiting tokens, beside n requests that are being written.
func (e *EngineProfile) first(waiting, prompt, n int) time.Duration {
	most := e.mostRead()
	left := float64(waiting + prompt)
	total := e.pass(0, n) / 2 // the pass under way
	for left > most {
		total += e.pass(most, n)
		left -= most
	}
	return total + e.pass(left, n)
}

// pause predicts the longest pass, in which nobody else's answer moves, until waiting tokens and a prompt are read.
func (e *EngineProfile) pause(waiting, prompt, n int) time.Duration {
	return e.pass(min(float64(waiting+prompt), e.mostRead()), n)
}

// mostRead returns the most prompt tokens that a pass reads.
func (e *EngineProfile) mostRead() float64 {
	return float64(max(1, e.ChunkTokens) * max(1, e.StepsPerPass))
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
	// Predicted is the time to the first event that the decision was made on.
	Predicted time.Duration
	// StallTimeout is how long the endpoint may show nothing.
	StallTimeout time.Duration
	// expected is the same without what was learnt of the lane.
	expected time.Duration
}

// Pick decides on one request.
func (l *Balancer) Pick(now time.Time, w Request) Decision {
	usable, known := l.usable(now, w)
	if len(usable) == 0 {
		return l.refuseEmpty(known)
	}
	if w.Engine != nil && !w.Retry && !l.isDue(now, usable, w) {
		return l.refuseFull(usable, l.best(usable, w))
	}
	best := l.choose(usable, w)
	if !l.fits(best, w) || pauses(best, w) {
		best = l.best(usable, w)
		if !l.fits(best, w) {
			return l.refuseFull(usable, best)
		}
	}
	return Decision{
		ID: best.ID, Address: best.Address, Load: best.load(), Slots: best.slots(), Predicted: best.predicted, expected: best.expected,
		StallTimeout: l.stallAfter(best.endpoint),
	}
}

// offer is what an endpoint promises to a request.
type offer struct {
	*endpoint
	// predicted is the time to the first event; expected the part of it that the engine's passes explain.
	predicted, expected time.Duration
	score               float64
}

// weigh predicts what an endpoint promises. Engines are compared by the time to the first event, plain
// servers by their relative load.
func (l *Balancer) weigh(e *endpoint, peers []*endpoint, w Request) offer {
	slow := 1.0
	if s := slowness(e, peers); s > slowFactor {
		slow = s
	}
	o := offer{endpoint: e, score: l.score(e, slow)}
	wait := l.waitAt(e)
	if w.Engine == nil {
		o.predicted = wait
		return o
	}
	n := min(e.load(), e.slots())
	o.expected = time.Duration(slow * float64(w.Engine.first(e.waitingTokens(), w.PromptTokens, n)))
	o.predicted = o.expected + wait + l.fixed[w.lane()]
	// Among equals the emptier one leaves more room for what comes next.
	o.score = o.predicted.Seconds() + loadWeight*o.score
	if e.DataCentre != l.cfg.DataCentre {
		o.score += farPenalty.Seconds()
	}
	return o
}

// farPenalty is how much sooner a first event from another data centre must be: its bytes have a price, and a
// loss of the way between the two breaks the stream.
const farPenalty = 15 * time.Millisecond

// gapPart is the part of the longest pause that a pass may take: prompts that other hosts send meanwhile are read
// in it as well.
const gapPart = 0.75

// loadWeight is how many seconds of the first event a full load is worth.
const loadWeight = 0.1

// usable returns the endpoints that may be chosen: healthy ones, or, if there are none, any that is known.
func (l *Balancer) usable(now time.Time, w Request) (usable []*endpoint, known int) {
	list := l.lanes[w.lane()]
	var doubtful []*endpoint
	for _, e := range list {
		if isTried(w, e.ID) {
			continue
		}
		stalled := e.isStalled(now, l.stallAfter(e)) || (e.othersStalled && e.load() > 0)
		if now.Before(e.ejected) || stalled || e.Silent {
			doubtful = append(doubtful, e)
			continue
		}
		usable = append(usable, e)
	}
	// At most half of a lane is kept out on doubt alone.
	if len(usable)*2 < len(list) {
		for _, e := range doubtful {
			if !e.isStalled(now, l.stallAfter(e)) && !now.Before(e.ejected) {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		usable = doubtful
	}
	return usable, len(list)
}

func isTried(w Request, id string) bool {
	for _, t := range w.Excluded {
		if t == id {
			return true
		}
	}
	return false
}

// choices is how many plain servers are compared. Comparing all would send every entry host to the same one
// until the next word of the leader.
const choices = 3

func (l *Balancer) choose(list []*endpoint, w Request) offer {
	if w.Engine != nil {
		return l.weigh(l.draw(list, w), list, w)
	}
	var best offer
	for range min(choices, len(list)) {
		e := list[l.random.IntN(len(list))]
		if o := l.weigh(e, list, w); best.endpoint == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

func (l *Balancer) best(list []*endpoint, w Request) offer {
	var best offer
	for _, e := range list {
		if o := l.weigh(e, list, w); best.endpoint == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

// score is the relative load; a server that is slow times as slow as its peers counts as more loaded.
func (l *Balancer) score(e *endpoint, slow float64) float64 {
	load := float64(e.load()) + 1
	if e.DataCentre == l.cfg.DataCentre {
		load -= localBonus
	}
	score := load / float64(e.slots()) * slow
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
func (l *Balancer) waitAt(e *endpoint) time.Duration {
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

// pauses tells whether prompts that come together would be read in so long a pass that every answer of the group
// pauses for too long.
func pauses(o offer, w Request) bool {
	if w.Engine == nil || w.MaxEventGap == 0 || o.waitingTokens() == 0 {
		return false
	}
	return w.Engine.pause(o.waitingTokens(), w.PromptTokens, min(o.load(), o.slots())) > time.Duration(gapPart*float64(w.MaxEventGap))
}

// fits tells whether an endpoint's promise leaves the answer its value. A request that was begun elsewhere has
// waited enough to be worth a place as long as it can be of use at all.
func (l *Balancer) fits(o offer, w Request) bool {
	if w.Retry {
		return o.predicted < w.Remaining
	}
	objective := float64(w.Objective)
	idle := time.Duration(0)
	if w.Engine != nil {
		idle = l.idleFirst(w)
	}
	if w.Elapsed+idle > time.Duration(objective) && w.Elapsed > time.Duration(latePart*objective) {
		return o.predicted <= idle+time.Duration(latePart*objective) && o.predicted < w.Remaining
	}
	limit := max(time.Duration(objectivePart*objective)-w.Elapsed, idle+time.Duration(largePart*objective))
	return o.predicted <= limit && o.predicted < w.Remaining
}

// idleFirst predicts the time to the first event at a group that does nothing else.
func (l *Balancer) idleFirst(w Request) time.Duration {
	return w.Engine.first(0, w.PromptTokens, 1) + l.fixed[w.lane()]
}

func (l *Balancer) refuseEmpty(known int) Decision {
	d := Decision{Reason: ReasonNoEndpoint, RetryAfter: l.spread(2 * shortestReturn)}
	if known > 0 {
		d.Reason = ReasonFull
	}
	return d
}

// refuseFull says when slots have come free: the time in which the queue in front of the caller is served,
// spread, so that callers don't come back together.
func (l *Balancer) refuseFull(list []*endpoint, o offer) Decision {
	d := Decision{Reason: ReasonFull, RetryAfter: l.spread(max(shortestReturn, o.predicted)), Predicted: o.predicted}
	for _, e := range list {
		d.Load += e.load()
		d.Slots += e.slots()
	}
	return d
}

// spread returns a time between one and two times d.
func (l *Balancer) spread(d time.Duration) time.Duration {
	return d + time.Duration(l.random.Float64()*float64(d))
}

package placement

import (
	"math"
	"time"

	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/version/residency"
)

// Request describes a request to be placed on an endpoint.
type Request struct {
	Service string
	Model   string
	// PromptTokens is the number of tokens to prefill before the first event.
	PromptTokens int
	// MemoryTokens is the most that the request needs of a group's memory, and GroupTokens what a group has, in tokens; 0 if it isn't known.
	MemoryTokens, GroupTokens int
	// Engine is the performance model of the engines; nil for plain services.
	Engine *EngineProfile
	// Objective is the time within which the response or the first event is on time. Elapsed is the time since the
	// caller first asked.
	Objective, Elapsed time.Duration
	// MaxEventGap is the longest allowed pause between two events of an on-time stream; 0 for other responses.
	MaxEventGap time.Duration
	// Remaining is the time after which no response is of use to the caller.
	Remaining time.Duration
	// Priority ranks the request among others of a full pool; 0 is the most urgent. Organisation is whose it is, empty if unknown.
	Priority     int
	Organisation string
	// Area is where the request may be handled.
	Area residency.Area
	// Excluded lists the IDs of endpoints that must not be chosen again.
	Excluded []string
	// Retry reports whether the request was already sent elsewhere, so that rejecting it now would lose it.
	Retry bool
}

func (req Request) pool() quota.Pool { return quota.Pool{Service: req.Service, Model: req.Model} }

func (req Request) key() endpointKey { return endpointKey{req.Service, req.Model} }

// EngineProfile is the performance model of an engine. A group works in passes of a few steps. Each step prefills a
// chunk of prompts and decodes one token of every running request.
type EngineProfile struct {
	// ChunkTokens is the maximum number of prompt tokens that a step prefills.
	ChunkTokens int
	// PrefillRate is in tokens per second.
	PrefillRate  float64
	StepsPerPass int
	// StepTime and StepTimePerRequest are the fixed time and the time per request of one decoding step.
	StepTime, StepTimePerRequest time.Duration
	// TimeFactor multiplies all times.
	TimeFactor float64
}

// PassTime returns the time of a pass that prefills tokens and decodes for n requests.
func (e *EngineProfile) PassTime(tokens float64, n int) time.Duration {
	prefill := tokens / max(1, e.PrefillRate) * float64(time.Second)
	decode := float64(e.StepsPerPass) * float64(e.StepTime+time.Duration(n)*e.StepTimePerRequest)
	return time.Duration(min(max(minTimeFactor, e.TimeFactor)*(prefill+decode), float64(maxPrediction)))
}

// minTimeFactor keeps a model without a stated time factor from counting as infinitely fast.
const minTimeFactor = 0.05

// firstEventTime predicts the time to the first event of a prompt that is prefilled after waiting tokens, while
// n other requests decode.
func (e *EngineProfile) firstEventTime(waiting, prompt, n int) time.Duration {
	perPass := e.maxPrefillTokens()
	remaining := float64(waiting + prompt)
	fullPasses := max(0, math.Ceil(remaining/perPass)-1)
	rest := e.PassTime(0, n)/2 + e.PassTime(remaining-fullPasses*perPass, n) // the first part is the rest of the current pass
	full := fullPasses * float64(e.PassTime(perPass, n))
	return min(maxPrediction, rest+time.Duration(min(full, float64(maxPrediction))))
}

// maxPrediction bounds a prediction. It is longer than any caller waits.
const maxPrediction = 24 * time.Hour

// longestPass predicts the longest pass until the waiting tokens and a prompt are prefilled. Streams get their events
// only at the end of a pass.
func (e *EngineProfile) longestPass(waiting, prompt, n int) time.Duration {
	return e.PassTime(min(float64(waiting+prompt), e.maxPrefillTokens()), n)
}

// maxPrefillTokens returns the maximum number of prompt tokens that a pass prefills.
func (e *EngineProfile) maxPrefillTokens() float64 {
	return float64(max(1, e.ChunkTokens) * max(1, e.StepsPerPass))
}

// Reason is why a request is rejected.
type Reason string

// Reasons of rejections.
const (
	// ReasonNone means that the request is placed.
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that no endpoint serves the model or service now.
	ReasonNoEndpoint Reason = "noEndpoint"
	// ReasonFull means that no endpoint could start the response in time.
	ReasonFull Reason = "full"
	// ReasonLimited means that the servers take no further request at this moment by their own limits.
	ReasonLimited Reason = "limited"
	// ReasonRegion means that no endpoint is in a region where the request may be handled.
	ReasonRegion Reason = "region"
	// ReasonCutOff means that this host reaches no servers, and no other entry host takes the request.
	ReasonCutOff Reason = "cutOff"
	// ReasonQuarantined means that servers crash on a part of the request's prompt.
	ReasonQuarantined Reason = "quarantined"
	// ReasonEvacuated means that all servers that could run the request are in evacuated data centres.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUnconfirmed means that this host can't confirm what the leader knows.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonStopping means that this host stops.
	ReasonStopping Reason = "stopping"
)

// IsTransient reports whether another update of the leader may lift the rejection within the time that a request waits.
func (r Reason) IsTransient() bool { return r == ReasonNoEndpoint || r == ReasonFull }

// Decision is the endpoint of a request, or the reason of a rejection and the time after which to retry.
type Decision struct {
	ID, Address string
	// Born is the incarnation of the endpoint.
	Born       int64
	Reason     Reason
	RetryAfter time.Duration
	// Load and Slots are the requests in flight and the slots of the endpoint that the decision is based on; for a
	// rejection, the sums over all usable endpoints.
	Load, Slots int
	// Predicted is the predicted time to the first event that the decision is based on.
	Predicted time.Duration
	// StallTimeout is how long the endpoint may make no progress.
	StallTimeout time.Duration
	// AwaitPermit reports, for a rejection, that the leader may permit a request to a server that has a limit.
	AwaitPermit bool
	// OverloadBegan reports, for a rejection, that it is the first in an overload of the pool.
	OverloadBegan bool
	// Yielded reports, for a rejection, that more urgent requests, or those of other organisations, come first.
	Yielded bool
	// engineTime is Predicted without the wait for a slot and the pool's fixed overhead.
	engineTime time.Duration
}

// Pick chooses an endpoint for a request or rejects it.
func (b *Balancer) Pick(now time.Time, req Request) Decision {
	d := b.pick(now, req)
	if d.Reason != ReasonNone {
		d.AwaitPermit = b.mayGetPermit(now, req)
	}
	return d
}

func (b *Balancer) pick(now time.Time, req Request) Decision {
	b.levelStale(now)
	usable, poolSize := b.usable(now, req)
	if len(usable) == 0 {
		return b.rejectEmpty(now, req, poolSize)
	}
	if e, found := b.unconfirmed(usable, req); found {
		return b.decide(e)
	}
	if e, found := b.cold(usable, req); found {
		return b.decide(e)
	}
	if req.Engine != nil && !req.Retry && !b.mayLoad(now, usable, req) {
		if e, found := b.permitted(usable, req); found {
			return b.decide(e)
		}
		return b.rejectFull(now, usable, b.best(usable, req), req)
	}
	best := b.choose(usable, req)
	if !b.fits(best, req) || exceedsGap(best, req) {
		best = b.best(usable, req)
		if !b.fits(best, req) {
			return b.rejectFull(now, usable, best, req)
		}
	}
	return b.decide(best)
}

func (b *Balancer) decide(best scoredEndpoint) Decision {
	return Decision{
		ID: best.ID, Address: best.Address, Born: best.Born, Load: best.load(), Slots: best.slots(), Predicted: best.predicted, engineTime: best.engineTime,
		StallTimeout: b.stallTimeout(best.endpoint),
	}
}

// scoredEndpoint is an endpoint with the predictions and the score for one request; a lower score is better.
type scoredEndpoint struct {
	*endpoint
	// predicted is the predicted time to the first event. engineTime is the part of it that follows from the engine's
	// passes, without the wait for a slot and the fixed overhead.
	predicted, engineTime time.Duration
	score                 float64
}

// evaluate scores an endpoint for a request. Engines are compared by the predicted time to the first event, plain
// servers by their relative load. fastest is the shortest mean time between events at any of its peers.
func (b *Balancer) evaluate(e *endpoint, fastest time.Duration, req Request) scoredEndpoint {
	slow := 1.0
	if s := slowness(e, fastest); s > slowFactor {
		slow = s
	}
	s := scoredEndpoint{endpoint: e, score: b.score(e, slow)}
	wait := b.waitAt(e)
	if req.Engine == nil {
		s.predicted = wait
		return s
	}
	n := min(e.load(), e.slots())
	s.engineTime = time.Duration(slow * float64(req.Engine.firstEventTime(e.waitingTokens(), req.PromptTokens, n)))
	s.predicted = s.engineTime + wait + b.overhead[req.key()]
	// Among equals, the less loaded one is preferred: it leaves more free slots for later requests.
	s.score = s.predicted.Seconds() + loadWeight*s.score
	if e.DataCentre != b.cfg.DataCentre {
		s.score += farPenalty.Seconds()
	}
	return s
}

// farPenalty is how much earlier a first event from another data centre must be: traffic between data centres costs
// money, and a loss of the link between them breaks the stream.
const farPenalty = 15 * time.Millisecond

// gapFraction is the fraction of MaxEventGap that a pass may take, because prompts that other hosts send meanwhile
// are prefilled in the same pass.
const gapFraction = 0.75

// loadWeight is what a full load adds to the score, in seconds of time to the first event.
const loadWeight = 0.1

// usable returns the endpoints that may be chosen, and the number of all endpoints in the pool. If none is healthy, it
// returns the suspect ones.
func (b *Balancer) usable(now time.Time, req Request) (usable []*endpoint, poolSize int) {
	list := b.pools[req.key()]
	var suspect []*endpoint
	for _, e := range list {
		switch b.exclusion(now, req, e) {
		case notExcluded:
			usable = append(usable, e)
		case ejected, stalled, stalledElsewhere, silent:
			suspect = append(suspect, e)
		case triedBefore, outsideArea, closed, lacksPermit, lacksMemory:
		}
	}
	// Silent or remotely stalled endpoints are excluded only while at least half of the pool is usable.
	if len(usable)*2 < len(list) {
		for _, e := range suspect {
			if !e.isStalled(now, b.stallTimeout(e)) && !now.Before(e.ejectedUntil) {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		usable = suspect
	}
	return usable, len(list)
}

// exclusion is why an endpoint isn't chosen for a request.
type exclusion string

// The first group excludes an endpoint, the second one does so while enough others are left.
const (
	notExcluded exclusion = ""
	triedBefore exclusion = "tried before"
	outsideArea exclusion = "outside the request's regions"
	closed      exclusion = "leaving, or closed for a time"
	lacksPermit exclusion = "no permit: cold, or limited"
	lacksMemory exclusion = "its memory may be exceeded"

	ejected          exclusion = "ejected after failures"
	stalled          exclusion = "stalled"
	stalledElsewhere exclusion = "stalled for other hosts"
	silent           exclusion = "sends no reports"
)

// exclusion returns why an endpoint of the request's pool isn't chosen, or notExcluded.
func (b *Balancer) exclusion(now time.Time, req Request, e *endpoint) exclusion {
	switch {
	case isExcluded(req, e.ID):
		return triedBefore
	case !req.Area.Contains(e.DataCentre):
		return outsideArea
	case !b.accepts(now, e):
		return closed
	case !b.permits.Allows(now, e.ID, e.Born):
		return lacksPermit
	case b.exceedsMemory(now, req, e):
		return lacksMemory
	case now.Before(e.ejectedUntil):
		return ejected
	case e.isStalled(now, b.stallTimeout(e)):
		return stalled
	case e.remoteStalled && e.load() > 0:
		return stalledElsewhere
	case e.Silent:
		return silent
	}
	return notExcluded
}

// mayServe reports whether a request may be sent to an endpoint at all.
func mayServe(req Request, e *endpoint) bool {
	return !isExcluded(req, e.ID) && req.Area.Contains(e.DataCentre)
}

func isExcluded(req Request, id string) bool {
	for _, excluded := range req.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

// choices is the number of plain servers that are compared. If all were compared, every entry host would choose the
// same one until the leader's next update.
const choices = 3

func (b *Balancer) choose(list []*endpoint, req Request) scoredEndpoint {
	fastest := fastestGap(list)
	if req.Engine != nil {
		return b.evaluate(b.draw(list, req), fastest, req)
	}
	var best scoredEndpoint
	for range min(choices, len(list)) {
		e := list[b.random.IntN(len(list))]
		if s := b.evaluate(e, fastest, req); best.endpoint == nil || s.score < best.score {
			best = s
		}
	}
	return best
}

func (b *Balancer) best(list []*endpoint, req Request) scoredEndpoint {
	fastest := fastestGap(list)
	var best scoredEndpoint
	for _, e := range list {
		if s := b.evaluate(e, fastest, req); best.endpoint == nil || s.score < best.score {
			best = s
		}
	}
	return best
}

// score returns the relative load, multiplied by slow, the factor by which the server is slower than its peers.
func (b *Balancer) score(e *endpoint, slow float64) float64 {
	load := float64(e.load()) + 1
	if e.DataCentre == b.cfg.DataCentre {
		load -= localBonus
	}
	score := load / float64(e.slots()) * slow
	if e.ColdMs > 0 {
		score *= slowFactor
	}
	return score
}

// fastestGap returns the shortest mean time between events at any of the endpoints, or 0 if none is known.
func fastestGap(list []*endpoint) time.Duration {
	fastest := time.Duration(0)
	for _, e := range list {
		if e.gap > 0 && (fastest == 0 || e.gap < fastest) {
			fastest = e.gap
		}
	}
	return fastest
}

// slowness returns the endpoint's mean time between events, divided by that of the fastest peer.
func slowness(e *endpoint, fastest time.Duration) float64 {
	if e.gap == 0 || fastest == 0 {
		return 1
	}
	return float64(e.gap) / float64(min(fastest, e.gap))
}

// waitAt predicts how long a request waits for a slot of the endpoint.
func (b *Balancer) waitAt(e *endpoint) time.Duration {
	ahead := e.load() + 1 - e.slots()
	if ahead <= 0 {
		return 0
	}
	occupancy := e.occupancy
	if occupancy == 0 {
		occupancy = defaultOccupancy
	}
	return occupancy * time.Duration(ahead) / time.Duration(e.slots())
}

// exceedsGap reports whether the waiting prompts and this one would be prefilled in so long a pass that every stream
// of the group stalls for longer than allowed.
func exceedsGap(s scoredEndpoint, req Request) bool {
	if req.Engine == nil || req.MaxEventGap == 0 || s.waitingTokens() == 0 {
		return false
	}
	return req.Engine.longestPass(s.waitingTokens(), req.PromptTokens, min(s.load(), s.slots())) > time.Duration(gapFraction*float64(req.MaxEventGap))
}

// fits reports whether the predicted time at an endpoint is short enough for the request. A retry has already waited,
// so it is placed as long as its response can still be of use.
func (b *Balancer) fits(s scoredEndpoint, req Request) bool {
	if req.Retry {
		return s.predicted < req.Remaining
	}
	objective := float64(req.Objective)
	idle := time.Duration(0)
	if req.Engine != nil {
		idle = b.idleFirstEvent(req)
	}
	if req.Elapsed+idle > time.Duration(objective) && req.Elapsed > time.Duration(lateFraction*objective) {
		return s.predicted <= idle+time.Duration(lateFraction*objective) && s.predicted < req.Remaining
	}
	limit := max(time.Duration(objectiveFraction*objective)-req.Elapsed, idle+time.Duration(largePromptFraction*objective))
	return s.predicted <= limit && s.predicted < req.Remaining
}

// idleFirstEvent predicts the time to the first event on an idle group.
func (b *Balancer) idleFirstEvent(req Request) time.Duration {
	return req.Engine.firstEventTime(0, req.PromptTokens, 1) + b.overhead[req.key()]
}

// rejectEmpty rejects a request for which no endpoint is usable, in a pool of poolSize endpoints. If endpoints of the
// pool have closed themselves, the caller is asked to retry when the first of them opens again.
func (b *Balancer) rejectEmpty(now time.Time, req Request, poolSize int) Decision {
	d := Decision{Reason: ReasonNoEndpoint, RetryAfter: b.jitter(2 * minRetryAfter)}
	switch {
	case poolSize > 0:
		d.Reason = ReasonFull
	case b.evacuatedPools[req.key()]:
		d.Reason, d.RetryAfter = ReasonEvacuated, b.jitter(evacuatedRetryAfter)
	}
	if req.Area.IsRestricted() && !b.hasServer(req) {
		d.Reason = ReasonRegion
	}
	if b.isLimited(now, req) {
		d.Reason, d.RetryAfter = ReasonLimited, b.jitter(max(minRetryAfter, b.permits.UntilNext(now, req.pool())))
	}
	if closedFor := b.earliestOpening(now, req); closedFor > 0 && d.Reason != ReasonLimited {
		d.RetryAfter = closedFor + b.jitter(minRetryAfter)
	}
	return d
}

// hasServer reports whether an endpoint of the pool may serve the request, whatever its state.
func (b *Balancer) hasServer(req Request) bool {
	for _, e := range b.pools[req.key()] {
		if req.Area.Contains(e.DataCentre) {
			return true
		}
	}
	return false
}

// rejectFull rejects a request because of overload. RetryAfter is the predicted time until the queue ahead of the
// caller is served, with jitter, so that callers don't retry at the same moment. Where the pool's capacity is shared out, callers
// return when the overload may be over.
func (b *Balancer) rejectFull(now time.Time, list []*endpoint, s scoredEndpoint, req Request) Decision {
	d := Decision{Reason: ReasonFull, RetryAfter: b.jitter(max(minRetryAfter, s.predicted)), Predicted: s.predicted}
	if req.Engine != nil {
		share := b.share(req)
		d.RetryAfter, d.OverloadBegan = share.RetryAfter(now, req.Remaining), share.OverloadedAt().Equal(now)
		d.Yielded = share.YieldedAt().Equal(now)
	}
	for _, e := range list {
		d.Load += e.load()
		d.Slots += e.slots()
	}
	return d
}

// jitter returns a random time between d and 2*d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d + time.Duration(b.random.Float64()*float64(d))
}

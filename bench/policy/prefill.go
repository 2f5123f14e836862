package policy

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
)

// passServer simulates groups that work in passes: each prefills waiting prompts in order of arrival and decodes some
// tokens of every running request. Long prompts keep the passes busy long before the slots are in use: running streams
// pause, and prompts that several entry hosts send at once wait for each other.
type passServer struct {
	groups map[string]*passGroup
	// accepted is the number of the run's calls in flight that have been queued at a group.
	accepted map[*overloadCall]bool
	// losses counts the groups lost so far.
	losses             int
	nextLoss, returnAt time.Time
}

// passGroup is one group. passEnd is when its current pass ends.
type passGroup struct {
	passEnd time.Time
	queue   []*passCall
	running []*passCall
}

// passCall is one request at a group.
type passCall struct {
	*overloadCall
	// prompt and output are the tokens that are still to be prefilled and decoded.
	prompt, output int
}

func newPassServer() *passServer {
	return &passServer{groups: map[string]*passGroup{}, accepted: map[*overloadCall]bool{}}
}

func (p *passServer) serve(r *overloadRun) {
	for _, call := range r.inFlight {
		if p.accepted[call] {
			continue
		}
		p.accepted[call] = true
		g := p.groups[call.reservation.ID]
		if g == nil {
			g = &passGroup{}
			p.groups[call.reservation.ID] = g
		}
		g.queue = append(g.queue, &passCall{overloadCall: call, prompt: call.promptTokens, output: call.outputTokens})
	}
	p.loseGroup(r)
	for _, id := range slices.Sorted(maps.Keys(p.groups)) {
		if g := p.groups[id]; !r.now.Before(g.passEnd) {
			p.endPass(r, g)
			g.startPass(r)
		}
	}
	kept := r.inFlight[:0]
	for _, call := range r.inFlight {
		if call.end.IsZero() {
			kept = append(kept, call)
		} else {
			delete(p.accepted, call)
		}
	}
	r.inFlight = kept
}

const (
	// firstLoss is when the first group is lost, and lossInterval the time from one loss to the next.
	firstLoss    = 4 * time.Second
	lossInterval = 3 * time.Second
	// lossDetection is the time until the requests of a lost group are sent elsewhere, and replacementTime the time until
	// another group takes its place.
	lossDetection   = 200 * time.Millisecond
	replacementTime = 1500 * time.Millisecond
)

// loseGroup ends one group at regular intervals. Its requests go on at the others, which prefill their prompts and what
// they have written once more. The group returns empty.
func (p *passServer) loseGroup(r *overloadRun) {
	if p.nextLoss.IsZero() {
		p.nextLoss = r.now.Add(firstLoss)
	}
	if !p.returnAt.IsZero() && !r.now.Before(p.returnAt) {
		p.returnAt = time.Time{}
		r.updateGroups(r.endpoints)
	}
	if r.now.Before(p.nextLoss) {
		return
	}
	i := p.losses % len(r.endpoints)
	lost := r.endpoints[i].ID
	p.losses++
	p.nextLoss, p.returnAt = p.nextLoss.Add(lossInterval), r.now.Add(replacementTime)
	r.updateGroups(slices.Concat(r.endpoints[:i], r.endpoints[i+1:]))
	delete(p.groups, lost)
	kept := r.inFlight[:0]
	for _, call := range r.inFlight {
		if call.reservation.ID != lost {
			kept = append(kept, call)
			continue
		}
		r.balancers[call.host].Finish(r.now, call.reservation, placement.Failed)
		delete(p.accepted, call)
		call.lostAt, call.retryAt = lost, r.now.Add(lossDetection)
		r.retrying = append(r.retrying, call)
	}
	r.inFlight = kept
}

// updateGroups tells all hosts which groups serve.
func (r *overloadRun) updateGroups(list []wire.Endpoint) {
	var ids []string
	for _, e := range list {
		ids = append(ids, e.ID)
	}
	for i, b := range r.balancers {
		b.UpdateEndpoints(true, list, nil)
		r.policies[i].updateGroups(ids)
	}
}

// endPass reports an event of every request that took part in the pass, and finishes those that are complete.
func (p *passServer) endPass(r *overloadRun, g *passGroup) {
	var kept []*passCall
	for _, c := range g.running {
		if c.prompt > 0 {
			kept = append(kept, c)
			continue
		}
		if c.firstEvent.IsZero() {
			c.firstEvent = r.now
			r.balancers[c.host].RecordProgress(r.now, c.reservation, 0)
		} else {
			gap := r.now.Sub(c.lastEvent)
			c.longestGap = max(c.longestGap, gap)
			r.balancers[c.host].RecordProgress(r.now, c.reservation, gap)
		}
		c.lastEvent = r.now
		c.output -= r.engine.StepsPerPass
		c.promptTokens, c.outputTokens = c.promptTokens+r.engine.StepsPerPass, c.output
		if c.output > 0 {
			kept = append(kept, c)
			continue
		}
		c.end = r.now
		r.score.add(c.firstEvent.Sub(c.arrival) <= c.objective && (c.maxGap == 0 || c.longestGap <= c.maxGap))
		r.balancers[c.host].Finish(r.now, c.reservation, placement.Served)
		r.policies[c.host].recordEnded(c.reservation.ID)
	}
	g.running = kept
}

// startPass admits requests to free slots and begins a pass.
func (g *passGroup) startPass(r *overloadRun) {
	for len(g.queue) > 0 && len(g.running) < r.slots {
		g.running = append(g.running, g.queue[0])
		g.queue = g.queue[1:]
	}
	budget := r.engine.ChunkTokens * r.engine.StepsPerPass
	decoding, tokens := 0, 0
	for _, c := range g.running {
		if c.prompt == 0 {
			decoding++
			continue
		}
		n := min(c.prompt, budget-tokens)
		c.prompt -= n
		tokens += n
	}
	r.score.longestQueue = max(r.score.longestQueue, len(g.queue))
	if len(g.running) > 0 {
		g.passEnd = r.now.Add(r.engine.PassTime(float64(tokens), decoding))
	}
}

// promptKind is a kind of request: how many of the calls are of it, its lengths and its objectives.
type promptKind struct {
	share                        float64
	promptMean, promptMax, sigma float64
	outputMean                   float64
	objective, maxGap            time.Duration
}

var promptKinds = []promptKind{
	{0.6, 1420, 4030, 0.85, 172, 300 * time.Millisecond, 300 * time.Millisecond},
	{0.4, 1960, 5880, 1, 22, 400 * time.Millisecond, 300 * time.Millisecond},
}

func newPromptCall(r *overloadRun) *overloadCall {
	kind, x := promptKinds[0], r.random.Float64()
	for _, k := range promptKinds {
		if kind = k; x < k.share {
			break
		}
		x -= k.share
	}
	draw := func(mean, sigma float64) float64 {
		return math.Exp(r.random.NormFloat64()*sigma-sigma*sigma/2) * mean
	}
	return &overloadCall{
		arrival: r.now, promptTokens: int(min(kind.promptMax, draw(kind.promptMean, kind.sigma))) + 1, outputTokens: int(draw(kind.outputMean, kind.sigma)) + 1,
		objective: kind.objective, maxGap: kind.maxGap,
	}
}

// promptFleet is a fleet of a few groups with long prompts.
var promptFleet = overloadFleet{name: "18 hosts", hosts: 18, groups: 4, slots: 26, reportInterval: 60 * time.Millisecond}

var promptEngine = &placement.EngineProfile{ChunkTokens: 2048, PrefillRate: 50700, StepsPerPass: 7, StepTime: 5950 * time.Microsecond, StepTimePerRequest: 45 * time.Microsecond, TimeFactor: 1}

func newPromptRun(seed uint64, callsPerSecond float64, newPolicy func(b *placement.Balancer, host uint64) placementPolicy) *overloadRun {
	r := newOverloadRun(seed, promptFleet, 1, newPolicy)
	r.server, r.engine, r.newCall = newPassServer(), promptEngine, newPromptCall
	r.callsPerSecond = callsPerSecond * float64(promptFleet.groups)
	return r
}

// Prompts compares policies that place requests with long prompts, while one group after the other is lost and returns
// empty.
func Prompts(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("prompts: %d groups, %s, seed %d", promptFleet.groups, length, seed),
		Columns: []string{"calls/s a group", "way", "callers", "in time", "late", "rejected"},
		Notes: []string{
			"in time: first event within its objective and no longer pause than allowed. Calls that still run at the end aren't counted.",
		},
	}
	for _, rate := range []float64{8, 14, 18, 22, 26} {
		for _, p := range placementPolicies {
			s := newPromptRun(seed, rate, p.newPolicy(promptFleet)).simulate(length)
			t.add(rate, p.name, s.callers, s.fraction(s.inTime), s.fraction(s.late), s.fraction(s.rejected))
		}
	}
	return t
}

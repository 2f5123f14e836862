package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	processfleet "savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
)

// overloadFleet describes a fleet whose entry hosts exchange load reports periodically.
type overloadFleet struct {
	name                 string
	hosts, groups, slots int
	// reportInterval is how often each host receives the load reports of the others.
	reportInterval time.Duration
}

var overloadFleets = []overloadFleet{
	{"120 hosts", 120, 44, 15, 240 * time.Millisecond},
	{"12 hosts", 12, 10, 17, 124 * time.Millisecond},
}

const (
	overloadStep      = 5 * time.Millisecond
	overloadObjective = 300 * time.Millisecond
	// meanServiceTime and serviceTimeSigma describe the log-normal time of a response: its mean, and the standard
	// deviation of its logarithm.
	meanServiceTime  = 1050 * time.Millisecond
	serviceTimeSigma = 0.6
	// overloadPrefillTime is the time to the first event on an idle slot, overloadPromptTokens the tokens prefilled in it.
	overloadPrefillTime  = 170 * time.Millisecond
	overloadPromptTokens = 674
	// overloadTimeout is a caller's timeout for a response. A rejected caller retries once, if the retry delay is less than a
	// third of what remains of the timeout.
	overloadTimeout = 6 * time.Second
	// overloadWarmUp is left out of the score: the fleet is still filling.
	overloadWarmUp = 2 * time.Second
)

var overloadEngine = &placement.EngineProfile{ChunkTokens: 2048, PrefillRate: 45900, StepsPerPass: 6, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, TimeFactor: 0.6}

// placementPolicy chooses endpoints for one entry host.
type placementPolicy interface {
	pick(now time.Time, req placement.Request) placement.Decision
	receive(totals map[string]int)
	// updateGroups replaces the groups that serve. The host's balancer has been updated already.
	updateGroups(ids []string)
	recordSent(id string)
	recordEnded(id string)
}

// groupServer simulates the groups: it starts the requests that were sent, reports their events and finishes them.
type groupServer interface {
	serve(r *overloadRun)
}

// overloadRun simulates callers whose load ranges from below to above the capacity of all groups. A caller that is
// rejected retries once at most.
type overloadRun struct {
	overloadFleet
	random     *rand.Rand
	now        time.Time
	balancers  []*placement.Balancer
	policies   []placementPolicy
	nextReport []time.Time
	// lastReported holds each host's last report of its own requests, and unheard the hosts without one to the current leader.
	lastReported       [][]wire.EndpointLoad
	unheard            map[int]bool
	endpoints          []wire.Endpoint
	handles            map[string]uint64
	inFlight, retrying []*overloadCall
	server             groupServer
	engine             *placement.EngineProfile
	// newCall draws the next call, and callsPerSecond is their rate.
	newCall        func(r *overloadRun) *overloadCall
	callsPerSecond float64
	// rate is the rate by the time since the start, if it changes.
	rate func(elapsed time.Duration) float64
	// returnsOnce makes each rejected caller return once, after a third of the time that it has left at most.
	returnsOnce bool
	// silentFrom and silentTo bound the time since the start in which no reports are exchanged. The leader after that knows
	// no host's requests.
	silentFrom, silentTo time.Duration
	start                time.Time
	score                overloadScore
}

type overloadCall struct {
	host            int
	reservation     *placement.Reservation
	arrival         time.Time
	retryAt         time.Time
	firstEvent, end time.Time
	counted         bool
	// promptTokens and outputTokens are the lengths of the prompt and the response; objective is for the first event, and
	// maxGap for the pauses between events, 0 for any.
	promptTokens, outputTokens int
	objective, maxGap          time.Duration
	// timeout is the caller's timeout; 0 means overloadTimeout.
	timeout time.Duration
	// lastEvent is when the response's newest event arrived, longestGap the longest pause between two.
	lastEvent  time.Time
	longestGap time.Duration
	// lostAt is the group that ended with the response, if any.
	lostAt string
}

// overloadScore counts the callers, their first events within and past the objective, and the callers whose last
// attempt was rejected.
type overloadScore struct {
	callers, inTime, late, rejected int
	// rejections counts all rejections, and longestQueue is the most requests that waited at one group.
	rejections, longestQueue int
}

func (s overloadScore) fraction(n int) float64 { return float64(n) / float64(max(1, s.callers)) }

func newOverloadRun(seed uint64, fleet overloadFleet, offeredLoad float64, newPolicy func(b *placement.Balancer, host uint64) placementPolicy) *overloadRun {
	r := &overloadRun{
		overloadFleet: fleet, random: rand.New(rand.NewPCG(seed, seed+1)), now: time.Unix(1000, 0),
		server: slotServer{}, engine: overloadEngine, newCall: newSlotCall, callsPerSecond: offeredLoad * float64(fleet.groups*fleet.slots) / meanServiceTime.Seconds(),
		handles: map[string]uint64{}, lastReported: make([][]wire.EndpointLoad, fleet.hosts),
	}
	for i := range r.groups {
		e := wire.Endpoint{ID: fmt.Sprintf("g%02d", i), Born: 1, Handle: uint64(i + 1), Service: "engines", Model: "model", Slots: r.slots}
		r.handles[e.ID] = e.Handle
		r.endpoints = append(r.endpoints, e)
	}
	for i := range r.hosts {
		b := placement.New(placement.Config{Seed: seed + uint64(i)})
		b.UpdateEndpoints(true, r.endpoints, nil)
		r.balancers = append(r.balancers, b)
		r.policies = append(r.policies, newPolicy(b, seed+uint64(i)))
		r.nextReport = append(r.nextReport, r.now.Add(time.Duration(r.random.Int64N(int64(r.reportInterval)))))
	}
	return r
}

func (r *overloadRun) request(call *overloadCall) placement.Request {
	elapsed := r.now.Sub(call.arrival)
	timeout := call.timeout
	if timeout == 0 {
		timeout = overloadTimeout
	}
	return placement.Request{
		Service: "engines", Model: "model", PromptTokens: call.promptTokens, Engine: r.engine, Objective: call.objective, Elapsed: elapsed,
		MaxEventGap: call.maxGap, Remaining: timeout - elapsed, Retry: call.lostAt != "", Excluded: []string{call.lostAt},
	}
}

func newSlotCall(r *overloadRun) *overloadCall {
	return &overloadCall{arrival: r.now, promptTokens: overloadPromptTokens, objective: overloadObjective}
}

// simulate runs the simulation for length and returns the score of the calls that arrived after the warm-up.
func (r *overloadRun) simulate(length time.Duration) overloadScore {
	r.start = r.now
	for r.now.Sub(r.start) < length {
		r.now = r.now.Add(overloadStep)
		if r.now.Sub(r.start) < overloadWarmUp {
			r.score = overloadScore{}
		}
		if r.rate != nil {
			r.callsPerSecond = r.rate(r.now.Sub(r.start))
		}
		for range poisson(r.random, r.callsPerSecond*overloadStep.Seconds()) {
			r.score.callers++
			r.submit(r.newCall(r))
		}
		waiting := r.retrying
		r.retrying = nil
		for _, call := range waiting {
			if call.retryAt.After(r.now) {
				r.retrying = append(r.retrying, call)
				continue
			}
			r.submit(call)
		}
		r.server.serve(r)
		r.exchangeReports()
	}
	return r.score
}

// poisson draws the number of calls in a step from a Poisson distribution.
func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

func (r *overloadRun) submit(call *overloadCall) {
	call.host = r.random.IntN(r.hosts)
	req := r.request(call)
	d := r.policies[call.host].pick(r.now, req)
	if d.Reason == placement.ReasonNone {
		call.reservation = r.balancers[call.host].Start(r.now, d, req)
		r.policies[call.host].recordSent(d.ID)
		r.inFlight = append(r.inFlight, call)
		return
	}
	if call.lostAt != "" && d.RetryAfter < req.Remaining {
		call.retryAt = r.now.Add(min(d.RetryAfter, r.reportInterval))
		r.retrying = append(r.retrying, call)
		return
	}
	r.score.rejections++
	if r.returnsOnce {
		d.RetryAfter = min(d.RetryAfter, time.Duration(maxHonoured*float64(req.Remaining))-1)
	}
	if call.retryAt.IsZero() && d.RetryAfter < req.Remaining/3 {
		call.retryAt = r.now.Add(d.RetryAfter)
		r.retrying = append(r.retrying, call)
		return
	}
	r.score.rejected++
}

// slotServer simulates groups in which a request takes a slot for a time that doesn't depend on the others. It holds the
// number of slots in use by group.
type slotServer map[string]int

// serve starts queued requests at groups with free slots, in order of arrival, counts first events and finishes requests
// that are complete.
func (busy slotServer) serve(r *overloadRun) {
	kept := r.inFlight[:0]
	for _, call := range r.inFlight {
		switch id := call.reservation.ID; {
		case call.end.IsZero() && busy[id] < r.slots:
			busy[id]++
			serviceTime := math.Exp(r.random.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2) * meanServiceTime.Seconds()
			call.firstEvent, call.end = r.now.Add(overloadPrefillTime), r.now.Add(max(overloadPrefillTime, time.Duration(serviceTime*float64(time.Second))))
		case !call.end.IsZero() && !call.counted && r.now.After(call.firstEvent):
			r.recordFirstEvent(call)
		case call.counted && r.now.After(call.end):
			busy[id]--
			r.balancers[call.host].Finish(r.now, call.reservation, placement.Served)
			r.policies[call.host].recordEnded(id)
			continue
		}
		kept = append(kept, call)
	}
	r.inFlight = kept
}

func (r *overloadRun) recordFirstEvent(call *overloadCall) {
	call.counted = true
	r.balancers[call.host].RecordProgress(r.now, call.reservation, 0)
	r.score.add(r.now.Sub(call.arrival) <= call.objective)
}

func (s *overloadScore) add(inTime bool) {
	if inTime {
		s.inTime++
	} else {
		s.late++
	}
}

// exchangeReports renews the report of each host whose interval has passed, and gives it the last reports of all hosts.
func (r *overloadRun) exchangeReports() {
	if elapsed := r.now.Sub(r.start); elapsed >= r.silentFrom && elapsed < r.silentTo {
		r.loseLeader()
		return
	}
	var due []int
	for i := range r.balancers {
		if !r.now.Before(r.nextReport[i]) {
			due = append(due, i)
			delete(r.unheard, i)
			r.lastReported[i] = r.balancers[i].Usage(r.now)
			r.nextReport[i] = r.now.Add(r.reportInterval)
		}
	}
	if len(due) == 0 {
		return
	}
	totals, tokens := map[string]int{}, map[string]int{}
	for _, list := range r.lastReported {
		for _, l := range list {
			totals[l.ID] += l.InFlight
			tokens[l.ID] += l.WaitingTokens
		}
	}
	var sums []processfleet.Load
	for id, n := range totals {
		sums = append(sums, processfleet.Load{Handle: r.handles[id], InFlight: n, WaitingTokens: tokens[id], Progressed: true})
	}
	sort.Slice(sums, func(i, j int) bool { return sums[i].Handle < sums[j].Handle })
	for _, i := range due {
		r.balancers[i].SetLoads(r.now, sums, r.hosts-len(r.unheard))
		r.policies[i].receive(totals)
	}
}

// loseLeader makes the hosts report to a leader that has heard of none of them, one after another from silentTo on.
func (r *overloadRun) loseLeader() {
	if r.unheard != nil {
		return
	}
	r.unheard = map[int]bool{}
	for i := range r.balancers {
		r.unheard[i], r.lastReported[i] = true, nil
		r.nextReport[i] = r.start.Add(r.silentTo + time.Duration(r.random.Int64N(int64(r.reportInterval))))
	}
}

// byCapacity is the policy in production: placement.Balancer.
type byCapacity struct{ balancer *placement.Balancer }

func (b byCapacity) pick(now time.Time, req placement.Request) placement.Decision {
	return b.balancer.Pick(now, req)
}
func (byCapacity) receive(map[string]int) {}
func (byCapacity) updateGroups([]string)  {}
func (byCapacity) recordSent(string)      {}
func (byCapacity) recordEnded(string)     {}

// leastLoaded takes the least loaded of a few random groups, by the last report and the host's own requests since. It
// rejects a request whose first event would be late. It is the policy that byCapacity replaced.
type leastLoaded struct {
	random *rand.Rand
	slots  int
	groups []string
	// reported is what all hosts had in flight at the last report; unreported is how many more requests this host has
	// sent than finished since then.
	reported, unreported map[string]int
	candidates           int
}

func newLeastLoaded(fleet overloadFleet, host uint64, candidates int) *leastLoaded {
	l := &leastLoaded{random: rand.New(rand.NewPCG(host, 7)), slots: fleet.slots, reported: map[string]int{}, unreported: map[string]int{}, candidates: candidates}
	for i := range fleet.groups {
		l.groups = append(l.groups, fmt.Sprintf("g%02d", i))
	}
	return l
}

func (l *leastLoaded) load(id string) int { return l.reported[id] + l.unreported[id] }

func (l *leastLoaded) pick(_ time.Time, req placement.Request) placement.Decision {
	best := l.groups[l.random.IntN(len(l.groups))]
	for range l.candidates - 1 {
		if id := l.groups[l.random.IntN(len(l.groups))]; l.load(id) < l.load(best) {
			best = id
		}
	}
	wait := meanServiceTime * time.Duration(max(0, l.load(best)+1-l.slots)) / time.Duration(l.slots)
	if predicted := overloadPrefillTime + wait; predicted > max(overloadObjective-req.Elapsed, overloadPrefillTime+overloadObjective/2) {
		return placement.Decision{Reason: placement.ReasonFull, RetryAfter: predicted + time.Duration(l.random.Float64()*float64(predicted))}
	}
	return placement.Decision{ID: best}
}

func (l *leastLoaded) receive(totals map[string]int) {
	l.reported, l.unreported = totals, map[string]int{}
}
func (l *leastLoaded) updateGroups(ids []string) { l.groups = ids }
func (l *leastLoaded) recordSent(id string)      { l.unreported[id]++ }
func (l *leastLoaded) recordEnded(id string)     { l.unreported[id]-- }

// placementPolicies are the policies that are compared.
var placementPolicies = []struct {
	name      string
	newPolicy func(fleet overloadFleet) func(b *placement.Balancer, host uint64) placementPolicy
}{
	{"by room, in shares", func(overloadFleet) func(*placement.Balancer, uint64) placementPolicy {
		return func(b *placement.Balancer, _ uint64) placementPolicy { return byCapacity{b} }
	}},
	{"emptiest of three", func(fleet overloadFleet) func(*placement.Balancer, uint64) placementPolicy {
		return func(_ *placement.Balancer, host uint64) placementPolicy { return newLeastLoaded(fleet, host, 3) }
	}},
	{"at random", func(fleet overloadFleet) func(*placement.Balancer, uint64) placementPolicy {
		return func(_ *placement.Balancer, host uint64) placementPolicy { return newLeastLoaded(fleet, host, 1) }
	}},
}

// Placement compares policies that place requests on groups, while entry hosts receive each other's load reports late
// and rejected callers retry.
func Placement(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("placement: offered load 0.7 to 1.4 times the capacity of the groups, %s, seed %d", length, seed),
		Columns: []string{"fleet", "work", "way", "callers", "in time", "late", "rejected"},
		Notes:   []string{"At most 1 / work of the callers can be in time. rejected: not placed, after one retry at most."},
	}
	for _, fleet := range overloadFleets {
		for _, offeredLoad := range []float64{0.7, 1, 1.4} {
			for _, p := range placementPolicies {
				s := newOverloadRun(seed, fleet, offeredLoad, p.newPolicy(fleet)).simulate(length)
				t.add(fleet.name, fmt.Sprintf("%.1f", offeredLoad), p.name, s.callers, s.fraction(s.inTime), s.fraction(s.late), s.fraction(s.rejected))
			}
		}
	}
	return t
}

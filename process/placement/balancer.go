package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// Config holds the thresholds of placement.
type Config struct {
	// DataCentre is where this host stands; equal choices go to servers there.
	DataCentre string
	// StallTimeout is how long an engine with requests in flight may show nothing.
	StallTimeout time.Duration
	// Seed makes choices repeatable.
	Seed uint64
}

const (
	// defaultStall is longer than the longest pauses that full groups of the slowest model show.
	defaultStall = 450 * time.Millisecond
	// defaultHold stands for the time that a request keeps its slot until some were seen.
	defaultHold = 1500 * time.Millisecond
	// localBonus is how many requests a server nearby may have more than one far away.
	localBonus = 0.5
	// objectivePart is the part of the objective that the predicted time to the first event may take.
	objectivePart = 0.9
	// largePart is the part of the objective by which a request that is slow by its size may be slower yet.
	largePart = 0.4
	// latePart is the part of the objective that a request may wait whose objective has passed: it takes what
	// those that can be in time leave over.
	latePart = 0.5
	// slowFactor marks a server whose events take that many times as long as those of its peers.
	slowFactor = 2.0
	// shortestReturn is the least time after which a refused caller is asked to come back.
	shortestReturn = 250 * time.Millisecond
)

// Balancer is the state of placement of one entry host.
type Balancer struct {
	cfg    Config
	random *rand.Rand
	all    map[string]*endpoint
	// lanes lists endpoints by service and model, sorted by id.
	lanes map[lane][]*endpoint
	// byHandle holds endpoints by the leader's short names.
	byHandle map[uint64]*endpoint
	entries  int
	// fixed is the part of the time to the first event that the model of a pass does not explain.
	fixed map[lane]time.Duration
	// gaps is the moving mean time between two events of each lane.
	gaps map[lane]time.Duration
	// holds is the moving mean time that a request keeps its slot in each lane.
	holds map[lane]time.Duration
	// shares holds the requests that this host may still send to each full lane.
	shares map[lane]*share
	// period is the moving mean time between two words of the leader, and told when the last one came.
	period time.Duration
	told   time.Time
}

type lane struct{ service, model string }

// New returns an empty ledger.
func New(cfg Config) *Balancer {
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = defaultStall
	}
	return &Balancer{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), all: map[string]*endpoint{}, lanes: map[lane][]*endpoint{},
		fixed: map[lane]time.Duration{}, gaps: map[lane]time.Duration{}, holds: map[lane]time.Duration{}, shares: map[lane]*share{},
	}
}

// UpdateEndpoints takes over which endpoints there are.
func (l *Balancer) UpdateEndpoints(full bool, changed []wire.Endpoint, removed []string) {
	if full {
		keep := map[string]bool{}
		for _, e := range changed {
			keep[e.ID] = true
		}
		for id := range l.all {
			if !keep[id] {
				delete(l.all, id)
			}
		}
	}
	for _, id := range removed {
		delete(l.all, id)
	}
	for _, e := range changed {
		old := l.all[e.ID]
		if old == nil || old.Born != e.Born || old.Epoch != e.Epoch {
			next := &endpoint{Endpoint: e, entries: l.EntryHosts()}
			if old != nil {
				next.own, next.waiting, next.shown = old.own, old.waiting, old.shown
			}
			l.all[e.ID] = next
			continue
		}
		old.Endpoint = e
	}
	l.index()
}

func (l *Balancer) index() {
	l.lanes, l.byHandle = map[lane][]*endpoint{}, map[uint64]*endpoint{}
	for _, e := range l.all {
		l.byHandle[e.Handle] = e
		k := lane{e.Service, e.Model}
		l.lanes[k] = append(l.lanes[k], e)
	}
	for _, list := range l.lanes {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// Len returns the number of endpoints.
func (l *Balancer) Len() int { return len(l.all) }

// stallAfter returns how long an endpoint with requests in flight may show nothing: a few of its model's usual
// pauses, which differ by model.
func (l *Balancer) stallAfter(e *endpoint) time.Duration {
	gap := l.gaps[lane{e.Service, e.Model}]
	if gap == 0 {
		return l.cfg.StallTimeout
	}
	return min(l.cfg.StallTimeout, max(shortestStall, stallGaps*gap))
}

const (
	// stallGaps is several times the longest pauses seen beside the mean one in a full batch.
	stallGaps = 6
	// shortestStall is above what a busy entry host and a lost packet add.
	shortestStall = 220 * time.Millisecond
)

// Usage returns what is in flight here, for the leader, and remembers it.
func (l *Balancer) Usage(now time.Time) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for _, e := range l.all {
		e.reported, e.reportedWaiting = e.own, e.waiting
		if e.own > 0 {
			out = append(out, wire.EndpointLoad{ID: e.ID, InFlight: e.own, WaitingTokens: e.waiting, Stalled: e.isStalled(now, l.stallAfter(e)), Moved: e.moved})
		}
		e.moved = false
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// SetLoads takes over the sums of all entry hosts, which contain what Usage last returned.
func (l *Balancer) SetLoads(now time.Time, loads []fleet.Load, entries int) {
	l.entries = max(1, entries)
	if !l.told.IsZero() {
		move(&l.period, min(now.Sub(l.told), longestPeriod))
	}
	l.told = now
	for _, e := range l.all {
		e.others, e.othersWaiting, e.othersStalled, e.entries = 0, 0, false, l.entries
		e.othersMoved, e.othersAt = false, now
	}
	for _, t := range loads {
		if e := l.byHandle[t.Handle]; e != nil {
			e.others = max(0, t.InFlight-e.reported)
			e.othersWaiting = max(0, t.WaitingTokens-e.reportedWaiting)
			e.othersStalled, e.othersMoved = t.Stalled, t.Progressed
		}
	}
}

// EntryHosts returns the number of entry hosts that share the endpoints.
func (l *Balancer) EntryHosts() int { return max(1, l.entries) }

// Reservation stands for one request at an endpoint.
type Reservation struct {
	ID     string
	tokens int
	sent   time.Time
	// expected is the predicted time to the first event, without what was learnt of the lane.
	expected time.Duration
	lane     lane
	shown    bool
}

// Start counts a request that is sent to the endpoint of a decision.
func (l *Balancer) Start(now time.Time, d Decision, w Request) *Reservation {
	t := &Reservation{ID: d.ID, tokens: w.PromptTokens, sent: now, expected: d.expected, lane: w.lane()}
	if s := l.shares[t.lane]; s != nil {
		s.left--
	}
	e := l.all[d.ID]
	if e == nil {
		return t
	}
	if e.own == 0 {
		e.progress, e.expected = now, 0
	}
	e.own++
	e.waiting += t.tokens
	e.expected = max(e.expected, d.Predicted)
	return t
}

// RecordProgress notes that an answer moved; gap is the time since its last event, or 0 at the first.
func (l *Balancer) RecordProgress(now time.Time, t *Reservation, gap time.Duration) {
	e := l.all[t.ID]
	if e == nil {
		return
	}
	e.progress, e.moved = now, true
	if gap > 0 {
		move(&e.gap, gap)
		mean := l.gaps[t.lane]
		move(&mean, gap)
		l.gaps[t.lane] = mean
	}
	if !t.shown {
		t.shown = true
		e.shown++
		e.waiting = max(0, e.waiting-t.tokens)
		l.learnFirst(t, now.Sub(t.sent))
	}
}

// learnFirst moves the lane's fixed time to the first event towards what was measured.
func (l *Balancer) learnFirst(t *Reservation, took time.Duration) {
	if t.expected <= 0 {
		return
	}
	fixed := min(longestFixed, max(0, took-t.expected))
	if old, known := l.fixed[t.lane]; known {
		part := fixedRise
		if fixed < old {
			part = fixedFall
		}
		fixed = old + time.Duration(part*float64(fixed-old))
	}
	l.fixed[t.lane] = fixed
}

const (
	// fixedRise and fixedFall are the weights of a new sample above and below the fixed time to the first event.
	// They differ so that the quick answers are followed: what others waited for a slot is not fixed, and counts
	// as waiting.
	fixedRise = 0.01
	fixedFall = 0.1
	// longestFixed bounds a sample, which may come from a server that stalled.
	longestFixed = 400 * time.Millisecond
)

// Result is how a request ended at an endpoint.
type Result int

// Results of requests.
const (
	// Served requests got their whole answer.
	Served Result = iota
	// CallerGone says that the caller went away; nothing is learnt.
	CallerGone
	// Shed says that the endpoint refused for lack of room.
	Shed
	// Failed says that the answer was an error, broke off or did not come.
	Failed
	// Unreachable says that no connection could be opened.
	Unreachable
	// WrongServer says that another server stands at the address, or that it serves no more.
	WrongServer
)

// Finish counts a request out and learns from it.
func (l *Balancer) Finish(now time.Time, t *Reservation, r Result) {
	e := l.all[t.ID]
	if e == nil {
		return
	}
	e.own = max(0, e.own-1)
	if t.shown {
		e.shown = max(0, e.shown-1)
	} else {
		e.waiting = max(0, e.waiting-t.tokens)
	}
	switch r {
	case Served:
		e.learnOutcome(now, false)
		move(&e.hold, now.Sub(t.sent))
		hold := l.holds[t.lane]
		move(&hold, now.Sub(t.sent))
		l.holds[t.lane] = hold
	case Failed:
		e.learnOutcome(now, true)
	case Unreachable, WrongServer:
		e.eject(now)
	case Shed, CallerGone:
	}
}

// IsStalled tells whether no request of an endpoint moves, as far as this host sees.
func (l *Balancer) IsStalled(now time.Time, id string) bool {
	e := l.all[id]
	return e == nil || e.isStalled(now, l.stallAfter(e))
}

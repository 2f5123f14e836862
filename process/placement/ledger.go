package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// Config holds the thresholds of placement.
type Config struct {
	// DataCentre is where this host stands; equal choices go to servers there.
	DataCentre string
	// StallAfter is how long an engine with requests in flight may show nothing.
	StallAfter time.Duration
	// Seed makes choices repeatable.
	Seed uint64
}

const (
	// defaultStall is several passes of a full batch.
	defaultStall = 400 * time.Millisecond
	// defaultHold stands for the time that a request keeps its slot until some were seen.
	defaultHold = 1500 * time.Millisecond
	// localBonus is how many requests a server nearby may have more than one far away.
	localBonus = 0.5
	// objectivePart is the part of the objective that waiting for a slot may take.
	objectivePart = 0.8
	// slowFactor marks a server whose events take that many times as long as those of its peers.
	slowFactor = 2.0
	// shortestReturn is the least time after which a refused caller is asked to come back.
	shortestReturn = 250 * time.Millisecond
)

// Ledger is the state of placement of one entry host.
type Ledger struct {
	cfg    Config
	random *rand.Rand
	all    map[string]*endpoint
	// lanes lists endpoints by service and model, sorted by id.
	lanes   map[lane][]*endpoint
	entries int
}

type lane struct{ service, model string }

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.StallAfter == 0 {
		cfg.StallAfter = defaultStall
	}
	return &Ledger{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), all: map[string]*endpoint{}, lanes: map[lane][]*endpoint{}}
}

// Update takes over which endpoints there are.
func (l *Ledger) Update(full bool, changed []wire.Endpoint, removed []string) {
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
			next := &endpoint{Endpoint: e}
			if old != nil {
				next.own = old.own
			}
			l.all[e.ID] = next
			continue
		}
		old.Endpoint = e
	}
	l.index()
}

func (l *Ledger) index() {
	l.lanes = map[lane][]*endpoint{}
	for _, e := range l.all {
		k := lane{e.Service, e.Model}
		l.lanes[k] = append(l.lanes[k], e)
	}
	for _, list := range l.lanes {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// Len returns the number of endpoints.
func (l *Ledger) Len() int { return len(l.all) }

// Usage returns what is in flight here, for the leader, and remembers it.
func (l *Ledger) Usage(now time.Time) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for _, e := range l.all {
		e.reported = e.own
		if e.own > 0 {
			out = append(out, wire.EndpointLoad{ID: e.ID, InFlight: e.own, Stalled: e.isStalled(now, l.cfg.StallAfter), Moved: e.moved})
		}
		e.moved = false
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// SetLoads takes over the sums of all entry hosts, which contain what Usage last returned.
func (l *Ledger) SetLoads(loads []wire.EndpointLoad, entries int) {
	l.entries = max(1, entries)
	for _, e := range l.all {
		e.others, e.othersStalled = 0, false
	}
	for _, t := range loads {
		if e := l.all[t.ID]; e != nil {
			e.others = max(0, t.InFlight-e.reported)
			e.othersStalled = t.Stalled
		}
	}
}

// Entries returns the number of entry hosts that share the endpoints.
func (l *Ledger) Entries() int { return max(1, l.entries) }

// Started counts a request that is sent to an endpoint.
func (l *Ledger) Started(now time.Time, id string) {
	e := l.all[id]
	if e == nil {
		return
	}
	if e.own == 0 {
		e.progress = now
	}
	e.own++
}

// Progress notes that an answer moved; gap is the time since its last event, or 0 at the first.
func (l *Ledger) Progress(now time.Time, id string, gap time.Duration) {
	e := l.all[id]
	if e == nil {
		return
	}
	e.progress, e.moved = now, true
	if gap > 0 {
		move(&e.gap, gap)
	}
}

// Result is how a request ended at an endpoint.
type Result int

// Results of requests.
const (
	// Served requests got their whole answer.
	Served Result = iota
	// Left says that the caller went away; nothing is learnt.
	Left
	// Shed says that the endpoint refused for lack of room.
	Shed
	// Failed says that the answer was an error, broke off or did not come.
	Failed
	// Unreachable says that no connection could be opened.
	Unreachable
	// Misplaced says that another server stands at the address, or that it serves no more.
	Misplaced
)

// Finished counts a request out and learns from it.
func (l *Ledger) Finished(now time.Time, id string, r Result, held time.Duration) {
	e := l.all[id]
	if e == nil {
		return
	}
	e.own = max(0, e.own-1)
	switch r {
	case Served:
		e.learnOutcome(now, false)
		move(&e.hold, held)
	case Failed:
		e.learnOutcome(now, true)
	case Unreachable, Misplaced:
		e.eject(now)
	case Shed, Left:
	}
}

// IsStalled tells whether no request of an endpoint moves, as far as this host sees.
func (l *Ledger) IsStalled(now time.Time, id string) bool {
	e := l.all[id]
	return e == nil || e.isStalled(now, l.cfg.StallAfter)
}

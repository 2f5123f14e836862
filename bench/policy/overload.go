package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	reports "savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
)

// crowdShape is a fleet whose entry hosts hear of each other from time to time.
type crowdShape struct {
	name                 string
	hosts, groups, slots int
	// tellEvery is how often each host hears of the others.
	tellEvery time.Duration
}

var crowdShapes = []crowdShape{
	{"120 hosts", 120, 44, 15, 240 * time.Millisecond},
	{"12 hosts", 12, 10, 17, 124 * time.Millisecond},
}

const (
	crowdStep      = 5 * time.Millisecond
	crowdObjective = 300 * time.Millisecond
	// crowdHold and crowdSpread describe the time that an answer takes: its mean, and the spread of its logarithm.
	crowdHold   = 1050 * time.Millisecond
	crowdSpread = 0.6
	// crowdReading is the time to the first event behind nobody, and crowdPrompt the tokens read in it.
	crowdReading = 170 * time.Millisecond
	crowdPrompt  = 674
	// crowdPatience is how long a caller waits for any answer; it comes back once, for a third of it at most.
	crowdPatience = 6 * time.Second
	// crowdStart is left out of the score, while the fleet fills.
	crowdStart = 2 * time.Second
)

var crowdEngine = &placement.EngineProfile{ChunkTokens: 2048, PrefillRate: 45900, StepsPerPass: 6, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, TimeFactor: 0.6}

// crowdWay decides at one host.
type crowdWay interface {
	pick(now time.Time, w placement.Request) placement.Decision
	hear(totals map[string]int)
	sent(id string)
	ended(id string)
}

// crowd replays callers that ask for more than all groups can serve: the worst seconds of a fleet. A caller that is
// refused comes back once.
type crowd struct {
	crowdShape
	pressure float64
	random   *rand.Rand
	now      time.Time
	ledgers  []*placement.Balancer
	ways     []crowdWay
	due      []time.Time
	// told holds what each host last told of its own requests.
	told         [][]wire.EndpointLoad
	handles      map[string]uint64
	flight, back []*crowdCall
	busy         map[string]int
	score        crowdScore
}

type crowdCall struct {
	host       int
	ticket     *placement.Reservation
	arrival    time.Time
	returnAt   time.Time
	shown, end time.Time
	counted    bool
}

// crowdScore counts first events by when they came, and callers that were turned away for good.
type crowdScore struct{ asked, inTime, late, lost int }

func (s crowdScore) part(n int) float64 { return float64(n) / float64(max(1, s.asked)) }

func newCrowd(seed uint64, shape crowdShape, pressure float64, way func(l *placement.Balancer, host uint64) crowdWay) *crowd {
	c := &crowd{
		crowdShape: shape, pressure: pressure, random: rand.New(rand.NewPCG(seed, seed+1)), now: time.Unix(1000, 0), busy: map[string]int{},
		handles: map[string]uint64{}, told: make([][]wire.EndpointLoad, shape.hosts),
	}
	var list []wire.Endpoint
	for i := range c.groups {
		e := wire.Endpoint{ID: fmt.Sprintf("g%02d", i), Born: 1, Handle: uint64(i + 1), Service: "engines", Model: "model", Slots: c.slots}
		c.handles[e.ID] = e.Handle
		list = append(list, e)
	}
	for i := range c.hosts {
		l := placement.New(placement.Config{Seed: seed + uint64(i)})
		l.UpdateEndpoints(true, list, nil)
		c.ledgers = append(c.ledgers, l)
		c.ways = append(c.ways, way(l, seed+uint64(i)))
		c.due = append(c.due, c.now.Add(time.Duration(c.random.Int64N(int64(c.tellEvery)))))
	}
	return c
}

func (c *crowd) want(elapsed time.Duration) placement.Request {
	return placement.Request{
		Service: "engines", Model: "model", PromptTokens: crowdPrompt, Engine: crowdEngine, Objective: crowdObjective, Elapsed: elapsed,
		Remaining: crowdPatience - elapsed,
	}
}

// play returns the score of the calls that came after the start.
func (c *crowd) play(length time.Duration) crowdScore {
	perStep := c.pressure * float64(c.groups*c.slots) / crowdHold.Seconds() * crowdStep.Seconds()
	start := c.now
	for c.now.Sub(start) < length {
		c.now = c.now.Add(crowdStep)
		if c.now.Sub(start) < crowdStart {
			c.score = crowdScore{}
		}
		for range poisson(c.random, perStep) {
			c.score.asked++
			c.offer(&crowdCall{arrival: c.now})
		}
		back := c.back
		c.back = nil
		for _, r := range back {
			if r.returnAt.After(c.now) {
				c.back = append(c.back, r)
				continue
			}
			c.offer(r)
		}
		c.serve()
		c.tell()
	}
	return c.score
}

// poisson draws the number of calls in a step.
func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

func (c *crowd) offer(r *crowdCall) {
	r.host = c.random.IntN(c.hosts)
	w := c.want(c.now.Sub(r.arrival))
	d := c.ways[r.host].pick(c.now, w)
	if d.Reason == placement.ReasonNone {
		r.ticket = c.ledgers[r.host].Start(c.now, d, w)
		c.ways[r.host].sent(d.ID)
		c.flight = append(c.flight, r)
		return
	}
	if r.returnAt.IsZero() && d.RetryAfter < w.Remaining/3 {
		r.returnAt = c.now.Add(d.RetryAfter)
		c.back = append(c.back, r)
		return
	}
	c.score.lost++
}

// serve lets every group begin what it has slots for, in order, and ends what is done.
func (c *crowd) serve() {
	kept := c.flight[:0]
	for _, r := range c.flight {
		switch id := r.ticket.ID; {
		case r.end.IsZero() && c.busy[id] < c.slots:
			c.busy[id]++
			hold := math.Exp(c.random.NormFloat64()*crowdSpread-crowdSpread*crowdSpread/2) * crowdHold.Seconds()
			r.shown, r.end = c.now.Add(crowdReading), c.now.Add(max(crowdReading, time.Duration(hold*float64(time.Second))))
		case !r.end.IsZero() && !r.counted && c.now.After(r.shown):
			c.count(r)
		case r.counted && c.now.After(r.end):
			c.busy[id]--
			c.ledgers[r.host].Finish(c.now, r.ticket, placement.Served)
			c.ways[r.host].ended(id)
			continue
		}
		kept = append(kept, r)
	}
	c.flight = kept
}

func (c *crowd) count(r *crowdCall) {
	r.counted = true
	c.ledgers[r.host].RecordProgress(c.now, r.ticket, 0)
	if c.now.Sub(r.arrival) <= crowdObjective {
		c.score.inTime++
	} else {
		c.score.late++
	}
}

// tell lets each host that is due hear of what all hosts have last told.
func (c *crowd) tell() {
	var due []int
	for i := range c.ledgers {
		if !c.now.Before(c.due[i]) {
			due = append(due, i)
			c.told[i] = c.ledgers[i].Usage(c.now)
			c.due[i] = c.now.Add(c.tellEvery)
		}
	}
	if len(due) == 0 {
		return
	}
	totals, tokens := map[string]int{}, map[string]int{}
	for _, list := range c.told {
		for _, l := range list {
			totals[l.ID] += l.InFlight
			tokens[l.ID] += l.WaitingTokens
		}
	}
	var sums []reports.Load
	for id, n := range totals {
		sums = append(sums, reports.Load{Handle: c.handles[id], InFlight: n, WaitingTokens: tokens[id], Progressed: true})
	}
	sort.Slice(sums, func(i, j int) bool { return sums[i].Handle < sums[j].Handle })
	for _, i := range due {
		c.ledgers[i].SetLoads(c.now, sums, c.hosts)
		c.ways[i].hear(totals)
	}
}

// byRoom is the product's way.
type byRoom struct{ ledger *placement.Balancer }

func (b byRoom) pick(now time.Time, w placement.Request) placement.Decision {
	return b.ledger.Pick(now, w)
}
func (byRoom) hear(map[string]int) {}
func (byRoom) sent(string)         {}
func (byRoom) ended(string)        {}

// emptiest takes the emptiest of a few groups by the last word and its own requests since, for as long as the first
// event would be in time: the way that the product's replaces.
type emptiest struct {
	random *rand.Rand
	slots  int
	groups []string
	// heard is what all hosts had in flight, and since what this one has sent more, or ended, since then.
	heard, since map[string]int
	choices      int
}

func newEmptiest(shape crowdShape, host uint64, choices int) *emptiest {
	e := &emptiest{random: rand.New(rand.NewPCG(host, 7)), slots: shape.slots, heard: map[string]int{}, since: map[string]int{}, choices: choices}
	for i := range shape.groups {
		e.groups = append(e.groups, fmt.Sprintf("g%02d", i))
	}
	return e
}

func (e *emptiest) load(id string) int { return e.heard[id] + e.since[id] }

func (e *emptiest) pick(_ time.Time, w placement.Request) placement.Decision {
	best := e.groups[e.random.IntN(len(e.groups))]
	for range e.choices - 1 {
		if id := e.groups[e.random.IntN(len(e.groups))]; e.load(id) < e.load(best) {
			best = id
		}
	}
	wait := crowdHold * time.Duration(max(0, e.load(best)+1-e.slots)) / time.Duration(e.slots)
	if predicted := crowdReading + wait; predicted > max(crowdObjective-w.Elapsed, crowdReading+crowdObjective/2) {
		return placement.Decision{Reason: placement.ReasonFull, RetryAfter: predicted + time.Duration(e.random.Float64()*float64(predicted))}
	}
	return placement.Decision{ID: best}
}

func (e *emptiest) hear(totals map[string]int) { e.heard, e.since = totals, map[string]int{} }
func (e *emptiest) sent(id string)             { e.since[id]++ }
func (e *emptiest) ended(id string)            { e.since[id]-- }

// crowdWays are the ways that are compared.
var crowdWays = []struct {
	name string
	way  func(shape crowdShape) func(l *placement.Balancer, host uint64) crowdWay
}{
	{"by room, in shares", func(crowdShape) func(*placement.Balancer, uint64) crowdWay {
		return func(l *placement.Balancer, _ uint64) crowdWay { return byRoom{l} }
	}},
	{"emptiest of three", func(shape crowdShape) func(*placement.Balancer, uint64) crowdWay {
		return func(_ *placement.Balancer, host uint64) crowdWay { return newEmptiest(shape, host, 3) }
	}},
	{"at random", func(shape crowdShape) func(*placement.Balancer, uint64) crowdWay {
		return func(_ *placement.Balancer, host uint64) crowdWay { return newEmptiest(shape, host, 1) }
	}},
}

// Placement compares ways to place requests at groups while hosts hear of each other late and callers who are refused
// come back.
func Placement(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title:   fmt.Sprintf("placement: callers at 0.7 to 1.4 times what the groups can do, %s, seed %d", length, seed),
		Columns: []string{"fleet", "work", "way", "callers", "in time", "late", "turned away"},
		Notes:   []string{"At most one in work can be in time. Turned away: refused twice."},
	}
	for _, shape := range crowdShapes {
		for _, pressure := range []float64{0.7, 1, 1.4} {
			for _, w := range crowdWays {
				s := newCrowd(seed, shape, pressure, w.way(shape)).play(length)
				t.add(shape.name, fmt.Sprintf("%.1f", pressure), w.name, s.asked, s.part(s.inTime), s.part(s.late), s.part(s.lost))
			}
		}
	}
	return t
}

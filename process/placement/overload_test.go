package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// crowd replays callers that ask for more than all groups can serve, at many entry hosts that hear of each other a
// third of a second late: the worst seconds of a large fleet. A caller that is refused comes back once.
type crowd struct {
	hosts, groups, slots int
	// pressure is the work asked against what the groups can do.
	pressure float64
	// tellEvery is how often each host hears of the others.
	tellEvery time.Duration
	// fixed is what passes on the way to the first event beside reading.
	fixed time.Duration

	r       *rand.Rand
	now     time.Time
	ledgers []*Ledger
	told    []time.Time
	flight  []*crowdRequest
	back    []*crowdRequest
	busy    map[string]int
	score   crowdScore
}

type crowdRequest struct {
	host       int
	ticket     *Ticket
	arrival    time.Time
	returnAt   time.Time
	shown, end time.Time
	counted    bool
}

// crowdScore counts first events by when they came, and callers that were turned away for good.
type crowdScore struct {
	asked, inTime, late, lost int
}

const (
	crowdStep      = 5 * time.Millisecond
	crowdTime      = 14 * time.Second
	crowdObjective = 300 * time.Millisecond
	crowdHold      = 1050 * time.Millisecond
	crowdSpread    = 0.6
)

var crowdEngine = &Engine{Chunk: 2048, ReadRate: 45900, Stride: 6, Step: 7800 * time.Microsecond, PerRequest: 95 * time.Microsecond, Pace: 0.6}

func newCrowd(hosts, groups, slots int, tellEvery time.Duration, pressure float64) *crowd {
	c := &crowd{hosts: hosts, groups: groups, slots: slots, pressure: pressure, tellEvery: tellEvery, fixed: 110 * time.Millisecond}
	c.r, c.now, c.busy = rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0), map[string]int{}
	var list []wire.Endpoint
	for i := range c.groups {
		list = append(list, wire.Endpoint{ID: fmt.Sprintf("g%d", i), Born: 1, Handle: uint64(i + 1), Service: "llm", Model: "m", Slots: c.slots})
	}
	for i := range c.hosts {
		l := New(Config{Seed: uint64(i)})
		l.Update(true, list, nil)
		c.ledgers = append(c.ledgers, l)
		c.told = append(c.told, c.now.Add(time.Duration(c.r.Int64N(int64(c.tellEvery)))))
	}
	return c
}

func (c *crowd) want(elapsed time.Duration) Want {
	return Want{Service: "llm", Model: "m", PromptTokens: 674, Engine: crowdEngine, Objective: crowdObjective, Elapsed: elapsed, Left: 6*time.Second - elapsed}
}

type crowdPick func(l *Ledger, now time.Time, w Want) Decision

// play returns the score of the requests that came after the first two seconds.
func (c *crowd) play(pick crowdPick) crowdScore {
	perStep := c.pressure * float64(c.groups*c.slots) / crowdHold.Seconds() * crowdStep.Seconds()
	start := c.now
	for c.now.Sub(start) < crowdTime {
		c.now = c.now.Add(crowdStep)
		if c.now.Sub(start) < 2*time.Second {
			c.score = crowdScore{}
		}
		for range poisson(c.r, perStep) {
			c.score.asked++
			c.offer(&crowdRequest{arrival: c.now}, pick)
		}
		back := c.back
		c.back = nil
		for _, r := range back {
			if r.returnAt.After(c.now) {
				c.back = append(c.back, r)
				continue
			}
			c.offer(r, pick)
		}
		c.serve()
		c.tell()
	}
	return c.score
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

func (c *crowd) offer(r *crowdRequest, pick crowdPick) {
	r.host = c.r.IntN(c.hosts)
	w := c.want(c.now.Sub(r.arrival))
	d := pick(c.ledgers[r.host], c.now, w)
	if d.Reason == ReasonNone {
		r.ticket = c.ledgers[r.host].Start(c.now, d, w)
		c.flight = append(c.flight, r)
		return
	}
	if r.returnAt.IsZero() && d.RetryAfter < w.Left/3 {
		r.returnAt = c.now.Add(d.RetryAfter)
		c.back = append(c.back, r)
		return
	}
	c.score.lost++
}

func (c *crowd) serve() {
	kept := c.flight[:0]
	for _, r := range c.flight {
		switch id := r.ticket.ID; {
		case r.end.IsZero() && c.busy[id] < c.slots:
			c.busy[id]++
			reading := crowdEngine.first(0, 674, c.slots) + c.fixed
			hold := math.Exp(c.r.NormFloat64()*crowdSpread-crowdSpread*crowdSpread/2) * crowdHold.Seconds()
			r.shown, r.end = c.now.Add(reading), c.now.Add(max(reading, time.Duration(hold*float64(time.Second))))
		case !r.end.IsZero() && !r.counted && c.now.After(r.shown):
			r.counted = true
			c.ledgers[r.host].Progress(c.now, r.ticket, 0)
			if c.now.Sub(r.arrival) <= crowdObjective {
				c.score.inTime++
			} else {
				c.score.late++
			}
		case r.counted && c.now.After(r.end):
			c.busy[id]--
			c.ledgers[r.host].Finished(c.now, r.ticket, Served)
			continue
		}
		kept = append(kept, r)
	}
	c.flight = kept
}

// tell lets each host that is due hear of what all hosts last told.
func (c *crowd) tell() {
	total := map[string]*fleet.Load{}
	var due []int
	for i := range c.ledgers {
		if !c.now.Before(c.told[i]) {
			due = append(due, i)
		}
	}
	if len(due) == 0 {
		return
	}
	for _, i := range due {
		c.ledgers[i].Usage(c.now)
		c.told[i] = c.now.Add(c.tellEvery)
	}
	for _, l := range c.ledgers {
		for _, e := range l.all {
			if e.reported == 0 {
				continue
			}
			t := total[e.ID]
			if t == nil {
				t = &fleet.Load{Handle: e.Handle, Moved: true}
				total[e.ID] = t
			}
			t.InFlight += e.reported
			t.WaitingTokens += e.reportedWaiting
		}
	}
	var sums []fleet.Load
	for _, t := range total {
		sums = append(sums, *t)
	}
	for _, i := range due {
		c.ledgers[i].SetLoads(c.now, sums, c.hosts)
	}
}

// emptiest is the way of placing that shares and the draw replace: the best of three groups, for as long as it
// promises a first event in time.
func emptiest(l *Ledger, now time.Time, w Want) Decision {
	usable, _ := l.usable(now, w)
	var best offer
	for range choices {
		if o := l.weigh(usable[l.random.IntN(len(usable))], usable, w); best.endpoint == nil || o.score < best.score {
			best = o
		}
	}
	if !l.fits(best, w) {
		return l.refuseFull(usable, best)
	}
	return Decision{ID: best.ID, Predicted: best.predicted, expected: best.expected}
}

// TestCrowd compares placement with the way it replaces, at several pressures, in a large fleet and a small one.
// What can be in time at most is one in pressure; three fifths of it are demanded when groups are overrun.
func TestCrowd(t *testing.T) {
	large := func(pressure float64) *crowd { return newCrowd(120, 44, 15, 240*time.Millisecond, pressure) }
	small := func(pressure float64) *crowd { return newCrowd(12, 10, 17, 124*time.Millisecond, pressure) }
	for _, tt := range []struct {
		name     string
		load     func(pressure float64) *crowd
		pressure float64
		// want is the least part of all callers who are in time, and times how many as many as before.
		want, times float64
	}{
		{"large, usual", large, 0.7, 0.97, 1},
		{"large, full", large, 1.0, 0.6, 1},
		{"large, overrun", large, 1.4, 0.6 / 1.4, 3},
		{"small, usual", small, 0.7, 0.97, 0.97},
		{"small, full", small, 1.0, 0.6, 1},
		{"small, overrun", small, 1.4, 0.6 / 1.4, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := tt.load(tt.pressure).play(func(l *Ledger, now time.Time, w Want) Decision { return l.Pick(now, w) })
			before := tt.load(tt.pressure).play(emptiest)
			part := func(n int, s crowdScore) float64 { return float64(n) / float64(s.asked) }
			t.Logf("in time %.3f, late %.3f, lost %.3f; the emptiest of three: %.3f, %.3f, %.3f", part(got.inTime, got), part(got.late, got), part(got.lost, got),
				part(before.inTime, before), part(before.late, before), part(before.lost, before))
			if in := part(got.inTime, got); in < tt.want || in < tt.times*part(before.inTime, before) {
				t.Errorf("%.3f in time, want %.3f, and %.2f times %.3f", in, tt.want, tt.times, part(before.inTime, before))
			}
		})
	}
}

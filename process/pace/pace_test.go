package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// backend is a server that works on up to slots requests at its full speed. Where it can take fewer, all requests take longer.
type backend struct {
	id string
	// speed returns its speed after a time, as a fraction of the usual one; slowAlways lets each request take longer in
	// proportion, however few there are.
	speed      func(after time.Duration) float64
	slowAlways bool
	fails      bool
	// untimed lets hosts compare no times, as for plain responses.
	untimed bool
	// prompts is the mean time between two long prompts, which hold up the next event of all requests to sixfold; 0 for none.
	prompts time.Duration
	// demand is the number of requests per second while it is known to be empty; simDemand if it is 0.
	demand float64
	// left is the work of each request in flight, in seconds at full speed.
	left []float64
	// known is the number in flight that hosts know, which is up to two reports old.
	known                 []int
	capKnown              []int
	times, ended, refused int
	slowness              float64
	served                int
	// flooded is the longest time for which it had twice what it can take, flooding the time until now.
	flooded, flooding time.Duration
	// falls counts those of the cap once it should be steady.
	falls int
}

const (
	simTick   = 10 * time.Millisecond
	simSlots  = 30
	simTime   = 15 * time.Second
	simReport = 160 * time.Millisecond
	// simMaxSlowness is the bound of each time that hosts report.
	simMaxSlowness = 3.0
	// simLeast is the fraction of its slots that a server may have in flight, twice, however few it can take.
	simLeast = 0.25
	// simKnown is the age, in ticks, of what hosts know of the load: two reports.
	simKnown = 32
	// maxFlooded is the longest time for which a server may have twice what it can take: a judgement, two reports, and until it has
	// worked off what it has.
	maxFlooded = 1500 * time.Millisecond
	// maxFalls is the number of probes, after 1, 2, 4 and 8 s, that fit into the time.
	maxFalls = 3
	// simDemand is the number of requests per second for a server that is known to be empty.
	simDemand = 45.0
)

func (s *backend) take(after time.Duration) float64 { return simSlots * s.speed(after) }

// step lets a tick pass: hosts send by what they know, and the server works.
func (s *backend) step(r *rand.Rand, after time.Duration) {
	free := float64(s.capKnown[0]-s.known[0]) / simSlots
	demand := s.demand
	if demand == 0 {
		demand = simDemand
	}
	for n := demand * max(0, free) * simTick.Seconds(); n > 0; n-- {
		if r.Float64() < n {
			s.left = append(s.left, 0.5+r.Float64())
		}
	}
	slowness := max(1, float64(len(s.left))/max(1, s.take(after)))
	if s.slowAlways {
		slowness = 1 / s.speed(after)
	}
	if float64(len(s.left)) > 2*max(s.take(after), simSlots*simLeast) {
		s.flooding += simTick
		s.flooded = max(s.flooded, s.flooding)
	} else {
		s.flooding = 0
	}
	if s.prompts > 0 && r.Float64() < simTick.Seconds()/s.prompts.Seconds() {
		// Each request has one event that comes late.
		s.times += len(s.left)
		s.slowness += min(simMaxSlowness, 6) * float64(len(s.left))
	}
	var left []float64
	for _, w := range s.left {
		// An event each 50 ms of work.
		if !s.untimed && math.Floor(w/0.05) != math.Floor((w-simTick.Seconds()/slowness)/0.05) {
			s.times++
			s.slowness += min(simMaxSlowness, slowness)
		}
		if w -= simTick.Seconds() / slowness; w > 0 {
			left = append(left, w)
			continue
		}
		s.served++
		if s.fails {
			s.refused++
		} else {
			s.ended++
		}
	}
	s.left = left
}

// play lets servers start together and run for a time, on pace or not, and returns them with what they had served by a time.
func play(seed uint64, n int, paced bool, make func(id string) *backend, servedUntil time.Duration) (servers []*backend, served []int) {
	r, tracker, start := rand.New(rand.NewPCG(seed, 2)), NewTracker(1500*time.Millisecond), time.Unix(1000, 0)
	tracker.Sync(start.Add(-time.Minute), nil, true)
	for i := range n {
		servers = append(servers, make(fmt.Sprint("server-", i)))
	}
	for after := time.Duration(0); after < simTime; after += simTick {
		now := start.Add(after)
		var list []Server
		for _, s := range servers {
			list = append(list, Server{ID: s.id, Slots: simSlots, InFlight: s.known[len(s.known)/2]})
		}
		tracker.Sync(now, list, true)
		fallen := map[string]bool{}
		for _, c := range tracker.Step(now) {
			fallen[c.ID] = c.Cap != 0 && c.Cap < c.Before
		}
		for _, s := range servers {
			if after > servedUntil+time.Second && fallen[s.id] {
				s.falls++
			}
			n := tracker.Cap(s.id)
			if n == 0 || !paced {
				n = simSlots
			}
			s.known, s.capKnown = append(s.known[1:], len(s.left)), append(s.capKnown[1:], n)
			s.step(r, after)
			if after%simReport < simTick {
				tracker.Record(now, []Sample{{ID: s.id, Times: s.times, Slowness: s.slowness, Served: s.ended, Refused: s.refused}})
				s.times, s.slowness, s.ended, s.refused = 0, 0, 0, 0
			}
			if after == servedUntil {
				served = append(served, s.served)
			}
		}
	}
	return servers, served
}

// TestPace checks under the load that each case names that servers on pace have twice what they can take for a moment at most, and get
// four fifths of what they get without a pace, without oscillation, from 2 s after they are well.
func TestPace(t *testing.T) {
	always := func(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }
	until := func(end time.Duration, slow float64) func(time.Duration) float64 {
		return func(after time.Duration) float64 {
			if after < end {
				return slow
			}
			return 1
		}
	}
	for _, tt := range []struct {
		name       string
		servers    int
		speed      func(time.Duration) float64
		slowAlways bool
		fails      bool
		untimed    bool
		wellAt     time.Duration
		// least and most bound the requests served later, as a fraction of those without a pace.
		least, most float64
	}{
		{"well at once", 1, always(1), false, false, false, 0, 0.8, 1.2},
		{"well at once, plain responses", 1, always(1), false, false, true, 0, 0.8, 1.2},
		{"takes a quarter for 3 s after its start", 1, until(3*time.Second, 0.25), false, false, false, 3 * time.Second, 0.8, 1.2},
		{"slow for 3 s after its start", 1, until(3*time.Second, 0.25), true, false, false, 3 * time.Second, 0.8, 1.2},
		{"recovers in a second", 1, until(time.Second, 0.3), true, false, false, time.Second, 0.8, 1.2},
		{"takes a third for good", 1, always(1. / 3), false, false, false, 0, 0.8, 1.2},
		{"slow for good", 1, always(1. / 3), true, false, false, 0, 0.1, 0.6},
		{"thirty start together, slow for 2 s", 30, until(2*time.Second, 0.3), true, false, false, 2 * time.Second, 0.8, 1.2},
		{"thirty start together, take a third for 2 s", 30, until(2*time.Second, 0.3), false, false, false, 2 * time.Second, 0.8, 1.2},
		{"answers fast but wrongly", 1, always(1), false, true, false, 0, 0, 0.7},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := func(id string) *backend {
				return &backend{id: id, speed: tt.speed, slowAlways: tt.slowAlways, fails: tt.fails, untimed: tt.untimed, known: make([]int, simKnown), capKnown: make([]int, simKnown/2)}
			}
			for seed := range uint64(6) {
				servers, before := play(seed, tt.servers, true, start, tt.wellAt+2*time.Second)
				unpaced, unpacedBefore := play(seed, tt.servers, false, start, tt.wellAt+2*time.Second)
				got, want := 0.0, 0.0
				for i, s := range servers {
					if i == 0 {
						t.Logf("flooded for %v (%v without a pace), %d falls, served %d (%d)", s.flooded, unpaced[i].flooded, s.falls, s.served, unpaced[i].served)
					}
					if s.flooded > maxFlooded {
						t.Errorf("seed %d: %s had twice what it can take for %v, want %v at most", seed, s.id, s.flooded, maxFlooded)
					}
					got += float64(s.served - before[i])
					want += float64(unpaced[i].served - unpacedBefore[i])
					if s.falls > maxFalls {
						t.Errorf("seed %d: the cap of %s fell %d times from 3 s after it was well, want %d times at most", seed, s.id, s.falls, maxFalls)
					}
				}
				if got < tt.least*want || got > tt.most*want {
					t.Errorf("seed %d: served %v requests after %v, %v without a pace", seed, got, tt.wellAt+2*time.Second, want)
				}
			}
		})
	}
}

// TestPaceBesideLongPrompts checks that a server that is well isn't taken for slow by few times: with two or three requests in flight, a long
// prompt holds up an event of each now and then.
func TestPaceBesideLongPrompts(t *testing.T) {
	for seed := range uint64(20) {
		servers, _ := play(seed, 1, true, func(id string) *backend {
			return &backend{id: id, speed: func(time.Duration) float64 { return 1 }, prompts: 700 * time.Millisecond, demand: 3, known: make([]int, simKnown), capKnown: make([]int, simKnown/2)}
		}, 0)
		if s := servers[0]; s.falls > 0 {
			t.Errorf("seed %d: the cap fell %d times", seed, s.falls)
		}
	}
}

// TestPaceBegins checks which servers begin on pace.
func TestPaceBegins(t *testing.T) {
	now := time.Unix(1000, 0)
	list := func(cold bool, born int64) []Server {
		return []Server{{ID: "a", Born: born, Slots: 30, Cold: cold}, {ID: "b", Born: 1, Slots: 30}}
	}
	halt := func(p *Tracker, d time.Duration, change func(s *Server)) {
		l := list(false, 1)
		p.Sync(now, l, true)
		change(&l[0])
		p.Sync(now, l, true)
		p.Sync(now.Add(d), list(false, 1), true)
	}
	stall := func(p *Tracker, d time.Duration) { halt(p, d, func(s *Server) { s.Stalled = true }) }
	for _, tt := range []struct {
		name string
		do   func(p *Tracker)
		want int
	}{
		{"known to a new leader first", func(p *Tracker) { p.Sync(now, list(false, 1), true) }, 0},
		{"cold, known to a new leader first", func(p *Tracker) { p.Sync(now, list(true, 1), true) }, 8},
		{"known to a new leader later", func(p *Tracker) { p.Sync(now, nil, false); p.Sync(now.Add(time.Second), list(false, 1), true) }, 0},
		{"cold, known to a new leader later", func(p *Tracker) { p.Sync(now, nil, true); p.Sync(now.Add(time.Second), list(true, 1), true) }, 8},
		{"new", func(p *Tracker) { p.Sync(now, nil, true); p.Sync(now.Add(3*time.Second), list(false, 1), true) }, 8},
		{"started again", func(p *Tracker) { p.Sync(now, list(false, 1), true); p.Sync(now, list(false, 2), true) }, 8},
		{"new before there are requests", func(p *Tracker) { p.Sync(now, nil, false); p.Sync(now, list(true, 1), false) }, 0},
		{"stalled for a moment", func(p *Tracker) { stall(p, 300*time.Millisecond) }, 0},
		{"stalled", func(p *Tracker) { stall(p, 2*time.Second) }, 8},
		{"silent without requests", func(p *Tracker) { halt(p, 2*time.Second, func(s *Server) { s.Silent = true }) }, 8},
		{"silent, but requests go on", func(p *Tracker) { halt(p, 2*time.Second, func(s *Server) { s.Silent, s.InFlight = true, 3 }) }, 0},
		{"removed", func(p *Tracker) { p.Sync(now, list(true, 1), true); p.Sync(now, nil, true) }, 0},
		{"no answers for a long time", func(p *Tracker) { p.Sync(now, list(true, 1), true); p.Step(now.Add(maxTime + time.Second)) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := NewTracker(1500 * time.Millisecond)
			if tt.do(p); p.Cap("a") != tt.want {
				t.Errorf("cap %d, want %d", p.Cap("a"), tt.want)
			}
		})
	}
}

package formation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// The replays below are of a fleet with groups of 16 and of 4 in six domains of 37, two in each data centre.
const (
	replayDomains   = 6
	replayHosts     = 37
	replaySlots     = 30
	demandAverage   = 4 * time.Second // as the controller's
	replayTime      = 40 * time.Second
	replayLarge     = 16
	replaySmall     = 4
	replaySmallPace = 0.6
)

// demandReplay is one load: the offered demand of both models in slots by the time since its start, and what happens to servers 5 s after it.
type demandReplay struct {
	name   string
	demand func(at time.Duration) (large, small float64)
	event  func(s *sim)
}

// played is what a replay gave: the fractions of both models' demand, and of the best possible, that open groups had slots for.
type played struct {
	large, small, best float64
	closed, loads      int
}

func newReplaySim(t *testing.T) *sim {
	s := newSim(t, 1)
	c, err := catalogue.New(catalogue.Document{Version: 1, Services: []catalogue.Service{{Name: "engines", Engine: &catalogue.Engine{
		Slots: replaySlots, LoadsPerSecond: 14, MaxConcurrentLoads: 20, MaxStagedModels: 1, OpenTime: 300 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: "large", HostsPerGroup: replayLarge, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", HostsPerGroup: replaySmall, InitialShare: 0.5, TimeFactor: replaySmallPace, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	s.catalogue, s.servers, s.lastServer, s.lossless, s.stepInterval = c, map[string]*simServer{}, 0, true, 100*time.Millisecond
	for d := range replayDomains {
		for range replayHosts {
			s.add(fmt.Sprintf("d%d", d))
		}
	}
	s.run(9*time.Second, nil)
	return s
}

// loseServers kills every nth server, and adds as many empty ones after a while, or none if that is 0.
func (s *sim) loseServers(n int, after time.Duration) {
	for i, v := range s.sorted() {
		if i%n == 0 && !v.dead {
			v.dead = true
			if domain := v.domain; after > 0 {
				s.after(after, func() { s.add(domain) })
			}
		}
	}
}

// bestServed returns the most demand that living servers could serve if groups could be formed at once: the bound of any decision.
func (s *sim) bestServed(large, small float64) float64 {
	living := map[string]int{}
	for _, v := range s.servers {
		if !v.dead && !s.evacuated.Covers(v.domain) {
			living[v.domain]++
		}
	}
	// smallAt holds the most groups of 4 beside each number of groups of 16.
	smallAt := map[int]int{0: 0}
	for _, n := range living {
		next := map[int]int{}
		for have, groups := range smallAt {
			for k := 0; k*replayLarge <= n; k++ {
				next[have+k] = max(next[have+k], groups+(n-k*replayLarge)/replaySmall)
			}
		}
		smallAt = next
	}
	best := 0.0
	for l, groups := range smallAt {
		best = max(best, min(large, float64(l*replaySlots))+min(small, float64(groups)*replaySlots/replaySmallPace))
	}
	return best
}

// play runs a replay. Demand is known as the controller averages it.
func (x demandReplay) play(t *testing.T) played {
	s := newReplaySim(t)
	s.served = true
	var p played
	s.onOrder = func(o savorywing.FleetOrder) {
		if o.Action == savorywing.ActionClose {
			p.closed++
		}
	}
	l, m := x.demand(-1)
	s.demand = map[string]float64{"large": l, "small": m}
	s.run(20*time.Second, nil)
	p.closed = 0
	start, total, served, possible := s.now, map[string]float64{}, map[string]float64{}, 0.0
	weight := 1 - math.Exp(-s.stepInterval.Seconds()/demandAverage.Seconds())
	s.run(replayTime, func() {
		at := s.now.Sub(start)
		if x.event != nil && at >= 5*time.Second {
			x.event(s)
			x.event = nil
		}
		l, m := x.demand(at)
		s.demand["large"] += (l - s.demand["large"]) * weight
		s.demand["small"] += (m - s.demand["small"]) * weight
		open := s.openGroupsOutside()
		total["large"], total["small"] = total["large"]+l, total["small"]+m
		served["large"] += min(l, float64(open["large"]*replaySlots))
		served["small"] += min(m, float64(open["small"])*replaySlots/replaySmallPace)
		possible += s.bestServed(l, m)
	})
	p.large, p.small, p.loads = served["large"]/total["large"], served["small"]/total["small"], len(s.loads)
	p.best = (served["large"] + served["small"]) / possible
	return p
}

// openGroupsOutside counts the open groups outside evacuated data centres.
func (s *sim) openGroupsOutside() map[string]int {
	n := map[string]int{}
	for _, v := range s.servers {
		if !v.dead && v.rank == 0 && v.state == fleet.StateOpen && !s.lacksMember(v) && !s.evacuated.Covers(v.domain) {
			n[v.model]++
		}
	}
	return n
}

// domainsOf returns the first n domains with groups of a model.
func (s *sim) domainsOf(model string, n int) []string {
	found := map[string]bool{}
	for _, v := range s.sorted() {
		if v.model == model && v.state == fleet.StateOpen && len(found) < n {
			found[v.domain] = true
		}
	}
	return slices.Collect(maps.Keys(found))
}

func constant(large, small float64) func(time.Duration) (float64, float64) {
	return func(time.Duration) (float64, float64) { return large, small }
}

func demandReplays() []demandReplay {
	jump := func(at time.Duration) (float64, float64) {
		if at >= 5*time.Second && at < 13*time.Second {
			return 120 * 1.5, 700
		}
		return 120, 700
	}
	swing := func(at time.Duration) (float64, float64) {
		switch {
		case at < 0:
			return 130, 700
		case at/(2*time.Second)%2 == 0:
			return 200, 600
		}
		return 60, 800
	}
	move := func(at time.Duration) (float64, float64) {
		if at > 5*time.Second {
			return 240, 600
		}
		return 75, 700
	}
	evacuate := func(s *sim) { s.evacuate(s.domainsOf("large", 2)...) }
	return []demandReplay{
		{"demand jumps to 1.5 times for 8 s", jump, nil},
		{"demand swings each 2 s", swing, nil},
		{"demand moves", move, nil},
		{"a third is lost", constant(75, 700), func(s *sim) {
			lost := append(s.domainsOf("large", 1), s.domainsOf("small", 1)...)
			for _, v := range s.sorted() {
				v.dead = v.dead || slices.Contains(lost, v.domain)
			}
		}},
		{"a sixth crashes and returns", constant(75, 800), func(s *sim) { s.loseServers(6, 4500*time.Millisecond) }},
		{"two large domains evacuated", constant(75, 900), evacuate},
		{"two large domains evacuated, a seventh lost, small groups half used", constant(75, 500), func(s *sim) {
			evacuate(s)
			s.loseServers(7, 0)
		}},
		{"two large domains evacuated, a seventh lost, small groups used", constant(75, 800), func(s *sim) {
			evacuate(s)
			s.loseServers(7, 0)
		}},
	}
}

// TestDemandReplay checks that groups of each model stand ready where demand goes. The wanted fractions of the demand are just below what was
// measured when the decision was made.
func TestDemandReplay(t *testing.T) {
	want := []struct {
		large, small float64
		closed       int
	}{{0.99, 0.99, 5}, {0.98, 0.99, 5}, {0.93, 0.99, 10}, {0.99, 0.99, 0}, {0.95, 0.98, 0}, {0.96, 0.99, 9}, {0.92, 0.99, 16}, {0.84, 0.98, 6}}
	for i, x := range demandReplays() {
		t.Run(x.name, func(t *testing.T) {
			p := x.play(t)
			t.Logf("large %.3f, small %.3f of the demand; %.3f of the best possible; %d groups closed, %d loads", p.large, p.small, p.best, p.closed, p.loads)
			if w := want[i]; p.large < w.large || p.small < w.small || p.closed > w.closed {
				t.Errorf("wanted at least %.3f and %.3f, and at most %d closed", w.large, w.small, w.closed)
			}
		})
	}
}

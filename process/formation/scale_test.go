package formation

import (
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

const (
	// scaleLosses is the number of engines that are lost, and replaced, every scaleLossInterval.
	scaleLosses       = 11
	scaleLossInterval = 2500 * time.Millisecond
	// scaleStep is the time between two steps of the leader.
	scaleStep = 100 * time.Millisecond
)

func scaleCatalogue(t testing.TB) *catalogue.Catalogue {
	t.Helper()
	c, err := catalogue.New(catalogue.Document{Version: 1, Services: []catalogue.Service{{Name: "engines", Engine: &catalogue.Engine{
		Slots: 14, LoadsPerSecond: 14, MaxConcurrentLoads: 20, MaxStagedModels: 1, OpenTime: 300 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: "large", HostsPerGroup: 8, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", HostsPerGroup: 4, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newScaleSim returns a fleet of domains of 19 engines, with groups open and demand known.
func newScaleSim(t *testing.T, engines int) *sim {
	s := newSim(t, 1)
	s.catalogue, s.servers, s.lastServer = scaleCatalogue(t), map[string]*simServer{}, 0
	for i := range engines {
		s.add(fmt.Sprintf("d%d", i/19))
	}
	s.run(9*time.Second, nil)
	s.served = true
	s.demand = map[string]float64{"large": float64(engines) / 4, "small": float64(engines) / 2}
	return s
}

// stepTimes returns the mean and the longest time of a step while engines are lost and replaced, and the mean of the
// steps in which no order is sent.
func (s *sim) stepTimes(losses int, d time.Duration) (mean, longest, idle time.Duration) {
	total, idleTotal, steps, idleSteps := time.Duration(0), time.Duration(0), 0, 0
	next := s.now.Add(scaleLossInterval)
	for end := s.now.Add(d); s.now.Before(end); {
		if !s.now.Before(next) {
			next = next.Add(scaleLossInterval)
			s.loseMembers(losses)
		}
		s.stepInterval = scaleStep
		orders := s.step()
		total, steps, longest = total+s.lastStep, steps+1, max(longest, s.lastStep)
		if orders == 0 {
			idleTotal, idleSteps = idleTotal+s.lastStep, idleSteps+1
		}
	}
	return total / time.Duration(max(1, steps)), longest, idleTotal / time.Duration(max(1, idleSteps))
}

// loseMembers kills n members of groups, and adds as many empty engines.
func (s *sim) loseMembers(n int) {
	for _, v := range s.sorted() {
		if n > 0 && !v.dead && v.state == fleet.StateOpen {
			v.dead = true
			s.add(v.domain)
			n--
		}
	}
}

// BenchmarkStep measures the leader's planning step at several sizes of the fleet, with the same losses.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{57, 190, 760, 2100, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			t := &testing.T{}
			for b.Loop() {
				s := newScaleSim(t, engines)
				_, _, quiet := s.stepTimes(0, 10*time.Second)
				mean, longest, _ := s.stepTimes(scaleLosses, 50*time.Second)
				b.ReportMetric(float64(quiet.Microseconds()), "quiet-µs/step")
				b.ReportMetric(float64(mean.Microseconds()), "losses-µs/step")
				b.ReportMetric(float64(longest.Microseconds()), "longest-µs")
			}
		})
	}
}

// hashOrders returns a hash of all orders of a run.
func hashOrders(t *testing.T, seed uint64) uint64 {
	s := newSim(t, seed)
	h := fnv.New64a()
	s.onOrders = func(text string) { _, _ = h.Write([]byte(text)) }
	s.run(9*time.Second, nil)
	s.served = true
	s.run(40*time.Second, func() { s.injectFaults() })
	s.run(20*time.Second, nil)
	return h.Sum64()
}

// TestOrdersUnchanged checks that runs with random faults lead to the recorded orders. The hashes were recorded with the
// planner that searched all servers and groups in each step, before it had an index.
func TestOrdersUnchanged(t *testing.T) {
	f, err := os.ReadFile("testdata/orders.golden")
	if err != nil {
		t.Fatal(err)
	}
	seeds := 20
	if testing.Short() {
		seeds = 2
	}
	for line := range strings.Lines(string(f)) {
		var seed, want uint64
		if _, err := fmt.Sscanf(line, "%d %x", &seed, &want); err != nil {
			t.Fatal(err)
		}
		if seeds--; seeds < 0 {
			return
		}
		if got := hashOrders(t, seed); got != want {
			t.Errorf("seed %d: the hash of the orders is %x, want %x", seed, got, want)
		}
	}
}

package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// caller is a group of callers of a replay: how many requests it sends a second, in slots' worth of the pool's capacity.
type caller struct {
	Claim
	usual, burst float64
}

// replayClaims replays 10 s of callers at a pool whose hosts hear of its load every 64 ms, with a burst from 2 s to 8 s, and returns
// the fraction of each that was sent during the burst, and of all. Without ordered, hosts don't know who asks.
func replayClaims(seed uint64, hosts int, callers []caller, ordered bool) (sent []float64, total float64) {
	const (
		slots     = 480
		occupancy = 1200 * time.Millisecond
		step      = 5 * time.Millisecond
		interval  = 64 * time.Millisecond
		from, to  = 2 * time.Second, 8 * time.Second
		length    = 10 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 2))
	shares := make([]*Share, hosts)
	for i := range shares {
		shares[i] = newShare(seed + uint64(i))
	}
	start := time.Unix(1000, 0)
	load, known := 0, 0
	var ends []time.Time
	asked, got := make([]float64, len(callers)), make([]float64, len(callers))
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now := start.Add(elapsed)
		for len(ends) > 0 && !ends[0].After(now) {
			ends, load = ends[1:], load-1
		}
		if elapsed%interval < step {
			known = load
		}
		c := Capacity{Load: known, Slots: slots, Released: float64(min(known, slots)) / occupancy.Seconds(), Hosts: hosts, Interval: interval}
		inBurst := elapsed >= from && elapsed < to
		for i, k := range callers {
			rate := k.usual
			if inBurst {
				rate = k.burst
			}
			for range arrivals(random, rate*slots/occupancy.Seconds()*step.Seconds()) {
				s, claim := shares[random.IntN(hosts)], k.Claim
				if !ordered {
					claim = Claim{}
				}
				sends := s.Allow(now, c, claim)
				if sends {
					s.RecordSent(now, claim)
					load, ends = load+1, append(ends, now.Add(occupancy))
				}
				if inBurst {
					if asked[i]++; sends {
						got[i]++
					}
				}
			}
		}
	}
	all, sum := 0.0, 0.0
	for i := range callers {
		all, sum = all+asked[i], sum+got[i]
		sent = append(sent, got[i]/asked[i])
	}
	return sent, sum / all
}

// arrivals returns a random number of requests with the given mean.
func arrivals(random *rand.Rand, mean float64) int {
	n := 0
	for ; mean > 0; mean-- {
		if random.Float64() < mean {
			n++
		}
	}
	return n
}

// TestOrder replays bursts of 1.6 times the capacity. Who comes first is sent clearly more often than without an order, nobody is
// starved, equal ones are sent as before, and about as many in all.
func TestOrder(t *testing.T) {
	kind := func(priority int, usual, burst float64) caller {
		return caller{Claim{Priority: priority}, usual, burst}
	}
	org := func(name string, usual, burst float64) caller {
		return caller{Claim{Organisation: name}, usual, burst}
	}
	for _, tt := range []struct {
		name    string
		callers []caller
		// minGain is the least rise of the fraction of the first caller's requests that are sent, and maxFall the most by which the
		// last one's falls, with 24 hosts and with 126, which each get few requests to judge by.
		minGain, maxFall [2]float64
	}{
		{"burst of the least urgent kind", []caller{kind(0, 0.2, 0.2), kind(1, 0.2, 0.2), kind(2, 0.2, 1.2)}, [2]float64{0.2, 0.1}, [2]float64{0.12, 0.12}},
		{"burst of the most urgent kind", []caller{kind(0, 0.2, 1.2), kind(1, 0.2, 0.2), kind(2, 0.2, 0.2)}, [2]float64{0.03, 0}, [2]float64{0.32, 0.32}},
		{"an organisation with half of the load", []caller{org("a", 0.1, 0.2), org("b", 0.1, 0.2), org("c", 0.1, 0.2), org("d", 0.1, 0.2), org("e", 0.2, 0.8)}, [2]float64{0.1, 0.03}, [2]float64{0.25, 0.25}},
		{"equal ones", []caller{org("a", 0.15, 0.4), org("b", 0.15, 0.4), org("c", 0.15, 0.4), org("d", 0.15, 0.4)}, [2]float64{-0.05, -0.05}, [2]float64{0.05, 0.05}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for i, hosts := range []int{24, 126} {
				sent, total := replayClaims(1, hosts, tt.callers, true)
				before, totalBefore := replayClaims(1, hosts, tt.callers, false)
				t.Logf("%d hosts: sent %.3f, of all %.3f; without an order %.3f, %.3f", hosts, sent, total, before, totalBefore)
				if gain := sent[0] - before[0]; gain < tt.minGain[i] {
					t.Errorf("%d hosts: %.3f more of the first one's sent, want at least %.3f", hosts, gain, tt.minGain[i])
				}
				last := len(sent) - 1
				if fall := before[last] - sent[last]; fall > tt.maxFall[i] || sent[last] < guarantee*total {
					t.Errorf("%d hosts: %.3f of the last one's sent, want at most %.3f less than %.3f, and %.1f times %.3f", hosts, sent[last], tt.maxFall[i], before[last], guarantee, total)
				}
				if total < 0.95*totalBefore {
					t.Errorf("%d hosts: %.3f of all sent, want about the %.3f without an order", hosts, total, totalBefore)
				}
			}
		})
	}
}

// TestClaimsFade checks that an order ends after an overload, also when the clock was set back, and that a copy has counts of its own.
func TestClaimsFade(t *testing.T) {
	now := time.Unix(1000, 0)
	urgent, other := Claim{Priority: 0}, Claim{Priority: 1}
	for _, tt := range []struct {
		name  string
		later time.Duration
		want  bool
	}{
		{"at once", 0, true}, {"in a pause", claimMemory / 2, true}, {"after the overload", claimMemory + time.Second, false}, {"an hour later", time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newClaims()
			for range 20 {
				for _, claim := range []Claim{urgent, other} {
					c.yields(now, claim)
					c.recordSent(now, claim)
				}
			}
			copied := c.clone()
			c.recordRejected(now, urgent)
			if got := c.yields(now.Add(tt.later), other); got != tt.want {
				t.Errorf("yields is %v, want %v", got, tt.want)
			}
			if copied.yields(now, other) {
				t.Error("the copy has the rejection of the original")
			}
			if c.yields(now.Add(-time.Minute), urgent) {
				t.Error("the most urgent one yields after the clock was set back")
			}
		})
	}
}

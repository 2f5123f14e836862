package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/process/admission"
	"savorywing.example/savorywing/process/router"
)

const (
	simPrefixes    = 400
	simCacheSize   = 60
	prefixSkew     = 1.1
	routingLoad    = 0.7
	cacheEventLoss = 0.3
	// oracle is the baseline's name: it knows every group's current load and cache.
	oracle = "perfect knowledge"
	// groupBids is the policy in which every group computes its own cost of a request from its current queue and cache. It
	// costs one message to each group and back for every request.
	groupBids = "groups bid"
)

// routingRun simulates one routing policy with one report interval.
type routingRun struct {
	loop    *eventLoop
	random  *rand.Rand
	engines []*engine
	routers []*router.Router
	// unreportedSent counts, for each entry host and engine, the requests sent since the engine's last report.
	unreportedSent [][]int
	policy         string
	reportAge      time.Duration
	// ownSlots limits what a host has in flight at a group to the host's own slots.
	ownSlots bool
	// borrowing allows hosts to borrow free slots.
	borrowing       bool
	inFlight        [][]int
	firstTokenTimes []time.Duration
	zipf            *rand.Zipf
}

func newRoutingRun(seed uint64, policy router.Policy, name string, age, length time.Duration) *routingRun {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &routingRun{loop: newEventLoop(), random: random, policy: name, reportAge: age, zipf: rand.NewZipf(random, prefixSkew, 1, simPrefixes-1)}
	for g := range simGroups {
		r.engines = append(r.engines, newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, simCacheSize))
	}
	for h := range simHosts {
		r.routers = append(r.routers, router.New(policy, seed+uint64(h)))
		r.unreportedSent = append(r.unreportedSent, make([]int, simGroups))
		r.inFlight = append(r.inFlight, make([]int, simGroups))
	}
	for i, e := range r.engines {
		r.loop.after(time.Duration(i)*age/simGroups, func() {
			r.loop.every(age, func() bool {
				r.report(i, e)
				return r.loop.elapsed() < length
			})
		})
	}
	r.scheduleArrival(length)
	return r
}

// report updates an engine's load report. Cache events arrive with it, and some of them are lost.
func (r *routingRun) report(i int, e *engine) {
	e.updateReport()
	var kept []uint64
	for _, k := range e.reportedKeys {
		if r.random.Float64() >= cacheEventLoss {
			kept = append(kept, k)
		}
	}
	e.reportedKeys = kept
	for h := range r.unreportedSent {
		r.unreportedSent[h][i] = 0
	}
}

func (r *routingRun) scheduleArrival(length time.Duration) {
	gap := time.Duration(r.random.ExpFloat64() / (routingLoad * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > length {
			return
		}
		r.sendRequest()
		r.scheduleArrival(length)
	})
}

func (r *routingRun) sendRequest() {
	host := r.random.IntN(simHosts)
	prefix := r.zipf.Uint64() + 1
	tokens := int(r.random.ExpFloat64()*simMeanTokens) + 1
	i := r.choose(host, prefix)
	r.unreportedSent[host][i]++
	r.inFlight[host][i]++
	arrival := r.loop.now
	delay := time.Duration(0)
	if r.policy == groupBids {
		delay = 2 * time.Millisecond
	}
	r.loop.after(delay, func() {
		r.engines[i].submit(&job{
			prefix: prefix, tokens: tokens, onDone: func(bool) { r.inFlight[host][i]-- },
			onFirstToken: func(at time.Time) { r.firstTokenTimes = append(r.firstTokenTimes, at.Sub(arrival)) },
		})
	})
}

func (r *routingRun) choose(host int, prefix uint64) int {
	if r.policy == oracle || r.policy == groupBids {
		return r.bestGroup(prefix)
	}
	var candidates []router.Candidate
	var groups []int
	for i, e := range r.engines {
		if r.ownSlots && r.inFlight[host][i] >= admission.OwnSlots(simSlots, e.id, host, simHosts, 0) && !r.mayBorrow(host, i) {
			continue
		}
		cached := false
		for _, k := range e.reportedKeys {
			cached = cached || k == prefix
		}
		candidates = append(candidates, router.Candidate{
			ID: e.id, ReportedLoad: float64(e.reportedLoad), UnreportedSent: float64(r.unreportedSent[host][i]), Slots: simSlots, Local: true, Cached: cached,
		})
		groups = append(groups, i)
	}
	if len(candidates) == 0 {
		return r.random.IntN(len(r.engines))
	}
	return groups[r.routers[host].Pick(candidates, prefix)]
}

// mayBorrow reports whether a host may borrow a slot of a group.
func (r *routingRun) mayBorrow(host, i int) bool {
	e := r.engines[i]
	return r.borrowing && r.loop.now.Sub(e.reportedAt) <= admission.MaxLendingReportAge && admission.LendableSlots(e.slots, e.reportedLoad+r.unreportedSent[host][i]) > 0
}

// bestGroup returns the group with the earliest expected first token, from the current loads and caches.
func (r *routingRun) bestGroup(prefix uint64) int {
	best, bestCost := 0, math.Inf(1)
	for i, e := range r.engines {
		cost := e.prefill.Seconds()
		if e.cache.has(prefix) {
			cost = e.cachedPrefill.Seconds()
		}
		if excess := e.load() + 1 - e.slots; excess > 0 {
			cost += float64(excess) * (0.3 + simMeanTokens*0.025) / float64(e.slots)
		}
		cost += float64(e.load()) / float64(e.slots) / 100
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (r *routingRun) hitRate() float64 {
	hits, seen := 0, 0
	for _, e := range r.engines {
		hits += e.cacheHits
		seen += e.cacheLookups
	}
	return float64(hits) / float64(max(1, seen))
}

// Routing compares policies that choose a group, with load reports of several ages.
func Routing(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title: fmt.Sprintf("routing: %d entry hosts, %d groups of %d slots at %.0f%% load, %d prefixes, %d cached in a group, %s, seed %d",
			simHosts, simGroups, simSlots, 100*routingLoad, simPrefixes, simCacheSize, length, seed),
		Columns: []string{"way", "report age ms", "first p50 ms", "p95 ms", "p95 vs perfect", "hit rate", "hit rate vs perfect"},
		Notes: []string{
			"Targets: p95 at most 1.15 times that of perfect knowledge, hit rate at least 0.90 times. With a cached prefix the first token takes",
			"60 ms instead of 300 ms. 30% of cache events are lost.",
		},
	}
	base := newRoutingRun(seed, router.Random, oracle, time.Second, length)
	base.loop.run(2 * length)
	baseP95, baseHits := quantile(base.firstTokenTimes, 0.95), base.hitRate()
	row := func(name string, age time.Duration, r *routingRun) {
		p95 := quantile(r.firstTokenTimes, 0.95)
		t.add(name, age, quantile(r.firstTokenTimes, 0.5), p95, float64(p95)/float64(baseP95), r.hitRate(), r.hitRate()/baseHits)
	}
	row(oracle, 0, base)
	bid := newRoutingRun(seed, router.Random, groupBids, time.Second, length)
	bid.loop.run(2 * length)
	row(groupBids, 0, bid)
	for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, borrowing := range []bool{false, true} {
			r := newRoutingRun(seed, router.Affinity, "", age, length)
			r.ownSlots, r.borrowing = true, borrowing
			r.loop.run(2 * length)
			row(fmt.Sprintf("affinity, own slots, lent %t", borrowing), age, r)
		}
		for _, p := range []router.Policy{router.Random, router.LeastLoad, router.TwoChoices, router.Affinity} {
			r := newRoutingRun(seed, p, p.String(), age, length)
			r.loop.run(2 * length)
			row(p.String(), age, r)
		}
	}
	return t
}

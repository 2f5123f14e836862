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
	simCache       = 60
	prefixSkew     = 1.1
	routingLoad    = 0.7
	cacheEventLoss = 0.3
	// perfect is the baseline's name: it knows every load and every cache at the moment of choice.
	perfect = "perfect knowledge"
	// bids is the way in which every group names its own price for a request: its queue as it knows it
	// and its own cache, one message to each group and back for every request.
	bids = "groups bid"
)

// routingRun is one way with one age of load reports.
type routingRun struct {
	loop    *loop
	random  *rand.Rand
	engines []*engine
	routers []*router.Router
	// sent counts, for each entry host and engine, what the newest report can't contain.
	sent [][]int
	way  string
	age  time.Duration
	// owned bounds what a host has in flight at a group by its own slots.
	owned bool
	// lends tells whether free slots are lent.
	lends    bool
	inFlight [][]int
	first    []time.Duration
	zipf     *rand.Zipf
}

func newRoutingRun(seed uint64, way router.Policy, name string, age, length time.Duration) *routingRun {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &routingRun{loop: newLoop(), random: random, way: name, age: age, zipf: rand.NewZipf(random, prefixSkew, 1, simPrefixes-1)}
	for g := range simGroups {
		r.engines = append(r.engines, newEngine(r.loop, fmt.Sprintf("group-%d", g), simSlots, simCache))
	}
	for h := range simHosts {
		r.routers = append(r.routers, router.New(way, seed+uint64(h)))
		r.sent = append(r.sent, make([]int, simGroups))
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
	r.arrive(length)
	return r
}

// report renews a load report; cache events come with it, and some are lost.
func (r *routingRun) report(i int, e *engine) {
	e.tell()
	var kept []uint64
	for _, k := range e.reportKeys {
		if r.random.Float64() >= cacheEventLoss {
			kept = append(kept, k)
		}
	}
	e.reportKeys = kept
	for h := range r.sent {
		r.sent[h][i] = 0
	}
}

func (r *routingRun) arrive(length time.Duration) {
	gap := time.Duration(r.random.ExpFloat64() / (routingLoad * capacity()) * float64(time.Second))
	r.loop.after(gap, func() {
		if r.loop.elapsed() > length {
			return
		}
		r.request()
		r.arrive(length)
	})
}

func (r *routingRun) request() {
	host := r.random.IntN(simHosts)
	prefix := r.zipf.Uint64() + 1
	tokens := int(r.random.ExpFloat64()*simMeanTokens) + 1
	i := r.choose(host, prefix)
	r.sent[host][i]++
	r.inFlight[host][i]++
	arrival := r.loop.now
	delay := time.Duration(0)
	if r.way == bids {
		delay = 2 * time.Millisecond
	}
	r.loop.after(delay, func() {
		r.engines[i].submit(&work{
			prefix: prefix, tokens: tokens, done: func(bool) { r.inFlight[host][i]-- },
			first: func(at time.Time) { r.first = append(r.first, at.Sub(arrival)) },
		})
	})
}

func (r *routingRun) choose(host int, prefix uint64) int {
	if r.way == perfect || r.way == bids {
		return r.best(prefix)
	}
	var candidates []router.Candidate
	var groups []int
	for i, e := range r.engines {
		if r.owned && r.inFlight[host][i] >= admission.OwnSlots(simSlots, e.id, host, simHosts, 0) && !r.borrows(host, i) {
			continue
		}
		cached := false
		for _, k := range e.reportKeys {
			cached = cached || k == prefix
		}
		candidates = append(candidates, router.Candidate{
			ID: e.id, ReportedLoad: float64(e.report), UnreportedSent: float64(r.sent[host][i]), Slots: simSlots, Local: true, Cached: cached,
		})
		groups = append(groups, i)
	}
	if len(candidates) == 0 {
		return r.random.IntN(len(r.engines))
	}
	return groups[r.routers[host].Pick(candidates, prefix)]
}

// borrows tells whether a host may borrow a slot of a group.
func (r *routingRun) borrows(host, i int) bool {
	e := r.engines[i]
	return r.lends && r.loop.now.Sub(e.reportAt) <= admission.MaxLendingReportAge && admission.LendableSlots(e.slots, e.report+r.sent[host][i]) > 0
}

// best returns the group with the earliest first token, knowing everything.
func (r *routingRun) best(prefix uint64) int {
	best, bestCost := 0, math.Inf(1)
	for i, e := range r.engines {
		cost := e.prefill.Seconds()
		if e.cache.has(prefix) {
			cost = e.cached.Seconds()
		}
		if over := e.load() + 1 - e.slots; over > 0 {
			cost += float64(over) * (0.3 + simMeanTokens*0.025) / float64(e.slots)
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
		hits += e.hits
		seen += e.seen
	}
	return float64(hits) / float64(max(1, seen))
}

// Routing compares ways to choose a group, with load reports of several ages.
func Routing(seed uint64, length time.Duration) *Table {
	t := &Table{
		Title: fmt.Sprintf("routing: %d entry hosts, %d groups of %d slots at %.0f%% load, %d prefixes, %d cached in a group, %s, seed %d",
			simHosts, simGroups, simSlots, 100*routingLoad, simPrefixes, simCache, length, seed),
		Columns: []string{"way", "report age ms", "first p50 ms", "p95 ms", "p95 against perfect", "hit rate", "against perfect"},
		Notes: []string{
			"Targets: p95 at most 1.15 of perfect knowledge, hit rate at least 0.90 of it. A cached prefix makes the first token",
			"60 ms instead of 300 ms; 30% of cache events are lost.",
		},
	}
	base := newRoutingRun(seed, router.Random, perfect, time.Second, length)
	base.loop.run(2 * length)
	baseP95, baseHits := quantile(base.first, 0.95), base.hitRate()
	row := func(name string, age time.Duration, r *routingRun) {
		p95 := quantile(r.first, 0.95)
		t.add(name, age, quantile(r.first, 0.5), p95, float64(p95)/float64(baseP95), r.hitRate(), r.hitRate()/baseHits)
	}
	row(perfect, 0, base)
	bid := newRoutingRun(seed, router.Random, bids, time.Second, length)
	bid.loop.run(2 * length)
	row(bids, 0, bid)
	for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, lends := range []bool{false, true} {
			r := newRoutingRun(seed, router.Affinity, "", age, length)
			r.owned, r.lends = true, lends
			r.loop.run(2 * length)
			row(fmt.Sprintf("affinity, own slots, lent %t", lends), age, r)
		}
		for _, way := range []router.Policy{router.Random, router.LeastLoad, router.TwoChoices, router.Affinity} {
			r := newRoutingRun(seed, way, way.String(), age, length)
			r.loop.run(2 * length)
			row(way.String(), age, r)
		}
	}
	return t
}

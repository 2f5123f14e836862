// Package router chooses the group that runs a request. It is pure.
package router

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Policy selects among groups.
type Policy int

// Policies.
const (
	// Random takes any group with room.
	Random Policy = iota
	// LeastLoad takes the group with the lowest known load.
	LeastLoad
	// TwoChoices takes the less loaded of two random groups.
	TwoChoices
	// Affinity prefers the group that has the prompt's prefix, as long as its load is bounded.
	Affinity
)

// String returns the policy's name.
func (w Policy) String() string {
	return [...]string{"random", "leastLoad", "twoChoices", "affinity"}[w]
}

const (
	// loadBound is how far above the mean load an affinity choice may go.
	loadBound = 1.25
	// loadSlack is added to the bound, so that an idle fleet does not forbid a second request.
	loadSlack = 1.0
	// cachedBonus is the load, in requests, that a known cached prefix is worth.
	cachedBonus = 2.0
	// remotePenalty is the load that another data centre costs.
	remotePenalty = 0.5
)

// Candidate is a group that may be given work now.
type Candidate struct {
	ID string
	// ReportedLoad is the number of requests running and waiting there by its last report.
	ReportedLoad float64
	// UnreportedSent is the number of this host's own requests that the report can't contain yet.
	UnreportedSent float64
	// Slots is the size of the group's batch.
	Slots float64
	// Local tells that the group is in this host's data centre.
	Local bool
	// Cached tells that the newest cache events list the prompt's prefix.
	Cached bool
}

func (c Candidate) load() float64 {
	if c.Slots <= 0 {
		return math.Inf(1)
	}
	return (c.ReportedLoad + c.UnreportedSent) / c.Slots
}

// Router chooses groups.
type Router struct {
	way    Policy
	random *rand.Rand
}

// New returns a router; seed makes its random choices repeatable.
func New(way Policy, seed uint64) *Router {
	return &Router{way: way, random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of the chosen candidate, or -1 if there is none. prefix is the digest of the
// prompt's beginning.
func (r *Router) Pick(candidates []Candidate, prefix uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	switch r.way {
	case Random:
		return r.random.IntN(len(candidates))
	case LeastLoad:
		return r.least(candidates)
	case TwoChoices:
		return r.two(candidates)
	}
	return r.affinity(candidates, prefix)
}

func score(c Candidate) float64 {
	s := c.load()
	if !c.Local {
		s += remotePenalty / max(c.Slots, 1)
	}
	return s
}

func (r *Router) least(candidates []Candidate) int {
	start := r.random.IntN(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if score(candidates[at]) < score(candidates[best]) {
			best = at
		}
	}
	return best
}

func (r *Router) two(candidates []Candidate) int {
	a, b := r.random.IntN(len(candidates)), r.random.IntN(len(candidates))
	if score(candidates[b]) < score(candidates[a]) {
		return b
	}
	return a
}

// affinity takes the first group in the prefix's rendezvous order, cached ones before others, whose
// load is within the bound, and the least loaded group if none is.
func (r *Router) affinity(candidates []Candidate, prefix uint64) int {
	if prefix == 0 {
		return r.two(candidates)
	}
	bound := r.bound(candidates)
	best, bestWeight := -1, 0.0
	for i, c := range candidates {
		if c.load() > bound {
			continue
		}
		weight := rendezvous(c.ID, prefix)
		if c.Cached {
			weight += cachedBonus
		}
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best < 0 {
		return r.least(candidates)
	}
	return best
}

func (r *Router) bound(candidates []Candidate) float64 {
	load, slots := 0.0, 0.0
	for _, c := range candidates {
		load += c.ReportedLoad + c.UnreportedSent
		slots += c.Slots
	}
	mean := load / max(slots, 1)
	return mean*loadBound + loadSlack*float64(len(candidates))/max(slots, 1)
}

// rendezvous returns a weight in [0, 1) that is the same on every host.
func rendezvous(id string, prefix uint64) float64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(prefix >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads the low bits of a digest over all of it.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// PrefixDigest returns the digest of a prompt's beginning, by which cached prefixes are found again.
func PrefixDigest(prompt string) uint64 {
	const prefixBytes = 256
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

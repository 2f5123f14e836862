// Package router chooses the group that runs a request. It does no I/O.
package router

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Policy is a strategy for choosing a group.
type Policy int

// Policies.
const (
	// Random chooses a random candidate.
	Random Policy = iota
	// LeastLoad chooses the group with the lowest known load.
	LeastLoad
	// TwoChoices chooses the less loaded of two random groups.
	TwoChoices
	// Affinity prefers the group that caches the prompt's prefix, as long as its load is within a limit.
	Affinity
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"random", "leastLoad", "twoChoices", "affinity"}[p]
}

const (
	// loadBoundFactor is the factor by which a group's load may exceed the mean to be chosen by affinity.
	loadBoundFactor = 1.25
	// loadAllowance, in requests per group, is added to the limit, so that a group of an idle fleet can get a second
	// request.
	loadAllowance = 1.0
	// cachedBonus is added to the rendezvous weight of a group that caches the prefix. Weights are below 1, so such a
	// group ranks before all others.
	cachedBonus = 2.0
	// remotePenalty is added to the load, in requests, of groups in other data centres.
	remotePenalty = 0.5
)

// Candidate is a group that may receive requests now.
type Candidate struct {
	ID string
	// ReportedLoad is the number of requests running and waiting there as of its last report.
	ReportedLoad float64
	// UnreportedSent is the number of requests that this host sent too recently for the report to include them.
	UnreportedSent float64
	// Slots is the size of the group's batch.
	Slots float64
	// Local reports whether the group is in this host's data centre.
	Local bool
	// Cached reports whether the newest cache events list the prompt's prefix.
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
	policy Policy
	random *rand.Rand
}

// New returns a router; seed makes its random choices reproducible.
func New(policy Policy, seed uint64) *Router {
	return &Router{policy: policy, random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of the chosen candidate, or -1 if there is none. prefix is the result of PrefixDigest, or 0 if
// it is unknown.
func (r *Router) Pick(candidates []Candidate, prefix uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	switch r.policy {
	case Random:
		return r.random.IntN(len(candidates))
	case LeastLoad:
		return r.leastLoaded(candidates)
	case TwoChoices:
		return r.lessLoadedOfTwo(candidates)
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

func (r *Router) leastLoaded(candidates []Candidate) int {
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

func (r *Router) lessLoadedOfTwo(candidates []Candidate) int {
	a, b := r.random.IntN(len(candidates)), r.random.IntN(len(candidates))
	if score(candidates[b]) < score(candidates[a]) {
		return b
	}
	return a
}

// affinity returns the group with the highest rendezvous weight for the prefix, among those whose load is within the
// limit. Groups that cache the prefix rank before others. If no load is within the limit, it returns the least loaded
// group; without a prefix, the less loaded of two random groups.
func (r *Router) affinity(candidates []Candidate, prefix uint64) int {
	if prefix == 0 {
		return r.lessLoadedOfTwo(candidates)
	}
	loadLimit := r.loadLimit(candidates)
	best, bestWeight := -1, 0.0
	for i, c := range candidates {
		if c.load() > loadLimit {
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
		return r.leastLoaded(candidates)
	}
	return best
}

// loadLimit returns the highest load, per slot, with which a group may be chosen by affinity.
func (r *Router) loadLimit(candidates []Candidate) float64 {
	load, slots := 0.0, 0.0
	for _, c := range candidates {
		load += c.ReportedLoad + c.UnreportedSent
		slots += c.Slots
	}
	mean := load / max(slots, 1)
	return mean*loadBoundFactor + loadAllowance*float64(len(candidates))/max(slots, 1)
}

// rendezvous returns a group's weight for a prefix in rendezvous hashing, in [0, 1); it is the same on every host.
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

// mix is a 64-bit finaliser: every bit of the result depends on all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// PrefixDigest returns the digest of the first 256 bytes of a prompt, which identifies cached prefixes.
func PrefixDigest(prompt string) uint64 {
	const prefixBytes = 256
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

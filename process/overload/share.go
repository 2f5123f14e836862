package overload

import (
	"math/rand/v2"
	"time"
)

// Capacity is what an entry host knows of a pool of servers.
type Capacity struct {
	// Load is the number of requests in flight from all hosts, and Slots what the servers can run at once.
	Load, Slots int
	// Released is how many slots become free in a second.
	Released float64
	// Hosts is the number of entry hosts that send to the pool, at least 1.
	Hosts int
	// Interval is the time between two updates of Load.
	Interval time.Duration
}

// Share is one host's part of the capacity of a full pool: a token bucket, filled with the host's part of the slots that become
// free. The tokens of all hosts together are what the servers can take, whatever each host knows of the others, so a host that
// gets no updates, or a new leader's first ones, sends no more than its part.
type Share struct {
	random *rand.Rand
	// tokens is at most what the host may send at once; it is negative after requests that were sent without asking.
	tokens float64
	// capacity bounds tokens.
	capacity float64
	// at is when tokens was last updated; zero while the pool isn't full.
	at time.Time
	// rejectedAt is when a request that could have been in time was last rejected.
	rejectedAt time.Time
	// overloadedAt is when the overload began in which that was.
	overloadedAt time.Time
	// yieldedAt is when a request was last rejected since others come first.
	yieldedAt time.Time
	returns   returns
	claims    claims
}

const (
	// fullFraction is the utilisation of a pool's slots from which shares apply. Below it, a random choice leaves free slots
	// in most groups.
	fullFraction = 0.8
	// targetFraction is the fraction of its slots that a pool is filled to. Where all groups are always full, requests that are
	// sent to the same one by chance have to wait.
	targetFraction = 0.95
	// freeSlotIntervals is the number of update intervals over which the free slots of a full pool are handed out: the sums
	// don't contain yet what all hosts have sent since.
	freeSlotIntervals = 3.0
	// burstTime and minBurst bound what a host may send at once after it has sent none for a while. All hosts may do so at
	// the same moment.
	burstTime = 200 * time.Millisecond
	minBurst  = 2.0
	// lateFraction is the fraction of a full bucket that must be left for a late request.
	lateFraction = 0.9
	// overloadMemory is how long a pool counts as overloaded after the last rejection of a request that could have been in
	// time.
	overloadMemory = time.Second
)

// NewShare returns the share of a host; the random numbers spread what many hosts do.
func NewShare(random *rand.Rand) *Share { return &Share{random: random, claims: newClaims()} }

// Clone returns a copy that draws from other random numbers.
func (s *Share) Clone(random *rand.Rand) *Share {
	c := *s
	c.random, c.claims = random, s.claims.clone()
	return &c
}

// Allow reports whether the host may send one more request to the pool. A late request gets only what those that can be in time leave
// free: in an overload, each slot that it took would make another caller late. So does one that is less urgent than others that are
// rejected, or whose organisation has had its share.
func (s *Share) Allow(now time.Time, c Capacity, claim Claim) bool {
	if float64(c.Load) < fullFraction*float64(c.Slots) {
		s.at = time.Time{}
		return true
	}
	s.refill(now, c)
	switch {
	case claim.Late:
		return s.tokens >= lateFraction*s.capacity && now.Sub(s.rejectedAt) > overloadMemory
	case s.claims.yields(now, claim):
		// Half of the bucket is kept for the others; if all were, tokens would be lost where these ask seldom.
		if s.tokens >= (1+s.capacity)/2 {
			return true
		}
		s.yieldedAt = now
		return false
	case s.tokens < 1:
		s.claims.recordRejected(now, claim)
		if now.Sub(s.rejectedAt) > overloadMemory {
			s.overloadedAt = now
		}
		s.rejectedAt = now
		return false
	}
	return true
}

// OverloadedAt returns when the pool's current overload, or its last one, began; zero if there was none.
func (s *Share) OverloadedAt() time.Time { return s.overloadedAt }

// YieldedAt returns when a request was last rejected since more urgent ones, or other organisations, come first; zero if none was.
func (s *Share) YieldedAt() time.Time { return s.yieldedAt }

func (s *Share) refill(now time.Time, c Capacity) {
	free := targetFraction*float64(c.Slots) - float64(c.Load)
	perSecond := max(0, c.Released+free/(freeSlotIntervals*c.Interval.Seconds())) / float64(c.Hosts)
	part := max(0, free) / float64(c.Hosts)
	s.capacity = max(minBurst, part, perSecond*burstTime.Seconds())
	if s.at.IsZero() {
		// With the random part, as many hosts send one request as there are free slots, if these are fewer than the hosts.
		s.tokens, s.at = part+s.random.Float64(), now
	}
	s.tokens = min(s.capacity, s.tokens+perSecond*now.Sub(s.at).Seconds())
	s.at = now
}

// RecordSent takes a token for a request that was sent to the pool.
func (s *Share) RecordSent(now time.Time, claim Claim) {
	if !s.at.IsZero() {
		s.tokens--
		s.claims.recordSent(now, claim)
	}
}

// RetryAfter returns when a rejected caller is to return that waits remaining at most. It is counted among those that were told to
// return, and the next one is told another time.
func (s *Share) RetryAfter(now time.Time, remaining time.Duration) time.Duration {
	return s.returns.next(now, remaining, s.random)
}

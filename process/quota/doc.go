// Package quota divides the request limits of backend servers among the entry hosts.
//
// A server states how many requests a second it takes from all hosts together, and each host sees only its own requests.
// The leader's Allocator keeps a token bucket for each limit and grants its tokens to the hosts as permits for single
// requests, to those that need them; an entry host's Holder keeps them until they are used or expire. A host that hears from
// no leader goes on with a part of its equal share. Both are pure: events and time in, decisions out.
package quota

import "time"

const (
	// permitValidity is how long a permit may be used. In any time t, a server gets no more requests than its limit allows in
	// t + permitValidity, and a burst.
	permitValidity = 1 * time.Second
	// A bucket holds baseBurst requests and those of burstTime. They are used by hosts that ask at the same moment.
	baseBurst = 2.0
	burstTime = 250 * time.Millisecond
	// reservedTokens are left for requests that wait when permits are granted ahead of requests.
	reservedTokens = 1.0
	// minRate is the rate, in requests per second, at which servers with a lower limit get requests: only a response tells
	// that a limit has ended.
	minRate = 0.25
	// unconfirmedAfter is how long no host may have had a response of a server until its limit counts as unconfirmed. Permits
	// for it are then granted and used first.
	unconfirmedAfter = 2 * time.Second
	// confirmInterval is the time between two reports of a limit that hasn't changed.
	confirmInterval = 500 * time.Millisecond
	// listInterval is the minimum time between two changes of the hosts' list that aren't urgent.
	listInterval = 500 * time.Millisecond
	// limitRetention is how long a limit is kept that no response confirms, or that has ended.
	limitRetention = 2 * time.Minute
	// maxLimits and maxGrant bound the memory for limits, and the permits granted at once.
	maxLimits = 4096
	maxGrant  = 256
	// leaderTimeout is the time without an answer of the leader after which a host makes its own permits: longer than the
	// interval between two reports of an idle host.
	leaderTimeout = 1 * time.Second
	// independentFraction is the fraction of its equal share that such a host uses. Where only some hosts lack a leader, the
	// others get the whole limit.
	independentFraction = 0.5
)

func rateOf(perSecond float64) float64 { return max(perSecond, minRate) }

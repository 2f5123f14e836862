// Package forwarding decides which entry host serves a request that another one has received and can't serve itself.
//
// The leader's Directory lists the hosts that take requests. A host that can't serve picks one of its Peers, and asks it
// first; the other's Intake decides whether it takes the request. All are pure: events and time in, decisions out.
package forwarding

import "time"

const (
	// Protocol is the version of the protocol by which hosts hand over requests. A host is listed, and so asked, only if it
	// states the same version.
	Protocol = 1
	// maxListed bounds the hosts that one host is told of.
	maxListed = 32
	// peerRetention is how long a host is kept that the leader no longer lists: a new leader's list is complete only once all
	// hosts have reported to it.
	peerRetention = 3 * time.Second
	// BusyPause is how long a host is not asked again that was busy.
	BusyPause = 100 * time.Millisecond
	// UnreachablePause is how long a host is not asked again that didn't answer, or takes no requests.
	UnreachablePause = 500 * time.Millisecond
)

const (
	// bytesPerRequest is the memory of a request that is being served, without its body.
	bytesPerRequest = 64 << 10
	// memoryFraction is the fraction of a host's memory for other hosts' requests, and linkFraction that of its link.
	memoryFraction = 0.25
	linkFraction   = 0.5
	// descriptorsPerRequest are the connections to the other host and to the server.
	descriptorsPerRequest = 2
	// requestsPerCore is the number of streams a second that one core relays, and cpuFraction the fraction of the processor
	// for other hosts' requests.
	requestsPerCore = 1000.0
	cpuFraction     = 0.5
	// transfers is how often a request's bytes pass the link of the host that takes it: in and out.
	transfers = 2
	// burstTime is the time whose requests and bytes may be taken at once.
	burstTime = 500 * time.Millisecond
)

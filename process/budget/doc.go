// Package budget decides which connections of a process may hold how many bytes, and which are turned away when the process has
// no room for more. It bounds what callers can make a process hold by the process's own memory and descriptors.
//
// A connection's share grows while a request is received and is kept while it is served. It is pure: connections, bytes and time
// in, decisions out.
package budget

import "time"

const (
	// bodyFraction is the fraction of the memory for bodies, headers and responses that are held.
	bodyFraction = 0.2
	// smallBytes is the size, in bytes, up to which shares may use the whole budget; larger ones leave smallFraction of it.
	smallBytes    = 64 << 10
	smallFraction = 0.25
	// includedBytes of each share don't count: they are part of what its connection takes. Small requests always have room.
	includedBytes = 8 << 10
	// calmFraction is the fraction of the budget that bytes may use that haven't arrived yet.
	calmFraction = 0.5
	// leavingFraction bounds the number of connections that are being turned away, relative to MaxConns, unless they are fewer than
	// minLeaving.
	leavingFraction = 0.25
	minLeaving      = 8
	// youngest is added to the age of a share, so that of those that have just begun the largest counts most.
	youngest = time.Millisecond
	// idleAfter is how long a connection must have waited for a request to be turned away before those that are received.
	idleAfter = time.Second
	// stalledAfter is how long a caller must have taken nothing of its response to be cut for others.
	stalledAfter = time.Second
	// A source is a crowd for others with fewer connections if it holds crowdFraction of MaxConns. Its callers are cut for those once
	// they have taken nothing for crowdStalledAfter.
	crowdFraction     = 0.25
	crowdStalledAfter = 250 * time.Millisecond
)

// Fractions of memory for connections. process/descriptors divides the descriptors.
const (
	entryMemory, controlMemory = 0.125, 0.25
	// entryConnBytes and controlConnBytes are what a connection takes that carries no request.
	entryConnBytes, controlConnBytes = 32 << 10, 16 << 10
)

const (
	// bufferFraction is the fraction of the memory for what the sockets hold: bytes that have arrived and haven't been read, and
	// bytes that were written and haven't been taken. raisedFraction is that for buffers that are raised beyond their usual size.
	bufferFraction, raisedFraction = 0.2, 0.05
	// entryBuffers are those of a caller's connection and of the one on which its request is sent on, two each. Control hosts send
	// nothing on.
	entryBuffers, controlBuffers = 4, 2
	// bufferOverhead is the kernel's bound on what a buffer holds, relative to the size that is set.
	bufferOverhead = 2
	// minBuffer and maxBuffer bound the size of a buffer, and raisedBuffer is that of a connection whose body or response is long.
	// It is the largest window of a connection whose buffer was smaller at first.
	minBuffer, maxBuffer, raisedBuffer = 3 << 10, 32 << 10, 64 << 10
	// minBacklog is the number of connections that may wait to be accepted however few may be open.
	minBacklog = 64
)

// serveCopies is how often a process of savorywing serve holds a body: as it was received and as it is sent on.
const serveCopies = 2

// Limits are what the connections of a process may hold together.
type Limits struct {
	// Bytes bounds what is received and held, and MaxConns the connections; 0 for no bound.
	Bytes, MaxConns int
	// Buffer is the size of each socket's receive buffer and send buffer, in bytes; 0 for the system's.
	Buffer int
	// RaisedBytes bounds what buffers hold beyond that size.
	RaisedBytes int
	// Backlog bounds the connections that wait to be accepted, each of which has a receive buffer; 0 for the system's bound.
	Backlog int
}

// IsLong reports whether n bytes are more than a buffer holds.
func (l Limits) IsLong(n int) bool { return l.Buffer > 0 && n > bufferOverhead*l.Buffer }

// backlog returns the bound on connections that wait to be accepted beside a number of others.
func backlog(conns int) int { return max(minBacklog, conns) }

// bufferSize returns the size of each of the buffers of a number of connections, 0 for any number.
func bufferSize(memory, conns, buffersPerConn int) int {
	if memory <= 0 || conns <= 0 {
		return maxBuffer
	}
	buffers := float64(buffersPerConn*conns)*(1+leavingFraction) + float64(backlog(conns))
	each := bufferFraction * float64(memory) / (bufferOverhead * buffers)
	return max(minBuffer, min(maxBuffer, int(each)))
}

// EntryConns returns the number of callers' connections for which an entry host has memory, in bytes; 0 for an unknown one.
func EntryConns(memory int) int { return int(entryMemory / entryConnBytes * float64(memory)) }

// EntryLimits returns the limits of an entry host with a memory in bytes, 0 for an unknown one, whose callers may have so many
// connections; 0 for no bound.
func EntryLimits(memory, maxConns int) Limits {
	return newLimits(memory, maxConns, entryMemory/entryConnBytes, entryBuffers)
}

// ControlLimits returns the limits of a control host with a memory in bytes, whose many callers are idle most of the time, and may
// have so many connections; 0 for no bound.
func ControlLimits(memory, maxConns int) Limits {
	return newLimits(memory, maxConns, controlMemory/controlConnBytes, controlBuffers)
}

// ServeLimits returns the limits of a process of savorywing serve, whose requests are held in several forms. They are otherwise those
// of an entry host.
func ServeLimits(memory, maxConns int) Limits {
	l := EntryLimits(memory, maxConns)
	l.Bytes /= serveCopies
	return l
}

// Bounds of the readiness checks of an entry host, whose requests have no body.
const checkBytes, checkBuffer = 64 << 10, 8 << 10

// CheckLimits returns the limits of an entry host's readiness checks, on a number of connections.
func CheckLimits(maxConns int) Limits {
	return Limits{Bytes: checkBytes, MaxConns: maxConns, Buffer: checkBuffer, Backlog: backlog(maxConns)}
}

func newLimits(memory, maxConns int, connsPerByte float64, buffersPerConn int) Limits {
	l := Limits{Bytes: int(bodyFraction * float64(memory)), MaxConns: int(connsPerByte * float64(memory))}
	if maxConns > 0 && (l.MaxConns == 0 || maxConns < l.MaxConns) {
		l.MaxConns = maxConns
	}
	l.Buffer, l.RaisedBytes = bufferSize(memory, l.MaxConns, buffersPerConn), int(raisedFraction*float64(memory))
	if l.MaxConns > 0 {
		l.Backlog = backlog(l.MaxConns)
	}
	return l
}

package placement

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// Some servers state in their responses that they are leaving, or that they want no request from this host for a while.
// This holds from the response on, long before the leader's next update can say so, and whatever the server's load.

// serverNotice is what one incarnation of a server has stated about itself.
type serverNotice struct {
	// born identifies the incarnation; a later one under the same ID has stated nothing yet.
	born int64
	// leaving is never reset within an incarnation.
	leaving     bool
	closedUntil time.Time
	recordedAt  time.Time
}

// noticeRetention is how long a notice is kept after it was last recorded: longer than a leaving server takes to end.
const noticeRetention = 2 * time.Minute

// Notice is what a server's response states about the server itself.
type Notice struct {
	Leaving bool
	// ClosedFor is how long the server wants no request from this host; 0 if not stated.
	ClosedFor time.Duration
}

// RecordNotice applies a notice in a response of one incarnation of a server, and reports whether it states anything new.
// It holds also if the server isn't listed at the moment, or not any more: a new leader may list it again.
func (b *Balancer) RecordNotice(now time.Time, id string, born int64, n Notice) bool {
	if !n.Leaving && n.ClosedFor <= 0 {
		return false
	}
	old := b.notices[id]
	if e := b.byID[id]; born < old.born || (e != nil && born < e.Born) {
		return false
	}
	if old.born != born {
		old = serverNotice{born: born}
	}
	next := old
	next.recordedAt = now
	next.leaving = old.leaving || n.Leaving
	if until := now.Add(n.ClosedFor); n.ClosedFor > 0 && until.After(old.closedUntil) {
		next.closedUntil = until
	}
	b.notices[id] = next
	return next.leaving != old.leaving || next.closedUntil != old.closedUntil
}

// Accepts reports whether an endpoint is known, is in no evacuated data centre and has not stated that it wants no requests now.
func (b *Balancer) Accepts(now time.Time, id string) bool {
	e := b.byID[id]
	return e != nil && !b.evacuated.Covers(e.DataCentre) && b.accepts(now, e)
}

func (b *Balancer) accepts(now time.Time, e *endpoint) bool {
	if len(b.notices) == 0 {
		return true
	}
	n, known := b.notices[e.ID]
	return !known || n.born != e.Born || (!n.leaving && !now.Before(n.closedUntil))
}

// Leaving returns the endpoints that have stated that they are leaving, for the report to the leader.
func (b *Balancer) Leaving() []wire.ServerIncarnation {
	var list []wire.ServerIncarnation
	for id, n := range b.notices {
		if e := b.byID[id]; e != nil && n.leaving && n.born == e.Born {
			list = append(list, wire.ServerIncarnation{ID: id, Born: n.born})
		}
	}
	return list
}

// earliestOpening returns the time until the first closed endpoint of a request's pool opens again, or 0 if none is
// closed for a time.
func (b *Balancer) earliestOpening(now time.Time, req Request) time.Duration {
	earliest := time.Duration(0)
	for _, e := range b.pools[req.key()] {
		n := b.notices[e.ID]
		closedFor := n.closedUntil.Sub(now)
		if n.born != e.Born || n.leaving || closedFor <= 0 || !req.Area.Contains(e.DataCentre) {
			continue
		}
		if earliest == 0 || closedFor < earliest {
			earliest = closedFor
		}
	}
	return earliest
}

// expireNotices drops notices that no longer apply.
func (b *Balancer) expireNotices(now time.Time) {
	for id, n := range b.notices {
		if now.Sub(n.recordedAt) > noticeRetention && !now.Before(n.closedUntil) {
			delete(b.notices, id)
		}
	}
}

// Package lease decides whether a group or a plain service may be given work, on nothing but the
// fresh announcements of every member. It is pure.
package lease

import (
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/announcement"
	"savorywing.example/savorywing/wire"
)

// evidence is a backend server's own announcement.
type evidence struct {
	// requestedAt is read on the monotonic clock before the poll was sent.
	requestedAt  time.Time
	announcement wire.Announcement
}

// Tracker holds the evidence of every backend server that was polled.
type Tracker struct {
	duration time.Duration
	groups   map[string]wire.Group
	evidence map[string]evidence
}

// NewTracker returns a tracker whose leases last duration from before their evidence was requested.
func NewTracker(duration time.Duration) *Tracker {
	return &Tracker{duration: duration, groups: map[string]wire.Group{}, evidence: map[string]evidence{}}
}

// SetDuration changes how long leases last.
func (t *Tracker) SetDuration(d time.Duration) { t.duration = d }

// SetTable replaces the groups by those of a newer table.
func (t *Tracker) SetTable(table wire.Table) {
	t.groups = make(map[string]wire.Group, len(table.Groups))
	for _, g := range table.Groups {
		t.groups[g.ID] = g
	}
}

// RecordAnswer takes a backend server's answer to a poll that was sent at requestedAt.
func (t *Tracker) RecordAnswer(requestedAt time.Time, a wire.Announcement) {
	old, known := t.evidence[a.Host]
	if known && !announcement.Newer(a, old.announcement) {
		return
	}
	t.evidence[a.Host] = evidence{requestedAt: requestedAt, announcement: a}
}

// RecordConnectionFailure ends every lease that rests on a host whose connection failed.
func (t *Tracker) RecordConnectionFailure(host string) {
	delete(t.evidence, host)
}

// Load returns the load that a host stated last.
func (t *Tracker) Load(host string) (wire.Load, bool) {
	e, known := t.evidence[host]
	if !known || e.announcement.Load == nil {
		return wire.Load{}, false
	}
	return *e.announcement.Load, true
}

// Announcement returns a host's newest answer and when it was requested.
func (t *Tracker) Announcement(host string) (wire.Announcement, time.Time, bool) {
	e, known := t.evidence[host]
	return e.announcement, e.requestedAt, known
}

// fresh returns the host's announcement if it still counts at now.
func (t *Tracker) fresh(host string, now time.Time) (wire.Announcement, time.Time, bool) {
	e, known := t.evidence[host]
	until := e.requestedAt.Add(t.duration)
	if !known || !now.Before(until) || e.announcement.Leaving {
		return wire.Announcement{}, time.Time{}, false
	}
	return e.announcement, until, true
}

// GroupLease returns until when a group may be given work; false means that it may not.
func (t *Tracker) GroupLease(id string, now time.Time) (wire.Group, time.Time, bool) {
	g, known := t.groups[id]
	if !known || g.Phase != savorywing.PhaseServing || len(g.Members) == 0 {
		return g, time.Time{}, false
	}
	var until time.Time
	for i, member := range g.Members {
		a, end, ok := t.fresh(member.Host, now)
		if !ok || !holds(a, g, member.Boot) {
			return g, time.Time{}, false
		}
		if i == 0 || end.Before(until) {
			until = end
		}
	}
	return g, until, true
}

// holds tells whether a member itself names the group, the fencing number and the boot number.
func holds(a wire.Announcement, g wire.Group, boot uint64) bool {
	h := a.Holding
	return a.Boot == boot && h != nil && h.Ready && h.Group == g.ID && h.Fence == g.Fence &&
		h.Model == g.Model && h.Version == g.Version
}

// ServiceLease returns until when a plain service's host may be given work; false means that it may not.
func (t *Tracker) ServiceLease(host string, now time.Time) (time.Time, bool) {
	a, until, ok := t.fresh(host, now)
	return until, ok && a.Kind == savorywing.KindService
}

// Groups returns the ids of all groups in the table.
func (t *Tracker) Groups() []string {
	ids := make([]string, 0, len(t.groups))
	for id := range t.groups {
		ids = append(ids, id)
	}
	return ids
}

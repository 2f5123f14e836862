// Package lease decides whether a group or a plain service may receive requests, based only on recent announcements of
// every member. It does no I/O.
package lease

import (
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/announcement"
	"savorywing.example/savorywing/wire"
)

// receivedAnnouncement is a backend server's latest announcement.
type receivedAnnouncement struct {
	// requestedAt is the time, on the monotonic clock, just before the poll was sent.
	requestedAt  time.Time
	announcement wire.Announcement
}

// Tracker holds the latest announcement of every backend server that was polled.
type Tracker struct {
	duration      time.Duration
	groups        map[string]wire.Group
	announcements map[string]receivedAnnouncement
}

// NewTracker returns a tracker whose leases last duration from the time just before their announcements were requested.
func NewTracker(duration time.Duration) *Tracker {
	return &Tracker{duration: duration, groups: map[string]wire.Group{}, announcements: map[string]receivedAnnouncement{}}
}

// SetDuration changes how long leases last.
func (t *Tracker) SetDuration(d time.Duration) { t.duration = d }

// SetTable replaces the groups with those of a newer table.
func (t *Tracker) SetTable(table wire.Table) {
	t.groups = make(map[string]wire.Group, len(table.Groups))
	for _, g := range table.Groups {
		t.groups[g.ID] = g
	}
}

// RecordAnnouncement records a backend server's response to a poll that was sent at requestedAt, unless a newer
// announcement is already known.
func (t *Tracker) RecordAnnouncement(requestedAt time.Time, a wire.Announcement) {
	old, known := t.announcements[a.Host]
	if known && !announcement.Newer(a, old.announcement) {
		return
	}
	t.announcements[a.Host] = receivedAnnouncement{requestedAt: requestedAt, announcement: a}
}

// RecordConnectionFailure ends every lease that depends on a host whose connection failed.
func (t *Tracker) RecordConnectionFailure(host string) {
	delete(t.announcements, host)
}

// Load returns the load that a host reported last.
func (t *Tracker) Load(host string) (wire.Load, bool) {
	e, known := t.announcements[host]
	if !known || e.announcement.Load == nil {
		return wire.Load{}, false
	}
	return *e.announcement.Load, true
}

// Announcement returns a host's newest announcement and the time at which it was requested.
func (t *Tracker) Announcement(host string) (wire.Announcement, time.Time, bool) {
	e, known := t.announcements[host]
	return e.announcement, e.requestedAt, known
}

// valid returns the host's announcement and its expiry, if it has not expired at now and the host is not leaving.
func (t *Tracker) valid(host string, now time.Time) (wire.Announcement, time.Time, bool) {
	e, known := t.announcements[host]
	until := e.requestedAt.Add(t.duration)
	if !known || !now.Before(until) || e.announcement.Leaving {
		return wire.Announcement{}, time.Time{}, false
	}
	return e.announcement, until, true
}

// GroupLease returns a group and the time until which it may receive requests; false means that it may not.
func (t *Tracker) GroupLease(id string, now time.Time) (wire.Group, time.Time, bool) {
	g, known := t.groups[id]
	if !known || g.Phase != savorywing.PhaseServing || len(g.Members) == 0 {
		return g, time.Time{}, false
	}
	var until time.Time
	for i, member := range g.Members {
		a, end, ok := t.valid(member.Host, now)
		if !ok || !holds(a, g, member.Boot) {
			return g, time.Time{}, false
		}
		if i == 0 || end.Before(until) {
			until = end
		}
	}
	return g, until, true
}

// holds reports whether a member announced that it is ready in the group, with the expected fencing token, model, version
// and boot ID.
func holds(a wire.Announcement, g wire.Group, boot uint64) bool {
	h := a.Holding
	return a.Boot == boot && h != nil && h.Ready && h.Group == g.ID && h.Fence == g.Fence &&
		h.Model == g.Model && h.Version == g.Version
}

// ServiceLease returns the time until which a plain service's host may receive requests; false means that it may not.
func (t *Tracker) ServiceLease(host string, now time.Time) (time.Time, bool) {
	a, until, ok := t.valid(host, now)
	return until, ok && a.Kind == savorywing.KindService
}

// Groups returns the IDs of all groups in the table.
func (t *Tracker) Groups() []string {
	ids := make([]string, 0, len(t.groups))
	for id := range t.groups {
		ids = append(ids, id)
	}
	return ids
}

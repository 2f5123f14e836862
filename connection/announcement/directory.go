// Package announcement keeps the newest announcement of every backend server. It does no I/O and reads no clock.
package announcement

import (
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// Change is the kind of change that an announcement made.
type Change int

// Kinds of changes.
const (
	// Stale announcements are not newer than the last one known, and are ignored.
	Stale Change = iota
	// LoadChanged announcements change nothing but the load and the sequence number.
	LoadChanged
	// StateChanged announcements come from a host not known before, or change state that decisions depend on.
	StateChanged
)

// entry is the newest announcement of one backend server.
type entry struct {
	announcement wire.Announcement
	receivedAt   time.Time
}

// Directory maps hosts to their newest announcements.
type Directory struct {
	// retention is how long a host stays listed without a newer announcement.
	retention time.Duration
	entries   map[string]entry
}

// NewDirectory returns an empty directory that lists a host for the given time after its last announcement.
func NewDirectory(retention time.Duration) *Directory {
	return &Directory{retention: retention, entries: map[string]entry{}}
}

// Newer reports whether a was made after b. Both must come from the same host.
func Newer(a, b wire.Announcement) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.Sequence > b.Sequence
}

// Observe records an announcement if it is newer than the last one of its host. Announcements may come late or out of
// order.
func (d *Directory) Observe(now time.Time, a wire.Announcement) Change {
	old, known := d.entries[a.Host]
	if known && !Newer(a, old.announcement) {
		return Stale
	}
	d.entries[a.Host] = entry{announcement: a, receivedAt: now}
	if known && sameState(a, old.announcement) {
		return LoadChanged
	}
	return StateChanged
}

func sameState(a, b wire.Announcement) bool {
	return a.Boot == b.Boot && a.Address == b.Address && a.Leaving == b.Leaving && a.Kind == b.Kind &&
		a.Service == b.Service && a.FabricDomain == b.FabricDomain && sameHolding(a.Holding, b.Holding)
}

func sameHolding(a, b *wire.Holding) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Get returns a host's newest announcement, when it was received, and whether the host is known.
func (d *Directory) Get(host string) (wire.Announcement, time.Time, bool) {
	e, known := d.entries[host]
	return e.announcement, e.receivedAt, known
}

// Each calls f with every announcement, in no particular order.
func (d *Directory) Each(f func(a wire.Announcement)) {
	for _, e := range d.entries {
		f(e.announcement)
	}
}

// All returns every announcement, sorted by host.
func (d *Directory) All() []wire.Announcement {
	all := make([]wire.Announcement, 0, len(d.entries))
	d.Each(func(a wire.Announcement) { all = append(all, a) })
	sort.Slice(all, func(i, j int) bool { return all[i].Host < all[j].Host })
	return all
}

// Expire removes hosts whose newest announcement was received longer ago than the retention time, and returns their
// names, sorted.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for host, e := range d.entries {
		if now.Sub(e.receivedAt) > d.retention {
			delete(d.entries, host)
			expired = append(expired, host)
		}
	}
	sort.Strings(expired)
	return expired
}

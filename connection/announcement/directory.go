// Package announcement keeps the newest announcement of every backend server. It is pure.
package announcement

import (
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// Change tells what an announcement changed.
type Change int

// Kinds of news.
const (
	// Stale announcements are not newer than what is known, and are ignored.
	Stale Change = iota
	// LoadChanged announcements change nothing but the load and the sequence number.
	LoadChanged
	// StateChanged announcements change what others decide by.
	StateChanged
)

// entry is one backend server as last announced.
type entry struct {
	announcement wire.Announcement
	seen         time.Time
}

// Directory maps hosts to their newest announcements.
type Directory struct {
	// keep is how long a silent backend server stays listed.
	keep    time.Duration
	entries map[string]entry
}

// NewDirectory returns an empty directory.
func NewDirectory(keep time.Duration) *Directory {
	return &Directory{keep: keep, entries: map[string]entry{}}
}

// Newer tells whether a was made after b by the same host.
func Newer(a, b wire.Announcement) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.Sequence > b.Sequence
}

// Observe takes an announcement, however late or out of order.
func (d *Directory) Observe(now time.Time, a wire.Announcement) Change {
	old, known := d.entries[a.Host]
	if known && !Newer(a, old.announcement) {
		return Stale
	}
	d.entries[a.Host] = entry{announcement: a, seen: now}
	if known && sameEssentials(a, old.announcement) {
		return LoadChanged
	}
	return StateChanged
}

func sameEssentials(a, b wire.Announcement) bool {
	return a.Boot == b.Boot && a.Address == b.Address && a.Leaving == b.Leaving && a.Kind == b.Kind &&
		a.Service == b.Service && a.FabricDomain == b.FabricDomain && sameHolding(a.Holding, b.Holding)
}

func sameHolding(a, b *wire.Holding) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Get returns a host's newest announcement and when it was seen.
func (d *Directory) Get(host string) (wire.Announcement, time.Time, bool) {
	e, known := d.entries[host]
	return e.announcement, e.seen, known
}

// Each calls f with every announcement, in no order.
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

// Expire forgets hosts that were silent for too long, and returns their names.
func (d *Directory) Expire(now time.Time) []string {
	var gone []string
	for host, e := range d.entries {
		if now.Sub(e.seen) > d.keep {
			delete(d.entries, host)
			gone = append(gone, host)
		}
	}
	sort.Strings(gone)
	return gone
}

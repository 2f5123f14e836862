package logging

import (
	"sync"
	"time"

	"savorywing.example/savorywing"
)

const (
	// repeatInterval is the time after which an event of the same source may be logged again.
	repeatInterval = 1 * time.Hour
	// maxSources bounds the sources whose events are logged within repeatInterval.
	maxSources = 200
)

// Repeats keeps events that a source causes again and again from filling the log: only the first event of a source is
// logged. It is safe for concurrent use.
type Repeats struct {
	clock savorywing.Clock
	mu    sync.Mutex
	// since is when the current interval began, and seen holds the sources logged in it, at most maxSources.
	since   time.Time
	seen    map[string]bool
	omitted uint64
}

// NewRepeats returns a Repeats that has seen no source.
func NewRepeats(clock savorywing.Clock) *Repeats {
	return &Repeats{clock: clock, since: clock.Now(), seen: map[string]bool{}}
}

// Allow reports whether to log an event of a source, and how many events of any source have been omitted since it last
// returned true.
func (r *Repeats) Allow(source string) (allowed bool, omitted uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now(); now.Sub(r.since) >= repeatInterval {
		r.since, r.seen = now, map[string]bool{}
	}
	if r.seen[source] || len(r.seen) >= maxSources {
		r.omitted++
		return false, 0
	}
	r.seen[source] = true
	omitted, r.omitted = r.omitted, 0
	return true, omitted
}

// Package listening decides since when a host has heard the other control hosts without a gap. What it holds of them from before a gap, in
// which it was suspended or out of reach, is no evidence that they are silent, and what it reads right after one may be old.
package listening

import "time"

// MaxGap is the longest time between two observations that isn't a gap. It is less than the silence after which a host may be replaced.
const MaxGap = time.Second

// Tracker records gaps. The zero value has observed nothing.
type Tracker struct {
	// observedAt is the time of the newest observation. It never decreases.
	observedAt time.Time
	// since is when the host began to listen, or when the newest gap ended.
	since time.Time
	// resumed reports whether since is the end of a gap.
	resumed bool
	// inReach reports whether the host had a majority of the control hosts in reach at the newest observation, and wasInReach whether it
	// ever had.
	inReach, wasInReach bool
	gaps                uint64
	// lostAt is when the host last had no majority in reach any more, and gapBegan when the newest gap began.
	lostAt, gapBegan time.Time
}

// Gap is a time in which a host didn't listen.
type Gap struct {
	// Suspended is how long the host observed nothing; 0 if it was out of reach.
	Suspended time.Duration
	// Listened is how long the host had listened before.
	Listened time.Duration
}

// Cause returns the gap's cause in lower camel case.
func (g Gap) Cause() string {
	if g.Suspended > 0 {
		return "suspended"
	}
	return "outOfReach"
}

// Observe records that the host runs, and whether a majority of the control hosts is in reach. It is called more often than once
// in MaxGap, and returns the gap that has just ended, if one has.
func (t *Tracker) Observe(now time.Time, inReach bool) (Gap, bool) {
	isFirst, returned, last := t.observedAt.IsZero(), inReach && !t.inReach, t.observedAt
	if t.inReach && !inReach {
		t.lostAt = now
	}
	t.observedAt, t.inReach = now, inReach
	suspended, began := now.Sub(last), last
	switch {
	case isFirst || (returned && !t.wasInReach):
		// The start of the process is no gap: nothing waits for it from before.
		t.since, t.wasInReach = now, inReach
		return Gap{}, false
	case suspended > MaxGap:
	case returned:
		suspended, began = 0, t.lostAt
	default:
		return Gap{}, false
	}
	g := Gap{Suspended: suspended, Listened: began.Sub(t.since)}
	if t.resumed && g.Listened < MaxGap {
		// A host that goes on after a suspension is out of reach until it has heard the others: both are one gap.
		began = t.gapBegan
	}
	t.since, t.gapBegan, t.resumed = now, began, true
	t.gaps++
	return g, true
}

// Since returns since when the host has listened without a gap.
func (t *Tracker) Since() time.Time { return t.since }

// EarliestSent returns when a call that is handled now may have been sent at the earliest, if calls are under way for at most delay: one that
// is handled less than settle after a gap may have waited for its end.
func (t *Tracker) EarliestSent(now time.Time, delay, settle time.Duration) time.Time {
	if t.resumed && now.Sub(t.since) < settle {
		return t.gapBegan.Add(-delay)
	}
	return now.Add(-delay)
}

// Gaps returns the number of gaps so far.
func (t *Tracker) Gaps() uint64 { return t.gaps }

package reach

import "time"

// State is what a host knows of its paths to the backend servers.
type State int

// States of paths.
const (
	// Direct means that the host reaches the servers, or that nobody is known to reach those that it doesn't.
	Direct State = iota
	// Lost means that others reach servers that this host doesn't.
	Lost
	// Isolated means that neither this host nor any other one asked reaches a server.
	Isolated
)

// String returns the word that logs and metrics use for the state.
func (s State) String() string { return [...]string{"direct", "lost", "isolated"}[s] }

// Round is what one round has found.
type Round struct {
	// Known is the number of servers that could have been asked, and Asked the number of those that were.
	Known, Asked int
	// Reached is the number of servers that have answered this host, and Elsewhere the number of the others that have answered
	// another host.
	Reached, Elsewhere int
}

// showsSoundPaths reports whether servers are reached, and few that aren't are reached by others.
func (r Round) showsSoundPaths() bool { return r.Reached > 0 && r.Reached >= majority*r.Elsewhere }

// showsLoss reports whether others reach most of the servers that are known to answer anybody.
func (r Round) showsLoss() bool {
	return r.Elsewhere > 0 && r.Elsewhere >= min(minLost, r.Known) && r.Elsewhere >= majority*r.Reached
}

// IsMixed reports whether a round shows neither sound paths nor lost ones, although servers were reached here and by others, and
// more could be asked.
func (r Round) IsMixed() bool {
	return r.Reached > 0 && r.Elsewhere > 0 && r.Asked < r.Known && !r.showsSoundPaths() && !r.showsLoss()
}

// RulesOutLoss reports whether paths can't be lost by a round that asks some servers, once as many of them have answered.
func RulesOutLoss(asked, answered int) bool { return asked-answered < majority*answered }

// Tracker holds the state of the paths of one host. It is not safe for concurrent use.
type Tracker struct {
	state State
	// running reports whether a round has begun and not ended.
	running bool
	// notBefore is when the next round may begin.
	notBefore time.Time
	// restored counts the successive rounds that have found the paths sound while the state is not Direct.
	restored     int
	lastResponse time.Time
	// missed reports whether the last round has reached less than half of the servers that it asked.
	missed bool
	// proven reports whether the last round has shown that paths are sound, whatever became of the other servers.
	proven bool
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// RecordResponse records that bytes of a response arrived directly from a server.
func (t *Tracker) RecordResponse(now time.Time) { t.lastResponse = now }

// IsSettled reports whether no round is needed until the next failure. Otherwise rounds follow each other; see Continue.
func (t *Tracker) IsSettled() bool { return t.state == Direct && !t.missed }

// IsSound reports whether the paths are known to be sound: the last round has reached most servers, or some while most of the
// others answer nobody.
func (t *Tracker) IsSound() bool { return t.state == Direct && (!t.missed || t.proven) }

// Begin reports whether a round is due after a failure, and if so, marks it as running until Conclude.
func (t *Tracker) Begin(now time.Time) bool {
	if t.running || !t.IsSettled() || now.Before(t.notBefore) {
		return false
	}
	t.running = true
	return true
}

// Continue marks the next round as running until Conclude, after one that hasn't settled the state.
func (t *Tracker) Continue() { t.running = true }

// InDoubt reports whether paths may have failed: a round is running, or the last one hasn't settled the state.
func (t *Tracker) InDoubt() bool { return t.running || !t.IsSettled() }

// Conclude ends a round and reports whether it has changed the state.
func (t *Tracker) Conclude(now time.Time, r Round) bool {
	t.running, t.missed, t.proven = false, 2*r.Reached < r.Asked, r.showsSoundPaths()
	old := t.state
	next := t.judge(now, r)
	if next == Direct && old != Direct {
		t.restored++
		if t.restored < restoringRounds {
			next = old
		}
	} else {
		t.restored = 0
	}
	t.state = next
	t.notBefore = now.Add(pause(r))
	return next != old
}

func pause(r Round) time.Duration {
	if r.Reached == r.Asked {
		return soundInterval
	}
	return doubtInterval
}

// judge returns the state by a single round.
func (t *Tracker) judge(now time.Time, r Round) State {
	switch {
	case r.showsLoss():
		return Lost
	case r.showsSoundPaths():
		return Direct
	case r.Reached+r.Elsewhere > 0 || r.Asked < min(r.Known, SampleSize+WideSampleSize):
		return t.state
	case now.Sub(t.lastResponse) < responseMemory:
		return Direct
	}
	return Isolated
}

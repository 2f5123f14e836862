// Package pace decides how many requests a backend server may have in flight that has just started or returned.
//
// The leader's Tracker gives it few at first, and more as the answers that all entry hosts report show that it keeps up. It is
// pure: events and time in, decisions out.
package pace

import (
	"math"
	"time"
)

const (
	// startFraction is the fraction of its slots with which a server begins.
	startFraction = 0.25
	// judgeInterval is the minimum time between two judgements, and settleTime the time after a change for which answers are
	// still to requests of before.
	judgeInterval = 250 * time.Millisecond
	settleTime    = 150 * time.Millisecond
	// minTimes is the number of compared times and refused requests that a judgement needs. Where no times are compared, as of plain
	// responses, served requests count instead.
	minTimes = 3
	// minLateTimes is the number of compared times that a fall needs: of two or three requests in flight, a long prompt beside them holds up an
	// event each, which of a few times is a large part.
	minLateTimes = 12
	// A cap rises to provenFactor times the number of requests that were in flight at most.
	provenFactor = 2.0
	// Answers count as in time up to inTime times the expected time, and as late from tooLate times.
	inTime  = 1.3
	tooLate = 1.7
	// maxRefused is the fraction of ended requests that were rejected or failed from which the cap falls.
	maxRefused = 0.25
	// A cap falls by half at most. After that it rises by steadyRise, once goodCount judgements in a row show that the server takes
	// outdatedFactor times what it was estimated to take.
	minFall        = 0.5
	steadyRise     = 1.5
	goodCount      = 2
	outdatedFactor = 1.3
	// Without that, it rises by probeFraction of the slots each probeStep once firstProbe has passed since the fall, and twice that
	// time after each further fall, up to maxProbe.
	probeFraction = 0.125
	probeStep     = 600 * time.Millisecond
	firstProbe    = 1 * time.Second
	maxProbe      = 8 * time.Second
	// At the slots, the pace ends after endCount good judgements in a row.
	endCount = 2
	// minStall is how long a server must have been stalled for its pace to begin again.
	minStall = 1 * time.Second
	// maxTime ends a pace.
	maxTime = 30 * time.Second
)

// Server is an endpoint of a service whose servers are paced.
type Server struct {
	ID    string
	Born  int64
	Epoch uint64
	// Slots is the number of requests that it processes at a time, at least 1.
	Slots int
	// Cold reports whether it says that it is cold.
	Cold bool
	// Stalled reports whether no host sees progress there, and Silent whether it sends no reports.
	Stalled, Silent bool
	// InFlight is the number of all hosts' requests there.
	InFlight int
}

// isStalled reports whether nothing moves at the server, as far as is known. One that serves requests without its reports arriving is
// well: the leader is cut off from it, and may be from many at once.
func (s Server) isStalled() bool { return s.Stalled || (s.Silent && s.InFlight == 0) }

// Sample is what an entry host has observed of a server since its last report.
type Sample struct {
	ID string
	// Times counts the times of events and answers; Slowness is their sum, each divided by the expected time.
	Times    int
	Slowness float64
	// Served counts requests that ended well, Refused those that were rejected or failed.
	Served, Refused int
}

// Tracker holds the servers on pace.
type Tracker struct {
	servers map[string]*state
	// knownAfter is the time after the first list by which every server that runs has reported.
	knownAfter time.Duration
	// syncedAt is when the first list of servers was taken over; zero before.
	syncedAt time.Time
}

// state is what is known of one incarnation of a server.
type state struct {
	server    Server
	startedAt time.Time
	// stalledAt is when the server's stall began, if it is stalled.
	stalledAt time.Time
	// cap is the number of requests that may be in flight; 0 if the server isn't on pace.
	cap int
	// changedAt is when the cap last changed or was judged. The other fields cover the time since.
	changedAt time.Time
	times     int
	slowness  float64
	served    int
	refused   int
	peak      int
	// hasFallen reports whether the cap has fallen, and hasRefused whether rejections or failures were the last reason; good
	// counts good judgements in a row.
	hasFallen, hasRefused bool
	good                  int
	// takes is the estimated number of requests that the server takes in time, from the last judgement that was late; 0 if there
	// was none.
	takes float64
	// probeAt is when the cap may rise without a new estimate, and probe that time after the last fall.
	probeAt time.Time
	probe   time.Duration
	// inFlight is the sum of the numbers in flight in the lists since changedAt, of which there were lists.
	inFlight, lists int
}

// Change is a change of a server's cap, with what it was judged by.
type Change struct {
	ID   string
	Born int64
	// Before is the cap until now.
	Before, Cap, Slots     int
	Times, Served, Refused int
	Slowness               float64
	Peak                   int
	SinceLast, SinceStart  time.Duration
}

// NewTracker returns a Tracker without servers. knownAfter is the time by which a server that runs has reported to a new leader.
func NewTracker(knownAfter time.Duration) *Tracker {
	return &Tracker{servers: map[string]*state{}, knownAfter: knownAfter}
}

// Sync takes over the list of the servers, and returns those whose pace begins. Of the servers that it finds until all have reported, a
// new leader paces only those that are cold: the others may have served for long. No pace begins while there is no traffic.
func (t *Tracker) Sync(now time.Time, list []Server, traffic bool) []Change {
	var changes []Change
	if t.syncedAt.IsZero() {
		t.syncedAt = now
	}
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		old := t.servers[s.ID]
		begins := false
		if old == nil || old.server.Born != s.Born || old.server.Epoch != s.Epoch {
			begins = t.hasStarted(now, s)
			old = &state{}
			t.servers[s.ID] = old
		} else {
			begins = !s.isStalled() && old.server.isStalled() && now.Sub(old.stalledAt) >= minStall
		}
		if s.isStalled() && !old.server.isStalled() {
			old.stalledAt = now
		}
		old.server = s
		old.peak, old.inFlight, old.lists = max(old.peak, s.InFlight), old.inFlight+s.InFlight, old.lists+1
		if begins && traffic {
			changes = append(changes, old.begin(now))
		}
	}
	for id := range t.servers {
		if !listed[id] {
			delete(t.servers, id)
		}
	}
	return changes
}

// hasStarted reports whether a server that isn't known, or not this incarnation of it, has started since this leader leads.
func (t *Tracker) hasStarted(now time.Time, s Server) bool {
	return s.Cold || t.servers[s.ID] != nil || now.Sub(t.syncedAt) >= t.knownAfter
}

func (s *state) begin(now time.Time) Change {
	s.startedAt, s.hasFallen, s.hasRefused, s.good, s.takes, s.probe = now, false, false, 0, 0, 0
	return s.set(now, s.start())
}

func (s *state) slots() int { return max(1, s.server.Slots) }

func (s *state) start() int { return max(1, int(math.Ceil(startFraction*float64(s.slots())))) }

// set sets the cap and begins a new time of observation; 0 ends the pace.
func (s *state) set(now time.Time, n int) Change {
	if s.changedAt.IsZero() {
		s.changedAt = now
	}
	c := Change{
		ID: s.server.ID, Born: s.server.Born, Slots: s.slots(), Times: s.times, Served: s.served, Refused: s.refused, Slowness: s.meanSlowness(), Peak: s.peak,
		SinceLast: now.Sub(s.changedAt), SinceStart: now.Sub(s.startedAt),
	}
	c.Before, c.Cap, s.cap = s.cap, n, n
	s.changedAt, s.times, s.slowness, s.served, s.refused, s.peak, s.inFlight, s.lists = now, 0, 0, 0, 0, s.server.InFlight, 0, 0
	return c
}

// Record records what an entry host has observed.
func (t *Tracker) Record(now time.Time, list []Sample) {
	for _, x := range list {
		s := t.servers[x.ID]
		if s == nil || s.cap == 0 || now.Sub(s.changedAt) < settleTime {
			continue
		}
		s.times += x.Times
		s.slowness += x.Slowness
		s.served += x.Served
		s.refused += x.Refused
	}
}

// Step judges the servers whose judgement is due, and returns the changes.
func (t *Tracker) Step(now time.Time) []Change {
	var changes []Change
	for _, s := range t.servers {
		if s.cap == 0 {
			continue
		}
		if now.Sub(s.startedAt) > maxTime {
			changes = append(changes, s.set(now, 0))
			continue
		}
		if now.Sub(s.changedAt) < judgeInterval || !s.isJudged() {
			continue
		}
		before := s.cap
		if c := s.set(now, s.next(now)); s.cap != before {
			changes = append(changes, c)
		}
	}
	return changes
}

// isJudged reports whether enough was observed for a judgement.
func (s *state) isJudged() bool {
	if s.meanSlowness() > tooLate && !s.isRefusing() {
		return s.times >= minLateTimes
	}
	return max(s.times, s.served)+s.refused >= minTimes
}

// isRefusing reports whether too many requests were rejected or failed.
func (s *state) isRefusing() bool {
	return float64(s.refused) > maxRefused*float64(s.refused+s.served)
}

// next returns the cap that follows from what was observed; 0 if the pace ends.
func (s *state) next(now time.Time) int {
	slowness := s.meanSlowness()
	switch {
	case s.isRefusing():
		s.hasFallen, s.hasRefused, s.good = true, true, 0
		return max(s.start(), int(minFall*float64(s.cap)))
	case slowness > tooLate && s.server.InFlight > s.cap:
		// The server still works off what it had before the cap fell.
		s.good = 0
		return s.cap
	case slowness > tooLate:
		s.hasFallen, s.hasRefused, s.good, s.takes = true, false, 0, s.meanInFlight()/slowness
		s.probe = min(maxProbe, max(firstProbe, 2*s.probe))
		s.probeAt = now.Add(s.probe)
		return max(s.start(), int(minFall*float64(s.cap)), min(s.cap, int(math.Ceil(inTime*s.takes))))
	case slowness > inTime || (s.hasRefused && s.served == 0):
		s.good = 0
		return s.cap
	case s.cap >= s.slots():
		return s.end()
	}
	return s.rise(now, slowness)
}

// end returns the cap at the slots after answers in time; 0 once the pace ends.
func (s *state) end() int {
	if provenFactor*float64(s.peak) >= float64(s.slots()) {
		s.good++
	}
	if s.good >= endCount {
		return 0
	}
	return s.cap
}

// rise returns the cap after answers in time.
func (s *state) rise(now time.Time, slowness float64) int {
	if s.takes > 0 && s.meanInFlight()/slowness < outdatedFactor*s.takes {
		// The server takes what it was known to take.
		s.good = 0
		if now.Before(s.probeAt) {
			return s.cap
		}
		s.probeAt = now.Add(probeStep)
		return min(s.slots(), s.cap+max(1, int(probeFraction*float64(s.slots()))))
	}
	s.good++
	raised := 2 * s.cap
	if s.hasFallen {
		if s.good < goodCount {
			return s.cap
		}
		raised = int(math.Ceil(steadyRise * float64(s.cap)))
	}
	return max(s.cap, min(raised, s.slots(), int(provenFactor*float64(s.peak))))
}

func (s *state) meanInFlight() float64 {
	if s.lists == 0 {
		return float64(s.server.InFlight)
	}
	return float64(s.inFlight) / float64(s.lists)
}

func (s *state) meanSlowness() float64 {
	if s.times == 0 {
		return 0
	}
	return s.slowness / float64(s.times)
}

// Cap returns the number of requests that all hosts together may have in flight at a server; 0 if there is no cap.
func (t *Tracker) Cap(id string) int {
	if s := t.servers[id]; s != nil {
		return s.cap
	}
	return 0
}

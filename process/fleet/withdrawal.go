package fleet

import (
	"errors"
	"time"

	"savorywing.example/savorywing/wire"
)

// A server that deregisters doesn't state its incarnation, and its call may be handled seconds later, after the next incarnation has started
// under the same id. The first control host that can tell which incarnation it was says so to the others.

// ErrAmbiguous reports that a withdrawal may be that of an earlier incarnation than the known one.
var ErrAmbiguous = errors.New("the withdrawal may be that of an earlier incarnation")

const (
	// minReinstateTime is how long a server must go on reporting that it is ready until its withdrawal is taken back. Reports that were sent
	// before a withdrawal don't arrive for as long as that without a gap.
	minReinstateTime = 8 * time.Second
	// reinstateIntervals is the same in intervals of reports, for those that are far apart.
	reinstateIntervals = 6
	// maxReportGapIntervals is the longest time between two such reports, in intervals.
	maxReportGapIntervals = 2.5
	// defaultReportInterval is used without WithReportInterval.
	defaultReportInterval = 1200 * time.Millisecond
)

// withdrawal is the deregistration of an incarnation, and what the server has reported since.
type withdrawal struct {
	born int64
	at   time.Time
	// sequence is the number of the last report that was known as the server deregistered.
	sequence uint64
	// wasLeaving reports whether the server has stated that it is leaving, other than by its withdrawal.
	wasLeaving bool
	// reportedSince is since when it has reported without a gap that it is ready, lastAt when it did last, and lastSequence the number of that
	// report.
	reportedSince, lastAt time.Time
	lastSequence          uint64
}

// Identify returns the withdrawal of a server's known incarnation, as a report, for a call that was sent after a time. An unknown server's
// withdrawal states none. It returns ErrAmbiguous if an earlier incarnation may have sent the call.
func (t *Table) Identify(id string, sentAfter time.Time) (wire.Report, error) {
	r := wire.Report{ID: id, Gone: true}
	s := t.servers[id]
	if s == nil {
		return r, nil
	}
	if s.restartedAt.After(sentAfter) {
		return r, ErrAmbiguous
	}
	r.Born, r.Sequence = s.report.Born, s.report.Sequence
	return r, nil
}

// Withdraw records that an incarnation of a server deregisters, which is the known one if the withdrawal states none, and reports whether that
// is new. The server goes on serving for a short while. It returns ErrStale if a later incarnation is known, or the server has been reinstated since.
func (t *Table) Withdraw(now time.Time, w wire.Report) (bool, error) {
	s := t.servers[w.ID]
	switch {
	case s == nil && w.Born == 0:
		return false, nil
	case s == nil || w.Born > s.report.Born:
		return t.withdrawUnknown(now, s, w), nil
	case w.Born != 0 && (w.Born < s.report.Born || w.Sequence < s.report.Reinstated):
		return false, ErrStale
	case s.report.Gone:
		return false, nil
	}
	t.withdrawn[w.ID] = &withdrawal{born: s.report.Born, at: now, sequence: max(w.Sequence, s.report.Sequence), wasLeaving: s.report.Leaving}
	s.report.Gone, s.report.Leaving = true, true
	s.lastReportAt = now
	t.markChanged(s)
	return true, nil
}

// withdrawUnknown records the withdrawal of an incarnation whose reports have not arrived here. Those that still do register nothing.
func (t *Table) withdrawUnknown(now time.Time, earlier *Server, w wire.Report) bool {
	if old := t.withdrawn[w.ID]; old != nil && old.born >= w.Born {
		return false
	}
	t.withdrawn[w.ID] = &withdrawal{born: w.Born, at: now, sequence: w.Sequence}
	if earlier != nil && !earlier.dead {
		earlier.dead = true
		t.markChanged(earlier)
	}
	return true
}

// wasLeaving reports whether a server has stated that it is leaving, other than by its withdrawal.
func (t *Table) wasLeaving(s *Server) bool {
	if w := t.withdrawn[s.report.ID]; s.report.Gone && w != nil {
		return w.wasLeaving
	}
	return s.report.Leaving
}

// settleWithdrawal reports whether no withdrawal of a report's incarnation holds any more, and forgets an obsolete one. Otherwise the report is
// that of a server that has withdrawn.
func (t *Table) settleWithdrawal(now time.Time, r *wire.Report) bool {
	w := t.withdrawn[r.ID]
	if w != nil && w.born == r.Born && r.Reinstated <= w.sequence && !t.reinstate(now, w, r) {
		r.Gone, r.Leaving = true, true
		return false
	}
	delete(t.withdrawn, r.ID)
	return true
}

// reinstate takes a withdrawal back, and states that in the report, if the server has gone on reporting that it is ready for so long that it
// can't be the one that deregistered.
func (t *Table) reinstate(now time.Time, w *withdrawal, r *wire.Report) bool {
	if r.Leaving || r.Gone || r.Sequence <= max(w.sequence, w.lastSequence) {
		return false
	}
	if now.Sub(w.lastAt) > time.Duration(maxReportGapIntervals*float64(t.reportInterval)) {
		w.reportedSince = now
	}
	w.lastAt, w.lastSequence = now, r.Sequence
	if now.Sub(w.reportedSince) < max(minReinstateTime, reinstateIntervals*t.reportInterval) {
		return false
	}
	r.Reinstated = r.Sequence
	return true
}

func (t *Table) expireWithdrawals(now time.Time, keep time.Duration) {
	for id, w := range t.withdrawn {
		if s := t.servers[id]; (s == nil || s.report.Born != w.born) && now.Sub(w.at) > keep {
			delete(t.withdrawn, id)
		}
	}
}

func (t *Table) markChanged(s *Server) {
	t.revision++
	s.changedAt = t.revision
}

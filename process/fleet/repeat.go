package fleet

import (
	"errors"
	"reflect"
	"time"

	"savorywing.example/savorywing/wire"
)

// ErrUnknownWhole reports that the report which another one repeats isn't the last whole one that is known.
var ErrUnknownWhole = errors.New("the repeated report isn't known")

// AsRepeat returns a newer report of a server as a repeated one, or false if it says something else than the last one.
func (t *Table) AsRepeat(r wire.Report) (wire.RepeatedReport, bool) {
	s := t.servers[r.ID]
	if s == nil || s.dead || s.report.Gone || r.Sequence <= s.report.Sequence {
		return wire.RepeatedReport{}, false
	}
	repeat := wire.RepeatedReport{ID: r.ID, Born: r.Born, Sequence: r.Sequence, Of: s.wholeSequence}
	r.Sequence, r.Reinstated = s.report.Sequence, s.report.Reinstated
	return repeat, reflect.DeepEqual(r, s.report)
}

// Repeat applies a report that says the same as an earlier one. It returns ErrStale for one of another incarnation or with an
// earlier number, ErrWithdrawn after a withdrawal, and ErrUnknownWhole if the last whole report known here is another.
func (t *Table) Repeat(now time.Time, r wire.RepeatedReport) error {
	s := t.servers[r.ID]
	switch {
	case s == nil:
		return ErrUnknownWhole
	case s.dead || r.Born != s.report.Born || r.Sequence <= s.report.Sequence:
		return ErrStale
	case s.report.Gone:
		return ErrWithdrawn
	case r.Of != s.wholeSequence:
		return ErrUnknownWhole
	}
	s.report.Sequence, s.lastReportAt = r.Sequence, now
	s.coldUntil = now.Add(time.Duration(s.report.ColdMs) * time.Millisecond)
	return nil
}

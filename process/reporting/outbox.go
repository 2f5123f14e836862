package reporting

import (
	"maps"
	"slices"
	"time"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/wire"
)

const (
	// changeDelay is the minimum time between two batches of changed reports, so that a burst of changes travels together.
	changeDelay = 10 * time.Millisecond
	// MaxDelay is how long a report waits for others at most, so that all of one host's travel together.
	MaxDelay = 25 * time.Millisecond
	// wholeInterval is how long after a server's last whole report the next one is sent as a whole, whatever it says.
	wholeInterval = 5 * time.Second
	// keepIntervals is the number of report intervals after its last report for which a server is among those that a host
	// which has just connected is told of.
	keepIntervals = 1.5
)

// Outbox holds the reports that a control host has got from backend servers until they are sent to the other control hosts.
type Outbox struct {
	// keepTime is how long after its last report a server counts as one that reports here.
	keepTime time.Duration
	servers  map[string]*reported
	whole    []wire.Report
	repeats  []wire.RepeatedReport
	// dueAt is when the waiting reports are due; zero without any.
	dueAt time.Time
	// takenAt is when the last batch was taken.
	takenAt time.Time
}

// reported is what a host knows of a server that reports to it.
type reported struct {
	// report is the last one, with the number of the last whole one at the time wholeAt in wholeSequence.
	report        wire.Report
	wholeSequence uint64
	wholeAt       time.Time
	lastAt        time.Time
}

// NewOutbox returns an outbox without reports, for servers that report at an interval.
func NewOutbox(interval time.Duration) *Outbox {
	return &Outbox{keepTime: time.Duration(keepIntervals * float64(interval)), servers: map[string]*reported{}}
}

// AddWhole adds a report that is sent as a whole, and soon if it changes something.
func (o *Outbox) AddWhole(now time.Time, r wire.Report, changed bool) {
	o.servers[r.ID] = &reported{report: r, wholeSequence: r.Sequence, wholeAt: now, lastAt: now}
	o.whole = append(o.whole, r)
	if changed {
		o.setDue(clock.Latest(now, o.takenAt.Add(changeDelay)))
	}
	o.setDue(now.Add(MaxDelay))
}

// AddWithdrawal adds the report of a server that has ended.
func (o *Outbox) AddWithdrawal(now time.Time, r wire.Report) {
	o.Forget(r.ID)
	o.whole = append(o.whole, r)
	o.setDue(now)
}

// Forget forgets a server that is leaving, whose earlier reports no longer tell its state.
func (o *Outbox) Forget(id string) { delete(o.servers, id) }

// AddRepeat adds a repeated report, and returns false if it must be sent as a whole instead: the one that it repeats was not
// sent by this host, or too long ago.
func (o *Outbox) AddRepeat(now time.Time, r wire.RepeatedReport) bool {
	s := o.servers[r.ID]
	if s == nil || s.report.Born != r.Born || s.wholeSequence != r.Of || now.Sub(s.wholeAt) >= wholeInterval {
		return false
	}
	s.report.Sequence, s.lastAt = r.Sequence, now
	o.repeats = append(o.repeats, r)
	o.setDue(now.Add(MaxDelay))
	return true
}

func (o *Outbox) setDue(t time.Time) {
	if o.dueAt.IsZero() || t.Before(o.dueAt) {
		o.dueAt = t
	}
}

// UntilDue returns how long the reports may still wait, or a long time without any.
func (o *Outbox) UntilDue(now time.Time) time.Duration {
	if o.dueAt.IsZero() {
		return wholeInterval
	}
	return max(0, o.dueAt.Sub(now))
}

// Batch is what is sent to the other control hosts at once.
type Batch struct {
	Whole   []wire.Report
	Repeats []wire.RepeatedReport
}

// Take removes and returns the waiting reports, or returns false if they are not due yet.
func (o *Outbox) Take(now time.Time) (Batch, bool) {
	if o.dueAt.IsZero() || now.Before(o.dueAt) {
		return Batch{}, false
	}
	b := Batch{Whole: o.whole, Repeats: o.repeats}
	o.whole, o.repeats, o.dueAt, o.takenAt = nil, nil, time.Time{}, now
	return b, true
}

// WholeOnly returns the reports of a batch for a host that takes no repeated ones.
func (o *Outbox) WholeOnly(b Batch) []wire.Report {
	list := slices.Clone(b.Whole)
	for _, r := range b.Repeats {
		if s := o.servers[r.ID]; s != nil && s.report.Born == r.Born {
			w := s.report
			w.Sequence = r.Sequence
			list = append(list, w)
		}
	}
	return list
}

// All returns the last report of each server that still reports to this host, for a host that may lack some. It forgets
// the others. The numbers are those of the last whole reports, which later ones repeat.
func (o *Outbox) All(now time.Time) []wire.Report {
	maps.DeleteFunc(o.servers, func(_ string, s *reported) bool { return now.Sub(s.lastAt) > o.keepTime })
	list := make([]wire.Report, 0, len(o.servers))
	for _, s := range o.servers {
		r := s.report
		r.Sequence = s.wholeSequence
		list = append(list, r)
	}
	return list
}

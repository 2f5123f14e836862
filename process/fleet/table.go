// Package fleet holds the reported state of backend servers and derives where requests can be sent. It is a pure
// state machine: reports and time in, endpoints out.
package fleet

import (
	"errors"
	"sort"
	"time"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/wire"
)

// States of a group membership.
const (
	StateJoining = "joining"
	StateReady   = "ready"
	StateOpen    = "open"
	StateClosing = "closing"
	StateBroken  = "broken"
)

// Errors for rejected reports.
var (
	ErrStale     = errors.New("a newer report is known")
	ErrWithdrawn = errors.New("the backend server has withdrawn itself")
)

// Server is one incarnation of a backend server.
type Server struct {
	report wire.Report
	// wholeSequence is the number of the last report that wasn't a repeated one. It is at most report.Sequence.
	wholeSequence uint64
	// lastReportAt is when the newest report, or the withdrawal, arrived. It never decreases.
	lastReportAt time.Time
	// coldUntil is when the server stops being cold by its newest report, and assumedColdUntil what AssumeCold has set.
	coldUntil, assumedColdUntil time.Time
	// restartedAt is when this incarnation was first reported; zero if no earlier one under the same id was known.
	restartedAt time.Time
	// changedAt is the table's revision at the last change of the reported state other than the load.
	changedAt uint64
	// dead reports whether a server that started later is known at its address.
	dead bool
}

// Report returns the newest report, which must not be modified. A later report replaces its content.
func (s *Server) Report() *wire.Report { return &s.report }

// ChangedAt returns the table's revision at the last change of the server's reported state other than its load.
func (s *Server) ChangedAt() uint64 { return s.changedAt }

// LastReportAt returns when the newest report, or the withdrawal, arrived.
func (s *Server) LastReportAt() time.Time { return s.lastReportAt }

// RestartedAt returns when this incarnation was first reported; zero if no earlier one under the same id was known.
func (s *Server) RestartedAt() time.Time { return s.restartedAt }

// Dead reports whether the process is known to have ended.
func (s *Server) Dead() bool { return s.dead }

// GroupMembership returns the server's reported group, rank and state, or nil.
func (s *Server) GroupMembership() *wire.GroupPlace { return s.report.Group }

// Table holds the newest report of each backend server.
type Table struct {
	servers map[string]*Server
	// byAddress maps each address to the id of the newest server there.
	byAddress map[string]string
	// revision increases with each change of a server's reported state other than its load.
	revision uint64
	// generation increases when servers are added or removed, or restart.
	generation uint64
	// sorted lists the servers by id; nil if one was added or removed since it was built.
	sorted []*Server
	// withdrawn holds the newest withdrawal of each server.
	withdrawn map[string]*withdrawal
	// reportInterval is how often servers report.
	reportInterval time.Duration
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithReportInterval sets how often servers report.
func WithReportInterval(d time.Duration) Option { return func(t *Table) { t.reportInterval = d } }

// NewTable returns an empty table.
func NewTable(opts ...Option) *Table {
	t := &Table{servers: map[string]*Server{}, byAddress: map[string]string{}, withdrawn: map[string]*withdrawal{}, reportInterval: defaultReportInterval}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Revision returns a counter that increases with each change that matters to routing or groups.
func (t *Table) Revision() uint64 { return t.revision }

// Server returns a server by id, or nil.
func (t *Table) Server(id string) *Server { return t.servers[id] }

// Generation returns a counter that increases when servers are added or removed, or restart.
func (t *Table) Generation() uint64 { return t.generation }

// Servers returns all servers, sorted by id. The list must not be modified. A server stays the same until it is removed.
func (t *Table) Servers() []*Server {
	if t.sorted == nil {
		t.sorted = make([]*Server, 0, len(t.servers))
		for _, s := range t.servers {
			t.sorted = append(t.sorted, s)
		}
		sort.Slice(t.sorted, func(i, j int) bool { return t.sorted[i].report.ID < t.sorted[j].report.ID })
	}
	return t.sorted
}

// Apply applies a report, and reports whether the server is new or its state other than its load has changed. It returns
// ErrStale or ErrWithdrawn if the report is rejected.
func (t *Table) Apply(now time.Time, r wire.Report) (bool, error) {
	if err := t.check(r); err != nil {
		return false, err
	}
	old := t.servers[r.ID]
	isSame := old != nil && old.report.Born == r.Born
	if isSame {
		r.Leaving = r.Leaving || t.wasLeaving(old)
	}
	isWithdrawn := !t.settleWithdrawal(now, &r)
	if isWithdrawn && isSame {
		return false, ErrWithdrawn
	}
	t.markReplacedDead(r)
	if isSame {
		r.Reinstated = max(r.Reinstated, old.report.Reinstated)
	}
	changed := old == nil || !isSameState(old.report, r)
	s := t.serverFor(now, old, r)
	s.report, s.wholeSequence, s.lastReportAt, s.coldUntil = r, r.Sequence, now, now.Add(time.Duration(r.ColdMs)*time.Millisecond)
	t.byAddress[r.Address] = r.ID
	if changed {
		t.markChanged(s)
	}
	if isWithdrawn {
		return changed, ErrWithdrawn
	}
	return changed, nil
}

// serverFor returns the server for a report whose predecessor is that of old, which is nil for a new server.
func (t *Table) serverFor(now time.Time, old *Server, r wire.Report) *Server {
	s := old
	if s == nil {
		s = &Server{}
		t.servers[r.ID], t.sorted = s, nil
	} else if old.report.Born != r.Born {
		s.restartedAt, s.dead = now, false
	}
	if old == nil || old.report.Born != r.Born || old.report.Domain != r.Domain || old.report.Engine != r.Engine {
		t.generation++
	}
	return s
}

// check rejects reports of earlier incarnations, duplicate or reordered ones, and those of a server that a later one has replaced at its
// address.
func (t *Table) check(r wire.Report) error {
	if old := t.servers[r.ID]; old != nil {
		switch {
		case r.Born < old.report.Born:
			return ErrStale
		case r.Born == old.report.Born && old.dead:
			return ErrStale
		case r.Born == old.report.Born && r.Sequence <= old.report.Sequence:
			return ErrStale
		}
	}
	if w := t.withdrawn[r.ID]; w != nil && r.Born < w.born {
		return ErrStale
	}
	if other := t.servers[t.byAddress[r.Address]]; other != nil && other.report.ID != r.ID && r.Born < other.report.Born {
		return ErrStale
	}
	return nil
}

// markReplacedDead marks an older server at the same address as dead.
func (t *Table) markReplacedDead(r wire.Report) {
	other := t.servers[t.byAddress[r.Address]]
	if other == nil || other.report.ID == r.ID || other.dead {
		return
	}
	other.dead = true
	t.markChanged(other)
}

// MarkLeaving records that one incarnation of a server is leaving, as it has stated in a response, and reports whether
// that was unknown.
func (t *Table) MarkLeaving(id string, born int64) bool {
	s := t.servers[id]
	if s == nil || s.dead || s.report.Born != born {
		return false
	}
	if w := t.withdrawn[id]; w != nil && w.born == born {
		w.wasLeaving = true
	}
	if s.report.Leaving {
		return false
	}
	s.report.Leaving = true
	t.markChanged(s)
	return true
}

// AssumeCold takes the servers of a data centre for cold for a time, whatever they report until then: reports that were on their
// way may be older than the event that has made them cold.
func (t *Table) AssumeCold(now time.Time, dataCentre string, d time.Duration) {
	for _, s := range t.servers {
		if s.report.DataCentre == dataCentre {
			s.assumedColdUntil = now.Add(d)
		}
	}
	t.revision++
}

// IsCold reports whether a server is cold.
func (s *Server) IsCold(now time.Time) bool { return s.coldFor(now) > 0 }

// coldFor returns how much longer a server is cold.
func (s *Server) coldFor(now time.Time) time.Duration {
	return max(0, clock.Latest(s.coldUntil, s.assumedColdUntil).Sub(now))
}

// Expire removes servers that have sent no report for longer than keep.
func (t *Table) Expire(now time.Time, keep time.Duration) {
	t.expireWithdrawals(now, keep)
	for id, s := range t.servers {
		if now.Sub(s.lastReportAt) <= keep {
			continue
		}
		delete(t.servers, id)
		t.sorted = nil
		t.generation++
		if t.byAddress[s.report.Address] == id {
			delete(t.byAddress, s.report.Address)
		}
		t.revision++
	}
}

func isSameState(a, b wire.Report) bool {
	if a.Born != b.Born || a.Service != b.Service || a.Address != b.Address || a.Leaving != b.Leaving ||
		a.Slots != b.Slots || a.DataCentre != b.DataCentre || (a.ColdMs > 0) != (b.ColdMs > 0) || len(a.Staged) != len(b.Staged) {
		return false
	}
	for i := range a.Staged {
		if a.Staged[i] != b.Staged[i] {
			return false
		}
	}
	if (a.Group == nil) != (b.Group == nil) {
		return false
	}
	return a.Group == nil || *a.Group == *b.Group
}

// Package fleet keeps what backend servers say of themselves and derives where requests can be sent.
// It is pure: reports and time in, endpoints out.
package fleet

import (
	"errors"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// States of a place in a group.
const (
	StateJoining = "joining"
	StateReady   = "ready"
	StateOpen    = "open"
	StateClosing = "closing"
	StateBroken  = "broken"
)

// Errors of reports that are not taken over.
var (
	ErrStale     = errors.New("a newer report is known")
	ErrWithdrawn = errors.New("the backend server has withdrawn itself")
)

// Server is one start of a backend server.
type Server struct {
	report wire.Report
	// heard is when the newest report came; it only grows.
	heard time.Time
	// reborn is when a later start under the same id was first heard of; zero for the first one known.
	reborn time.Time
	// dead tells that a later start is known at its address or under its id.
	dead bool
}

// Report returns the newest report.
func (s *Server) Report() wire.Report { return s.report }

// LastReportAt returns when the newest report came.
func (s *Server) LastReportAt() time.Time { return s.heard }

// RestartedAt returns when a later start under the same id was first heard of; zero for the first one known.
func (s *Server) RestartedAt() time.Time { return s.reborn }

// Dead tells that the process is known to have ended.
func (s *Server) Dead() bool { return s.dead }

// GroupMembership returns the server's place in a group, or nil.
func (s *Server) GroupMembership() *wire.GroupPlace { return s.report.Group }

// Table holds the newest report of each backend server.
type Table struct {
	servers map[string]*Server
	// byAddress names the newest server at each address.
	byAddress map[string]string
	// revision grows with each change of what a server says, its load aside.
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[string]*Server{}, byAddress: map[string]string{}}
}

// Revision grows with each change that matters to routing or groups.
func (t *Table) Revision() uint64 { return t.revision }

// Server returns a server by id, or nil.
func (t *Table) Server(id string) *Server { return t.servers[id] }

// Servers returns all servers, sorted by id.
func (t *Table) Servers() []*Server {
	list := make([]*Server, 0, len(t.servers))
	for _, s := range t.servers {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].report.ID < list[j].report.ID })
	return list
}

// Apply takes a report over and tells whether it changes more than the time of the last one.
func (t *Table) Apply(now time.Time, r wire.Report) (bool, error) {
	if err := t.check(r); err != nil {
		return false, err
	}
	t.buryNeighbour(r)
	old := t.servers[r.ID]
	if old != nil && old.report.Born == r.Born {
		r.Leaving = r.Leaving || old.report.Leaving
	}
	changed := old == nil || !same(old.report, r)
	next := &Server{report: r, heard: now}
	if old != nil {
		next.reborn = old.reborn
		if old.report.Born != r.Born {
			next.reborn = now
		}
	}
	t.servers[r.ID] = next
	t.byAddress[r.Address] = r.ID
	if changed {
		t.revision++
	}
	return changed, nil
}

// check refuses reports of earlier starts, resent ones, and those that overtook a withdrawal.
func (t *Table) check(r wire.Report) error {
	if old := t.servers[r.ID]; old != nil {
		switch {
		case r.Born < old.report.Born:
			return ErrStale
		case r.Born == old.report.Born && old.dead:
			return ErrStale
		case r.Born == old.report.Born && old.report.Gone:
			return ErrWithdrawn
		case r.Born == old.report.Born && r.Sequence <= old.report.Sequence:
			return ErrStale
		}
	}
	if other := t.servers[t.byAddress[r.Address]]; other != nil && other.report.ID != r.ID && r.Born < other.report.Born {
		return ErrStale
	}
	return nil
}

// buryNeighbour marks an earlier server at the same address as dead.
func (t *Table) buryNeighbour(r wire.Report) {
	other := t.servers[t.byAddress[r.Address]]
	if other == nil || other.report.ID == r.ID || other.dead {
		return
	}
	other.dead = true
	t.revision++
}

// Withdraw takes over that a server ends by itself. It serves for a short while yet.
func (t *Table) Withdraw(now time.Time, id string) bool {
	s := t.servers[id]
	if s == nil || s.report.Gone {
		return false
	}
	s.report.Gone, s.report.Leaving = true, true
	s.heard = now
	t.revision++
	return true
}

// Expire drops servers that have been silent for longer than keep.
func (t *Table) Expire(now time.Time, keep time.Duration) {
	for id, s := range t.servers {
		if now.Sub(s.heard) <= keep {
			continue
		}
		delete(t.servers, id)
		if t.byAddress[s.report.Address] == id {
			delete(t.byAddress, s.report.Address)
		}
		t.revision++
	}
}

func same(a, b wire.Report) bool {
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

package fleet

import (
	"fmt"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/version/catalogue"
)

// Config describes an emulated fleet.
type Config struct {
	Dialect savorywing.EmulatorDialect
	// ControlAddresses lists addresses that take reports.
	ControlAddresses []string
	// ReportInterval is the time between two reports of a server.
	ReportInterval time.Duration
	// Engine is how the engines of EngineService work.
	EngineService string
	Engine        catalogue.Engine
	// MemberLossTimeout is how long a head goes on after it has lost a member.
	MemberLossTimeout time.Duration
	// PlainServiceTime is how long a plain service works on a request.
	PlainServiceTime time.Duration
}

// Fleet is a set of emulated servers and what they have seen.
type Fleet struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*Server
	// ran counts runs by the number of the caller's attempt.
	ran map[string]int
	// violations are broken promises, in words.
	violations []string
	// readyOnce holds "id group epoch" of every member that was ever ready.
	readyOnce map[string]bool
}

// New returns a fleet without servers.
func New(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, servers: map[string]*Server{}, ran: map[string]int{}, readyOnce: map[string]bool{}}
}

// Violations returns the promises that were seen broken.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// RunCount returns how often a caller's attempt has run.
func (f *Fleet) RunCount(number string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[number]
}

// OpenHeads returns the heads of the groups that serve.
func (f *Fleet) OpenHeads() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Server
	for _, s := range f.servers {
		if s.state == stateOpen && !s.dead {
			out = append(out, s)
		}
	}
	return out
}

// OtherMember returns a server of a head's group that is not the head, or nil.
func (f *Fleet) OtherMember(head *Server) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s != head && s.group == head.group && s.epoch == head.epoch && !s.dead {
			return s
		}
	}
	return nil
}

// Close ends every server.
func (f *Fleet) Close() {
	f.mu.Lock()
	var all []*Server
	for _, s := range f.servers {
		all = append(all, s)
	}
	f.mu.Unlock()
	for _, s := range all {
		s.Kill()
	}
}

// violate notes a broken promise; mu is held.
func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// checkRun notes whether a head may begin to run a request; mu is held.
func (f *Fleet) checkRun(s *Server, number string) {
	f.ran[number]++
	m := f.model(s.model)
	if m == nil || len(s.members) != m.HostsPerGroup {
		f.violate("%s runs %s in group %s of %d members", s.id, number, s.group, len(s.members))
		return
	}
	for _, id := range s.members {
		if !f.readyOnce[readyKey(id, s.group, s.epoch)] {
			f.violate("%s runs %s in group %s whose member %s was never ready", s.id, number, s.group, id)
		}
	}
}

// checkJoin notes whether a server may join another group; mu is held.
func (f *Fleet) checkJoin(s *Server, group string) {
	if s.group == "" || s.group == group {
		return
	}
	for _, h := range f.servers {
		if h.dead || h.group != s.group || h.epoch != s.epoch || h.rank != 0 {
			continue
		}
		if h.state == stateOpen || h.state == stateClosing {
			f.violate("%s joins %s while %s still heads %s (%s)", s.id, group, h.id, s.group, h.state)
		}
	}
}

func (f *Fleet) model(name string) *catalogue.Model {
	for i := range f.cfg.Engine.Models {
		if f.cfg.Engine.Models[i].Name == name {
			return &f.cfg.Engine.Models[i]
		}
	}
	return nil
}

func readyKey(id, group string, epoch uint64) string {
	return fmt.Sprintf("%s %s %d", id, group, epoch)
}

// PlainServers returns the servers of plain services.
func (f *Fleet) PlainServers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Server
	for _, s := range f.servers {
		if !s.Engine && !s.dead {
			out = append(out, s)
		}
	}
	return out
}

// InFlight returns the number of streams that engines work on.
func (f *Fleet) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.servers {
		n += int(s.inFlight.Load())
	}
	return n
}

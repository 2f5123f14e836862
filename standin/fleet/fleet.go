package fleet

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// Config describes an emulated fleet.
type Config struct {
	Dialect savorywing.EmulatorDialect
	// ControlAddresses lists the addresses that accept reports.
	ControlAddresses []string
	// ReportInterval is the time between two reports of a server.
	ReportInterval time.Duration
	// EngineService is the service of the engines, and Engine is their performance model.
	EngineService string
	Engine        catalogue.Engine
	// MemberLossTimeout is how long a head that has lost a member stalls before it reports its group as broken.
	MemberLossTimeout time.Duration
	// PlainServiceTime is the service time of a request to a plain service.
	PlainServiceTime time.Duration
	// RestartTime is the time after which a server that has crashed starts again, as a new incarnation under another ID.
	RestartTime time.Duration
}

// Fleet is a set of emulated servers and their observations.
type Fleet struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*Server
	// runCounts counts runs by the ID of the caller's attempt.
	runCounts map[string]int
	// closed is set by Close; no server starts again after it.
	closed bool
	// violations describe the violated invariants.
	violations []string
	// lethal holds the parts of prompts on which an engine crashes after its first event; lethalArrivals and lethalCrashes
	// hold the times of the requests with one of them and of the crashes.
	// lethalBody is the body of requests on which a server crashes at once.
	lethalBody                    string
	lethal                        map[savorywing.PromptPart]bool
	lethalArrivals, lethalCrashes []time.Time
	// evacuated holds since when no request may arrive at the servers of a data centre.
	evacuated map[string]time.Time
	// everReady holds "id group epoch" of every member that was ever ready.
	everReady map[string]bool
}

// New returns a fleet without servers.
func New(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, servers: map[string]*Server{}, runCounts: map[string]int{}, everReady: map[string]bool{}, evacuated: map[string]time.Time{}}
}

// SetEvacuated makes each request that arrives at a server of a data centre after a time violate an invariant, or, if the time is zero, no
// longer.
func (f *Fleet) SetEvacuated(dataCentre string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[dataCentre] = since
}

// Violations returns descriptions of the violated invariants.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// RunCount returns how often a caller's attempt has run.
func (f *Fleet) RunCount(attemptID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runCounts[attemptID]
}

// SetLethal replaces the parts of prompts on which engines crash, and forgets the arrivals and crashes so far.
func (f *Fleet) SetLethal(parts ...savorywing.PromptPart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lethal, f.lethalArrivals, f.lethalCrashes = map[savorywing.PromptPart]bool{}, nil, nil
	for _, part := range parts {
		f.lethal[part] = true
	}
}

// SetLethalBody makes each server crash that begins to run a request with a body, and forgets the arrivals and crashes so
// far. No request is lethal if the body is empty.
func (f *Fleet) SetLethalBody(body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lethalBody, f.lethalArrivals, f.lethalCrashes = body, nil, nil
}

// LethalTimes returns when requests with a lethal part arrived at engines, and when engines crashed on one.
func (f *Fleet) LethalTimes() (arrivals, crashes []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.lethalArrivals...), append([]time.Time(nil), f.lethalCrashes...)
}

// isLethal reports whether a request has a lethal part or body, and records its arrival. The caller holds mu.
func (f *Fleet) isLethal(parts []savorywing.PromptPart, body []byte) bool {
	if f.lethalBody != "" && f.lethalBody == string(body) {
		f.lethalArrivals = append(f.lethalArrivals, time.Now())
		return true
	}
	for _, part := range parts {
		if f.lethal[part] {
			f.lethalArrivals = append(f.lethalArrivals, time.Now())
			return true
		}
	}
	return false
}

// OpenHeads returns the heads of the open groups.
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

// OtherMember returns a live server of a head's group that is not the head, or nil.
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

// Close kills every server.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	var servers []*Server
	for _, s := range f.servers {
		servers = append(servers, s)
	}
	f.mu.Unlock()
	for _, s := range servers {
		s.Kill()
	}
}

// recordViolation records a violated invariant. The caller holds mu.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// checkRun counts a run and records a violation if the head's group is incomplete or one of its members was never
// ready. The caller holds mu.
func (f *Fleet) checkRun(s *Server, attemptID string) {
	f.runCounts[attemptID]++
	m := f.model(s.model)
	if m == nil || len(s.members) != m.HostsPerGroup {
		f.recordViolation("%s runs attempt %s in group %s of %d members", s.id, attemptID, s.group, len(s.members))
		return
	}
	for _, id := range s.members {
		if !f.everReady[readyKey(id, s.group, s.epoch)] {
			f.recordViolation("%s runs attempt %s in group %s whose member %s was never ready", s.id, attemptID, s.group, id)
		}
	}
}

// checkJoin records a violation if a server joins another group while the head of its current group still serves. mu is
// held.
func (f *Fleet) checkJoin(s *Server, group string) {
	if s.group == "" || s.group == group {
		return
	}
	for _, h := range f.servers {
		if h.dead || h.group != s.group || h.epoch != s.epoch || h.rank != 0 {
			continue
		}
		if h.state == stateOpen || h.state == stateClosing {
			f.recordViolation("%s joins %s while %s is still the head of %s (%s)", s.id, group, h.id, s.group, h.state)
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

// SpareEngines returns the engines that are not killed and in no group that serves.
func (f *Fleet) SpareEngines() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	serving := map[string]bool{}
	for _, s := range f.servers {
		if s.rank == 0 && s.state == stateOpen && !s.dead {
			serving[s.group] = true
		}
	}
	var out []*Server
	for _, s := range f.servers {
		if s.Engine && !s.dead && !serving[s.group] {
			out = append(out, s)
		}
	}
	return out
}

// Servers returns all servers, sorted by ID.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// PlainServers returns the servers of plain services that have not been killed.
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

// InFlight returns the number of streams in flight at all engines.
func (f *Fleet) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.servers {
		n += int(s.inFlight.Load())
	}
	return n
}

// Memberships returns the group, epoch and rank of each live server that is in a group, by ID.
func (f *Fleet) Memberships() map[string]wire.GroupPlace {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]wire.GroupPlace{}
	for id, s := range f.servers {
		if s.group != "" && !s.dead {
			out[id] = wire.GroupPlace{Name: s.group, Epoch: s.epoch, Rank: s.rank, State: s.state}
		}
	}
	return out
}

package formation

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

const (
	simStep           = 20 * time.Millisecond
	simReportInterval = 1200 * time.Millisecond
	simStallTimeout   = 5 * time.Second
	// simMaxResponse is the longest response that a closing group still completes.
	simMaxResponse = 3 * time.Second
)

func simCatalogue(t *testing.T) *catalogue.Catalogue {
	t.Helper()
	c, err := catalogue.New(catalogue.Document{Version: 1, Services: []catalogue.Service{{Name: "engines", Engine: &catalogue.Engine{
		Slots: 17, LoadsPerSecond: 5, MaxConcurrentLoads: 7, MaxStagedModels: 1, OpenTime: 300 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: "large", HostsPerGroup: 4, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", HostsPerGroup: 2, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// simServer simulates an engine as the platform specifies it.
type simServer struct {
	id, domain string
	// address is where it listens. The address of a lost server may be reused.
	address                string
	startTime              int64
	sequence               uint64
	fencingToken, maxEpoch uint64
	staged                 string
	lastModel              string
	group                  string
	epoch                  uint64
	rank                   int
	members                []string
	model                  string
	state                  string
	dead, partitioned      bool
	readyAt                time.Time
	openAt                 time.Time
	closedAt               time.Time
	stagedAt               time.Time
	staging                string
	stalledAt              time.Time
	nextReport             time.Time
	changed                bool
}

// sim simulates engines, a network that loses and delays messages, and changes of leader.
type sim struct {
	t          *testing.T
	r          *rand.Rand
	now        time.Time
	catalogue  *catalogue.Catalogue
	servers    map[string]*simServer
	table      *fleet.Table
	reconciler *Reconciler
	// follower has received the same reports, and leads after some elections.
	follower   *Reconciler
	term       uint64
	events     []simEvent
	ready      map[string]bool
	loads      []time.Time
	started    time.Time
	served     bool
	seed       uint64
	lastServer int
	// demand is the demand for each model, in slots.
	demand map[string]float64
	// evacuated holds the evacuated data centres. Each fabric domain is a data centre of its own, of the same name.
	evacuated *evacuation.Set
	// quietAt is when the last request ends in evacuated data centres.
	quietAt time.Time
	// stepInterval is the time between two steps if it is longer than simStep; lastStep is how long the last one took.
	stepInterval, lastStep time.Duration
	// onOrders is called for each order, if it is set.
	onOrders func(text string)
	// onOrder is called for each order, if it is set.
	onOrder func(o savorywing.FleetOrder)
	// lossless is set if every report and order arrives at once.
	lossless bool
	// onJoin is called for each join, if it is set.
	onJoin func(v *simServer, model string)
}

type simEvent struct {
	at time.Time
	do func()
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, r: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), catalogue: simCatalogue(t), servers: map[string]*simServer{},
		table: fleet.NewTable(), reconciler: New(Config{}), follower: New(Config{}), term: 1, ready: map[string]bool{}, seed: seed, demand: map[string]float64{"large": 30, "small": 50}}
	s.started = s.now
	s.addDomains(3)
	return s
}

// newSmallSim returns a simulation with fewer domains than models.
func newSmallSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.servers, s.lastServer = map[string]*simServer{}, 0
	s.addDomains(1)
	return s
}

func (s *sim) addDomains(n int) {
	for d := range n {
		for range 10 {
			s.add(fmt.Sprintf("d%d", d))
		}
	}
}

func (s *sim) add(domain string) {
	s.lastServer++
	id := fmt.Sprintf("i-%03d", s.lastServer)
	s.servers[id] = &simServer{id: id, domain: domain, address: id, startTime: s.now.UnixMilli(), nextReport: s.now.Add(s.jitter(simReportInterval))}
}

func (s *sim) jitter(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

func (s *sim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
}

func (s *sim) sorted() []*simServer {
	var list []*simServer
	for _, v := range s.servers {
		list = append(list, v)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// step advances the time, and returns the number of orders that the leader sends.
func (s *sim) step() int {
	s.now = s.now.Add(max(simStep, s.stepInterval))
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at.After(s.now) {
			s.events = append(s.events, e)
			continue
		}
		e.do()
	}
	for _, v := range s.sorted() {
		if !v.dead {
			s.runTimers(v)
		}
	}
	in := Input{Table: s.table, Catalogue: s.catalogue, Term: s.term, Demand: map[string]float64{}, Progress: s.progress(), Evacuated: s.evacuated, FirstStart: !s.served}
	if s.served {
		in.Demand = s.demand
	}
	start := time.Now()
	orders := s.reconciler.Step(s.now, in)
	s.lastStep = time.Since(start)
	for _, o := range orders {
		if s.onOrders != nil {
			s.onOrders(fmt.Sprintln(s.now.Sub(s.started), o))
		}
		if s.onOrder != nil {
			s.onOrder(o)
		}
		s.deliver(o)
	}
	s.follower.ObserveAsFollower(s.now, in)
	return len(orders)
}

// elect changes the leader, either to the follower or to a reconciler that was just created.
func (s *sim) elect() {
	s.term++
	s.reconciler, s.follower = s.follower, s.reconciler
	if s.r.Float64() < 0.5 {
		s.reconciler = New(Config{})
	}
}

// progress returns what entry hosts would report: requests at a head that lacks a member make no progress.
func (s *sim) progress() map[string]bool {
	out := map[string]bool{}
	for _, v := range s.servers {
		if s.served && v.state == fleet.StateOpen && v.rank == 0 && (!s.evacuated.Covers(v.domain) || s.now.Before(s.quietAt)) {
			out[v.id] = !v.dead && !s.lacksMember(v)
		}
	}
	return out
}

func (s *sim) lacksMember(head *simServer) bool {
	for _, id := range head.members {
		m := s.servers[id]
		if m.dead || m.group != head.group || m.epoch != head.epoch {
			return true
		}
	}
	return false
}

// runTimers fires an engine's expired timers and reports its state.
func (s *sim) runTimers(v *simServer) {
	if !v.readyAt.IsZero() && !s.now.Before(v.readyAt) {
		v.readyAt, v.state, v.lastModel, v.staged, v.changed = time.Time{}, fleet.StateReady, v.model, v.model, true
		s.ready[v.id+v.group] = true
	}
	if !v.openAt.IsZero() && !s.now.Before(v.openAt) {
		v.openAt = time.Time{}
		if v.state == fleet.StateReady {
			v.state, v.changed = fleet.StateOpen, true
			s.checkOpen(v)
		}
	}
	if !v.closedAt.IsZero() && !s.now.Before(v.closedAt) {
		v.closedAt = time.Time{}
		if v.state == fleet.StateClosing {
			v.state, v.changed = fleet.StateReady, true
		}
	}
	s.finishLoads(v)
	s.stall(v)
	if v.changed || !s.now.Before(v.nextReport) {
		v.changed = false
		v.nextReport = s.now.Add(simReportInterval)
		s.report(v)
	}
}

func (s *sim) finishLoads(v *simServer) {
	if !v.stagedAt.IsZero() && !s.now.Before(v.stagedAt) {
		v.stagedAt, v.staged, v.changed = time.Time{}, v.staging, true
	}
}

// stall breaks a head that has lacked a member for the stall timeout.
func (s *sim) stall(v *simServer) {
	if v.rank == 0 && (v.state == fleet.StateOpen || v.state == fleet.StateClosing) && s.lacksMember(v) {
		if v.stalledAt.IsZero() {
			v.stalledAt = s.now
		} else if s.now.Sub(v.stalledAt) >= simStallTimeout {
			v.state, v.changed, v.stalledAt = fleet.StateBroken, true, time.Time{}
		}
	}
}

func (s *sim) report(v *simServer) {
	v.sequence++
	r := wire.Report{ID: v.id, Born: v.startTime, Sequence: v.sequence, Service: "engines", Address: v.address, Engine: true, Domain: v.domain, DataCentre: v.domain, Slots: 17}
	if v.staged != "" {
		r.Staged = []string{v.staged}
	}
	if v.group != "" {
		r.Group = &wire.GroupPlace{Name: v.group, Epoch: v.epoch, Rank: v.rank, State: v.state}
	}
	if v.partitioned || (s.served && !s.lossless && s.r.Float64() < 0.02) {
		return
	}
	delay := 2 * time.Millisecond
	if s.served && !s.lossless && s.r.Float64() < 0.05 {
		delay = s.jitter(3 * time.Second)
	}
	s.after(delay, func() {
		// Stale and reordered reports are rejected by design.
		_, _ = s.table.Apply(s.now, r)
	})
}

// deliver sends an order. Most arrive at once; some get no answer and are executed seconds later.
func (s *sim) deliver(o savorywing.FleetOrder) {
	v := s.servers[o.Server]
	answer := func(out savorywing.OrderOutcome) {
		s.after(4*time.Millisecond, func() { s.reconciler.RecordOutcome(s.now, o, out) })
	}
	switch x := s.r.Float64(); {
	case v.dead:
		s.after(time.Second, func() { s.reconciler.RecordOutcome(s.now, o, savorywing.OutcomeUnknown) })
	case s.served && !s.lossless && x < 0.15:
		s.after(2*time.Second+s.jitter(10*time.Second), func() { s.execute(v, o) })
		s.after(time.Second, func() { s.reconciler.RecordOutcome(s.now, o, savorywing.OutcomeUnknown) })
	default:
		answer(s.execute(v, o))
	}
}

func (s *sim) execute(v *simServer, o savorywing.FleetOrder) savorywing.OrderOutcome {
	if v.dead {
		return savorywing.OutcomeUnknown
	}
	if o.FencingToken < v.fencingToken {
		return savorywing.OutcomeFenced
	}
	v.fencingToken = o.FencingToken
	in := v.group == o.Group && v.epoch == o.Epoch
	switch o.Action {
	case savorywing.ActionJoin:
		return s.join(v, o, in)
	case savorywing.ActionOpen:
		if !in || v.state != fleet.StateReady || v.rank != 0 {
			return savorywing.OutcomeConflict
		}
		v.openAt = s.now.Add(300 * time.Millisecond)
	case savorywing.ActionClose:
		if !in || v.state != fleet.StateOpen {
			return savorywing.OutcomeConflict
		}
		v.state, v.changed, v.closedAt = fleet.StateClosing, true, s.now.Add(s.jitter(simMaxResponse))
	case savorywing.ActionLeave:
		if !in {
			return savorywing.OutcomeConflict
		}
		v.group, v.epoch, v.members, v.state, v.changed = "", 0, nil, "", true
		v.readyAt, v.openAt, v.closedAt, v.stalledAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	case savorywing.ActionStage:
		s.stageLoad(v, o.Model)
	}
	return savorywing.OutcomeAccepted
}

func (s *sim) stageLoad(v *simServer, model string) {
	s.countLoad()
	wait := findModel(s.catalogue, model).ColdLoadTime
	if !s.served {
		wait /= 10
	}
	v.staging, v.stagedAt = model, s.now.Add(wait)
}

func (s *sim) join(v *simServer, o savorywing.FleetOrder, in bool) savorywing.OrderOutcome {
	if o.Epoch < v.maxEpoch {
		return savorywing.OutcomeFenced
	}
	if in {
		return savorywing.OutcomeAlreadyApplied
	}
	s.checkJoin(v, o.Group)
	if s.onJoin != nil {
		s.onJoin(v, o.Model)
	}
	m := findModel(s.catalogue, o.Model)
	wait := m.ColdLoadTime
	switch {
	case v.lastModel == o.Model:
		wait = 200 * time.Millisecond
	case v.staged == o.Model:
		wait = m.WarmLoadTime
	default:
		s.countLoad()
	}
	if !s.served {
		wait /= 10
	}
	v.maxEpoch, v.group, v.epoch, v.model, v.members, v.state = o.Epoch, o.Group, o.Epoch, o.Model, o.Members, fleet.StateJoining
	v.readyAt, v.openAt, v.closedAt, v.stalledAt, v.changed = s.now.Add(wait), time.Time{}, time.Time{}, time.Time{}, true
	for i, id := range o.Members {
		if id == v.id {
			v.rank = i
		}
	}
	return savorywing.OutcomeAccepted
}

func (s *sim) countLoad() {
	if !s.served {
		return
	}
	s.loads = append(s.loads, s.now)
	n := 0
	for _, t := range s.loads {
		if s.now.Sub(t) < 5*time.Second {
			n++
		}
	}
	if n > 30 {
		s.t.Fatalf("seed %d: %d loads began within 5 s", s.seed, n)
	}
}

// checkOpen fails the test unless every member of a group that opens has been ready in it.
func (s *sim) checkOpen(v *simServer) {
	if len(v.members) != findModel(s.catalogue, v.model).HostsPerGroup {
		s.t.Fatalf("seed %d: %s opens with %d members", s.seed, v.group, len(v.members))
	}
	for _, id := range v.members {
		if !s.ready[id+v.group] {
			s.t.Fatalf("seed %d: %s opens although %s was never ready in it", s.seed, v.group, id)
		}
	}
}

// checkJoin fails the test if the head of the server's old group still serves, even if stalled.
func (s *sim) checkJoin(v *simServer, group string) {
	if v.group == "" || v.group == group || len(v.members) == 0 {
		return
	}
	h := s.servers[v.members[0]]
	if !h.dead && h.group == v.group && (h.state == fleet.StateOpen || h.state == fleet.StateClosing) {
		s.t.Fatalf("seed %d: at %v %s joins %s while %s heads %s (%s)", s.seed, s.now.Sub(s.started), v.id, group, h.id, h.group, h.state)
	}
}

func (s *sim) openGroups() map[string]int {
	n := map[string]int{}
	for _, v := range s.servers {
		if !v.dead && v.rank == 0 && v.state == fleet.StateOpen && !s.lacksMember(v) {
			n[v.model]++
		}
	}
	return n
}

func (s *sim) run(d time.Duration, fault func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		if fault != nil {
			fault()
		}
		s.step()
	}
}

// TestFirstStart checks that groups of both models are open before the first request, and that nearly all hosts are in
// a serving or a standby group.
func TestFirstStart(t *testing.T) {
	s := newSim(t, 1)
	s.run(9*time.Second, nil)
	got := s.openGroups()
	if got["large"] < 2 || got["small"] < 5 {
		t.Errorf("open groups after 9 s: %v", got)
	}
	grouped := 0
	for _, v := range s.servers {
		if v.state == fleet.StateOpen || v.state == fleet.StateReady {
			grouped++
		}
	}
	if grouped < 28 {
		t.Errorf("%d of 30 hosts are in a group", grouped)
	}
}

// TestNewLeaderBeforeFirstRequest checks that a new leader that succeeds another one doesn't treat its term as a
// first start, even if it knows of no request yet. It must form no group before its predecessor's orders have been
// reported.
func TestNewLeaderBeforeFirstRequest(t *testing.T) {
	s := newSim(t, 3)
	s.run(9*time.Second, nil)
	s.term++
	s.reconciler = New(Config{})
	for range 4 {
		s.add("d0")
	}
	start := s.now
	for s.now.Sub(start) < 4*time.Second {
		s.step()
		for id, p := range s.reconciler.orders {
			if a := p.order.Action; a == savorywing.ActionJoin || a == savorywing.ActionStage {
				t.Fatalf("%v after the leader took over, %s is ordered to %s", s.now.Sub(start), id, a)
			}
		}
	}
}

// TestMemberLost checks that a standby host replaces a lost member of a large group within about 6 s.
func TestMemberLost(t *testing.T) {
	s := newSim(t, 2)
	s.run(9*time.Second, nil)
	s.served = true
	v := s.sorted()
	var victim *simServer
	for _, c := range v {
		if c.model == "large" && c.state == fleet.StateReady && len(c.members) == 4 {
			victim = c
		}
	}
	before := s.openGroups()["large"]
	victim.dead = true
	lost := s.now
	s.run(200*time.Millisecond, nil)
	s.run(6*time.Second, func() {
		if s.openGroups()["large"] == before && !lost.IsZero() {
			t.Logf("complete again after %v", s.now.Sub(lost))
			lost = time.Time{}
		}
	})
	if !lost.IsZero() {
		t.Errorf("the standby host does not replace the lost member; open groups: %v", s.openGroups())
	}
}

// TestRandomFaults injects lost hosts, partitions, delayed orders, lost and delayed reports and changes of leader at
// random. The invariants must hold in each run, and groups must be open 40 s after the last fault.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(80)
	if testing.Short() {
		seeds = 2 // the race detector takes many times as long
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		s := newSim(t, seed)
		s.run(9*time.Second, nil)
		s.served = true
		s.run(40*time.Second, func() { s.injectFaults() })
		s.run(40*time.Second, nil)
		if got := s.openGroups(); got["large"]+got["small"] == 0 {
			t.Errorf("seed %d: no group is open 40 s after the last fault", seed)
		}
	}
}

func (s *sim) injectFaults() {
	if s.r.Float64() > 0.02 {
		return
	}
	list := s.sorted()
	v := list[s.r.IntN(len(list))]
	switch x := s.r.Float64(); {
	case v.dead:
	case x < 0.4:
		v.dead = true
		domain := v.domain
		s.after(s.jitter(8*time.Second), func() { s.add(domain) })
	case x < 0.6:
		v.partitioned = true
		s.after(s.jitter(12*time.Second), func() { v.partitioned = false })
	case x < 0.75:
		// It restarts under its old id with no state.
		*v = simServer{id: v.id, domain: v.domain, address: v.address, startTime: s.now.UnixMilli(), nextReport: s.now.Add(s.jitter(simReportInterval)), staged: v.staged}
	case x < 0.85:
		s.elect()
	}
}

// TestRestartedServerHasNoCachedModel checks that a server which restarts under its id doesn't count as having the
// model of its earlier incarnation. Joining a group of that model would be a load that isn't counted.
func TestRestartedServerHasNoCachedModel(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fleet.NewTable()
	in := Input{Table: table, Catalogue: simCatalogue(t), Term: 1, Demand: map[string]float64{"large": 30, "small": 1}}
	rc := New(Config{})
	report := func(born int64, sequence uint64, staged string, membership *wire.GroupPlace) {
		for rank := range 4 {
			r := wire.Report{
				ID: fmt.Sprintf("i-%d", rank), Born: born, Sequence: sequence, Service: "engines", Address: fmt.Sprintf("a-%d", rank),
				Engine: true, Domain: "d", Slots: 17, Staged: []string{staged},
			}
			if membership != nil {
				p := *membership
				p.Rank = rank
				r.Group = &p
			}
			if _, err := table.Apply(now, r); err != nil {
				t.Fatal(err)
			}
		}
	}
	report(1, 1, "large", &wire.GroupPlace{Name: "g7.large", Epoch: 7, State: fleet.StateReady})
	rc.Step(now, in)
	report(2, 1, "small", nil)
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		report(2, uint64(now.UnixMilli()), "small", nil)
		for _, o := range rc.Step(now, in) {
			if o.Action == savorywing.ActionJoin && o.Model == "large" {
				t.Fatalf("%s joins %s, whose model its new incarnation has never loaded", o.Server, o.Group)
			}
		}
	}
}

// TestFollowerTakeover checks that a leader that was a follower knows a group's lost member, and frees the others as
// soon as it may. A leader that was just created waits for the member, from which it has never received a report.
func TestFollowerTakeover(t *testing.T) {
	for _, tt := range []struct {
		name     string
		followed bool
		within   time.Duration
	}{
		// The takeover delay, and the resend interval of a lost order.
		{"followed", true, 4500*time.Millisecond + 1500*time.Millisecond},
		// In addition another resend interval, and half of MaxSilence, after which an unknown member counts as lost.
		{"just created", false, 4500*time.Millisecond + 2*1500*time.Millisecond + 7500*time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 2)
			s.run(9*time.Second, nil)
			s.served = true
			var victim *simServer
			for _, c := range s.sorted() {
				if c.model == "large" && c.rank == 1 && len(c.members) == 4 {
					victim = c
				}
			}
			group := victim.group
			victim.dead = true
			s.add(victim.domain)
			s.servers[fmt.Sprintf("i-%03d", s.lastServer)].address = victim.address
			s.run(200*time.Millisecond, nil)
			s.term++
			s.reconciler, s.follower = s.follower, New(Config{})
			if !tt.followed {
				s.reconciler = New(Config{})
			}
			start := s.now
			for s.now.Sub(start) < tt.within {
				s.step()
			}
			for _, v := range s.sorted() {
				if !v.dead && v.group == group && !s.reconciler.isFree(s.now, s.table.Server(v.id)) {
					t.Errorf("%s is still not free from the group of the lost member %v after the change of leader", v.id, tt.within)
				}
			}
		})
	}
}

// TestSwap changes the demand so that one model stays underprovisioned while the other has free capacity. Groups of
// the latter must load the weights while they serve, and be replaced without being formed again in between.
func TestSwap(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		demand                    map[string]float64
		wantLarge, wantMaxChanges int
	}{
		// Four large groups have 68 slots, five small ones 142.
		{"the large model is underprovisioned", map[string]float64{"large": 80, "small": 15}, 5, 1},
		{"both have free capacity", map[string]float64{"large": 8, "small": 60}, 4, 0},
		{"both are underprovisioned", map[string]float64{"large": 90, "small": 600}, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4)
			s.run(9*time.Second, nil)
			s.served, s.demand = true, tt.demand
			before := s.openGroups()
			changes, reverts := map[string]int{}, 0
			s.onJoin = func(v *simServer, model string) {
				if v.model != "" && v.model != model {
					changes[v.id]++
				}
				if v.staged != "" && v.staged != model {
					reverts++
				}
			}
			s.run(60*time.Second, nil)
			got := s.openGroups()
			if got["large"] < tt.wantLarge {
				t.Errorf("open groups: %v before, %v after", before, got)
			}
			if reverts > 0 {
				t.Errorf("hosts rejoined their previous model %d times after loading other weights", reverts)
			}
			for id, n := range changes {
				if n > tt.wantMaxChanges {
					t.Errorf("%s changed its model %d times", id, n)
				}
			}
		})
	}
}

// TestOneDomain checks that a single domain serves both models from the first start on, and that a swap in favour of
// one model never takes the last open group of the other.
func TestOneDomain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		demand map[string]float64
	}{
		{"small model underprovisioned", map[string]float64{"large": 0.4, "small": 90}},
		{"large model underprovisioned", map[string]float64{"large": 90, "small": 0.4}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSmallSim(t, 5)
			s.run(9*time.Second, nil)
			if got := s.openGroups(); got["large"] == 0 || got["small"] == 0 {
				t.Fatalf("open groups 9 s after the first start: %v", got)
			}
			s.served, s.demand = true, tt.demand
			s.run(60*time.Second, func() {
				if got := s.openGroups(); got["large"] == 0 || got["small"] == 0 {
					t.Fatalf("open groups %v after the start: %v", s.now.Sub(s.started), got)
				}
			})
		})
	}
}

// TestSwapKeepsLastGroup checks that the last open group of a model isn't replaced, even if another model has none.
func TestSwapKeepsLastGroup(t *testing.T) {
	s := newSmallSim(t, 6)
	s.run(9*time.Second, nil)
	s.served, s.demand = true, map[string]float64{"large": 0.4, "small": 90}
	for _, v := range s.sorted() {
		v.dead = v.model != "large" || v.group == "" || len(v.members) != 4
	}
	s.run(60*time.Second, func() {
		if got := s.openGroups(); got["large"] == 0 {
			t.Fatalf("open groups %v after the start: %v", s.now.Sub(s.started), got)
		}
	})
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

var profile = &EngineProfile{ChunkTokens: 2048, PrefillRate: 45900, StepsPerPass: 5, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, TimeFactor: 1}

func groups(n int) []wire.Endpoint {
	var list []wire.Endpoint
	for i := range n {
		list = append(list, wire.Endpoint{ID: fmt.Sprintf("g%d", i), Born: 1, Handle: uint64(i + 1), Service: "llm", Model: "m", Slots: 17})
	}
	return list
}

func chatRequest() Request {
	return Request{Service: "llm", Model: "m", PromptTokens: 700, Engine: profile, Objective: 400 * time.Millisecond, Remaining: 6 * time.Second}
}

func newBalancer(n int) *Balancer {
	b := New(Config{Seed: 1})
	b.UpdateEndpoints(true, groups(n), nil)
	return b
}

// locate puts the groups into data centres.
func locate(b *Balancer, dataCentres ...string) {
	list := groups(len(dataCentres))
	for i := range list {
		list[i].DataCentre = dataCentres[i]
	}
	b.UpdateEndpoints(true, list, nil)
}

func area(regions ...string) residency.Area {
	return residency.Map{"x": "north", "y": "south"}.Within(regions)
}

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	fill := func(b *Balancer, id string, n int) {
		for range n {
			b.Start(now, Decision{ID: id}, Request{})
		}
	}
	tests := []struct {
		name   string
		setup  func(b *Balancer)
		change func(req *Request)
		want   Reason
		never  string
	}{
		{"idle", func(*Balancer) {}, nil, ReasonNone, ""},
		{"other model", func(*Balancer) {}, func(req *Request) { req.Model = "n" }, ReasonNoEndpoint, ""},
		{"one is full", func(b *Balancer) { fill(b, "g0", 30) }, nil, ReasonNone, "g0"},
		{"all are full", func(b *Balancer) { fill(b, "g0", 40); fill(b, "g1", 40) }, nil, ReasonFull, ""},
		{"all are full, but it is a retry", func(b *Balancer) { fill(b, "g0", 40); fill(b, "g1", 40) }, func(req *Request) { req.Retry = true }, ReasonNone, ""},
		{"one is excluded", func(*Balancer) {}, func(req *Request) { req.Excluded = []string{"g0"} }, ReasonNone, "g0"},
		{"one is in another region", func(b *Balancer) { locate(b, "x", "y") }, func(req *Request) { req.Area = area("south") }, ReasonNone, "g0"},
		{"in another region, also a retry", func(b *Balancer) { locate(b, "x", "y"); fill(b, "g1", 40) }, func(req *Request) { req.Area, req.Retry = area("south"), true }, ReasonNone, "g0"},
		{"full in its region", func(b *Balancer) { locate(b, "x", "y"); fill(b, "g1", 40) }, func(req *Request) { req.Area = area("south") }, ReasonFull, ""},
		{"none is in its region", func(b *Balancer) { locate(b, "x", "x") }, func(req *Request) { req.Area = area("south") }, ReasonRegion, ""},
		{"a data centre without a region", func(b *Balancer) { locate(b, "x", "z") }, func(req *Request) { req.Area = area("south") }, ReasonRegion, ""},
		{"all excluded", func(*Balancer) {}, func(req *Request) { req.Excluded = []string{"g0", "g1"} }, ReasonFull, ""},
		{"prompts of other hosts wait", func(b *Balancer) {
			b.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, WaitingTokens: 30000}}, 9)
		}, nil, ReasonNone, "g0"},
		{"reported stalled by the leader", func(b *Balancer) {
			b.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, Stalled: true}}, 9)
		}, nil, ReasonNone, "g0"},
		{"unreachable", func(b *Balancer) {
			b.Finish(now, b.Start(now, Decision{ID: "g0"}, Request{}), Unreachable)
		}, nil, ReasonNone, "g0"},
		{"large prompt", func(*Balancer) {}, func(req *Request) { req.PromptTokens = 9000 }, ReasonNone, ""},
		{"objective missed, free slots", func(*Balancer) {}, func(req *Request) { req.Elapsed = time.Second }, ReasonNone, ""},
		{"objective missed, few free slots", func(b *Balancer) {
			b.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 10, WaitingTokens: 9000}, {Handle: 2, InFlight: 10, WaitingTokens: 9000}}, 9)
		}, func(req *Request) { req.Elapsed = time.Second }, ReasonFull, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer(2)
			tt.setup(b)
			for range 20 {
				req := chatRequest()
				if tt.change != nil {
					tt.change(&req)
				}
				d := b.Pick(now, req)
				if d.Reason != tt.want || (tt.never != "" && d.ID == tt.never) {
					t.Fatalf("%+v, want reason %q and not %q", d, tt.want, tt.never)
				}
				if d.Reason != ReasonNone && d.RetryAfter < minRetryAfter {
					t.Fatalf("rejected without a time to retry: %+v", d)
				}
			}
		})
	}
}

// TestStall checks that a group with requests in flight and no progress gets no more requests until it makes progress.
func TestStall(t *testing.T) {
	b := newBalancer(2)
	now := time.Unix(1000, 0)
	reservation := b.Start(now, Decision{ID: "g0", Predicted: 200 * time.Millisecond}, chatRequest())
	now = now.Add(defaultStallTimeout + 100*time.Millisecond)
	if b.IsStalled(now, "g0") {
		t.Error("stalled before its first event was due")
	}
	b.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, Progressed: true}}, 9)
	now = now.Add(200 * time.Millisecond)
	if b.IsStalled(now, "g0") {
		t.Error("stalled although other hosts see progress")
	}
	b.SetLoads(now, nil, 9)
	for range 20 {
		if d := b.Pick(now, chatRequest()); d.ID == "g0" {
			t.Fatal("a stalled group was chosen")
		}
	}
	if u := b.Usage(now); len(u) != 1 || !u[0].Stalled || u[0].Moved || u[0].WaitingTokens != 700 {
		t.Errorf("usage %+v", u)
	}
	b.RecordProgress(now, reservation, 0)
	if b.IsStalled(now, "g0") {
		t.Error("stalled although it made progress")
	}
	if u := b.Usage(now); len(u) != 1 || u[0].Stalled || !u[0].Moved || u[0].WaitingTokens != 0 {
		t.Errorf("usage %+v", u)
	}
}

// TestEjection checks that a server that fails most requests is ejected, for longer each time, and that requests are
// still placed when all servers are ejected.
func TestEjection(t *testing.T) {
	b := newBalancer(4)
	now := time.Unix(1000, 0)
	fail := func(id string) {
		for range 3 {
			b.Finish(now, b.Start(now, Decision{ID: id}, Request{}), Failed)
		}
	}
	chosen := func() map[string]bool {
		got := map[string]bool{}
		for range 200 {
			got[b.Pick(now, chatRequest()).ID] = true
		}
		return got
	}
	fail("g0")
	if chosen()["g0"] {
		t.Error("a failing server was chosen")
	}
	now = now.Add(initialEjection + time.Millisecond)
	if !chosen()["g0"] {
		t.Error("not chosen after its ejection ended")
	}
	fail("g0")
	now = now.Add(initialEjection + time.Millisecond)
	if chosen()["g0"] {
		t.Error("the second ejection is not longer")
	}
	fail("g1")
	fail("g2")
	fail("g3")
	if got := chosen(); len(got) == 0 || got[""] {
		t.Errorf("all are ejected, and none is chosen: %v", got)
	}
}

// TestRemoteLoad checks that this host's own requests, which the leader's sums contain, are not counted twice.
func TestRemoteLoad(t *testing.T) {
	b := newBalancer(1)
	now := time.Unix(1000, 0)
	for range 3 {
		b.Start(now, Decision{ID: "g0"}, chatRequest())
	}
	b.Usage(now)
	b.Start(now, Decision{ID: "g0"}, chatRequest())
	b.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 8, WaitingTokens: 2100 + 500}}, 5)
	if e := b.byID["g0"]; e.load() != 4+5 || e.localWaiting+e.remoteWaiting != 4*700+500 {
		t.Errorf("load %d, waiting %d", e.load(), e.localWaiting+e.remoteWaiting)
	}
}

// simRequest is one request of the simulation.
type simRequest struct {
	host         int
	reservation  *Reservation
	arrival      time.Time
	started, end time.Time
	counted      bool
}

// overloadSim simulates more requests than the slots can serve, at many entry hosts that receive each other's load
// late.
type overloadSim struct {
	now       time.Time
	balancers []*Balancer
	inFlight  []*simRequest
	busy      map[string]int
	// inTime and late count first events within and after the objective; rejected counts rejected requests.
	inTime, late, rejected int
}

const (
	simHosts = 12
	simSlots = 17
	simStep  = 5 * time.Millisecond
	simTime  = 20 * time.Second
	// simRate is the number of requests per step: 50 per second for four groups that serve about 40 per second.
	simRate = 0.25
)

func simulateOverload(pick func(b *Balancer, now time.Time, req Request) Decision) *overloadSim {
	s := &overloadSim{now: time.Unix(1000, 0), busy: map[string]int{}}
	for i := range simHosts {
		b := New(Config{Seed: uint64(i)})
		b.UpdateEndpoints(true, groups(4), nil)
		s.balancers = append(s.balancers, b)
	}
	arrivals := 0.0
	for step := range int(simTime / simStep) {
		s.now = s.now.Add(simStep)
		for arrivals += simRate; arrivals >= 1; arrivals-- {
			s.submit(step%simHosts, pick)
		}
		s.serve()
		if step%int(200*time.Millisecond/simStep) == 0 {
			s.exchangeReports()
		}
	}
	return s
}

func (s *overloadSim) submit(host int, pick func(b *Balancer, now time.Time, req Request) Decision) {
	d := pick(s.balancers[host], s.now, chatRequest())
	if d.Reason != ReasonNone {
		s.rejected++
		return
	}
	s.inFlight = append(s.inFlight, &simRequest{host: host, reservation: s.balancers[host].Start(s.now, d, chatRequest()), arrival: s.now})
}

// serve lets every group start as many requests as it has slots, in order of arrival, and finishes those that are due.
func (s *overloadSim) serve() {
	kept := s.inFlight[:0]
	for _, r := range s.inFlight {
		switch id := r.reservation.ID; {
		case r.end.IsZero() && s.busy[id] < simSlots:
			s.busy[id]++
			r.started, r.end = s.now.Add(150*time.Millisecond), s.now.Add(1700*time.Millisecond)
		case !r.end.IsZero() && !r.counted && s.now.After(r.started):
			s.count(r)
		case r.counted && s.now.After(r.end):
			s.busy[id]--
			s.balancers[r.host].Finish(s.now, r.reservation, Served)
			continue
		}
		kept = append(kept, r)
	}
	s.inFlight = kept
}

func (s *overloadSim) count(r *simRequest) {
	r.counted = true
	s.balancers[r.host].RecordProgress(s.now, r.reservation, 0)
	if s.now.Sub(r.arrival) <= chatRequest().Objective {
		s.inTime++
	} else {
		s.late++
	}
}

// exchangeReports sends the sums of all hosts' usage to every host, as the leader does.
func (s *overloadSim) exchangeReports() {
	total := map[string]*fleet.Load{}
	for _, b := range s.balancers {
		for _, u := range b.Usage(s.now) {
			if total[u.ID] == nil {
				total[u.ID] = &fleet.Load{Handle: b.byID[u.ID].Handle}
			}
			total[u.ID].InFlight += u.InFlight
			total[u.ID].WaitingTokens += u.WaitingTokens
			total[u.ID].Progressed = total[u.ID].Progressed || u.Moved
		}
	}
	var sums []fleet.Load
	for _, u := range total {
		sums = append(sums, *u)
	}
	for _, b := range s.balancers {
		b.SetLoads(s.now, sums, simHosts)
	}
}

// TestOverload compares placement with sending every request to a random group: more callers must be served in time,
// and fewer slots spent on late responses.
func TestOverload(t *testing.T) {
	placed := simulateOverload(func(b *Balancer, now time.Time, req Request) Decision { return b.Pick(now, req) })
	random := simulateOverload(func(b *Balancer, _ time.Time, _ Request) Decision {
		return Decision{ID: fmt.Sprintf("g%d", b.random.IntN(4))}
	})
	t.Logf("placement: %d in time, %d late, %d rejected; at random: %d in time, %d late", placed.inTime, placed.late, placed.rejected, random.inTime, random.late)
	if placed.inTime < random.inTime*3/2 || placed.late > placed.inTime/5 {
		t.Errorf("placement: %d in time, %d late; at random: %d, %d", placed.inTime, placed.late, random.inTime, random.late)
	}
}

// BenchmarkPick measures a placement that compares all endpoints of a pool, as when the one that was drawn is full.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{30, 140, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, now := newBalancer(n), time.Unix(1000, 0)
			for id, e := range balancer.byID {
				e.gap = time.Duration(20+len(id)) * time.Millisecond
			}
			req := chatRequest()
			req.Objective, req.Retry = time.Millisecond, true
			req.Remaining = time.Microsecond
			for b.Loop() {
				balancer.Pick(now, req)
			}
		})
	}
}

// TestHugePrompt guards against a prediction whose time grows with the length that a caller states for its prompt. All
// requests of the host wait for it.
func TestHugePrompt(t *testing.T) {
	b := New(Config{})
	b.UpdateEndpoints(true, []wire.Endpoint{{ID: "a", Born: 1, Service: "engines", Model: "m", Slots: 8}}, nil)
	req := Request{
		Service: "engines", Model: "m", PromptTokens: 1 << 40, Objective: 300 * time.Millisecond, Remaining: 8 * time.Second,
		Engine: &EngineProfile{ChunkTokens: 2048, PrefillRate: 50700, StepsPerPass: 7, StepTime: 6 * time.Millisecond, TimeFactor: 1},
	}
	start := time.Now()
	if d := b.Pick(start, req); d.Reason != ReasonFull {
		t.Errorf("got reason %q, want %q", d.Reason, ReasonFull)
	}
	if took := time.Since(start); took > 50*time.Millisecond {
		t.Errorf("the decision took %v", took)
	}
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

var passes = &EngineProfile{ChunkTokens: 2048, PrefillRate: 45900, StepsPerPass: 5, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, TimeFactor: 1}

func groups(n int) []wire.Endpoint {
	var list []wire.Endpoint
	for i := range n {
		list = append(list, wire.Endpoint{ID: fmt.Sprintf("g%d", i), Born: 1, Handle: uint64(i + 1), Service: "llm", Model: "m", Slots: 17})
	}
	return list
}

func talk() Request {
	return Request{Service: "llm", Model: "m", PromptTokens: 700, Engine: passes, Objective: 400 * time.Millisecond, Remaining: 6 * time.Second}
}

func newLedger(n int) *Balancer {
	l := New(Config{Seed: 1})
	l.UpdateEndpoints(true, groups(n), nil)
	return l
}

func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	fill := func(l *Balancer, id string, n int) {
		for range n {
			l.Start(now, Decision{ID: id}, Request{})
		}
	}
	tests := []struct {
		name   string
		set    func(l *Balancer)
		change func(w *Request)
		want   Reason
		never  string
	}{
		{"idle", func(*Balancer) {}, nil, ReasonNone, ""},
		{"other model", func(*Balancer) {}, func(w *Request) { w.Model = "n" }, ReasonNoEndpoint, ""},
		{"one is full", func(l *Balancer) { fill(l, "g0", 30) }, nil, ReasonNone, "g0"},
		{"all are full", func(l *Balancer) { fill(l, "g0", 40); fill(l, "g1", 40) }, nil, ReasonFull, ""},
		{"full, but begun elsewhere", func(l *Balancer) { fill(l, "g0", 40); fill(l, "g1", 40) }, func(w *Request) { w.Retry = true }, ReasonNone, ""},
		{"tried", func(*Balancer) {}, func(w *Request) { w.Excluded = []string{"g0"} }, ReasonNone, "g0"},
		{"all tried", func(*Balancer) {}, func(w *Request) { w.Excluded = []string{"g0", "g1"} }, ReasonFull, ""},
		{"others' prompts wait", func(l *Balancer) {
			l.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, WaitingTokens: 30000}}, 9)
		}, nil, ReasonNone, "g0"},
		{"stalled for others", func(l *Balancer) {
			l.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, Stalled: true}}, 9)
		}, nil, ReasonNone, "g0"},
		{"unreachable", func(l *Balancer) {
			l.Finish(now, l.Start(now, Decision{ID: "g0"}, Request{}), Unreachable)
		}, nil, ReasonNone, "g0"},
		{"a prompt that is slow by its size", func(*Balancer) {}, func(w *Request) { w.PromptTokens = 9000 }, ReasonNone, ""},
		{"late already, room left", func(*Balancer) {}, func(w *Request) { w.Elapsed = time.Second }, ReasonNone, ""},
		{"late already, little room", func(l *Balancer) {
			l.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 10, WaitingTokens: 9000}, {Handle: 2, InFlight: 10, WaitingTokens: 9000}}, 9)
		}, func(w *Request) { w.Elapsed = time.Second }, ReasonFull, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(2)
			tt.set(l)
			for range 20 {
				w := talk()
				if tt.change != nil {
					tt.change(&w)
				}
				d := l.Pick(now, w)
				if d.Reason != tt.want || (tt.never != "" && d.ID == tt.never) {
					t.Fatalf("%+v, want reason %q and not %q", d, tt.want, tt.never)
				}
				if d.Reason != ReasonNone && d.RetryAfter < shortestReturn {
					t.Fatalf("a refusal without a time to come back: %+v", d)
				}
			}
		})
	}
}

// TestStall shows that a group with requests in flight that shows nothing gets no more, until it moves.
func TestStall(t *testing.T) {
	l := newLedger(2)
	now := time.Unix(1000, 0)
	ticket := l.Start(now, Decision{ID: "g0", Predicted: 200 * time.Millisecond}, talk())
	now = now.Add(defaultStall + 100*time.Millisecond)
	if l.IsStalled(now, "g0") {
		t.Error("stalled before its first event was due")
	}
	l.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 5, Progressed: true}}, 9)
	now = now.Add(200 * time.Millisecond)
	if l.IsStalled(now, "g0") {
		t.Error("stalled although other hosts see it move")
	}
	l.SetLoads(now, nil, 9)
	for range 20 {
		if d := l.Pick(now, talk()); d.ID == "g0" {
			t.Fatal("a stalled group was chosen")
		}
	}
	if u := l.Usage(now); len(u) != 1 || !u[0].Stalled || u[0].Moved || u[0].WaitingTokens != 700 {
		t.Errorf("usage %+v", u)
	}
	l.RecordProgress(now, ticket, 0)
	if l.IsStalled(now, "g0") {
		t.Error("stalled although it moved")
	}
	if u := l.Usage(now); len(u) != 1 || u[0].Stalled || !u[0].Moved || u[0].WaitingTokens != 0 {
		t.Errorf("usage %+v", u)
	}
}

// TestEjection shows that a server that fails most requests is kept out for longer each time, and that
// at most half of them are.
func TestEjection(t *testing.T) {
	l := newLedger(4)
	now := time.Unix(1000, 0)
	fail := func(id string) {
		for range 3 {
			l.Finish(now, l.Start(now, Decision{ID: id}, Request{}), Failed)
		}
	}
	chosen := func() map[string]bool {
		got := map[string]bool{}
		for range 200 {
			got[l.Pick(now, talk()).ID] = true
		}
		return got
	}
	fail("g0")
	if chosen()["g0"] {
		t.Error("a failing server was chosen")
	}
	now = now.Add(firstEject + time.Millisecond)
	if !chosen()["g0"] {
		t.Error("it is not tried again")
	}
	fail("g0")
	now = now.Add(firstEject + time.Millisecond)
	if chosen()["g0"] {
		t.Error("the second time out is not longer")
	}
	fail("g1")
	fail("g2")
	fail("g3")
	if got := chosen(); len(got) == 0 || got[""] {
		t.Errorf("all are out, and nothing is chosen: %v", got)
	}
}

// TestOthersLoad shows that the leader's sums don't count this host's own requests twice.
func TestOthersLoad(t *testing.T) {
	l := newLedger(1)
	now := time.Unix(1000, 0)
	for range 3 {
		l.Start(now, Decision{ID: "g0"}, talk())
	}
	l.Usage(now)
	l.Start(now, Decision{ID: "g0"}, talk())
	l.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 8, WaitingTokens: 2100 + 500}}, 5)
	if e := l.all["g0"]; e.load() != 4+5 || e.waiting+e.othersWaiting != 4*700+500 {
		t.Errorf("load %d, waiting %d", e.load(), e.waiting+e.othersWaiting)
	}
}

// hotRequest is one request of the replay.
type hotRequest struct {
	host       int
	ticket     *Reservation
	arrival    time.Time
	shown, end time.Time
	counted    bool
}

// hotGroups replays requests that outnumber the slots, at many entry hosts that learn of each other late: the
// load of the worst seconds of a day.
type hotGroups struct {
	now     time.Time
	ledgers []*Balancer
	flight  []*hotRequest
	busy    map[string]int
	// inTime and late count first events, refused those turned away.
	inTime, late, refused int
}

const (
	hotHosts = 12
	hotSlots = 17
	hotStep  = 5 * time.Millisecond
	hotTime  = 20 * time.Second
	// hotRate is requests in a step: 50 a second for four groups that serve about 40.
	hotRate = 0.25
)

func playHotGroups(pick func(l *Balancer, now time.Time, w Request) Decision) *hotGroups {
	h := &hotGroups{now: time.Unix(1000, 0), busy: map[string]int{}}
	for i := range hotHosts {
		l := New(Config{Seed: uint64(i)})
		l.UpdateEndpoints(true, groups(4), nil)
		h.ledgers = append(h.ledgers, l)
	}
	arrivals := 0.0
	for step := range int(hotTime / hotStep) {
		h.now = h.now.Add(hotStep)
		for arrivals += hotRate; arrivals >= 1; arrivals-- {
			h.offer(step%hotHosts, pick)
		}
		h.serve()
		if step%int(200*time.Millisecond/hotStep) == 0 {
			h.tell()
		}
	}
	return h
}

func (h *hotGroups) offer(host int, pick func(l *Balancer, now time.Time, w Request) Decision) {
	d := pick(h.ledgers[host], h.now, talk())
	if d.Reason != ReasonNone {
		h.refused++
		return
	}
	h.flight = append(h.flight, &hotRequest{host: host, ticket: h.ledgers[host].Start(h.now, d, talk()), arrival: h.now})
}

// serve lets every group begin what it has slots for, in order, and ends what is done.
func (h *hotGroups) serve() {
	kept := h.flight[:0]
	for _, r := range h.flight {
		switch id := r.ticket.ID; {
		case r.end.IsZero() && h.busy[id] < hotSlots:
			h.busy[id]++
			r.shown, r.end = h.now.Add(150*time.Millisecond), h.now.Add(1700*time.Millisecond)
		case !r.end.IsZero() && !r.counted && h.now.After(r.shown):
			h.count(r)
		case r.counted && h.now.After(r.end):
			h.busy[id]--
			h.ledgers[r.host].Finish(h.now, r.ticket, Served)
			continue
		}
		kept = append(kept, r)
	}
	h.flight = kept
}

func (h *hotGroups) count(r *hotRequest) {
	r.counted = true
	h.ledgers[r.host].RecordProgress(h.now, r.ticket, 0)
	if h.now.Sub(r.arrival) <= talk().Objective {
		h.inTime++
	} else {
		h.late++
	}
}

// tell carries every host's usage to all others, as the leader does.
func (h *hotGroups) tell() {
	total := map[string]*fleet.Load{}
	for _, l := range h.ledgers {
		for _, u := range l.Usage(h.now) {
			if total[u.ID] == nil {
				total[u.ID] = &fleet.Load{Handle: l.all[u.ID].Handle}
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
	for _, l := range h.ledgers {
		l.SetLoads(h.now, sums, hotHosts)
	}
}

// TestWorstLoad compares placement with sending every request to a group at random, as long as any answer
// could still come: more callers are in time, and fewer slots are spent on answers that come late.
func TestWorstLoad(t *testing.T) {
	placed := playHotGroups(func(l *Balancer, now time.Time, w Request) Decision { return l.Pick(now, w) })
	random := playHotGroups(func(l *Balancer, _ time.Time, _ Request) Decision {
		return Decision{ID: fmt.Sprintf("g%d", l.random.IntN(4))}
	})
	t.Logf("placement: %d in time, %d late, %d refused; at random: %d in time, %d late", placed.inTime, placed.late, placed.refused, random.inTime, random.late)
	if placed.inTime < random.inTime*3/2 || placed.late > placed.inTime/5 {
		t.Errorf("placement: %d in time, %d late; at random: %d, %d", placed.inTime, placed.late, random.inTime, random.late)
	}
}

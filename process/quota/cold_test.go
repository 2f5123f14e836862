package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// coldFleet is a leader, entry hosts and servers that become cold, with simulated time and messages that take time. Reports,
// updates and requests are held up as the test wants.
type coldFleet struct {
	now    time.Time
	random *rand.Rand
	bound  ColdBound
	leader *Allocator
	term   uint64
	hosts  []*coldHost
	// coldUntil holds each server's state; the leader knows it after reportDelay, as knownUntil.
	coldUntil, knownUntil map[string]time.Time
	servers               []string
	messages              []message
	requests              map[string][]sending
	cut, frozen           map[int]bool
	// perSecond is the rate of all callers, who are spread over the first hosts.
	perSecond   float64
	withCallers int
	// delay returns how long a message or request that is sent now is on its way.
	delay func() time.Duration
	// updateDelay, unless it is nil, returns it for an update to a host.
	updateDelay func(i int) time.Duration
}

type coldHost struct {
	*Holder
	nextReport, nextRequest, busyUntil time.Time
	waiting                            []time.Time
}

type message struct {
	at    time.Time
	apply func()
}

type sending struct{ sentAt, arrivedAt time.Time }

const (
	coldTick       = 4 * time.Millisecond
	coldReport     = 160 * time.Millisecond
	coldWait       = 50 * time.Millisecond
	serverReport   = 1200 * time.Millisecond
	usualDelay     = 2 * time.Millisecond
	testColdTime   = 3 * time.Second
	testColdServer = "server-0"
)

var testBound = ColdBound{PerSecond: 17, Overage: 1.5, Slack: 5}

func newColdFleet(hosts, servers int, perSecond float64, seed uint64) *coldFleet {
	f := &coldFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), bound: testBound, leader: NewAllocator(), term: 1,
		coldUntil: map[string]time.Time{}, knownUntil: map[string]time.Time{}, requests: map[string][]sending{}, cut: map[int]bool{}, frozen: map[int]bool{},
		perSecond: perSecond, withCallers: hosts, delay: func() time.Duration { return usualDelay },
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &coldHost{Holder: NewHolder(seed*1000 + uint64(i)), nextReport: f.now.Add(f.upTo(coldReport))})
	}
	for i := range servers {
		f.servers = append(f.servers, fmt.Sprintf("server-%d", i))
	}
	return f
}

func (f *coldFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

// become lets servers become cold; the leader hears of it after a time.
func (f *coldFleet) become(unknownFor time.Duration, servers ...string) {
	for _, id := range servers {
		until := f.now.Add(testColdTime)
		f.coldUntil[id] = until
		f.messages = append(f.messages, message{f.now.Add(unknownFor), func() { f.knownUntil[id] = until }})
	}
}

func (f *coldFleet) endpoints() []wire.Endpoint {
	var list []wire.Endpoint
	for _, id := range f.servers {
		left := max(0, f.knownUntil[id].Sub(f.now)).Milliseconds()
		list = append(list, wire.Endpoint{ID: id, Born: 1, Service: "s", ColdMs: left, ColdShare: f.bound.Share()})
	}
	return list
}

func (f *coldFleet) endpoint(id string) (wire.Endpoint, bool) {
	return wire.Endpoint{ID: id, Born: 1, Service: "s"}, slices.Contains(f.servers, id)
}

// update sends a host an update, which arrives after those that were sent before.
func (f *coldFleet) update(i int, u wire.FleetUpdate) {
	h, delay := f.hosts[i], f.delay()
	if f.updateDelay != nil {
		delay = f.updateDelay(i)
	}
	if at := f.now.Add(delay); at.After(h.busyUntil) {
		h.busyUntil = at
	}
	f.messages = append(f.messages, message{h.busyUntil, f.answer(i, u)})
}

func (f *coldFleet) isCut(i int) bool { return f.leader == nil || f.cut[i] || f.frozen[i] }

// report lets a host report to the leader, whose answer arrives later.
func (f *coldFleet) report(i int) {
	h := f.hosts[i]
	h.nextReport = f.now.Add(coldReport)
	u := wire.Usage{SentAt: f.now.UnixNano()}
	h.Report(f.now, &u, func(string, int64) (Pool, bool) { return testPool, true })
	if f.isCut(i) {
		return
	}
	f.messages = append(f.messages, message{f.now.Add(f.delay()), func() {
		if f.isCut(i) {
			return
		}
		f.update(i, wire.FleetUpdate{
			Term: f.term, Echo: u.SentAt, Entries: len(f.hosts), Full: true, Endpoints: f.endpoints(),
			Permits: f.leader.Grant(f.now, u.PermitRequests, f.endpoint),
		})
	}})
}

// answer returns the arrival of an update. A host that is stopped handles it once it goes on.
func (f *coldFleet) answer(i int, u wire.FleetUpdate) func() {
	return func() {
		if f.frozen[i] {
			f.messages = append(f.messages, message{f.now.Add(coldTick), f.answer(i, u)})
			return
		}
		f.hosts[i].Apply(f.now, u)
	}
}

// lead lets the leader take over the endpoints and tell the hosts of changes.
func (f *coldFleet) lead() {
	if f.leader == nil {
		return
	}
	list := f.endpoints()
	if len(f.leader.SetEndpoints(f.now, list, func(string) ColdBound { return f.bound })) == 0 {
		return
	}
	for i := range f.hosts {
		if !f.isCut(i) {
			f.update(i, wire.FleetUpdate{Term: f.term, Full: true, Endpoints: list})
		}
	}
}

// place sends a request of a host, to a cold server first, and reports whether a server takes it.
func (f *coldFleet) place(h *coldHost) bool {
	var usable []string
	for _, id := range f.servers {
		switch {
		case !h.Allows(f.now, id, 1):
		case h.IsCold(id, 1):
			f.transmit(h, id)
			return true
		default:
			usable = append(usable, id)
		}
	}
	if len(usable) == 0 {
		return false
	}
	f.transmit(h, usable[f.random.IntN(len(usable))])
	return true
}

func (f *coldFleet) transmit(h *coldHost, id string) {
	if expiry := h.Use(f.now, id, 1); h.MaySend(f.now, id, 1, expiry) {
		f.requests[id] = append(f.requests[id], sending{f.now, f.now.Add(f.delay())})
	}
}

// serve lets a host place its callers' requests; those without a server wait a little for a permit.
func (f *coldFleet) serve(i int) {
	h := f.hosts[i]
	rate := f.perSecond / float64(f.withCallers)
	for i < f.withCallers && !f.now.Before(h.nextRequest) {
		if !h.nextRequest.IsZero() {
			h.waiting = append(h.waiting, f.now)
			h.RecordDemand(testPool)
		}
		h.nextRequest = f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
	}
	var left []time.Time
	for _, since := range h.waiting {
		if !f.place(h) && f.now.Sub(since) <= coldWait {
			left = append(left, since)
		}
	}
	h.waiting = left
	h.Await(testPool, len(left)-h.demand(testPool).waiting)
	if len(left) > 0 && h.MayAsk(f.now, testPool) && f.now.Add(coldReport-coldWait/2).After(h.nextReport) {
		h.nextReport = f.now
	}
}

func (f *coldFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(coldTick) {
		waiting := f.messages
		f.messages = nil
		for _, m := range waiting {
			if m.at.After(f.now) {
				f.messages = append(f.messages, m)
			} else {
				m.apply()
			}
		}
		f.lead()
		for i, h := range f.hosts {
			if f.frozen[i] {
				continue
			}
			if !f.now.Before(h.nextReport) {
				f.report(i)
			}
			f.serve(i)
		}
	}
}

// between returns a server's requests that were sent between two times.
func (f *coldFleet) between(id string, after, before time.Time) []sending {
	return slices.DeleteFunc(slices.Clone(f.requests[id]), func(r sending) bool { return !r.sentAt.After(after) || !r.sentAt.Before(before) })
}

// mostInASecond returns how many requests of a list were both sent and received in one second at most, or, with bySent = false,
// received in it.
func mostInASecond(list []sending, bySent bool) int {
	most := 0
	for _, first := range list {
		from, n := first.arrivedAt, 0
		if bySent {
			from = first.sentAt
		}
		for _, r := range list {
			if !r.arrivedAt.Before(from) && r.arrivedAt.Sub(from) <= time.Second && (!bySent || !r.sentAt.Before(from)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdBound checks that a cold server gets no more in any second than its bound, from all hosts together, and is used, under each
// load and failure that the case names.
func TestColdBound(t *testing.T) {
	cutOff := func(f *coldFleet, n int) {
		for i := range n {
			f.cut[i] = true
		}
	}
	for _, tt := range []struct {
		name           string
		hosts, servers int
		perSecond      float64
		// cold is the number of servers that become cold, of which the leader hears after unknownFor. before is what happens until
		// then, and during the 3 s in which they are cold.
		cold           int
		unknownFor     time.Duration
		before, during func(f *coldFleet)
		// use is the smallest mean rate while they are cold, as a fraction of the document's rate.
		use float64
	}{
		{"one among many", 126, 30, 420, 1, 0, nil, nil, 0.4},
		{"one, between two of its reports", 126, 31, 420, 1, serverReport, nil, nil, 0.4},
		{"a third at once", 126, 30, 420, 10, 300 * time.Millisecond, nil, nil, 0.35},
		{"all, with far more callers than they bear", 126, 4, 600, 4, 0, nil, nil, 0.7},
		{"one host has all callers", 126, 4, 300, 4, 0, func(f *coldFleet) { f.withCallers = 1 }, nil, 0.5},
		{"three hosts", 3, 4, 60, 1, 0, nil, nil, 0.5},
		{"the leader is lost, another follows", 126, 30, 420, 1, 0, nil, func(f *coldFleet) {
			f.run(900 * time.Millisecond)
			f.leader = nil
			f.run(time.Second)
			f.leader, f.term = NewAllocator(), 2
		}, 0.1},
		{"the leader is lost before, in a burst", 126, 30, 1000, 1, 0, func(f *coldFleet) { f.leader = nil; f.run(2500 * time.Millisecond) }, nil, 0.1},
		{"a new leader after each second", 126, 4, 600, 4, 0, nil, func(f *coldFleet) {
			for range 3 {
				f.run(time.Second)
				f.leader, f.term = NewAllocator(), f.term+1
			}
		}, 0.2},
		{"half of the hosts are cut off before", 126, 30, 420, 1, 0, func(f *coldFleet) { cutOff(f, 63); f.run(2500 * time.Millisecond) }, nil, 0.4},
		{"a third of the hosts is cut off", 126, 30, 420, 1, 0, nil, func(f *coldFleet) { f.run(time.Second); cutOff(f, 42) }, 0.4},
		{"stopped hosts go on with what they held", 126, 30, 420, 10, 0, nil, func(f *coldFleet) {
			for n := range 3 {
				f.frozen = map[int]bool{}
				for i := range 40 {
					f.frozen[40*n+i] = true
				}
				f.run(time.Second)
			}
		}, 0.25},
		{"hosts start again", 126, 4, 600, 4, 0, nil, func(f *coldFleet) {
			for i := range 90 {
				f.hosts[i].Holder = NewHolder(uint64(7000 + i))
				f.run(30 * time.Millisecond)
			}
		}, 0.5},
		{"updates take up to a second", 126, 30, 420, 10, 0, func(f *coldFleet) { f.delay = func() time.Duration { return f.upTo(time.Second) } }, nil, 0},
		{"most hosts hear half a second late, in a burst", 126, 30, 780, 1, 0, func(f *coldFleet) {
			f.updateDelay = func(i int) time.Duration {
				if i < 8 {
					return usualDelay
				}
				return 500 * time.Millisecond
			}
		}, nil, 0.1},
		{"updates with permits are held up and come at once", 126, 4, 600, 4, 0, nil, func(f *coldFleet) {
			f.run(700 * time.Millisecond)
			release := f.now.Add(900 * time.Millisecond)
			f.updateDelay = func(int) time.Duration { return max(usualDelay, release.Sub(f.now)) }
		}, 0.1},
		{"messages are held up for two seconds and come at once", 126, 30, 420, 10, 0, func(f *coldFleet) {
			release := f.now.Add(2 * time.Second)
			f.delay = func() time.Duration { return max(usualDelay, release.Sub(f.now)) }
		}, nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newColdFleet(tt.hosts, tt.servers, tt.perSecond, seed+1)
				f.run(1200 * time.Millisecond)
				if tt.before != nil {
					tt.before(f)
				}
				start, end := f.now, f.now.Add(testColdTime)
				f.become(tt.unknownFor, f.servers[:tt.cold]...)
				if tt.during != nil {
					tt.during(f)
				}
				f.run(end.Sub(f.now))
				for _, id := range f.servers[:tt.cold] {
					list := f.between(id, start, end)
					if most := mostInASecond(list, true); float64(most) > 30.5 {
						t.Errorf("seed %d: %s got %d requests in a second, want at most 30.5", seed, id, most)
					}
					if got := float64(len(list)) / testColdTime.Seconds(); got < tt.use*testBound.PerSecond {
						t.Errorf("seed %d: %s got %.1f requests a second, want at least %.1f", seed, id, got, tt.use*testBound.PerSecond)
					}
				}
			}
		})
	}
}

// TestColdDelayedRequests checks that what a cold server receives within one second stays within its bound although requests are
// on their way for different times, up to 200 ms.
func TestColdDelayedRequests(t *testing.T) {
	f := newColdFleet(126, 4, 600, 1)
	f.run(2 * time.Second)
	f.become(0, f.servers...)
	f.run(100 * time.Millisecond)
	after := f.now
	// Requests that are sent in one period of 200 ms arrive together.
	f.delay = func() time.Duration {
		return 200*time.Millisecond - time.Duration(f.now.UnixNano())%(200*time.Millisecond)
	}
	f.run(2500 * time.Millisecond)
	for _, id := range f.servers {
		if n := mostInASecond(f.between(id, after, f.now), false); float64(n) > 30.5 {
			t.Errorf("%s received %d requests in a second, want at most 30.5", id, n)
		}
	}
}

// TestColdPlan checks that all permits that may be used in any second keep within the bound, whenever the hosts use them, and that
// the rate is never above the document's.
func TestColdPlan(t *testing.T) {
	endpoint := wire.Endpoint{ID: "a", Born: 1, Service: "s", ColdMs: 3000}
	for _, c := range []ColdBound{
		testBound, {PerSecond: 25, Overage: 1.5, Slack: 5}, {PerSecond: 17, Overage: 1}, {PerSecond: 1, Overage: 1}, {PerSecond: 0.3, Overage: 1}, {PerSecond: 500, Overage: 1.1},
		{PerSecond: 3, Overage: 2, Slack: 100}, {PerSecond: 100, Overage: 1, Slack: 50},
	} {
		l, now := NewAllocator(), time.Unix(1000, 0)
		l.SetEndpoints(now, nil, nil)
		l.SetEndpoints(now, []wire.Endpoint{endpoint}, func(string) ColdBound { return c })
		var grants []time.Time
		for range 3000 {
			now = now.Add(time.Millisecond)
			for _, g := range l.Grant(now, []wire.PermitRequest{{Service: "s", Waiting: 5}}, func(string) (wire.Endpoint, bool) { return endpoint, true }) {
				for range g.Servers {
					grants = append(grants, now)
				}
			}
		}
		for i, first := range grants {
			usable := 0
			for _, at := range grants[i:] {
				if at.Sub(first) < time.Second+coldValidity {
					usable++
				}
			}
			if float64(usable) > c.PerSecond*c.Overage+c.Slack {
				t.Fatalf("%+v: %d permits may be used in a second", c, usable)
			}
		}
		if _, rate := c.plan(); rate > c.PerSecond {
			t.Errorf("%+v: rate %v", c, rate)
		}
	}
}

// TestColdAtStart checks that servers which start before traffic, and those of services without a bound, need no permits.
func TestColdAtStart(t *testing.T) {
	now, h := time.Unix(1000, 0), NewHolder(1)
	h.Apply(now, wire.FleetUpdate{
		Term: 1, Echo: 1, Entries: 3, Full: true, Endpoints: []wire.Endpoint{{ID: "a", Born: 1, Service: "s", ColdMs: 3000}, {ID: "b", Born: 1, Service: "t", ColdShare: 5}},
	})
	if !h.Allows(now, "a", 1) || !h.Allows(now.Add(time.Hour), "a", 1) || !h.Allows(now, "b", 1) {
		t.Error("a permit is needed")
	}
}

// TestColdMaySend checks what holds a request back between its choice and its sending.
func TestColdMaySend(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := wire.Endpoint{ID: "a", Born: 1, Service: "s", ColdMs: 3000, ColdShare: 5}
	warm, restarted := cold, cold
	warm.ColdMs, restarted.Born = 0, 2
	for _, tt := range []struct {
		name   string
		before wire.Endpoint
		after  wire.Endpoint
		later  time.Duration
		want   bool
	}{
		{"at once", cold, cold, time.Millisecond, true},
		{"its permit has expired", cold, cold, coldValidity, false},
		{"it has turned cold", warm, cold, time.Millisecond, false},
		{"it has turned warm", cold, warm, time.Second, true},
		{"it has started again", cold, restarted, time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder(1)
			h.Report(now, &wire.Usage{SentAt: 7}, func(string, int64) (Pool, bool) { return testPool, true })
			h.Apply(now, wire.FleetUpdate{
				Term: 1, Echo: 7, Entries: 3, Full: true, Endpoints: []wire.Endpoint{tt.before}, Permits: []wire.PermitGrant{{Service: "s", Servers: []string{"a"}}},
			})
			expiry := h.Use(now, "a", 1)
			h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 7, Entries: 3, Full: true, Endpoints: []wire.Endpoint{tt.after}})
			if got := h.MaySend(now.Add(tt.later), "a", 1, expiry); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// TestColdAndLimited checks that a permit for a server that is cold and has a limit takes a token of both.
func TestColdAndLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewAllocator()
	e := wire.Endpoint{ID: "a", Born: 1, Service: "s", ColdMs: 3000}
	l.SetEndpoints(now, nil, nil)
	l.SetEndpoints(now, []wire.Endpoint{e}, func(string) ColdBound { return testBound })
	l.Record(now, []wire.ServerLimit{{ID: "a", Born: 1, PerSecond: 1}})
	granted := 0
	for range 100 {
		now = now.Add(30 * time.Millisecond)
		l.Record(now, []wire.ServerLimit{{ID: "a", Born: 1, PerSecond: 1}})
		for _, g := range l.Grant(now, []wire.PermitRequest{{Service: "s", Waiting: 5}}, func(string) (wire.Endpoint, bool) { return e, true }) {
			granted += len(g.Servers)
		}
	}
	if granted > 5 || granted < 2 {
		t.Errorf("%d permits in 3 s for a limit of 1 a second, want 2 to 5", granted)
	}
}

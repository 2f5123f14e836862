package quota

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

// cluster is a leader, entry hosts and servers that state limits, with simulated time.
type cluster struct {
	t         *testing.T
	now       time.Time
	leader    *Allocator
	term      uint64
	hosts     []*Holder
	endpoints map[string]wire.Endpoint
	limits    map[string]float64
	arrivals  map[string][]time.Time
	// cut and frozen hold the hosts that exchange no messages with the leader, and those that do nothing.
	cut, frozen map[int]bool
}

const testInterval = 50 * time.Millisecond

var testPool = Pool{Service: "s"}

func newCluster(t *testing.T, hosts, servers int, perSecond float64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), leader: NewAllocator(), term: 1, endpoints: map[string]wire.Endpoint{}, limits: map[string]float64{},
		arrivals: map[string][]time.Time{}, cut: map[int]bool{}, frozen: map[int]bool{},
	}
	for i := range hosts {
		c.hosts = append(c.hosts, NewHolder(uint64(i)))
	}
	for i := range servers {
		id := fmt.Sprintf("server-%d", i)
		c.endpoints[id] = wire.Endpoint{ID: id, Born: 1, Service: "s"}
		c.limits[id] = perSecond
	}
	return c
}

func (c *cluster) endpoint(id string) (wire.Endpoint, bool) {
	e, known := c.endpoints[id]
	return e, known
}

func (c *cluster) pool(id string, born int64) (Pool, bool) {
	e, known := c.endpoints[id]
	return testPool, known && e.Born == born
}

// exchange lets a host report to the leader and applies the answer.
func (c *cluster) exchange(i int) {
	if c.cut[i] || c.frozen[i] || c.leader == nil {
		return
	}
	h := c.hosts[i]
	u := wire.Usage{SentAt: c.now.UnixNano()}
	h.Report(c.now, &u, c.pool)
	c.leader.Record(c.now, u.Limits)
	c.leader.Step(c.now)
	h.Apply(c.now, wire.FleetUpdate{
		Term: c.term, Echo: u.SentAt, Entries: len(c.hosts), Limits: c.leader.List(c.now), LimitRevision: c.leader.Revision(),
		Permits: c.leader.Grant(c.now, u.PermitRequests, c.endpoint),
	})
}

// send lets a host send a request to a server that it may use, asking the leader for a permit first if necessary. It reports
// whether there was one.
func (c *cluster) send(i int) bool {
	h := c.hosts[i]
	if c.frozen[i] {
		return false
	}
	h.RecordDemand(testPool)
	if c.sendNow(i) {
		return true
	}
	if !h.MayAsk(c.now, testPool) {
		return false
	}
	h.Await(testPool, 1)
	c.exchange(i)
	h.Await(testPool, -1)
	return c.sendNow(i)
}

func (c *cluster) sendNow(i int) bool {
	h := c.hosts[i]
	for id, e := range c.endpoints {
		if !h.Allows(c.now, id, e.Born) {
			continue
		}
		h.Use(c.now, id, e.Born)
		c.arrivals[id] = append(c.arrivals[id], c.now)
		perSecond, limited := c.limits[id]
		h.RecordResponse(c.now, Response{Server: id, Born: e.Born, SentAt: c.now.Add(-time.Microsecond), Limited: limited, PerSecond: perSecond})
		return true
	}
	return false
}

// run lets each host of senders send every interval for a time.
func (c *cluster) run(d, interval time.Duration, senders func(i int) bool) {
	const tick = 5 * time.Millisecond
	for end, n := c.now.Add(d), 0; c.now.Before(end); n++ {
		c.now = c.now.Add(tick)
		for i := range c.hosts {
			// Hosts act at different moments.
			at := time.Duration(n)*tick + time.Duration(i)*7*time.Millisecond
			if at%testInterval < tick {
				c.exchange(i)
			}
			if senders(i) && at%interval < tick {
				c.send(i)
			}
		}
	}
}

// check checks that a server got at most 1.5 times its limit, and 5, in any 4 s after a time, and at least the fraction use
// of its limit.
func (c *cluster) check(after time.Time, use float64) {
	c.t.Helper()
	const window = 4 * time.Second
	for id, arrivals := range c.arrivals {
		var recent []time.Time
		for _, at := range arrivals {
			if at.After(after) {
				recent = append(recent, at)
			}
		}
		most, first := 0, 0
		for i, at := range recent {
			for at.Sub(recent[first]) > window {
				first++
			}
			most = max(most, i-first+1)
		}
		perSecond := c.limits[id]
		if allowed := 1.5*perSecond*window.Seconds() + 5; float64(most) > allowed {
			c.t.Errorf("%s got %d requests in %v, want at most %.0f", id, most, window, allowed)
		}
		if want := use * perSecond * c.now.Sub(after).Seconds(); float64(len(recent)) < want {
			c.t.Errorf("%s got %d requests in %v, want at least %.0f", id, len(recent), c.now.Sub(after), want)
		}
	}
}

// TestLimitShared checks that the requests of all hosts together stay within a limit and use it, however many hosts there
// are, however the callers are spread over them and whatever happens to the hosts and the leader.
func TestLimitShared(t *testing.T) {
	everyone := func(int) bool { return true }
	for _, tt := range []struct {
		name           string
		hosts, servers int
		perSecond      float64
		interval       time.Duration
		senders        func(i int) bool
		during         func(c *cluster)
		use            float64
	}{
		{"many callers", 12, 3, 4, 20 * time.Millisecond, everyone, nil, 0.9},
		{"few callers at many hosts", 195, 3, 5, 2 * time.Second, everyone, nil, 0.9},
		{"one host has all callers", 195, 2, 20, 10 * time.Millisecond, func(i int) bool { return i == 7 }, nil, 0.9},
		{"callers move to other hosts", 12, 2, 6, 10 * time.Millisecond, everyone, func(c *cluster) {
			for n := range 4 {
				c.run(2*time.Second, 10*time.Millisecond, func(i int) bool { return i == n })
			}
		}, 0.9},
		{"high limit", 12, 2, 300, 5 * time.Millisecond, everyone, nil, 0.9},
		{"less than one a second", 12, 1, 0.5, 20 * time.Millisecond, everyone, nil, 0.9},
		{"near zero", 12, 1, 1e-9, 20 * time.Millisecond, everyone, nil, 0},
		{"no leader", 12, 2, 6, 20 * time.Millisecond, everyone, func(c *cluster) {
			old := c.leader
			c.leader = nil
			c.run(10*time.Second, 20*time.Millisecond, everyone)
			c.leader = old
		}, 0.4},
		{"no leader, many hosts", 195, 2, 4, 100 * time.Millisecond, everyone, func(c *cluster) {
			old := c.leader
			c.leader = nil
			c.run(10*time.Second, 100*time.Millisecond, everyone)
			c.leader = old
		}, 0.4},
		{"new leader", 12, 2, 4, 20 * time.Millisecond, everyone, func(c *cluster) {
			for range 5 {
				c.leader, c.term = NewAllocator(), c.term+1
				c.run(700*time.Millisecond, 20*time.Millisecond, everyone)
			}
		}, 0.7},
		{"some hosts lose the leader", 12, 2, 4, 20 * time.Millisecond, everyone, func(c *cluster) {
			for i := range 4 {
				c.cut[i] = true
			}
			c.run(8*time.Second, 20*time.Millisecond, everyone)
			c.cut = map[int]bool{}
		}, 0.9},
		{"hosts freeze and wake", 12, 2, 4, 20 * time.Millisecond, everyone, func(c *cluster) {
			for n := range 6 {
				c.frozen = map[int]bool{n: true, n + 3: true, n + 6: true}
				c.run(1500*time.Millisecond, 20*time.Millisecond, everyone)
			}
			c.frozen = map[int]bool{}
		}, 0.8},
		{"hosts restart", 12, 2, 4, 20 * time.Millisecond, everyone, func(c *cluster) {
			for i := range c.hosts {
				c.hosts[i] = NewHolder(uint64(100 + i))
				c.exchange(i)
				c.run(300*time.Millisecond, 20*time.Millisecond, everyone)
			}
		}, 0.8},
		{"the limit falls", 12, 1, 40, 10 * time.Millisecond, everyone, func(c *cluster) {
			c.limits["server-0"] = 4
			c.run(2*testInterval, 10*time.Millisecond, everyone)
			c.arrivals["server-0"] = nil
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, tt.hosts, tt.servers, tt.perSecond)
			c.run(3*time.Second, tt.interval, tt.senders)
			after := c.now
			c.run(6*time.Second, tt.interval, tt.senders)
			if tt.during != nil {
				tt.during(c)
			}
			c.run(6*time.Second, tt.interval, tt.senders)
			c.check(after, tt.use)
		})
	}
}

// TestLimitEnds checks that a server gets requests without permits once it states no limit any more, or has started again,
// also if its limit was so low that it got next to none.
func TestLimitEnds(t *testing.T) {
	for _, tt := range []struct {
		name      string
		hosts     int
		perSecond float64
		interval  time.Duration
		end       func(c *cluster)
		within    time.Duration
	}{
		{"the limit ends", 12, 4, 20 * time.Millisecond, func(c *cluster) { delete(c.limits, "server-0") }, 2 * time.Second},
		{"zero ends", 12, 0, 20 * time.Millisecond, func(c *cluster) { delete(c.limits, "server-0") }, 10 * time.Second},
		{"few callers", 195, 0.5, 2 * time.Second, func(c *cluster) { delete(c.limits, "server-0") }, 10 * time.Second},
		{"the server starts again", 12, 0, 20 * time.Millisecond, func(c *cluster) {
			delete(c.limits, "server-0")
			c.endpoints["server-0"] = wire.Endpoint{ID: "server-0", Born: 2, Service: "s"}
		}, 100 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, tt.hosts, 1, tt.perSecond)
			everyone := func(int) bool { return true }
			c.run(6*time.Second, tt.interval, everyone)
			tt.end(c)
			c.run(tt.within, tt.interval, everyone)
			for i := range c.hosts {
				if !c.hosts[i].Allows(c.now, "server-0", c.endpoints["server-0"].Born) {
					t.Fatalf("host %d holds requests back %v after the end of the limit", i, tt.within)
				}
			}
		})
	}
}

// TestEndBeforeStatement checks that a response to a request sent before the limit was last stated doesn't end it, on
// either side.
func TestEndBeforeStatement(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(1)
	h.RecordResponse(now, Response{Server: "a", Born: 1, SentAt: now.Add(-time.Second), Limited: true, PerSecond: 2})
	h.RecordResponse(now.Add(time.Second), Response{Server: "a", Born: 1, SentAt: now.Add(-time.Millisecond)})
	if !h.IsLimited("a", 1) {
		t.Error("a response to an earlier request ended the limit")
	}
	l := NewAllocator()
	l.Record(now, []wire.ServerLimit{{ID: "a", Born: 1, PerSecond: 2, AgeMs: 0}})
	l.Record(now, []wire.ServerLimit{{ID: "a", Born: 1, AgeMs: 10, Ended: true}})
	if len(l.List(now)) != 1 {
		t.Error("an earlier end removed the limit on the leader")
	}
	later := now.Add(time.Second)
	l.Record(later, []wire.ServerLimit{{ID: "a", Born: 1, AgeMs: 10, Ended: true}})
	l.Record(later, []wire.ServerLimit{{ID: "a", Born: 1, PerSecond: 2, AgeMs: 900}})
	if got := l.List(later); len(got) != 0 {
		t.Errorf("an earlier statement brought the limit back: %v", got)
	}
}

// TestEndKnownElsewhere checks that a host which takes a limit for ended learns of another host's later statement.
func TestEndKnownElsewhere(t *testing.T) {
	c := newCluster(t, 2, 1, 3)
	c.send(0)
	c.exchange(0)
	c.exchange(1)
	c.now = c.now.Add(time.Second)
	c.hosts[1].RecordResponse(c.now, Response{Server: "server-0", Born: 1, SentAt: c.now.Add(-time.Millisecond)})
	c.hosts[0].RecordResponse(c.now.Add(10*time.Millisecond), Response{Server: "server-0", Born: 1, SentAt: c.now, Limited: true, PerSecond: 3})
	c.now = c.now.Add(10 * time.Millisecond)
	c.hosts[0].limits["server-0"].pending = true
	c.exchange(0)
	c.exchange(1)
	c.exchange(1)
	if !c.hosts[1].IsLimited("server-0", 1) {
		t.Error("the host takes the limit for ended, although the server states it")
	}
}

// TestLimitMemory checks that limits and permits are bounded, and dropped when nothing confirms them.
func TestLimitMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	h, l := NewHolder(1), NewAllocator()
	for i := range 2 * maxLimits {
		id := fmt.Sprint(i)
		h.RecordResponse(now, Response{Server: id, Born: 1, Limited: true, PerSecond: 1})
		l.Record(now, []wire.ServerLimit{{ID: id, Born: 1, PerSecond: 1}})
	}
	if len(h.limits) > maxLimits || len(l.limits) > maxLimits {
		t.Errorf("%d and %d limits, want at most %d", len(h.limits), len(l.limits), maxLimits)
	}
	l.Step(now.Add(limitRetention + time.Minute))
	if len(l.limits) != 0 {
		t.Errorf("%d limits are kept", len(l.limits))
	}
	now = now.Add(limitRetention + time.Minute)
	h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 1, Entries: 1, LimitRevision: l.Revision()})
	u := wire.Usage{SentAt: 2}
	h.Report(now, &u, func(string, int64) (Pool, bool) { return Pool{}, false })
	h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 2, Entries: 1, LimitRevision: l.Revision()})
	if len(h.limits) != 0 {
		t.Errorf("%d limits are kept on the host", len(h.limits))
	}
}

// TestPermits checks when a permit may be used.
func TestPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		use   func(h *Holder) time.Time
		after time.Duration
		want  bool
	}{
		{"held", func(h *Holder) time.Time { return time.Time{} }, permitValidity / 2, true},
		{"expired", func(h *Holder) time.Time { return time.Time{} }, permitValidity, false},
		{"used", func(h *Holder) time.Time { return h.Use(now, "a", 1) }, 0, false},
		{"returned", func(h *Holder) time.Time { x := h.Use(now, "a", 1); h.Return("a", 1, x); return x }, permitValidity / 2, true},
		{"returned too late", func(h *Holder) time.Time { x := h.Use(now, "a", 1); h.Return("a", 1, x); return x }, permitValidity, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder(1)
			h.RecordResponse(now, Response{Server: "a", Born: 1, Limited: true, PerSecond: 1})
			h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 1, Entries: 3, Permits: []wire.PermitGrant{{Service: "s", Servers: []string{"a"}}}})
			tt.use(h)
			if got := h.Allows(now.Add(tt.after), "a", 1); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// TestPermitsFallWithLimit checks that permits granted at a higher rate don't outlast it.
func TestPermitsFallWithLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		fall func(h *Holder)
	}{
		{"in a response", func(h *Holder) {
			h.RecordResponse(now, Response{Server: "a", Born: 1, SentAt: now, Limited: true, PerSecond: 4})
		}},
		{"in the leader's list", func(h *Holder) {
			h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 3, LimitRevision: 2, Limits: []wire.ServerLimit{{ID: "a", Born: 1, PerSecond: 4}}})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder(1)
			h.RecordResponse(now, Response{Server: "a", Born: 1, SentAt: now, Limited: true, PerSecond: 40})
			h.Report(now, &wire.Usage{SentAt: 1}, func(string, int64) (Pool, bool) { return testPool, true })
			h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 1})
			h.Report(now, &wire.Usage{SentAt: 2}, func(string, int64) (Pool, bool) { return testPool, true })
			var permits []string
			for range 20 {
				permits = append(permits, "a")
			}
			h.Apply(now, wire.FleetUpdate{Term: 1, Echo: 2, Permits: []wire.PermitGrant{{Service: "s", Servers: permits}}})
			tt.fall(h)
			n := 0
			for ; h.Allows(now, "a", 1); n++ {
				h.Use(now, "a", 1)
			}
			if n != 2 {
				t.Errorf("%d permits, want 2 of 20 at a tenth of the limit", n)
			}
		})
	}
}

package budget

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const mega = 1 << 20

var start = time.Unix(1000, 0)

func open(t *testing.T, b *Budget, endsAt time.Time) *Share {
	t.Helper()
	o := b.Open(start, endsAt, netip.Addr{})
	if o.Share == nil || o.Away != nil || o.Cut != nil || o.Admission != Admitted {
		t.Fatalf("got %+v, want an admitted connection", o)
	}
	return o.Share
}

// receive opens a connection whose request began at a time and holds n bytes.
func receive(t *testing.T, b *Budget, began time.Time, n int) *Share {
	t.Helper()
	s := open(t, b, began.Add(time.Minute))
	b.Receive(s, began, began.Add(time.Minute))
	if v, away := b.Grow(began, s, n); v != Granted || len(away) > 0 {
		t.Fatalf("%d bytes: got %v, %d turned away, want them granted", n, v, len(away))
	}
	return s
}

// TestWhoIsTurnedAway checks who ends when the budget is used up.
func TestWhoIsTurnedAway(t *testing.T) {
	const asker = -1
	type held struct {
		age   time.Duration
		bytes int
		state state
	}
	for _, tt := range []struct {
		name string
		held []held
		// asked are the bytes that a request of age 0 asks for.
		asked   int
		verdict Verdict
		away    []int
	}{
		{"the oldest of equals", []held{{time.Second, 3 * mega, receiving}, {2 * time.Second, 3 * mega, receiving}}, 3 * mega, Awaiting, []int{1}},
		{"the largest of an age", []held{{time.Second, 2 * mega, receiving}, {time.Second, 4 * mega, receiving}}, 3 * mega, Awaiting, []int{1}},
		{"as many as needed", []held{{time.Second, 2 * mega, receiving}, {time.Second, 3 * mega, receiving}}, 5 * mega, Awaiting, []int{1, 0}},
		{"a small one only after large ones", []held{{20 * time.Second, 40 << 10, receiving}, {time.Second, 5 * mega, receiving}}, 3 * mega, Awaiting, []int{1}},
		{"none that is served", []held{{time.Minute, 4 * mega, serving}, {time.Second, mega, receiving}}, 2 * mega, Awaiting, []int{1}},
		{"nobody in vain", []held{{time.Minute, 5 * mega, serving}, {time.Second, mega, receiving}}, 3 * mega, TurnedAway, []int{asker}},
		{"the asker if all are served", []held{{time.Minute, 5 * mega, serving}}, 3 * mega, TurnedAway, []int{asker}},
		{"nobody for a small one beside large ones", []held{{time.Minute, 6 * mega, serving}}, 60 << 10, Granted, nil},
		{"an idle one with a large buffer", []held{{time.Second, 5 * mega, serving}, {time.Minute, mega, waiting}}, mega, Awaiting, []int{1}},
		{"nobody for the only large one", []held{{time.Minute, 60 << 10, serving}}, 30 * mega, Granted, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := New(Limits{Bytes: 8 * mega})
			index := map[*Share]int{}
			for i, h := range tt.held {
				s := receive(t, b, start.Add(-h.age), h.bytes)
				s.state = h.state
				index[s] = i
			}
			last := open(t, b, start.Add(time.Minute))
			b.Receive(last, start, start.Add(time.Minute))
			index[last] = asker
			v, away := b.Grow(start, last, tt.asked)
			if v != tt.verdict || len(away) != len(tt.away) {
				t.Fatalf("got %v and %d turned away, want %v and %d", v, len(away), tt.verdict, len(tt.away))
			}
			for i, s := range away {
				if index[s] != tt.away[i] {
					t.Errorf("turned away %d, want %d", index[s], tt.away[i])
				}
				b.Close(s)
			}
			if v == Awaiting {
				if v, _ := b.Grow(start, last, tt.asked); v != Granted {
					t.Errorf("got %v once the others have ended, want the bytes", v)
				}
			}
		})
	}
}

// TestConnections checks which connection ends when there are too many.
func TestConnections(t *testing.T) {
	b := New(Limits{MaxConns: 3})
	kept, served, half := open(t, b, start.Add(15*time.Second)), open(t, b, start), open(t, b, start.Add(2*time.Second))
	b.Serve(served)
	b.Receive(half, start, start.Add(3*time.Second))
	for i, want := range []*Share{half, kept} {
		o := b.Open(start, start.Add(time.Hour), netip.Addr{})
		if o.Away != want || o.Admission != Admitted {
			t.Errorf("connection %d: got %+v, want %p", i, o, want)
		}
		b.Serve(o.Share)
	}
	admissions := map[Admission]int{}
	for range 2 * minLeaving {
		admissions[b.Open(start, start, netip.Addr{}).Admission]++
	}
	if admissions[Refused] != minLeaving-2 || admissions[Dropped] != minLeaving+2 || b.Conns() != 3 {
		t.Errorf("got %v, %d connections", admissions, b.Conns())
	}
	b.Close(half)
	if o := b.Open(start, start, netip.Addr{}); o.Admission != Refused {
		t.Errorf("got %+v after one has ended, want a refusal", o)
	}
}

const largest, limit, maxConns = 4 * mega, 16 * mega, 40

// crowd is a budget whose connections do something at random.
type crowd struct {
	*Budget
	random *rand.Rand
	shares map[*Share]bool
}

func (c *crowd) end(shares ...*Share) {
	for _, s := range shares {
		c.Close(s)
		delete(c.shares, s)
	}
}

func (c *crowd) open(now time.Time) {
	o := c.Open(now, now.Add(time.Second), netip.Addr{})
	if o.Share == nil {
		return
	}
	c.shares[o.Share] = true
	c.Receive(o.Share, now, now.Add(time.Second))
	for _, s := range []*Share{o.Away, o.Cut} {
		if s != nil && c.random.IntN(2) == 0 {
			c.end(s)
		}
	}
}

// openConns returns the number of connections that aren't cut.
func (c *crowd) openConns() int {
	n := 0
	for s := range c.shares {
		if s.state != cut {
			n++
		}
	}
	return n
}

func (c *crowd) act(now time.Time, s *Share) {
	switch c.random.IntN(6) {
	case 0:
		c.end(s)
	case 1:
		c.Serve(s)
	case 2:
		c.TryGrow(s, c.random.IntN(mega))
	default:
		if s.Held() < largest {
			_, away := c.Grow(now, s, c.random.IntN(largest-s.Held()+1))
			for _, s := range away {
				if c.random.IntN(2) == 0 {
					c.end(s)
				} else {
					c.Shrink(s, s.Held())
				}
			}
		}
	}
}

// TestBound checks with random events that no more is held than the bound and one large request, and that nothing is left
// when all have ended.
func TestBound(t *testing.T) {
	for seed := range uint64(50) {
		c := &crowd{New(Limits{Bytes: limit, MaxConns: maxConns}), rand.New(rand.NewPCG(seed, 0)), map[*Share]bool{}}
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Duration(c.random.IntN(50)) * time.Millisecond) {
			c.open(now)
			for s := range c.shares {
				c.act(now, s)
			}
			if c.Used() > limit+largest {
				t.Fatalf("seed %d: %d bytes are held", seed, c.Used())
			}
			if open := c.openConns(); open > maxConns+maxConns/4 {
				t.Fatalf("seed %d: %d connections are open", seed, open)
			}
		}
		for s := range c.shares {
			c.end(s)
		}
		if b := c.Budget; b.used != 0 || b.reserved != 0 || b.large != 0 || b.leaving != 0 || b.bytesLeaving != 0 || len(b.shares) != 0 {
			t.Fatalf("seed %d: left %+v", seed, b)
		}
	}
}

// TestBuffers checks that the sockets of as many connections as a host may have stay within their part of its memory, and that a
// connection with a long body has the whole window.
func TestBuffers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limits Limits
		// memory is that of the host in bytes, and buffers how many each connection has.
		memory, buffers int
	}{
		{"an entry host of the smallest deployments", EntryLimits(136*mega, 786), 136 * mega, entryBuffers},
		{"a control host", ControlLimits(280*mega, 2307), 280 * mega, controlBuffers},
		{"a large host", EntryLimits(4096*mega, 0), 4096 * mega, entryBuffers},
	} {
		l := tt.limits
		conns := int((1 + leavingFraction) * float64(l.MaxConns))
		if held := (conns*tt.buffers + l.Backlog) * bufferOverhead * l.Buffer; held > int(bufferFraction*float64(tt.memory)) || l.Buffer < minBuffer {
			t.Errorf("%s: %d connections hold %d bytes, buffers of %d", tt.name, conns, held, l.Buffer)
		}
		b, raised := New(l), 0
		if _, ok := b.Raise(open(t, b, start), 1<<10); ok {
			t.Errorf("%s: the buffer is raised for 1 KiB", tt.name)
		}
		shares := map[*Share]bool{}
		for range l.MaxConns - 1 {
			s := open(t, b, start)
			if size, ok := b.Raise(s, 4*mega); ok {
				raised += bufferOverhead * (size - l.Buffer)
				shares[s] = true
			}
		}
		if len(shares) == 0 || raised > int(raisedFraction*float64(tt.memory)) {
			t.Errorf("%s: %d raised buffers hold %d bytes", tt.name, len(shares), raised)
		}
		for s := range shares {
			b.Close(s)
		}
		if b.raised != 0 {
			t.Errorf("%s: %d bytes of raised buffers are left", tt.name, b.raised)
		}
	}
	b := New(Limits{})
	if _, ok := b.Raise(open(t, b, start), 4*mega); ok {
		t.Error("the system's buffer is raised")
	}
}

// TestCut guards against a host whose descriptors are taken by connections that were turned away for the bytes that they held, and that
// wait for their callers.
func TestCut(t *testing.T) {
	const conns = 12
	b := New(Limits{Bytes: mega, MaxConns: conns})
	var away []*Share
	for range 3 * conns {
		o := b.Open(start, start.Add(time.Minute), netip.Addr{})
		if o.Admission != Admitted {
			t.Fatalf("got %+v, want an admitted connection", o)
		}
		if len(away) < minLeaving+conns && o.Cut != nil {
			t.Fatalf("one was cut beside %d", len(away))
		}
		if o.Cut != nil {
			if o.Cut != away[0] {
				t.Error("not the first that was turned away was cut")
			}
			away = away[1:]
			b.Close(o.Cut)
		}
		b.Receive(o.Share, start, start.Add(time.Minute))
		b.turnAway(o.Share)
		away = append(away, o.Share)
		if len(b.shares) > conns+minLeaving {
			t.Fatalf("%d connections are open", len(b.shares))
		}
	}
}

// TestSmallRequestsHaveRoom guards against ordinary requests that are turned away since a crowd holds all bytes, and checks that the
// bytes for which a request waits go to no other.
func TestSmallRequestsHaveRoom(t *testing.T) {
	b := New(Limits{Bytes: mega})
	for range 16 {
		receive(t, b, start, smallBytes)
	}
	receive(t, b, start, includedBytes)
	small, large := open(t, b, start.Add(time.Minute)), open(t, b, start.Add(time.Minute))
	for _, s := range []*Share{small, large} {
		b.Receive(s, start, start.Add(time.Minute))
	}
	for range 16 { // the crowd fills what is included
		s := open(t, b, start.Add(time.Minute))
		b.Receive(s, start, start.Add(time.Minute))
		_, away := b.Grow(start.Add(time.Hour), s, smallBytes)
		for _, s := range away {
			b.Close(s)
		}
	}
	if v, away := b.Grow(start, small, includedBytes); v != Granted || len(away) > 0 {
		t.Errorf("a small request: got %v, %d turned away", v, len(away))
	}
	now := start.Add(time.Second)
	v, away := b.Grow(now, large, smallBytes/2)
	if v != Awaiting || len(away) == 0 {
		t.Fatalf("a larger one: got %v, %d turned away", v, len(away))
	}
	for _, s := range away {
		b.Close(s)
	}
	rival := open(t, b, start.Add(time.Minute))
	b.Receive(rival, now, start.Add(time.Minute))
	if v, _ := b.Grow(now, rival, smallBytes); v == Granted {
		t.Error("the bytes for which a request waits went to another one")
	}
	if v, _ := b.Grow(now, large, smallBytes/2); v != Granted {
		t.Errorf("got %v for the request that waited", v)
	}
}

// TestResponsesBeforeBodies checks that a response that must be held gets the room of requests that are still received, and of
// responses whose callers don't read, but not of others.
func TestResponsesBeforeBodies(t *testing.T) {
	for _, tt := range []struct {
		name    string
		state   state
		stalled time.Duration
		want    Verdict
	}{
		{"received", receiving, 0, Awaiting},
		{"served", serving, 0, TurnedAway},
		{"just sent", serving, stalledAfter / 2, TurnedAway},
		{"sent to a caller who doesn't read", serving, stalledAfter, Awaiting},
	} {
		b := New(Limits{Bytes: mega})
		other := receive(t, b, start, mega/2)
		other.state = tt.state
		if tt.stalled > 0 {
			b.Stall(other, start.Add(-tt.stalled))
		}
		asker := receive(t, b, start, includedBytes)
		b.Serve(asker)
		v, away := b.Grow(start, asker, mega/2)
		if v != tt.want || len(away) != int(tt.want)%2 || asker.state != serving {
			t.Errorf("%s: got %v, %d turned away", tt.name, v, len(away))
		}
		if tt.want == Awaiting && other.IsCut() != (tt.state == serving) {
			t.Errorf("%s: cut %t", tt.name, other.IsCut())
		}
	}
}

// TestDispensable checks which connection ends for a new one.
func TestDispensable(t *testing.T) {
	now := start.Add(time.Minute)
	b := New(Limits{Bytes: 8 * mega, MaxConns: 5})
	young := b.Open(now, now.Add(time.Second), netip.Addr{}).Share
	half := receive(t, b, now.Add(-time.Second), 10)
	body := receive(t, b, now.Add(-time.Millisecond), mega)
	idle := open(t, b, now.Add(time.Hour))
	stalled := receive(t, b, now, 10)
	b.Serve(stalled)
	b.Stall(stalled, now.Add(-stalledAfter))
	for i, want := range []*Share{idle, body, young, half, stalled} {
		o := b.Open(now, now.Add(2*time.Hour), netip.Addr{})
		if o.Admission != Admitted || o.Away != want {
			t.Errorf("connection %d: got %+v, want %p", i, o, want)
		}
		b.Serve(o.Share)
	}
	if o := b.Open(now, now, netip.Addr{}); o.Admission != Refused {
		t.Errorf("got %+v beside served ones only", o)
	}
}

// TestReady checks who asks again when bytes are given back: those for whom there is room behind those who have waited for longer, and
// no others.
func TestReady(t *testing.T) {
	b := New(Limits{Bytes: 8 * mega})
	served := []*Share{receive(t, b, start, 3*mega), receive(t, b, start, 2*mega)}
	old := receive(t, b, start.Add(-time.Minute), mega)
	for _, s := range served {
		b.Serve(s)
	}
	var waiting []*Share
	for i := range 3 {
		s := open(t, b, start.Add(time.Hour))
		b.Receive(s, start, start.Add(time.Hour))
		if v, _ := b.Grow(start, s, mega/2>>i); v != Awaiting {
			t.Fatalf("got %v for request %d, want it to wait", v, i)
		}
		waiting = append(waiting, s)
	}
	check := func(when string, want ...*Share) {
		t.Helper()
		if got := b.Ready(); !slices.Equal(got, want) {
			t.Errorf("%s: %d are ready, want %d", when, len(got), len(want))
		}
	}
	check("nothing given back")
	b.Shrink(old, mega/4)
	check("too little for the first")
	b.Shrink(old, mega/4)
	check("enough for the first", waiting[0])
	b.Forgo(waiting[0])
	check("the first gave up", waiting[1:]...)
	b.Close(old)
	for i, s := range waiting[1:] {
		if v, _ := b.Grow(start, s, mega/4>>i); v != Granted {
			t.Errorf("got %v for a request that is ready, want it granted", v)
		}
	}
	check("nobody waits")
}

// crowdAt is a budget all of whose connections a crowd holds.
type crowdAt struct {
	*Budget
	now                 time.Time
	crowd, other, third netip.Addr
	held                []*Share
}

func newCrowdAt(state state, stalledFor time.Duration) *crowdAt {
	b := &crowdAt{
		Budget: New(Limits{Bytes: 8 * mega, MaxConns: 20}), now: start.Add(time.Minute),
		crowd: netip.MustParseAddr("192.0.2.1"), other: netip.MustParseAddr("192.0.2.2"), third: netip.MustParseAddr("192.0.2.3"),
	}
	for i := range 20 {
		s := b.Open(b.now, b.now.Add(time.Duration(i+1)*time.Second), b.crowd).Share
		s.state, s.since = state, b.now
		if stalledFor > 0 {
			b.Stall(s, b.now.Add(-stalledFor))
		}
		b.held = append(b.held, s)
	}
	return b
}

func (b *crowdAt) open(source netip.Addr) Opening {
	return b.Open(b.now, b.now.Add(time.Second), source)
}

// TestSourceOfNothingSent guards against a crowd that comes back at once, sends nothing and keeps other sources from being served.
func TestSourceOfNothingSent(t *testing.T) {
	b := newCrowdAt(waiting, 0)
	mine := b.open(b.other)
	if mine.Admission != Admitted || mine.Away != b.held[0] {
		t.Fatalf("got %+v, want the crowd's first to make way", mine)
	}
	b.now = b.now.Add(2 * idleAfter)
	for range 3 {
		if o := b.open(b.crowd); o.Away == nil || o.Away.source != b.crowd {
			t.Errorf("got %+v for one more of the crowd, want one of its own to make way", o)
		}
	}
	if mine.Share.state != waiting {
		t.Error("the other source's connection was turned away")
	}
}

// TestSourceBesideThoseTurnedAway guards against a newcomer that is dropped since a crowd's connections are being turned away.
func TestSourceBesideThoseTurnedAway(t *testing.T) {
	b := newCrowdAt(waiting, 0)
	var first *Share
	for o := b.open(b.crowd); o.Admission != Dropped; o = b.open(b.crowd) {
		if first == nil {
			first = o.Away
		}
	}
	if o := b.open(b.other); o.Admission != Admitted || o.Cut != first || !first.IsCut() {
		t.Errorf("got %+v, want the crowd's first that is turned away to be cut", o)
	}
}

// TestSourceOfNothingRead guards against a crowd that reads nothing and so holds all connections.
func TestSourceOfNothingRead(t *testing.T) {
	b := newCrowdAt(serving, crowdStalledAfter)
	if o := b.open(b.crowd); o.Admission != Refused {
		t.Errorf("got %+v for one more of the crowd, want it refused", o)
	}
	if o := b.open(b.other); o.Admission != Admitted || o.Away == nil || !o.Away.IsCut() {
		t.Errorf("got %+v, want one of the crowd cut", o)
	}
}

// TestSourceOfUnreadBytes is TestSourceOfNothingRead for a crowd whose responses hold all bytes.
func TestSourceOfUnreadBytes(t *testing.T) {
	b := newCrowdAt(receiving, 0)
	for _, s := range b.held[:12] {
		b.Grow(b.now, s, mega/2)
		b.Serve(s)
		b.Stall(s, b.now.Add(-crowdStalledAfter))
	}
	b.Serve(b.held[19])
	if v, _ := b.Grow(b.now, b.held[19], mega/2); v != TurnedAway {
		t.Errorf("got %v for one more of the crowd, want it turned away", v)
	}
	mine := b.open(b.other).Share
	b.Serve(mine)
	if v, away := b.Grow(b.now, mine, mega); v != Awaiting || len(away) != 1 || !away[0].IsCut() {
		t.Errorf("got %v with %d turned away, want one of the crowd cut", v, len(away))
	}
}

// TestSourceIdle checks that an idle connection makes way for a larger source only where all others are served.
func TestSourceIdle(t *testing.T) {
	b := newCrowdAt(serving, 0)
	b.Close(b.held[0])
	idle := b.open(b.other).Share
	b.now = b.now.Add(idleAfter)
	if o := b.open(b.crowd); o.Away != idle {
		t.Errorf("got %+v, want the idle connection to make way where all others are served", o)
	}
}

// TestSourcesOfLikeSize checks that neither of two sources of the same size is a crowd for the other.
func TestSourcesOfLikeSize(t *testing.T) {
	b := newCrowdAt(serving, crowdStalledAfter)
	for i, s := range b.held {
		b.sources[s.source]--
		s.source = []netip.Addr{b.crowd, b.other}[i%2]
		b.sources[s.source]++
	}
	if o := b.open(b.other); o.Admission != Refused {
		t.Errorf("got %+v, want it refused: no source is a crowd for the other", o)
	}
	if o := b.open(b.third); o.Admission != Admitted {
		t.Errorf("got %+v for a third source, want it admitted", o)
	}
}

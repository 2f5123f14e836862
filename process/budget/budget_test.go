package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

const mega = 1 << 20

var start = time.Unix(1000, 0)

func open(t *testing.T, b *Budget, endsAt time.Time) *Share {
	t.Helper()
	s, away, a := b.Open(endsAt)
	if s == nil || away != nil || a != Admitted {
		t.Fatalf("got %v, %v, want an admitted connection", away, a)
	}
	return s
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
		s, away, a := b.Open(start.Add(time.Hour))
		if away != want || a != Admitted {
			t.Errorf("connection %d: got %p, %v, want %p", i, away, a, want)
		}
		b.Serve(s)
	}
	admissions := map[Admission]int{}
	for range 2 * minLeaving {
		_, _, a := b.Open(start)
		admissions[a]++
	}
	if admissions[Refused] != minLeaving-2 || admissions[Dropped] != minLeaving+2 || b.Conns() != 3 {
		t.Errorf("got %v, %d connections", admissions, b.Conns())
	}
	b.Close(half)
	if _, _, a := b.Open(start); a != Refused {
		t.Errorf("got %v after one has ended, want a refusal", a)
	}
}

const largest, limit = 4 * mega, 16 * mega

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
	s, away, _ := c.Open(now.Add(time.Second))
	if s == nil {
		return
	}
	c.shares[s] = true
	c.Receive(s, now, now.Add(time.Second))
	if away != nil {
		c.end(away)
	}
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
			c.end(away...)
		}
	}
}

// TestBound checks with random events that no more is held than the bound and one large request, and that nothing is left
// when all have ended.
func TestBound(t *testing.T) {
	for seed := range uint64(50) {
		c := &crowd{New(Limits{Bytes: limit, MaxConns: 40}), rand.New(rand.NewPCG(seed, 0)), map[*Share]bool{}}
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Duration(c.random.IntN(50)) * time.Millisecond) {
			c.open(now)
			for s := range c.shares {
				c.act(now, s)
			}
			if c.Used() > limit+largest {
				t.Fatalf("seed %d: %d bytes are held", seed, c.Used())
			}
		}
		for s := range c.shares {
			c.end(s)
		}
		if b := c.Budget; b.used != 0 || b.large != 0 || b.leaving != 0 || b.bytesLeaving != 0 || len(b.shares) != 0 {
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
		{"an entry host of the smallest deployments", EntryLimits(136*mega, 2870), 136 * mega, entryBuffers},
		{"a control host", ControlLimits(280*mega, 2307), 280 * mega, controlBuffers},
		{"a large host", EntryLimits(4096*mega, 0), 4096 * mega, entryBuffers},
	} {
		l := tt.limits
		conns := int((1 + leavingFraction) * float64(l.MaxConns))
		if held := conns * tt.buffers * bufferOverhead * l.Buffer; held > int(bufferFraction*float64(tt.memory)) || l.Buffer < minBuffer {
			t.Errorf("%s: %d connections hold %d bytes, buffers of %d", tt.name, conns, held, l.Buffer)
		}
		if _, ok := l.Raise(1 << 10); ok {
			t.Errorf("%s: the buffer is raised for 1 KiB", tt.name)
		}
		if r, ok := l.Raise(4 * mega); !ok || r.Size != raisedBuffer || r.Bytes != bufferOverhead*(raisedBuffer-l.Buffer) {
			t.Errorf("%s: got %+v for 4 MiB", tt.name, r)
		}
	}
	if _, ok := (Limits{}).Raise(4 * mega); ok {
		t.Error("the system's buffer is raised")
	}
}

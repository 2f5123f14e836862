package budget

import (
	"net/netip"
	"testing"
	"time"
)

// Bounds of the budget of FuzzEvents.
const fuzzBytes, fuzzConns, fuzzLargest = 1 << 20, 6, 4 << 20

// events is a budget on which events act.
type events struct {
	*Budget
	t      *testing.T
	now    time.Time
	shares []*Share
	// away were turned away for others, and not closed.
	away []*Share
}

func (e *events) leave(away ...*Share) {
	for _, s := range away {
		if s != nil {
			e.away = append(e.away, s)
		}
	}
}

func (e *events) end(shares []*Share) {
	for _, s := range shares {
		if s.state != closed {
			e.Close(s)
		}
	}
}

// fuzzSources is the number of addresses from which connections come.
const fuzzSources = 3

func (e *events) open(n int) {
	o := e.Open(e.now, e.now.Add(time.Second), netip.AddrFrom4([4]byte{192, 0, 2, byte(n % fuzzSources)}))
	e.leave(o.Away, o.Cut)
	if o.Share != nil {
		e.shares = append(e.shares, o.Share)
	}
}

// grow asks for bytes, and again once those that are turned away for them have ended.
func (e *events) grow(s *Share, n int) {
	if s.Held()+n > fuzzLargest {
		return
	}
	v, away := e.Grow(e.now, s, n)
	e.leave(away...)
	e.end(e.away)
	e.away = nil
	if v != Awaiting {
		return
	}
	if v, _ := e.Grow(e.now, s, n); v != Granted {
		e.t.Fatalf("got %v for a share that waited although those it waited for have ended", v)
	}
}

func (e *events) act(kind byte, s *Share, n int) {
	switch kind {
	case 1:
		e.Receive(s, e.now, e.now.Add(time.Second))
	case 2:
		e.Serve(s)
	case 3:
		e.Stall(s, e.now.Add(-2*stalledAfter))
	case 4:
		e.Close(s)
	case 5:
		e.Shrink(s, n<<12)
	case 6:
		e.GrowCalm(s, n<<10)
	case 7:
		e.grow(s, n<<13)
	}
}

func (e *events) check() {
	if e.used > fuzzBytes+fuzzLargest || e.used < 0 || e.reserved < 0 || e.bytesLeaving < 0 {
		e.t.Fatalf("used %d, reserved %d, leaving %d", e.used, e.reserved, e.bytesLeaving)
	}
	conns := 0
	for _, n := range e.sources {
		conns += n
	}
	if conns != len(e.Budget.shares) {
		e.t.Fatalf("%d connections of all sources, want %d", conns, len(e.Budget.shares))
	}
	if e.Conns() > fuzzConns {
		e.t.Fatalf("%d connections", e.Conns())
	}
}

// FuzzEvents checks that no sequence of events makes a budget hold more than its bound and one large request, or admit more
// connections than it may, and that a share that waits for room gets it once those that are turned away for it have ended.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{0, 0, 1, 200, 0, 1, 1, 250, 2, 9, 5, 0, 3, 3, 6, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		e := &events{Budget: New(Limits{Bytes: fuzzBytes, MaxConns: fuzzConns}), t: t, now: start}
		for ; len(b) >= 2; b = b[2:] {
			kind, n := b[0]%8, int(b[1])
			e.now = e.now.Add(time.Duration(n) * 10 * time.Millisecond)
			if kind == 0 {
				e.open(n)
			} else if len(e.shares) > 0 {
				if s := e.shares[n%len(e.shares)]; s.state != closed {
					e.act(kind, s, n)
				}
			}
			e.check()
		}
		e.end(e.shares)
		if e.used != 0 || e.reserved != 0 || e.large != 0 || e.leaving != 0 || e.bytesLeaving != 0 || len(e.sources) > 0 || len(e.queue) > 0 {
			t.Fatalf("left %+v", e.Budget)
		}
	})
}

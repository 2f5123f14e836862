package budget

import (
	"testing"
	"time"
)

// FuzzEvents checks that no sequence of events makes a budget hold more than its bound and one large request, or admit more
// connections than it may, and that a share that waits for room gets it once those that are turned away for it have ended.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{0, 0, 1, 200, 0, 1, 1, 250, 2, 9, 5, 0, 3, 3, 6, 1})
	f.Fuzz(func(t *testing.T, events []byte) {
		const bytes, conns, largestShare = 1 << 20, 6, 4 << 20
		b := New(Limits{Bytes: bytes, MaxConns: conns})
		var shares, leaving []*Share
		now := start
		leave := func(away ...*Share) {
			for _, s := range away {
				if s != nil {
					leaving = append(leaving, s)
				}
			}
		}
		for len(events) >= 2 {
			kind, n := events[0]%8, int(events[1])
			events, now = events[2:], now.Add(time.Duration(events[1])*10*time.Millisecond)
			if kind == 0 {
				o := b.Open(now, now.Add(time.Second))
				leave(o.Away, o.Cut)
				if o.Share != nil {
					shares = append(shares, o.Share)
				}
			}
			if len(shares) == 0 {
				continue
			}
			s := shares[n%len(shares)]
			if s.state == closed {
				continue
			}
			switch kind {
			case 1:
				b.Receive(s, now, now.Add(time.Second))
			case 2:
				b.Serve(s)
			case 3:
				b.Stall(s, now.Add(-2*stalledAfter))
			case 4:
				b.Close(s)
			case 5:
				b.Shrink(s, n<<12)
			case 6:
				b.GrowCalm(s, n<<10)
			case 7:
				if s.Held()+n<<13 > largestShare {
					continue
				}
				v, away := b.Grow(now, s, n<<13)
				leave(away...)
				for _, l := range leaving {
					if l.state != closed {
						b.Close(l)
					}
				}
				leaving = nil
				if v != Awaiting {
					continue
				}
				if v, _ := b.Grow(now, s, n<<13); v != Granted {
					t.Fatalf("got %v for a share that waited although those it waited for have ended", v)
				}
			}
			if b.used > bytes+largestShare || b.used < 0 || b.reserved < 0 || b.bytesLeaving < 0 {
				t.Fatalf("used %d, reserved %d, leaving %d", b.used, b.reserved, b.bytesLeaving)
			}
			if b.Conns() > conns {
				t.Fatalf("%d connections", b.Conns())
			}
		}
		for _, s := range shares {
			if s.state != closed {
				b.Close(s)
			}
		}
		if b.used != 0 || b.reserved != 0 || b.large != 0 || b.leaving != 0 || b.bytesLeaving != 0 {
			t.Fatalf("left %+v", b)
		}
	})
}

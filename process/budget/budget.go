package budget

import "time"

// Budget divides a process's limits among its connections.
type Budget struct {
	limits Limits
	shares map[*Share]struct{}
	// used is the sum of what all shares hold, and large that of shares of over smallBytes.
	used, large int
	// leaving is the number of shares that are turned away, and bytesLeaving what they still hold. left counts those that ever were.
	leaving, bytesLeaving int
	left                  uint64
}

// New returns a budget without shares.
func New(l Limits) *Budget { return &Budget{limits: l, shares: map[*Share]struct{}{}} }

type state int

const (
	// waiting is the state of a connection without a request.
	waiting state = iota
	receiving
	serving
	// turnedAway is the state of a share that may only shrink and be closed.
	turnedAway
	// cut is the state of a share that is turned away and has no time left.
	cut
	closed
)

// Share is what one connection holds. Only its Budget changes it.
type Share struct {
	state state
	// held is never negative.
	held int
	// since is when the request began, and endsAt when the connection ends by itself if nothing more is received.
	since, endsAt time.Time
	// leftAs is the value of Budget.left when the share was turned away.
	leftAs uint64
}

// Held returns the bytes of the share.
func (s *Share) Held() int { return s.held }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Used returns the bytes that all shares hold.
func (b *Budget) Used() int { return b.used }

// Conns returns the number of connections that are not being turned away.
func (b *Budget) Conns() int { return len(b.shares) - b.leaving }

// Admission is the decision about a new connection.
type Admission int

// Decisions about a new connection.
const (
	Admitted Admission = iota
	// Refused means that the connection gets a response without being read.
	Refused
	// Dropped means that it is closed without a response, since too many are being turned away already.
	Dropped
)

// Opening is the decision about a new connection, and what follows for others.
type Opening struct {
	Admission Admission
	// Share is that of the new connection, which must be closed by Close; nil if it is dropped.
	Share *Share
	// Away is turned away for it, and Cut is one that was turned away before and has no time left; nil for none.
	Away, Cut *Share
}

// Open decides about a connection that waits for a request until endsAt. Among too many, the one that would end first by itself is
// turned away for it. Those that are turned away, for whatever reason, are too many as well from some number on: then the first of
// them is cut.
func (b *Budget) Open(endsAt time.Time) Opening {
	o := Opening{Share: &Share{endsAt: endsAt}}
	isFull := b.limits.MaxConns > 0 && b.Conns() >= b.limits.MaxConns
	if isFull {
		if o.Away = b.firstToEnd(); o.Away == nil {
			o.Admission = Refused
		}
	}
	if b.limits.MaxConns > 0 && b.leaving+b.Conns() >= b.limits.MaxConns+b.maxLeaving() {
		if o.Admission != Refused {
			o.Cut = b.firstLeaving()
		}
		if o.Cut == nil {
			return Opening{Admission: Dropped}
		}
		o.Cut.state = cut
	}
	switch {
	case o.Admission == Refused:
		b.turnAway(o.Share)
	case o.Away != nil:
		b.turnAway(o.Away)
	}
	b.shares[o.Share] = struct{}{}
	return o
}

// maxLeaving returns how many connections may be turned away at a time.
func (b *Budget) maxLeaving() int {
	return int(max(minLeaving, leavingFraction*float64(b.limits.MaxConns)))
}

// firstLeaving returns the share that was turned away first and isn't cut; nil if there is none.
func (b *Budget) firstLeaving() *Share {
	var first *Share
	for s := range b.shares {
		if s.state == turnedAway && (first == nil || s.leftAs < first.leftAs) {
			first = s
		}
	}
	return first
}

// Wait marks a connection that waits for its next request until endsAt, and reports false if it is turned away.
func (b *Budget) Wait(s *Share, endsAt time.Time) bool { return b.enter(s, waiting, s.since, endsAt) }

// Receive marks a connection on which a request begins, that must have been received by endsAt, and reports false if it is
// turned away.
func (b *Budget) Receive(s *Share, now, endsAt time.Time) bool {
	return b.enter(s, receiving, now, endsAt)
}

// Serve marks a connection whose request is served and can't be turned away any more, and reports false if it already is.
func (b *Budget) Serve(s *Share) bool { return b.enter(s, serving, s.since, time.Time{}) }

func (b *Budget) enter(s *Share, to state, since, endsAt time.Time) bool {
	if s.state >= turnedAway {
		return false
	}
	s.state, s.since, s.endsAt = to, since, endsAt
	return true
}

// Verdict is the decision about a share that asks for more.
type Verdict int

// Decisions about a share that asks for more.
const (
	Granted Verdict = iota
	// Awaiting means that others are turned away, and that the share may ask again once one has shrunk.
	Awaiting
	// TurnedAway means that the share itself must end.
	TurnedAway
)

// Grow asks for n bytes more for a share. The shares that it returns are turned away by it, s itself among them
// if it is, and must be closed.
func (b *Budget) Grow(now time.Time, s *Share, n int) (Verdict, []*Share) {
	if s.state >= turnedAway {
		return TurnedAway, nil
	}
	if b.fits(s, n) {
		b.hold(s, n)
		return Granted, nil
	}
	bound := b.bound(s.held + n)
	if s.held+n <= bound && b.used-b.bytesLeaving-b.receivedByOthers(s)+n > bound {
		// What is served leaves no room, whoever else is turned away.
		b.turnAway(s)
		return TurnedAway, []*Share{s}
	}
	var away []*Share
	for b.used-b.bytesLeaving+n > bound {
		heaviest := b.heaviest(now, s, n)
		if heaviest == nil || heaviest == s {
			b.turnAway(s)
			return TurnedAway, append(away, s)
		}
		b.turnAway(heaviest)
		away = append(away, heaviest)
	}
	return Awaiting, away
}

// GrowCalm is Grow for bytes that are announced and haven't arrived yet. It reports false unless most of the budget is free.
func (b *Budget) GrowCalm(s *Share, n int) bool {
	if s.state >= turnedAway || (b.limits.Bytes > 0 && float64(b.used+n) > calmFraction*float64(b.limits.Bytes)) {
		return false
	}
	b.hold(s, n)
	return true
}

// Announce returns a share for a request of n bytes that another host announces on a connection that isn't counted here, or nil
// if most of the budget isn't free and it wouldn't be the only large one. It counts as served, and must be closed by Close.
func (b *Budget) Announce(n int) *Share {
	s := &Share{state: serving}
	if b.GrowCalm(s, n) {
		return s
	}
	if n <= smallBytes || b.large > 0 {
		return nil
	}
	b.hold(s, n)
	return s
}

// TryGrow is Grow for a share that is served: nobody is turned away for it. It reports false for any other share.
func (b *Budget) TryGrow(s *Share, n int) bool {
	if s.state != serving || (b.limits.Bytes > 0 && b.used+n > b.bound(s.held+n)) {
		return false
	}
	b.hold(s, n)
	return true
}

// fits reports whether n bytes more for a share are within the limits, or it would be the only large one.
func (b *Budget) fits(s *Share, n int) bool {
	othersLarge := b.large
	if s.held > smallBytes {
		othersLarge -= s.held
	}
	return b.limits.Bytes <= 0 || b.used+n <= b.bound(s.held+n) || (s.held+n > smallBytes && othersLarge == 0)
}

// bound returns what all shares may hold when one that grows to a size gets more.
func (b *Budget) bound(size int) int {
	if size <= smallBytes {
		return b.limits.Bytes
	}
	return b.limits.Bytes - int(smallFraction*float64(b.limits.Bytes))
}

// Shrink gives n bytes of a share back.
func (b *Budget) Shrink(s *Share, n int) { b.hold(s, -min(n, s.held)) }

func (b *Budget) hold(s *Share, n int) {
	if s.held > smallBytes {
		b.large -= s.held
	}
	s.held += n
	if s.held > smallBytes {
		b.large += s.held
	}
	b.used += n
	if s.state >= turnedAway {
		b.bytesLeaving += n
	}
}

// Close ends a share.
func (b *Budget) Close(s *Share) {
	b.Shrink(s, s.held)
	if s.state >= turnedAway {
		b.leaving--
	}
	s.state = closed
	delete(b.shares, s)
}

func (b *Budget) turnAway(s *Share) {
	s.state, s.leftAs = turnedAway, b.left
	b.left++
	b.leaving++
	b.bytesLeaving += s.held
}

// firstToEnd returns the connection without a request that is served whose own time ends first; nil if there is none.
func (b *Budget) firstToEnd() *Share {
	var first *Share
	for s := range b.shares {
		if s.state <= receiving && (first == nil || s.endsAt.Before(first.endsAt)) {
			first = s
		}
	}
	return first
}

// receivedByOthers returns the bytes of the shares other than asker that can be turned away.
func (b *Budget) receivedByOthers(asker *Share) int {
	n := 0
	for s := range b.shares {
		if s != asker && s.state <= receiving {
			n += s.held
		}
	}
	return n
}

// heaviest returns the share whose bytes times age are most, of those that can be turned away; nil if there is none. asker
// counts with the n bytes that it asks for.
func (b *Budget) heaviest(now time.Time, asker *Share, n int) *Share {
	var heaviest *Share
	most := 0.0
	for s := range b.shares {
		size := s.held
		if s == asker {
			size += n
		}
		if weight := float64(size) * float64(now.Sub(s.since)+youngest); s.state <= receiving && weight > most {
			heaviest, most = s, weight
		}
	}
	return heaviest
}

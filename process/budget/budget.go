package budget

import (
	"net/netip"
	"slices"
	"time"
)

// Budget divides a process's limits among its connections.
type Budget struct {
	limits Limits
	shares map[*Share]struct{}
	// sources holds the number of shares of each source.
	sources map[netip.Addr]int
	// used is the sum of what counts of all shares, large what shares of over smallBytes hold, and reserved the bytes for which shares
	// wait.
	used, large, reserved int
	// raised is what the raised buffers of all shares may hold.
	raised int
	// leaving is the number of shares that are turned away, and bytesLeaving what they still hold. left counts those that ever were.
	leaving, bytesLeaving int
	left                  uint64
	// queue holds the shares that wait for bytes, in the order in which they began to.
	queue []*Share
}

// New returns a budget without shares.
func New(l Limits) *Budget {
	return &Budget{limits: l, shares: map[*Share]struct{}{}, sources: map[netip.Addr]int{}}
}

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
	// source is the address from which the connection came.
	source netip.Addr
	// held and reserved are never negative. reserved are the bytes that count of the asked ones for which the share waits: no other gets
	// them.
	held, reserved, asked int
	// raised is what its raised buffers may hold.
	raised int
	// since is when the request began, and endsAt when the connection ends by itself if nothing more is received.
	since, endsAt time.Time
	// waitsSince is when the connection began to wait for a request.
	waitsSince time.Time
	// stalledSince is when its caller last took bytes of its response; zero if none are waiting for it.
	stalledSince time.Time
	// leftAs is the value of Budget.left when the share was turned away.
	leftAs uint64
}

// counted returns how many bytes of a share's count.
func counted(held int) int { return max(0, held-includedBytes) }

// more returns how many bytes more count once the share holds n more.
func (s *Share) more(n int) int { return counted(s.held+n) - counted(s.held) }

// Held returns the bytes of the share.
func (s *Share) Held() int { return s.held }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Used returns the bytes that count of what all shares hold.
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
	// Away is turned away for it, unless it is cut, and Cut is one that was turned away before and has no time left; nil for none.
	Away, Cut *Share
}

// IsCut reports whether the share is turned away and has no time left, not even for a response.
func (s *Share) IsCut() bool { return s.state == cut }

// Stall records since when the caller of a share that is served has taken nothing of its response; zero if nothing waits for it.
func (b *Budget) Stall(s *Share, since time.Time) { s.stalledSince = since }

// isStalled reports whether a share is served to a caller who has taken nothing for so long that it may be cut for a source.
func (b *Budget) isStalled(s *Share, now time.Time, source netip.Addr) bool {
	if s.state != serving || s.stalledSince.IsZero() {
		return false
	}
	after := stalledAfter
	if b.isCrowd(s.source, source) {
		after = crowdStalledAfter
	}
	return now.Sub(s.stalledSince) >= after
}

// canEnd reports whether a share can be turned away for a source.
func (b *Budget) canEnd(s *Share, now time.Time, source netip.Addr) bool {
	return s.state <= receiving || b.isStalled(s, now, source)
}

// Open decides about a connection from a source that waits for a request until endsAt. Among too many, one without a request that is
// served is turned away for it, unless too many are being turned away: then it is dropped, so that those that are admitted have some
// time. Those that are turned away for their bytes take room as well: the first of them is cut. A connection makes way only for sources
// that hold no more connections than its own, and sooner if its own is a crowd for them.
func (b *Budget) Open(now, endsAt time.Time, source netip.Addr) Opening {
	o := Opening{Share: &Share{endsAt: endsAt, waitsSince: now, source: source}}
	if b.IsFull() {
		if o.Away = b.dispensable(now, source); o.Away == nil {
			o.Admission = Refused
		}
	}
	if b.limits.MaxConns > 0 && b.leaving+b.Conns() >= b.limits.MaxConns+b.maxLeaving() {
		if !b.IsFull() || b.isBesideCrowd(source) {
			o.Cut = b.firstLeaving(source)
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
	b.sources[source]++
	return o
}

// MostOfSource returns the number of connections of the source that has most.
func (b *Budget) MostOfSource() int {
	most := 0
	for _, n := range b.sources {
		most = max(most, n)
	}
	return most
}

// yields reports whether a share may make way for a source.
func (b *Budget) yields(s *Share, source netip.Addr) bool {
	return b.sources[s.source] >= b.sources[source]
}

// isCrowd reports whether a source holds a large part of the connections, and more than another would with one more.
func (b *Budget) isCrowd(source, other netip.Addr) bool {
	n := b.sources[source]
	return b.limits.MaxConns > 0 && float64(n) >= crowdFraction*float64(b.limits.MaxConns) && n > b.sources[other]+1
}

// isBesideCrowd reports whether some other source is a crowd for a source.
func (b *Budget) isBesideCrowd(source netip.Addr) bool {
	for other := range b.sources {
		if b.isCrowd(other, source) {
			return true
		}
	}
	return false
}

// maxLeaving returns how many connections may be turned away at a time.
func (b *Budget) maxLeaving() int {
	return int(max(minLeaving, leavingFraction*float64(b.limits.MaxConns)))
}

// firstLeaving returns the share that was turned away first, isn't cut and yields to a source; nil if there is none.
func (b *Budget) firstLeaving(source netip.Addr) *Share {
	var first *Share
	for s := range b.shares {
		if s.state == turnedAway && b.yields(s, source) && (first == nil || s.leftAs < first.leftAs) {
			first = s
		}
	}
	return first
}

// Wait marks a connection that waits for its next request until endsAt, and reports false if it is turned away.
func (b *Budget) Wait(s *Share, now, endsAt time.Time) bool {
	s.waitsSince = now
	return b.enter(s, waiting, s.since, endsAt)
}

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
	// Awaiting means that others are turned away, and that the share may ask again once Ready returns it.
	Awaiting
	// TurnedAway means that the share itself must end.
	TurnedAway
)

// Grow asks for n bytes more for a share, for which others are turned away whose requests are still received. The shares that it
// returns are turned away by it, s itself among them if it is, and must be closed. One that waits has its bytes reserved until it
// asks again. A share that is served is told that it is turned away if there is no room, and stays as it is.
func (b *Budget) Grow(now time.Time, s *Share, n int) (Verdict, []*Share) {
	if s.state >= turnedAway {
		return TurnedAway, nil
	}
	if b.fits(s, n) {
		b.reserve(s, 0)
		b.hold(s, n)
		return Granted, nil
	}
	bound, more := b.bound(s.held+n), s.more(n)
	if (s.held+n <= bound || s.state == serving) && b.keptByOthers(now, s)+counted(s.held)+more > bound {
		// What is served leaves no room, whoever else is turned away.
		return TurnedAway, b.giveUp(s)
	}
	var away []*Share
	for b.used-b.bytesLeaving+b.reservedBefore(s)+more > bound {
		heaviest := b.heaviest(now, s, n, func(other *Share) bool { return b.canEnd(other, now, s.source) })
		if heaviest == nil || heaviest == s {
			return TurnedAway, append(away, b.giveUp(s)...)
		}
		b.turnAway(heaviest)
		away = append(away, heaviest)
	}
	b.reserve(s, more)
	s.asked = n
	return Awaiting, away
}

// Ready returns the shares that wait and for which there is room now. Once nobody is being turned away, the first of those that wait is
// ready in any case, so that it learns whether there will be.
func (b *Budget) Ready() []*Share {
	var ready []*Share
	before := 0
	for i, s := range b.queue {
		if b.fitsBehind(s, s.asked, before) || (i == 0 && b.bytesLeaving == 0) {
			ready = append(ready, s)
		}
		before += s.reserved
	}
	return ready
}

// Fits reports whether n bytes more for a share have room without anybody being turned away.
func (b *Budget) Fits(s *Share, n int) bool { return s.state < turnedAway && b.fits(s, n) }

// IsFull reports whether there are as many connections as there may be.
func (b *Budget) IsFull() bool { return b.limits.MaxConns > 0 && b.Conns() >= b.limits.MaxConns }

// giveUp turns a share away for which there is no room, unless its request is served, and returns it if it does.
func (b *Budget) giveUp(s *Share) []*Share {
	if s.state == serving {
		b.reserve(s, 0)
		return nil
	}
	b.turnAway(s)
	return []*Share{s}
}

// reservedBefore returns the bytes for which other shares wait that began to wait before s.
func (b *Budget) reservedBefore(s *Share) int {
	if b.reserved == 0 || s.reserved == 0 {
		return b.reserved
	}
	n := 0
	for _, other := range b.queue[:slices.Index(b.queue, s)] {
		n += other.reserved
	}
	return n
}

// reserve sets the bytes for which a share waits.
func (b *Budget) reserve(s *Share, n int) {
	switch {
	case s.reserved == 0 && n > 0:
		b.queue = append(b.queue, s)
	case s.reserved > 0 && n == 0:
		i := slices.Index(b.queue, s)
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	b.reserved += n - s.reserved
	s.reserved = n
}

// Forgo ends the wait of a share that doesn't ask again.
func (b *Budget) Forgo(s *Share) { b.reserve(s, 0) }

// GrowCalm is Grow for bytes that are announced and haven't arrived yet. It reports false unless most of the budget is free.
func (b *Budget) GrowCalm(s *Share, n int) bool {
	if s.state >= turnedAway || (b.limits.Bytes > 0 && float64(b.used+b.reserved+n) > calmFraction*float64(b.limits.Bytes)) {
		return false
	}
	b.hold(s, n)
	return true
}

// Raise returns the size of the buffer of a connection that sends or receives n bytes, which counts until the share is closed: a window
// that has been offered can't be taken back. It reports false if the usual size is enough, or must be.
func (b *Budget) Raise(s *Share, n int) (size int, ok bool) {
	more := bufferOverhead * (raisedBuffer - b.limits.Buffer)
	if !b.limits.IsLong(n) || s.state >= turnedAway || b.raised+more > b.limits.RaisedBytes {
		return 0, false
	}
	s.raised += more
	b.raised += more
	return raisedBuffer, true
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
	if s.state != serving || (b.limits.Bytes > 0 && b.used+b.reserved+s.more(n) > b.bound(s.held+n)) {
		return false
	}
	b.hold(s, n)
	return true
}

// fits reports whether n bytes more for a share are within the limits, or it would be the only large one.
func (b *Budget) fits(s *Share, n int) bool { return b.fitsBehind(s, n, b.reservedBefore(s)) }

// fitsBehind is fits for a share that gets its bytes after others for which so many are reserved.
func (b *Budget) fitsBehind(s *Share, n, reserved int) bool {
	othersLarge := b.large
	if s.held > smallBytes {
		othersLarge -= s.held
	}
	more := s.more(n)
	return b.limits.Bytes <= 0 || more == 0 || b.used+reserved+more <= b.bound(s.held+n) || (s.held+n > smallBytes && othersLarge == 0)
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
	more := s.more(n)
	s.held += n
	if s.held > smallBytes {
		b.large += s.held
	}
	b.used += more
	if s.state >= turnedAway {
		b.bytesLeaving += more
	}
}

// Close ends a share.
func (b *Budget) Close(s *Share) {
	b.Shrink(s, s.held)
	b.reserve(s, 0)
	b.raised -= s.raised
	s.raised = 0
	if s.state >= turnedAway {
		b.leaving--
	}
	s.state = closed
	if _, ok := b.shares[s]; !ok {
		return
	}
	delete(b.shares, s)
	if b.sources[s.source]--; b.sources[s.source] == 0 {
		delete(b.sources, s.source)
	}
}

func (b *Budget) turnAway(s *Share) {
	if s.state == serving {
		s.state = cut // its response has begun, so that there can't be another one
	} else {
		s.state = turnedAway
	}
	s.leftAs = b.left
	b.left++
	b.leaving++
	b.bytesLeaving += counted(s.held)
	b.reserve(s, 0)
}

// dispensable returns the connection that is turned away for a new one of a source: an idle one, or else the one whose request has cost
// the others most, or else the one whose own time ends first, or else the one whose caller has read nothing for longest, all of those
// that yield to the source, or else any idle one. It is nil if all are served.
func (b *Budget) dispensable(now time.Time, source netip.Addr) *Share {
	isIdle := func(s *Share) bool { return s.state == waiting && now.Sub(s.waitsSince) >= idleAfter }
	idle := b.firstToEnd(func(s *Share) bool { return isIdle(s) && b.yields(s, source) })
	if idle != nil {
		return idle
	}
	heaviest := b.heaviest(now, nil, 0, func(s *Share) bool { return b.canEnd(s, now, source) && b.yields(s, source) })
	if heaviest != nil && counted(heaviest.held) > 0 {
		return heaviest
	}
	if first := b.firstToEnd(func(s *Share) bool { return s.state <= receiving && b.yields(s, source) }); first != nil {
		return first
	}
	if stalled := b.longestStalled(now, source); stalled != nil {
		return stalled
	}
	return b.firstToEnd(isIdle)
}

// longestStalled returns the connection of those that yield to a source whose caller has read nothing for longest; nil if all read.
func (b *Budget) longestStalled(now time.Time, source netip.Addr) *Share {
	var longest *Share
	for s := range b.shares {
		if b.isStalled(s, now, source) && b.yields(s, source) && (longest == nil || s.stalledSince.Before(longest.stalledSince)) {
			longest = s
		}
	}
	return longest
}

// firstToEnd returns the connection of some whose own time ends first; nil if there is none.
func (b *Budget) firstToEnd(of func(s *Share) bool) *Share {
	var first *Share
	for s := range b.shares {
		if of(s) && (first == nil || s.endsAt.Before(first.endsAt)) {
			first = s
		}
	}
	return first
}

// keptByOthers returns what counts of the shares other than asker that can't be turned away any more.
func (b *Budget) keptByOthers(now time.Time, asker *Share) int {
	n := 0
	for s := range b.shares {
		if s != asker && s.state == serving && !b.isStalled(s, now, asker.source) {
			n += counted(s.held) + s.reserved
		}
	}
	return n
}

// heaviest returns the share whose bytes times age are most, of some; nil if there is none. asker counts with the n bytes that it asks
// for.
func (b *Budget) heaviest(now time.Time, asker *Share, n int, of func(s *Share) bool) *Share {
	var heaviest *Share
	most := 0.0
	for s := range b.shares {
		size := s.held
		if s == asker {
			size += n
		}
		if weight := float64(size) * float64(now.Sub(s.since)+youngest); weight > most && of(s) {
			heaviest, most = s, weight
		}
	}
	return heaviest
}

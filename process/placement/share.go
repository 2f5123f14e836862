package placement

import "time"

// Every entry host hears only some times a second what all of them have sent. If each sent its requests to the
// groups that were emptiest then, all would choose the same ones, and if each sent all that these had room for,
// they would be overrun until the next word. So a group is drawn with a chance that grows with its room, and while
// a lane is full, each host sends no more than its share of the slots that come free.

// share is what one host may still send to a full lane; it fills with time.
type share struct {
	left float64
	at   time.Time
}

// The figures are those with which most callers were in time in the replay (savorywing bench placement), at 12 and at
// 120 hosts.
const (
	// fullPart is the part of a lane's slots from which shares bind. Below it, chance leaves room in most groups.
	fullPart = 0.8
	// targetPart is the part of its slots that a group is filled to: a group that is always full makes those wait
	// whom chance sends there together.
	targetPart = 0.95
	// pastShare is what must be left for a request that can't be in time any more: it takes what those that can
	// leave over.
	pastShare = 0.75 * shareBurst
	// shareBurst is how many requests a host may send at once after it has sent none for a while.
	shareBurst = 8.0
	// freePeriods is the number of periods over which the free slots of a full lane are given out.
	freePeriods = 3.0
	// usualPeriod is the time between two words of the leader until some were measured, and longestPeriod bounds it.
	usualPeriod   = 200 * time.Millisecond
	longestPeriod = time.Second
	// leastRoom keeps a full group in the draw, so that its state is still learnt.
	leastRoom = 0.2
)

// horizon is the time until the next word of the leader.
func (l *Balancer) horizon() time.Duration {
	if l.period == 0 {
		return usualPeriod
	}
	return l.period
}

// room returns how many requests a group can take until the next word of the leader.
func (l *Balancer) room(e *endpoint, hold time.Duration) float64 {
	busy := float64(min(e.load(), e.slots()))
	comesFree := busy * float64(l.horizon()) / float64(hold)
	return targetPart*float64(e.slots()) - float64(e.load()) + comesFree
}

// holdOf returns how long a request of this lane keeps its slot.
func (l *Balancer) holdOf(w Request) time.Duration {
	if hold := l.holds[w.lane()]; hold > 0 {
		return hold
	}
	return defaultHold
}

// draw returns a group, by chance, the more likely the more room it has.
func (l *Balancer) draw(list []*endpoint, w Request) *endpoint {
	hold := l.holdOf(w)
	total := 0.0
	for _, e := range list {
		total += max(leastRoom, l.room(e, hold))
	}
	x := l.random.Float64() * total
	for _, e := range list {
		if x -= max(leastRoom, l.room(e, hold)); x <= 0 {
			return e
		}
	}
	return list[len(list)-1]
}

// isDue tells whether this host may send one more request to a lane. Start counts what it sends.
func (l *Balancer) isDue(now time.Time, list []*endpoint, w Request) bool {
	hold := l.holdOf(w)
	load, slots, comesFree := 0, 0, 0.0
	for _, e := range list {
		load += e.load()
		slots += e.slots()
		comesFree += float64(min(e.load(), e.slots())) / hold.Seconds()
	}
	k := w.lane()
	if float64(load) < fullPart*float64(slots) {
		delete(l.shares, k)
		return true
	}
	// What is free is given out over several periods: the word is old, and what all hosts have sent since is not in it.
	free := targetPart*float64(slots) - float64(load)
	perSecond := max(0, comesFree+free/(freePeriods*l.horizon().Seconds())) / float64(l.EntryHosts())
	most := max(shareBurst, free/float64(l.EntryHosts()))
	s := l.shares[k]
	if s == nil {
		s = &share{left: most / 2, at: now}
		l.shares[k] = s
	}
	s.left = min(most, s.left+perSecond*now.Sub(s.at).Seconds())
	s.at = now
	if l.isPast(w) {
		return s.left >= pastShare
	}
	return s.left >= 1
}

// isPast tells whether a request that has come back can't meet its objective any more, wherever it goes.
func (l *Balancer) isPast(w Request) bool {
	return w.Elapsed > 0 && w.Elapsed+l.idleFirst(w) > w.Objective
}

package formation

import (
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
)

// advance takes a group's next step.
func (f *Reconciler) advance(now time.Time, in Input, g *group) []savorywing.FleetOrder {
	if !f.hasTrace(in, g) {
		delete(f.groups, g.name)
		return nil
	}
	head := member(in, g, 0)
	place := placeOf(head, g)
	if place != nil && place.State == fleet.StateOpen {
		g.opened = true
	}
	if !g.ending && f.mustEnd(now, in, g) {
		g.ending = true
	}
	if g.ending {
		return f.end(now, in, g)
	}
	if g.own && place != nil && place.State == fleet.StateReady && f.allReady(in, g) {
		g.opened, g.openSent = true, now
		return f.give(savorywing.ActionOpen, head, g)
	}
	return nil
}

// hasTrace tells whether any server is in the group, or may still be told to be.
func (f *Reconciler) hasTrace(in Input, g *group) bool {
	for rank := range g.members {
		if isMember(member(in, g, rank), g) {
			return true
		}
	}
	for _, p := range f.orders {
		if p.order.Group == g.name && p.order.Action == savorywing.ActionJoin {
			return true
		}
	}
	return false
}

func (f *Reconciler) size(in Input, g *group) int {
	if m := findModel(in.Catalogue, g.model); m != nil {
		return m.HostsPerGroup
	}
	return 0
}

// allReady tells whether every member of the whole group has reported ready under its name and epoch.
func (f *Reconciler) allReady(in Input, g *group) bool {
	if len(g.members) != f.size(in, g) {
		return false
	}
	for rank, id := range g.members {
		if id == "" || !g.ready[id] || !isMember(member(in, g, rank), g) {
			return false
		}
		if p := f.orders[id]; p != nil && p.order.Group != g.name {
			return false
		}
	}
	return true
}

// mustEnd tells whether a group has lost a member, or will.
func (f *Reconciler) mustEnd(now time.Time, in Input, g *group) bool {
	size := f.size(in, g)
	if size == 0 || len(g.members) > size {
		return true
	}
	head := member(in, g, 0)
	place := placeOf(head, g)
	if place != nil && place.State == fleet.StateBroken {
		return true
	}
	if !g.own && place != nil && place.State != fleet.StateOpen && !now.Before(f.settledAt) {
		// An earlier leader's orders to its members may still be carried out, so it must not be opened now.
		return true
	}
	for rank := range size {
		if f.memberEnds(now, in, g, rank) {
			return true
		}
	}
	return false
}

func (f *Reconciler) memberEnds(now time.Time, in Input, g *group, rank int) bool {
	s := member(in, g, rank)
	if s == nil {
		// A new leader may not have heard of every member yet.
		return now.Sub(g.formed) > f.cfg.MaxSilence/2
	}
	if s.Dead() || s.Report().Leaving || s.Report().Gone || f.isMissed(now, in, g, s) {
		return true
	}
	if isMember(s, g) {
		return false
	}
	// Its join may not have been reported yet.
	p := f.orders[s.Report().ID]
	return p == nil || p.order.Action != savorywing.ActionJoin || p.order.Group != g.name
}

// isMissed tells whether a member has been silent for too long. One whose group still moves may only be cut
// off from control; one whose group stands still is missed at its first missed report.
func (f *Reconciler) isMissed(now time.Time, in Input, g *group, s *fleet.Server) bool {
	silent := now.Sub(s.LastReportAt())
	if silent > f.cfg.MaxSilence {
		return true
	}
	if !g.opened && silent > f.cfg.SuspectTimeout {
		// Nothing is lost with a group that was never opened.
		return true
	}
	moves, inFlight := in.Progress[g.members[0]]
	if silent > f.cfg.SuspectTimeout && inFlight && !moves {
		g.broken = true
		return true
	}
	return silent > f.cfg.ReportTimeout && (!inFlight || !moves)
}

// end takes the next step towards a group whose members are free.
func (f *Reconciler) end(now time.Time, in Input, g *group) []savorywing.FleetOrder {
	if !g.opened {
		// It can't be serving, so its members are free at once.
		g.headOut = true
		return nil
	}
	head := member(in, g, 0)
	place := placeOf(head, g)
	if f.isHeadOut(now, in, g) {
		g.headOut = true
		return nil
	}
	if head != nil && place == nil && !head.Dead() && now.Before(f.settledAt) {
		return nil
	}
	if head != nil && place != nil && !f.isLost(now, head) && (!g.broken || !f.isDoubtful(now, head)) {
		return f.endHead(now, in, g, head, place.State)
	}
	return f.sever(now, in, g)
}

// isHeadOut tells whether a group's head is known not to serve it any more.
func (f *Reconciler) isHeadOut(now time.Time, in Input, g *group) bool {
	head := member(in, g, 0)
	if head == nil {
		return false
	}
	if head.Dead() {
		return true
	}
	if place := placeOf(head, g); place != nil {
		return place.State == fleet.StateBroken
	}
	// The newest report of a head that joined under an earlier leader may be older than its join.
	return !f.isLost(now, head) && (g.own || !now.Before(f.settledAt))
}

// endHead empties the group through its head: in order while all members are there, at once if one is lost.
func (f *Reconciler) endHead(now time.Time, in Input, g *group, head *fleet.Server, state string) []savorywing.FleetOrder {
	if !g.broken && f.isWhole(now, in, g) && (state == fleet.StateOpen || state == fleet.StateClosing) {
		if state == fleet.StateClosing {
			return nil
		}
		return f.give(savorywing.ActionClose, head, g)
	}
	return f.give(savorywing.ActionLeave, head, g)
}

func (f *Reconciler) isWhole(now time.Time, in Input, g *group) bool {
	for rank := range g.members {
		s := member(in, g, rank)
		if f.isLost(now, s) || !isMember(s, g) {
			return false
		}
	}
	return true
}

// openedBy returns when at the latest the head of a group has carried out an order to open it.
func (f *Reconciler) openedBy(in Input, g *group) time.Time {
	if p := placeOf(member(in, g, 0), g); p != nil && p.State != fleet.StateJoining && p.State != fleet.StateReady {
		return time.Time{} // it was seen to have done so
	}
	if g.own {
		return g.openSent.Add(f.cfg.MaxOrderDelay)
	}
	return f.since.Add(f.cfg.MaxOrderDelay)
}

// sever frees the members of a group whose head can't be reached: once a member has left, the head
// breaks after the stall time, whether it lives or not.
func (f *Reconciler) sever(now time.Time, in Input, g *group) []savorywing.FleetOrder {
	var candidate *fleet.Server
	for rank := 1; rank < len(g.members); rank++ {
		s := member(in, g, rank)
		if s == nil || f.isLost(now, s) {
			continue
		}
		if !isMember(s, g) {
			// It reported another state after it had been ready here, so it has left.
			if g.ready[s.Report().ID] && g.severed.IsZero() {
				g.severed = now
			}
			continue
		}
		if candidate == nil || s.LastReportAt().After(candidate.LastReportAt()) {
			candidate = s
		}
	}
	if !g.severed.IsZero() {
		if now.Sub(g.severed) > f.cfg.StallTimeout && now.After(f.openedBy(in, g).Add(f.cfg.StallTimeout)) {
			g.headOut = true
		}
		return nil
	}
	if candidate == nil {
		return nil
	}
	return f.give(savorywing.ActionLeave, candidate, g)
}

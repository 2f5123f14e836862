package formation

import (
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
)

// advance returns the orders for a group's next step.
func (rc *Reconciler) advance(now time.Time, in Input, g *group) []savorywing.FleetOrder {
	if !rc.isReferenced(g) {
		rc.removeGroup(g)
		return nil
	}
	head := rc.member(g, 0)
	membership := membershipOf(head, g)
	if membership != nil && membership.State == fleet.StateOpen {
		g.opened = true
	}
	if !g.ending && rc.mustEnd(now, in, g) {
		g.ending = true
	}
	if g.ending {
		return rc.endGroup(now, g)
	}
	if g.formedHere && membership != nil && membership.State == fleet.StateReady && rc.allReady(in, g) {
		g.opened, g.openSentAt = true, now
		return rc.orderOnce(savorywing.ActionOpen, head, g)
	}
	return nil
}

// isReferenced reports whether any server is in the group or has a pending order to join it.
func (rc *Reconciler) isReferenced(g *group) bool {
	for rank := range g.members {
		if isMember(rc.member(g, rank), g) {
			return true
		}
	}
	return rc.pendingJoins[g.name]
}

func (rc *Reconciler) groupSize(in Input, g *group) int {
	if m := findModel(in.Catalogue, g.model); m != nil {
		return m.HostsPerGroup
	}
	return 0
}

// allReady reports whether the group is complete and every member has reported ready under its name and epoch.
func (rc *Reconciler) allReady(in Input, g *group) bool {
	if len(g.members) != rc.groupSize(in, g) {
		return false
	}
	for rank, id := range g.members {
		if id == "" || !g.ready[id] || !isMember(rc.member(g, rank), g) {
			return false
		}
		if p := rc.orders[id]; p != nil && p.order.Group != g.name {
			return false
		}
	}
	return true
}

// mustEnd reports whether a group must be dissolved, for instance because it has lost a member or is about to.
func (rc *Reconciler) mustEnd(now time.Time, in Input, g *group) bool {
	size := rc.groupSize(in, g)
	if size == 0 || len(g.members) > size {
		return true
	}
	head := rc.member(g, 0)
	membership := membershipOf(head, g)
	if membership != nil && membership.State == fleet.StateBroken {
		return true
	}
	if !g.formedHere && membership != nil && membership.State != fleet.StateOpen && !now.Before(rc.settledAt) {
		// Orders that an earlier leader sent to its members may still be executed, so it must not be opened now.
		return true
	}
	if rc.endsByEvacuation(now, in, g) {
		return true
	}
	for rank := range size {
		if rc.isMemberUnavailable(now, in, g, rank) {
			return true
		}
	}
	return false
}

func (rc *Reconciler) isMemberUnavailable(now time.Time, in Input, g *group, rank int) bool {
	s := rc.member(g, rank)
	if s == nil {
		// A new leader may not have received a report from every member yet.
		return now.Sub(g.knownSince) > rc.cfg.MaxSilence/2
	}
	if s.Dead() || s.Report().Leaving || s.Report().Gone || rc.isMemberLost(now, in, g, s) {
		return true
	}
	if isMember(s, g) {
		return false
	}
	// Its join may not have been reported yet.
	p := rc.orders[s.Report().ID]
	return p == nil || p.order.Action != savorywing.ActionJoin || p.order.Group != g.name
}

// isMemberLost reports whether a member has been silent for too long. A silent member of a group that still makes
// progress may merely be partitioned from the control hosts. In a group with stalled requests, a member is lost at its
// first missed report.
func (rc *Reconciler) isMemberLost(now time.Time, in Input, g *group, s *fleet.Server) bool {
	silence := now.Sub(s.LastReportAt())
	if silence > rc.cfg.MaxSilence {
		return true
	}
	if !g.opened && silence > rc.cfg.SuspectTimeout {
		// A group that was never opened has no requests in flight, so ending it loses nothing.
		return true
	}
	progressing, inFlight := in.Progress[g.members[0]]
	if silence > rc.cfg.SuspectTimeout && inFlight && !progressing {
		g.broken = true
		return true
	}
	return silence > rc.cfg.ReportTimeout && (!inFlight || !progressing)
}

// endGroup returns the orders for the next step towards releasing a group's members.
func (rc *Reconciler) endGroup(now time.Time, g *group) []savorywing.FleetOrder {
	if !g.opened {
		// It can't be serving, so its members are free at once.
		g.headReleased = true
		return nil
	}
	head := rc.member(g, 0)
	membership := membershipOf(head, g)
	if rc.isHeadReleased(now, g) {
		g.headReleased = true
		return nil
	}
	if head != nil && membership == nil && !head.Dead() && now.Before(rc.settledAt) {
		return nil
	}
	if head != nil && membership != nil && !rc.isLost(now, head) && (!g.broken || !rc.isSuspect(now, head)) {
		return rc.releaseHead(now, g, head, membership.State)
	}
	return rc.detachMember(now, g)
}

// isHeadReleased reports whether a group's head is known to serve the group no longer.
func (rc *Reconciler) isHeadReleased(now time.Time, g *group) bool {
	head := rc.member(g, 0)
	if head == nil {
		return false
	}
	if head.Dead() {
		return true
	}
	if membership := membershipOf(head, g); membership != nil {
		return membership.State == fleet.StateBroken
	}
	// The newest report of a head that joined under an earlier leader may be older than its join.
	return !rc.isLost(now, head) && (g.formedHere || !now.Before(rc.settledAt))
}

// releaseHead ends the group through its head. It closes the group first while all members are present; if a member
// is lost, the head leaves at once.
func (rc *Reconciler) releaseHead(now time.Time, g *group, head *fleet.Server, state string) []savorywing.FleetOrder {
	if !g.broken && rc.isComplete(now, g) && (state == fleet.StateOpen || state == fleet.StateClosing) {
		if state == fleet.StateClosing {
			return nil
		}
		return rc.orderOnce(savorywing.ActionClose, head, g)
	}
	return rc.orderOnce(savorywing.ActionLeave, head, g)
}

func (rc *Reconciler) isComplete(now time.Time, g *group) bool {
	for rank := range g.members {
		s := rc.member(g, rank)
		if rc.isLost(now, s) || !isMember(s, g) {
			return false
		}
	}
	return true
}

// latestOpenTime returns the latest time at which the head of a group may execute an order to open it.
func (rc *Reconciler) latestOpenTime(g *group) time.Time {
	if p := membershipOf(rc.member(g, 0), g); p != nil && p.State != fleet.StateJoining && p.State != fleet.StateReady {
		return time.Time{} // a report shows that it has been opened
	}
	if g.formedHere {
		return g.openSentAt.Add(rc.cfg.MaxOrderDelay)
	}
	return rc.since.Add(rc.cfg.MaxOrderDelay)
}

// detachMember frees the members of a group whose head is unreachable. Once a member has left, the head breaks the
// group after the stall timeout, whether or not it is still running.
func (rc *Reconciler) detachMember(now time.Time, g *group) []savorywing.FleetOrder {
	var candidate *fleet.Server
	for rank := 1; rank < len(g.members); rank++ {
		s := rc.member(g, rank)
		if s == nil || rc.isLost(now, s) {
			continue
		}
		if !isMember(s, g) {
			// It reports another state after it had been ready here, so it has left.
			if g.ready[s.Report().ID] && g.detachedAt.IsZero() {
				g.detachedAt = now
			}
			continue
		}
		if candidate == nil || s.LastReportAt().After(candidate.LastReportAt()) {
			candidate = s
		}
	}
	if !g.detachedAt.IsZero() {
		if now.Sub(g.detachedAt) > rc.cfg.StallTimeout && now.After(rc.latestOpenTime(g).Add(rc.cfg.StallTimeout)) {
			g.headReleased = true
		}
		return nil
	}
	if candidate == nil {
		return nil
	}
	return rc.orderOnce(savorywing.ActionLeave, candidate, g)
}

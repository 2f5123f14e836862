package quorum

import (
	"savorywing.example/savorywing/process/membership"
)

// HostOf returns the host part of a member's id.
func HostOf(id string) string { return membership.HostOf(id) }

// aimState is what the leader aims at.
type aimState struct {
	aim membership.Aim
	// skipped is set once it has been logged that the aim doesn't hold.
	skipped bool
}

// reconcileMembers proposes the next single change of the membership towards the aim. What was aimed at in an earlier lead, or before
// this process was suspended, is skipped: a newer aim follows the next announcements.
func (n *Node) reconcileMembers() {
	now := n.clock.Now()
	if !n.core.HasLease(now) || n.aim.aim.Hosts() == nil {
		return
	}
	if !n.aim.aim.HoldsIn(n.core.Term(), now) {
		n.skipAim()
		return
	}
	change := n.aim.aim.Next(n.core.Members(), n.core.ID(), func(id string) bool { return n.core.CaughtUp(now, id) })
	if change.Kind() == membership.None {
		return
	}
	if err := n.core.Change(change); err == nil {
		n.memberChanges++
		n.log.Info().Str("event", "membershipChange").Str("change", change.Kind().String()).Str("member", change.ID()).Uint64("term", n.core.Term()).
			Dur("aimAge", n.aim.aim.Age(now)).Int("voters", len(voters(n.core.Members()))).Uint64("commit", n.core.CommitIndex()).
			Msg("a change of the replicated log's membership is proposed")
	}
}

func (n *Node) skipAim() {
	if n.aim.skipped {
		return
	}
	n.aim.skipped = true
	n.skippedAims++
	n.log.Info().Str("event", "aimSkipped").Uint64("term", n.core.Term()).Uint64("aimTerm", n.aim.aim.Term()).Dur("aimAge", n.aim.aim.Age(n.clock.Now())).
		Msg("the membership that was aimed at before this lead, or long ago, isn't aimed at any more")
}

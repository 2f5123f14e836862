package membership

import (
	"maps"
	"slices"

	"savorywing.example/savorywing/wire"
)

// ChangeKind is the kind of a single change of the membership.
type ChangeKind int

// Kinds of changes.
const (
	None ChangeKind = iota
	AddLearner
	Promote
	Remove
)

// String returns the kind's name in lower camel case.
func (k ChangeKind) String() string {
	return [...]string{"none", "addLearner", "promote", "remove"}[k]
}

// Change is a single change of the membership.
type Change struct {
	kind ChangeKind
	id   string
}

// Kind returns the kind of the change.
func (c Change) Kind() ChangeKind { return c.kind }

// ID returns the id of the member that the change concerns; empty without a change.
func (c Change) ID() string { return c.id }

// Next returns the next single change from a membership towards the aim, for the leader self. hasCaughtUp reports whether a learner could
// vote now.
//
// A voter keeps its vote until the learner that replaces it has caught up and votes: as long as its disk may come back, the log bears the loss
// of as many others as before. The disk of an earlier incarnation of a host never comes back, so that one is removed first, and no majority
// has to count it.
func (a Aim) Next(m wire.Membership, self string, hasCaughtUp func(id string) bool) Change {
	n, outgoing := a.countVoters(m, self)
	if c := a.nextVoter(m, self, n, outgoing != "", hasCaughtUp); c.kind != None {
		return c
	}
	if outgoing != "" && n > a.voters {
		return Change{Remove, outgoing}
	}
	return a.nextLearner(m)
}

// countVoters returns the number of voters, and the first one whose host is to have no vote; empty without one.
func (a Aim) countVoters(m wire.Membership, self string) (n int, outgoing string) {
	for _, member := range m.Members {
		if !member.Voter {
			continue
		}
		n++
		if _, wanted := a.hosts[HostOf(member.ID)]; !wanted && member.ID != self && outgoing == "" {
			outgoing = member.ID
		}
	}
	return n, outgoing
}

// nextVoter returns the change that brings the first learner which has caught up nearer to a vote, if one is free for it, or another host is
// to make way.
func (a Aim) nextVoter(m wire.Membership, self string, n int, makesWay bool, hasCaughtUp func(id string) bool) Change {
	for _, host := range a.names() {
		id := a.hosts[host]
		if learner, known := Find(m, id); !known || learner.Voter || !hasCaughtUp(id) {
			continue
		}
		if lost := earlierVoter(m, id); lost != "" && lost != self {
			return Change{Remove, lost}
		}
		if n < a.voters || (n == a.voters && makesWay) {
			return Change{Promote, id}
		}
	}
	return Change{}
}

// nextLearner returns the next change of the learners.
func (a Aim) nextLearner(m wire.Membership) Change {
	for _, member := range m.Members {
		if id, wanted := a.hosts[HostOf(member.ID)]; !member.Voter && (!wanted || (id != "" && id != member.ID)) {
			return Change{Remove, member.ID}
		}
	}
	for _, host := range a.names() {
		id := a.hosts[host]
		if _, known := Find(m, id); id != "" && !known {
			return Change{AddLearner, id}
		}
	}
	return Change{}
}

// names returns the hosts that may vote in ascending order, so that a membership and an aim always give the same change.
func (a Aim) names() []string { return slices.Sorted(maps.Keys(a.hosts)) }

// earlierVoter returns the voter of the same host as a member, or an empty string.
func earlierVoter(m wire.Membership, id string) string {
	for _, other := range m.Members {
		if other.Voter && other.ID != id && HostOf(other.ID) == HostOf(id) {
			return other.ID
		}
	}
	return ""
}

// Find returns the member with an id, and whether there is one.
func Find(m wire.Membership, id string) (wire.Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return wire.Member{}, false
}

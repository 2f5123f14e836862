package membership

import (
	"sort"
	"strings"
	"time"

	"savorywing.example/savorywing/wire"
)

// MaxAge is how long an aim holds: as long as three announcements of the control hosts take. A leader renews it with each one.
const MaxAge = 1500 * time.Millisecond

// Aim is the membership that the leader of one term works towards. A host that leads again, or has been suspended, knows nothing of what
// has changed since it decided, so an aim holds neither in another term nor for long.
type Aim struct {
	// term is the term of the leader that decided, at decidedAt by the clock of its node.
	term      uint64
	decidedAt time.Time
	// hosts maps each host that is to be a member to the id of its disk, empty while unknown. Hosts that are not in it are removed.
	hosts map[string]string
}

// NewAim returns an aim, which owns hosts from then on.
func NewAim(term uint64, decidedAt time.Time, hosts map[string]string) Aim {
	return Aim{term: term, decidedAt: decidedAt, hosts: hosts}
}

// Term returns the term for which the aim was decided; 0 for the zero Aim.
func (a Aim) Term() uint64 { return a.term }

// Hosts returns the id of each host that is to be a member. It must not be modified.
func (a Aim) Hosts() map[string]string { return a.hosts }

// Age returns how long ago the aim was decided.
func (a Aim) Age(now time.Time) time.Duration { return now.Sub(a.decidedAt) }

// HoldsIn reports whether the leader of a term may work towards the aim.
func (a Aim) HoldsIn(term uint64, now time.Time) bool {
	return a.hosts != nil && a.term == term && a.Age(now) <= MaxAge
}

// HostOf returns the host part of a member's id.
func HostOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}

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

// Next returns the next single change from a membership towards the aim. hasCaughtUp reports whether a learner could vote now.
func (a Aim) Next(m wire.Membership, hasCaughtUp func(id string) bool) Change {
	for _, member := range m.Members {
		if _, wanted := a.hosts[HostOf(member.ID)]; !wanted {
			return Change{Remove, member.ID}
		}
	}
	hosts := make([]string, 0, len(a.hosts))
	for host := range a.hosts {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, host := range hosts {
		if c := nextOfHost(m, a.hosts[host], hasCaughtUp); c.kind != None {
			return c
		}
	}
	return Change{}
}

// nextOfHost returns the next change for one host. An earlier incarnation, whose disk is lost, is removed before the new one is promoted.
func nextOfHost(m wire.Membership, id string, hasCaughtUp func(id string) bool) Change {
	if id == "" {
		return Change{}
	}
	member, known := find(m, id)
	switch {
	case !known:
		return Change{AddLearner, id}
	case member.Voter || !hasCaughtUp(id):
		return Change{}
	}
	for _, other := range m.Members {
		if other.ID != id && HostOf(other.ID) == HostOf(id) {
			return Change{Remove, other.ID}
		}
	}
	return Change{Promote, id}
}

// find returns the member with an id, and whether there is one.
func find(m wire.Membership, id string) (wire.Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return wire.Member{}, false
}

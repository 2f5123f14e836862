package quorum

import (
	"sort"
	"strings"

	"savorywing.example/savorywing/wire"
)

// HostOf returns the host part of a member's id.
func HostOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}

// membershipChange is the kind of a single change of the membership.
type membershipChange int

const (
	changeNone membershipChange = iota
	changeAddLearner
	changePromote
	changeRemove
)

// nextMembershipChange returns the next single change towards a membership of the control hosts' current
// incarnations, and the id of the member that it concerns. incarnations maps a control host to its member id,
// which is empty while unknown. A host that is not in the map is removed.
func nextMembershipChange(m wire.Membership, incarnations map[string]string, caughtUp func(id string) bool) (membershipChange, string) {
	for _, member := range m.Members {
		if _, wanted := incarnations[HostOf(member.ID)]; !wanted {
			return changeRemove, member.ID
		}
	}
	hosts := make([]string, 0, len(incarnations))
	for host := range incarnations {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, host := range hosts {
		if change, id := hostMembershipChange(m, incarnations[host], caughtUp); change != changeNone {
			return change, id
		}
	}
	return changeNone, ""
}

// hostMembershipChange returns the next change for one control host. A replaced incarnation is removed before the
// new one is promoted.
func hostMembershipChange(m wire.Membership, id string, caughtUp func(id string) bool) (membershipChange, string) {
	if id == "" {
		return changeNone, ""
	}
	member, known := findMember(m, id)
	switch {
	case !known:
		return changeAddLearner, id
	case member.Voter || !caughtUp(id):
		return changeNone, ""
	}
	for _, other := range m.Members {
		if other.ID != id && HostOf(other.ID) == HostOf(id) {
			return changeRemove, other.ID
		}
	}
	return changePromote, id
}

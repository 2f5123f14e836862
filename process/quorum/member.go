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

type memberStep int

const (
	stepNone memberStep = iota
	stepAdd
	stepPromote
	stepRemove
)

// nextMemberStep returns the next single change that leads from the members to what the control
// hosts have on their disks. present maps a control host to its id, or to nothing while it is unknown.
func nextMemberStep(m wire.Membership, present map[string]string, caughtUp func(id string) bool) (memberStep, string) {
	for _, member := range m.Members {
		if _, wanted := present[HostOf(member.ID)]; !wanted {
			return stepRemove, member.ID
		}
	}
	hosts := make([]string, 0, len(present))
	for host := range present {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, host := range hosts {
		if step, id := hostStep(m, present[host], caughtUp); step != stepNone {
			return step, id
		}
	}
	return stepNone, ""
}

func hostStep(m wire.Membership, id string, caughtUp func(id string) bool) (memberStep, string) {
	if id == "" {
		return stepNone, ""
	}
	member, known := findMember(m, id)
	switch {
	case !known:
		return stepAdd, id
	case member.Voter || !caughtUp(id):
		return stepNone, ""
	}
	for _, other := range m.Members {
		if other.ID != id && HostOf(other.ID) == HostOf(id) {
			return stepRemove, other.ID
		}
	}
	return stepPromote, id
}

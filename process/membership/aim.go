package membership

import (
	"strings"
	"time"
)

// MaxAge is how long an aim holds. A leader renews it with each announcement of the control hosts.
const MaxAge = 1500 * time.Millisecond

// Aim is the membership that the leader of one term works towards. A host that leads again, or has been suspended, knows nothing of what
// has changed since it decided, so an aim holds neither in another term nor for long.
type Aim struct {
	// term is the term of the leader that decided, at decidedAt by the clock of its node.
	term      uint64
	decidedAt time.Time
	// voters is the number of voters. Between two changes there may be one more, and one fewer for each voter whose disk is lost.
	voters int
	// hosts maps each host that may vote to the id of its disk, empty while unknown. There may be more of them than voters. All others
	// lose their votes to them, and are removed.
	hosts map[string]string
}

// NewAim returns an aim with a number of voters out of hosts, which it owns from then on.
func NewAim(term uint64, decidedAt time.Time, voters int, hosts map[string]string) Aim {
	return Aim{term: term, decidedAt: decidedAt, voters: voters, hosts: hosts}
}

// Term returns the term for which the aim was decided; 0 for the zero Aim.
func (a Aim) Term() uint64 { return a.term }

// Voters returns the number of voters.
func (a Aim) Voters() int { return a.voters }

// Hosts returns the id of each host that may vote. It must not be modified.
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

package planner

import (
	"sort"
	"time"
)

// Policy is a planning strategy.
type Policy int

// Policies.
const (
	// FixedSpares keeps a spare host idle in every fabric domain.
	FixedSpares Policy = iota
	// BestFit uses every host that a configured replica needs, and leaves the rest idle.
	BestFit
	// Weighted also loads extra replicas on idle hosts where, by the weights of downtime and of stranded accelerators,
	// the expected benefit exceeds the expected cost.
	Weighted
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"fixedSpares", "bestFit", "weighted"}[p]
}

// Model is a configured model; HostsPerReplica is the size of its groups, Replicas the desired number of them, and
// Accelerators the number that each host needs.
type Model struct {
	Name            string
	Version         string
	HostsPerReplica int
	Replicas        int
	Accelerators    int
}

// Host is the state of a backend server as last reported.
type Host struct {
	Name         string
	Domain       string
	Accelerators int
	Alive        bool
	// Since is when Alive last changed.
	Since time.Time
	// Flaps is the number of times that the host came back recently.
	Flaps int
	// Group is the ID of the group that the host is assigned to, or empty.
	Group    string
	Fence    uint64
	Draining bool
	Leaving  bool
}

// Health is the state of a group derived from its members' reports.
type Health int

// Healths.
const (
	// Complete means that every member reports.
	Complete Health = iota
	// Silent means that a member's announcements are missing, but it may return without a restart.
	Silent
	// Dead means that a member has restarted or no longer holds the group.
	Dead
)

// Group is a group in the table.
type Group struct {
	ID      string
	Model   string
	Version string
	Domain  string
	// Loading and Releasing report the phase; a group that is neither serves.
	Loading   bool
	Releasing bool
	Health    Health
	// Since is when Health last changed.
	Since   time.Time
	Members []string
}

// Limits holds the limits and weights of planning.
type Limits struct {
	DowntimeWeight            float64
	StrandedAcceleratorWeight float64
	MaxConcurrentLoads        int
	HoldDown                  time.Duration
	MaxHoldDown               time.Duration
	DomainReturnTimeout       time.Duration
	// ReleaseTime is how long a released host remains unusable.
	ReleaseTime time.Duration
	// LoadTime is how long a group takes to load.
	LoadTime time.Duration
	// FailuresPerHostDay is the expected number of failures of one host per day.
	FailuresPerHostDay float64
}

// Input is the input of the planner.
type Input struct {
	Now    time.Time
	Models []Model
	Hosts  []Host
	Groups []Group
	Limits Limits
}

// Decision is one step of a plan; exactly one of Assign and Release, a group ID, is set.
type Decision struct {
	Assign  *Assignment
	Release string
	Reason  string
}

// Assignment forms a group from hosts of one fabric domain.
type Assignment struct {
	Model   string
	Version string
	Domain  string
	Hosts   []string
}

// silenceGrace is how long a member may be silent before its group is released.
const silenceGrace = 5 * time.Second

// holdDown returns how long a host that came back is not used; it doubles with each flap, up to MaxHoldDown.
func holdDown(l Limits, flaps int) time.Duration {
	if flaps == 0 {
		return 0
	}
	d := l.HoldDown
	for i := 1; i < flaps && d < l.MaxHoldDown; i++ {
		d *= 2
	}
	return min(d, l.MaxHoldDown)
}

// usable reports whether a host may join a group.
func (in *Input) usable(h *Host) bool {
	return h.Alive && h.Group == "" && !h.Draining && !h.Leaving && in.Now.Sub(h.Since) >= holdDown(in.Limits, h.Flaps)
}

// domain is the state of one fabric domain.
type domain struct {
	name string
	// free lists the usable hosts, those with the fewest flaps first.
	free []*Host
	// alive and total are the numbers of its alive hosts and of all its hosts.
	alive, total int
	// unreachableSince is when its last host became silent, if none is alive.
	unreachableSince time.Time
	groups           []*Group
}

func (d *domain) freeFor(m Model) []*Host {
	var fit []*Host
	for _, h := range d.free {
		if h.Accelerators >= m.Accelerators {
			fit = append(fit, h)
		}
	}
	return fit
}

// take removes hosts from the free list.
func (d *domain) take(names []string) {
	taken := map[string]bool{}
	for _, n := range names {
		taken[n] = true
	}
	var rest []*Host
	for _, h := range d.free {
		if !taken[h.Name] {
			rest = append(rest, h)
		}
	}
	d.free = rest
}

// domains returns the fabric domains as a list sorted by name and as a map by name, and a map of the hosts by name.
func (in *Input) domains() ([]*domain, map[string]*domain, map[string]*Host) {
	byName, hosts := map[string]*domain{}, map[string]*Host{}
	var list []*domain
	find := func(name string) *domain {
		if d := byName[name]; d != nil {
			return d
		}
		d := &domain{name: name}
		byName[name] = d
		list = append(list, d)
		return d
	}
	for i := range in.Hosts {
		h := &in.Hosts[i]
		hosts[h.Name] = h
		d := find(h.Domain)
		d.count(h)
		if in.usable(h) {
			d.free = append(d.free, h)
		}
	}
	for i := range in.Groups {
		d := find(in.Groups[i].Domain)
		d.groups = append(d.groups, &in.Groups[i])
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	for _, d := range list {
		sort.SliceStable(d.free, func(i, j int) bool { return isPreferred(d.free[i], d.free[j]) })
	}
	return list, byName, hosts
}

func (d *domain) count(h *Host) {
	d.total++
	if h.Alive {
		d.alive++
		return
	}
	if h.Since.After(d.unreachableSince) {
		d.unreachableSince = h.Since
	}
}

// isPreferred orders free hosts: those with fewer flaps first, then those with fewer accelerators.
func isPreferred(a, b *Host) bool {
	if a.Flaps != b.Flaps {
		return a.Flaps < b.Flaps
	}
	if a.Accelerators != b.Accelerators {
		return a.Accelerators < b.Accelerators
	}
	return a.Name < b.Name
}

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
	// BestFit uses every host that a wanted replica needs, and leaves the rest idle.
	BestFit
	// Weighted also loads further replicas on idle hosts, where the weights of downtime and of
	// stranded accelerators make it worth the risk.
	Weighted
)

// String returns the policy's name.
func (w Policy) String() string {
	return [...]string{"fixedSpares", "bestFit", "weighted"}[w]
}

// Model is a model that is wanted served.
type Model struct {
	Name            string
	Version         string
	HostsPerReplica int
	Replicas        int
	Accelerators    int
}

// Host is a backend server as last seen.
type Host struct {
	Name         string
	Domain       string
	Accelerators int
	Alive        bool
	// Since is when Alive became what it is.
	Since time.Time
	// Flaps counts how often the host came back recently.
	Flaps int
	// Group is the group that owns the host, or nothing.
	Group    string
	Fence    uint64
	Draining bool
	Leaving  bool
}

// Health is what a group's members say together.
type Health int

// Healths.
const (
	// Complete groups have every member.
	Complete Health = iota
	// Silent groups miss the announcements of a member, who may return as it was.
	Silent
	// Dead groups have a member that can't be the same any more.
	Dead
)

// Group is a group in the table.
type Group struct {
	ID      string
	Model   string
	Version string
	Domain  string
	// Loading and Releasing tell the phase; a group that is neither serves.
	Loading   bool
	Releasing bool
	Health    Health
	// Since is when Health became what it is.
	Since   time.Time
	Members []string
}

// Limits bounds what a plan may do.
type Limits struct {
	DowntimeWeight            float64
	StrandedAcceleratorWeight float64
	MaxConcurrentLoads        int
	HoldDown                  time.Duration
	HoldDownMax               time.Duration
	DomainReturnWait          time.Duration
	// ReleaseTime is how long a released host stays unusable.
	ReleaseTime time.Duration
	// LoadTime is how long a group takes to load.
	LoadTime time.Duration
	// FailuresPerHostDay is the expected number of losses of one host in a day.
	FailuresPerHostDay float64
}

// Input is everything that a plan is made from.
type Input struct {
	Now    time.Time
	Models []Model
	Hosts  []Host
	Groups []Group
	Limits Limits
}

// Decision is one step of a plan; exactly one of its parts is set.
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

// breakGrace is how long a member may be silent before its group is given up.
const breakGrace = 5 * time.Second

// holdDown is how long a host that came back stays unused; it doubles with each flap.
func holdDown(l Limits, flaps int) time.Duration {
	if flaps == 0 {
		return 0
	}
	d := l.HoldDown
	for i := 1; i < flaps && d < l.HoldDownMax; i++ {
		d *= 2
	}
	return min(d, l.HoldDownMax)
}

// usable tells whether a host without a group may join one.
func (in *Input) usable(h *Host) bool {
	return h.Alive && h.Group == "" && !h.Draining && !h.Leaving && in.Now.Sub(h.Since) >= holdDown(in.Limits, h.Flaps)
}

// domain is one fabric domain's part of the input.
type domain struct {
	name string
	// free lists usable hosts, the steadiest first.
	free []*Host
	// alive and total count its hosts.
	alive, total int
	// darkSince is when its last host fell silent, if none is alive.
	darkSince time.Time
	groups    []*Group
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

// take removes hosts from the free ones.
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
		sort.SliceStable(d.free, func(i, j int) bool { return steadier(d.free[i], d.free[j]) })
	}
	return list, byName, hosts
}

func (d *domain) count(h *Host) {
	d.total++
	if h.Alive {
		d.alive++
		return
	}
	if h.Since.After(d.darkSince) {
		d.darkSince = h.Since
	}
}

func steadier(a, b *Host) bool {
	if a.Flaps != b.Flaps {
		return a.Flaps < b.Flaps
	}
	if a.Accelerators != b.Accelerators {
		return a.Accelerators < b.Accelerators
	}
	return a.Name < b.Name
}

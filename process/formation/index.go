package formation

import (
	"sort"
	"time"

	"savorywing.example/savorywing/process/fleet"
)

// A step looks at each server and each group, and planning asks for the servers and the groups of a domain again and
// again. The index answers these questions without a search. It is rebuilt only when servers come or go, or when the
// members of a group change, so the cost of any other step doesn't depend on it.

// index finds servers and groups by domain, and the groups that list a server.
type index struct {
	// generation is the table's generation that the index was built from.
	generation uint64
	byID       map[string]*serverEntry
	// domains holds the engines and the groups of each fabric domain.
	domains map[string]*domainEntry
	// groups lists all groups, the oldest first.
	groups []*group
}

// serverEntry is one server with the groups that list it as a member.
type serverEntry struct {
	*fleet.Server
	groups []*group
}

// domainEntry holds the engines of a fabric domain, sorted by id, and the groups whose head is in it, oldest first.
type domainEntry struct {
	name    string
	engines []*serverEntry
	groups  []*group
	// reporting is the number of engines that report and aren't leaving, as of the last observation.
	reporting int
}

// ensureIndex rebuilds the index if servers have come or gone, or if the members of a group have changed.
func (rc *Reconciler) ensureIndex(table *fleet.Table) {
	if rc.index != nil && !rc.indexStale && rc.index.generation == table.Generation() {
		return
	}
	rc.indexStale = false
	servers := table.Servers()
	x := &index{
		generation: table.Generation(), byID: make(map[string]*serverEntry, len(servers)),
		domains: map[string]*domainEntry{}, groups: make([]*group, 0, len(rc.groups)),
	}
	for _, s := range servers {
		e := &serverEntry{Server: s}
		x.byID[s.Report().ID] = e
		if r := s.Report(); r.Engine {
			d := x.domain(r.Domain)
			d.engines = append(d.engines, e)
		}
	}
	for _, g := range rc.groups {
		x.groups = append(x.groups, g)
	}
	sort.Slice(x.groups, func(i, j int) bool { return x.groups[i].epoch < x.groups[j].epoch })
	for _, g := range x.groups {
		g.resolved = false
		x.link(g)
	}
	rc.index = x
}

func (x *index) domain(name string) *domainEntry {
	d := x.domains[name]
	if d == nil {
		d = &domainEntry{name: name}
		x.domains[name] = d
	}
	return d
}

// add adds a group that is newer than all others.
func (x *index) add(g *group) {
	x.groups = append(x.groups, g)
	x.link(g)
}

// link lists a group at its members, and in the domain of its head.
func (x *index) link(g *group) {
	for rank, id := range g.members {
		e := x.byID[id]
		if e == nil {
			continue
		}
		e.groups = append(e.groups, g)
		if rank == 0 {
			d := x.domain(e.Report().Domain)
			d.groups = append(d.groups, g)
		}
	}
}

// resolve sets the servers of a group's members, nil for unknown ones.
func (x *index) resolve(g *group) {
	g.resolved = true
	g.servers = g.servers[:0]
	for _, id := range g.members {
		var s *fleet.Server
		if e := x.byID[id]; e != nil {
			s = e.Server
		}
		g.servers = append(g.servers, s)
	}
}

// countReporting counts the reporting engines of each domain.
func (rc *Reconciler) countReporting(now time.Time, in Input) {
	for _, d := range rc.index.domains {
		d.reporting = 0
		for _, e := range d.engines {
			if in.isEngine(e.Server) && !e.Report().Leaving && !rc.isLost(now, e.Server) {
				d.reporting++
			}
		}
		rc.maxDomainHosts[d.name] = max(rc.maxDomainHosts[d.name], d.reporting)
	}
}

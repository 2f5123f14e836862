package planner

import "sort"

const (
	secondsPerDay = 24 * 60 * 60
	// sparesPerDomain is the number of hosts that FixedSpares keeps idle in each fabric domain.
	sparesPerDomain = 1
)

// plan is one run of the planner.
type plan struct {
	policy    Policy
	in        *Input
	domains   []*domain
	byName    map[string]*domain
	hosts     map[string]*Host
	models    map[string]Model
	loading   int
	decisions []Decision
	// released holds the IDs of the groups that this plan releases.
	released map[string]bool
}

// Plan returns the next steps. It is called again after every change and keeps no state between calls.
func Plan(policy Policy, in *Input) []Decision {
	p := &plan{policy: policy, in: in, models: map[string]Model{}, released: map[string]bool{}}
	p.domains, p.byName, p.hosts = in.domains()
	for _, m := range in.Models {
		p.models[m.Name] = m
	}
	for i := range in.Groups {
		if in.Groups[i].Loading {
			p.loading++
		}
	}
	for _, d := range p.domains {
		p.releaseBroken(d)
	}
	p.formMissing()
	p.releaseObsolete()
	p.releaseForMissing()
	if policy == Weighted {
		p.formExtra()
	}
	return p.decisions
}

func (p *plan) release(g *Group, reason string) {
	p.released[g.ID] = true
	p.decisions = append(p.decisions, Decision{Release: g.ID, Reason: reason})
}

// mayReturn reports whether all hosts of a domain are unreachable, for less than DomainReturnTimeout, so that they
// are likely to return without a restart.
func (p *plan) mayReturn(d *domain) bool {
	return d.alive == 0 && d.total > 0 && p.in.Now.Sub(d.unreachableSince) < p.in.Limits.DomainReturnTimeout
}

// releaseBroken releases groups that lost a member. A group with a silent member is only released if the domain's free
// hosts and the alive members of its broken groups suffice for a group of the model that needs the fewest hosts.
func (p *plan) releaseBroken(d *domain) {
	if p.mayReturn(d) {
		return
	}
	var broken []*Group
	usable := len(d.free)
	for _, g := range d.groups {
		if g.Releasing || !p.isBroken(g) {
			continue
		}
		broken = append(broken, g)
		usable += p.aliveMembers(g)
	}
	for _, g := range broken {
		switch {
		case g.Health == Dead:
			p.release(g, "a member restarted or no longer holds the group")
		case usable >= p.minHostsPerReplica():
			p.release(g, "a member has been silent for longer than the grace period")
		}
	}
}

func (p *plan) isBroken(g *Group) bool {
	switch g.Health {
	case Dead:
		return true
	case Silent:
		return p.in.Now.Sub(g.Since) >= silenceGrace
	}
	return false
}

func (p *plan) aliveMembers(g *Group) int {
	n := 0
	for _, name := range g.Members {
		if h := p.hosts[name]; h != nil && h.Alive {
			n++
		}
	}
	return n
}

func (p *plan) minHostsPerReplica() int {
	minimum := 0
	for _, m := range p.in.Models {
		if minimum == 0 || m.HostsPerReplica < minimum {
			minimum = m.HostsPerReplica
		}
	}
	return minimum
}

// countReplicas returns how many groups count towards a model's replicas: those of the configured version that are
// complete or may recover, and none of whose hosts is draining or leaving.
func (p *plan) countReplicas(m Model) int {
	n := 0
	for i := range p.in.Groups {
		if g := &p.in.Groups[i]; p.isCurrent(g, m) && !p.isLeaving(g) {
			n++
		}
	}
	return n
}

// isCurrent reports whether a group has the model's configured version, is not released, and is complete or may
// recover.
func (p *plan) isCurrent(g *Group, m Model) bool {
	if g.Model != m.Name || g.Version != m.Version || g.Releasing || p.released[g.ID] {
		return false
	}
	return !p.isBroken(g) || p.mayReturn(p.byName[g.Domain])
}

func (p *plan) isLeaving(g *Group) bool {
	for _, name := range g.Members {
		if h := p.hosts[name]; h != nil && (h.Draining || h.Leaving) {
			return true
		}
	}
	return false
}

// underprovisioned lists the models that lack replicas, the one with the largest missing fraction first.
func (p *plan) underprovisioned() []Model {
	var list []Model
	deficit := map[string]float64{}
	for _, m := range p.in.Models {
		if count := p.countReplicas(m); count < m.Replicas {
			deficit[m.Name] = float64(m.Replicas-count) / float64(m.Replicas)
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		if deficit[list[i].Name] != deficit[list[j].Name] {
			return deficit[list[i].Name] > deficit[list[j].Name]
		}
		return list[i].Name < list[j].Name
	})
	return list
}

func (p *plan) formMissing() {
	for _, m := range p.underprovisioned() {
		for n := p.countReplicas(m) + p.countPlanned(m); n < m.Replicas; n++ {
			if !p.form(m, p.policy == FixedSpares) {
				break
			}
		}
	}
}

func (p *plan) countPlanned(m Model) int {
	n := 0
	for _, d := range p.decisions {
		if d.Assign != nil && d.Assign.Model == m.Name {
			n++
		}
	}
	return n
}

// form plans one group of a model and reports whether there were enough free hosts and load slots.
func (p *plan) form(m Model, keepSpare bool) bool {
	if p.loading >= p.in.Limits.MaxConcurrentLoads {
		return false
	}
	d, free := p.bestDomain(m, keepSpare)
	if d == nil {
		return false
	}
	names := make([]string, m.HostsPerReplica)
	for i := range names {
		names[i] = free[i].Name
	}
	d.take(names)
	p.loading++
	a := &Assignment{Model: m.Name, Version: m.Version, Domain: d.name, Hosts: names}
	p.decisions = append(p.decisions, Decision{Assign: a, Reason: "a replica is missing"})
	return true
}

// bestDomain returns the domain where the new group leaves the fewest hosts that can't form another one, and the
// domain's free hosts for the model; nil if no domain has enough.
func (p *plan) bestDomain(m Model, keepSpare bool) (*domain, []*Host) {
	var best *domain
	var bestFree []*Host
	bestLeftover := 0
	for _, d := range p.domains {
		free := d.freeFor(m)
		required := m.HostsPerReplica
		if keepSpare {
			required += sparesPerDomain
		}
		if len(free) < required {
			continue
		}
		leftover := (len(free) - m.HostsPerReplica) % m.HostsPerReplica
		if best == nil || leftover < bestLeftover || (leftover == bestLeftover && len(free) > len(bestFree)) {
			best, bestFree, bestLeftover = d, free, leftover
		}
	}
	return best, bestFree
}

// releaseObsolete releases groups of models that are not configured. Groups of old versions or with leaving hosts are
// released once the model has enough other groups that serve.
func (p *plan) releaseObsolete() {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		m, known := p.models[g.Model]
		switch {
		case g.Releasing || p.released[g.ID]:
			continue
		case !known || m.Replicas == 0:
			p.release(g, "the model is unknown or has no replicas configured")
		case (g.Version != m.Version || p.isLeaving(g)) && p.countServing(m) >= m.Replicas:
			p.release(g, "its replacement is serving")
		}
	}
}

// countServing returns the number of a model's current groups that serve now, without those that have leaving hosts.
func (p *plan) countServing(m Model) int {
	n := 0
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if p.isCurrent(g, m) && !p.isLeaving(g) && !g.Loading && g.Health == Complete {
			n++
		}
	}
	return n
}

// releaseForMissing releases a less valuable group when a model lacks replicas and no domain has enough free hosts. It
// is a group of the same model that has an old version or a leaving host, or a surplus replica of another model. Only
// one is released at a time: its hosts must be free again before the next.
func (p *plan) releaseForMissing() {
	underprovisioned := p.underprovisioned()
	if len(underprovisioned) == 0 || p.loading >= p.in.Limits.MaxConcurrentLoads || p.isReleasing() {
		return
	}
	for _, m := range underprovisioned {
		if p.countReplicas(m)+p.countPlanned(m) >= m.Replicas {
			continue
		}
		if g := p.groupToRelease(m); g != nil {
			p.release(g, "its hosts are needed for "+m.Name)
			return
		}
	}
}

// isReleasing reports whether hosts of a released group are still to become free.
func (p *plan) isReleasing() bool {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if (g.Releasing && p.aliveMembers(g) > 0) || p.released[g.ID] {
			return true
		}
	}
	return false
}

// groupToRelease returns the first group that may be released in favour of a model, or nil.
func (p *plan) groupToRelease(m Model) *Group {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if g.Releasing || p.released[g.ID] || !p.wouldFit(g, m) {
			continue
		}
		if g.Model == m.Name && (g.Version != m.Version || p.isLeaving(g)) {
			return g
		}
		other, known := p.models[g.Model]
		if known && g.Model != m.Name && p.countReplicas(other) > other.Replicas {
			return g
		}
	}
	return nil
}

// wouldFit reports whether a group's domain has enough hosts for a group of the model once the group is released.
func (p *plan) wouldFit(g *Group, m Model) bool {
	d := p.byName[g.Domain]
	n := len(d.freeFor(m))
	for _, name := range g.Members {
		h := p.hosts[name]
		if h != nil && h.Alive && !h.Draining && !h.Leaving && h.Accelerators >= m.Accelerators {
			n++
		}
	}
	return n >= m.HostsPerReplica
}

// formExtra forms extra groups where the cost of stranded accelerators exceeds the expected cost of the wait that an
// extra group causes: after the loss of a host of its domain, a replacement group waits for the release of the extra
// group and then for its own load.
func (p *plan) formExtra() {
	if len(p.underprovisioned()) > 0 {
		return
	}
	models := append([]Model(nil), p.in.Models...)
	sort.SliceStable(models, func(i, j int) bool { return models[i].HostsPerReplica > models[j].HostsPerReplica })
	for _, m := range models {
		for m.Replicas > 0 && p.isWorthExtra(m) && p.form(m, false) {
			p.decisions[len(p.decisions)-1].Reason = "idle hosts are available for an extra replica"
		}
	}
}

// isWorthExtra reports whether the cost per second of a group's idle accelerators exceeds the expected cost per second
// of the time that a replacement group waits for the extra group's release and its own load after a host of the domain
// is lost.
func (p *plan) isWorthExtra(m Model) bool {
	d, free := p.bestDomain(m, false)
	if d == nil {
		return false
	}
	idle := 0.0
	for _, h := range free[:m.HostsPerReplica] {
		idle += float64(h.Accelerators)
	}
	losses := p.in.Limits.FailuresPerHostDay / secondsPerDay * float64(d.total)
	wait := (p.in.Limits.ReleaseTime + p.in.Limits.LoadTime).Seconds()
	return p.in.Limits.StrandedAcceleratorWeight*idle > p.in.Limits.DowntimeWeight*losses*wait
}

package planner

import "sort"

const (
	secondsPerDay = 24 * 60 * 60
	// sparesPerDomain is what FixedSpares keeps idle.
	sparesPerDomain = 1
)

// plan is one run of the planner.
type plan struct {
	way       Policy
	in        *Input
	domains   []*domain
	byName    map[string]*domain
	hosts     map[string]*Host
	models    map[string]Model
	loading   int
	decisions []Decision
	// released marks groups that this plan releases.
	released map[string]bool
}

// Plan returns the next steps. It is repeated with every change and keeps no state of its own.
func Plan(way Policy, in *Input) []Decision {
	p := &plan{way: way, in: in, models: map[string]Model{}, released: map[string]bool{}}
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
	p.formWanted()
	p.releaseUnwanted()
	p.releaseForWanted()
	if way == Weighted {
		p.formExtra()
	}
	return p.decisions
}

func (p *plan) release(g *Group, reason string) {
	p.released[g.ID] = true
	p.decisions = append(p.decisions, Decision{Release: g.ID, Reason: reason})
}

// dark tells whether a whole domain fell silent so recently that it is likely to return as it was.
func (p *plan) dark(d *domain) bool {
	return d.alive == 0 && d.total > 0 && p.in.Now.Sub(d.darkSince) < p.in.Limits.DomainReturnWait
}

// releaseBroken gives up groups that lost a member, once the domain's hosts suffice for a new group.
func (p *plan) releaseBroken(d *domain) {
	if p.dark(d) {
		return
	}
	var broken []*Group
	usable := len(d.free)
	for _, g := range d.groups {
		if g.Releasing || !p.broken(g) {
			continue
		}
		broken = append(broken, g)
		usable += p.aliveMembers(g)
	}
	for _, g := range broken {
		switch {
		case g.Health == Dead:
			p.release(g, "a member is not the same any more")
		case usable >= p.smallestSpan():
			p.release(g, "a member is lost")
		}
	}
}

func (p *plan) broken(g *Group) bool {
	switch g.Health {
	case Dead:
		return true
	case Silent:
		return p.in.Now.Sub(g.Since) >= breakGrace
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

func (p *plan) smallestSpan() int {
	smallest := 0
	for _, m := range p.in.Models {
		if smallest == 0 || m.HostsPerReplica < smallest {
			smallest = m.HostsPerReplica
		}
	}
	return smallest
}

// counts returns how many groups of a model count towards its replicas: those of the wanted version
// that are whole or may heal, and none of whose hosts is to leave.
func (p *plan) counts(m Model) int {
	n := 0
	for i := range p.in.Groups {
		if g := &p.in.Groups[i]; p.current(g, m) && !p.leaving(g) {
			n++
		}
	}
	return n
}

func (p *plan) current(g *Group, m Model) bool {
	if g.Model != m.Name || g.Version != m.Version || g.Releasing || p.released[g.ID] {
		return false
	}
	return !p.broken(g) || p.dark(p.byName[g.Domain])
}

func (p *plan) leaving(g *Group) bool {
	for _, name := range g.Members {
		if h := p.hosts[name]; h != nil && (h.Draining || h.Leaving) {
			return true
		}
	}
	return false
}

// wanted lists the models that lack replicas, the one that lacks the largest part first.
func (p *plan) wanted() []Model {
	var list []Model
	lack := map[string]float64{}
	for _, m := range p.in.Models {
		if have := p.counts(m); have < m.Replicas {
			lack[m.Name] = float64(m.Replicas-have) / float64(m.Replicas)
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		if lack[list[i].Name] != lack[list[j].Name] {
			return lack[list[i].Name] > lack[list[j].Name]
		}
		return list[i].Name < list[j].Name
	})
	return list
}

func (p *plan) formWanted() {
	for _, m := range p.wanted() {
		for n := p.counts(m) + p.planned(m); n < m.Replicas; n++ {
			if !p.form(m, p.way == FixedSpares) {
				break
			}
		}
	}
}

func (p *plan) planned(m Model) int {
	n := 0
	for _, d := range p.decisions {
		if d.Assign != nil && d.Assign.Model == m.Name {
			n++
		}
	}
	return n
}

// form plans one group of a model, and tells whether there was room.
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
	p.decisions = append(p.decisions, Decision{Assign: a, Reason: "a replica is wanted"})
	return true
}

// bestDomain returns the domain where the group leaves the fewest hosts that can't form another one.
func (p *plan) bestDomain(m Model, keepSpare bool) (*domain, []*Host) {
	var best *domain
	var bestFree []*Host
	bestRegret := 0
	for _, d := range p.domains {
		free := d.freeFor(m)
		need := m.HostsPerReplica
		if keepSpare {
			need += sparesPerDomain
		}
		if len(free) < need {
			continue
		}
		regret := (len(free) - m.HostsPerReplica) % m.HostsPerReplica
		if best == nil || regret < bestRegret || (regret == bestRegret && len(free) > len(bestFree)) {
			best, bestFree, bestRegret = d, free, regret
		}
	}
	return best, bestFree
}

// releaseUnwanted gives up groups of unknown models and old versions, and those with leaving hosts,
// as far as the groups that replace them serve.
func (p *plan) releaseUnwanted() {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		m, known := p.models[g.Model]
		switch {
		case g.Releasing || p.released[g.ID]:
			continue
		case !known || m.Replicas == 0:
			p.release(g, "the model is not wanted")
		case (g.Version != m.Version || p.leaving(g)) && p.serving(m) >= m.Replicas:
			p.release(g, "its replacement serves")
		}
	}
}

// serving counts the groups of a model that serve now and stay.
func (p *plan) serving(m Model) int {
	n := 0
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if p.current(g, m) && !p.leaving(g) && !g.Loading && g.Health == Complete {
			n++
		}
	}
	return n
}

// releaseForWanted breaks up a less valuable group when a model lacks replicas and no domain has
// room: an old version or a group with a leaving host of the same model, or a replica beyond another
// model's number. One at a time: what is released now must come back first.
func (p *plan) releaseForWanted() {
	wanted := p.wanted()
	if len(wanted) == 0 || p.loading >= p.in.Limits.MaxConcurrentLoads || p.releasing() {
		return
	}
	for _, m := range wanted {
		if p.counts(m)+p.planned(m) >= m.Replicas {
			continue
		}
		if g := p.leastValuable(m); g != nil {
			p.release(g, "its hosts are needed for "+m.Name)
			return
		}
	}
}

func (p *plan) releasing() bool {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if (g.Releasing && p.aliveMembers(g) > 0) || p.released[g.ID] {
			return true
		}
	}
	return false
}

func (p *plan) leastValuable(m Model) *Group {
	for i := range p.in.Groups {
		g := &p.in.Groups[i]
		if g.Releasing || p.released[g.ID] || !p.fits(g, m) {
			continue
		}
		if g.Model == m.Name && (g.Version != m.Version || p.leaving(g)) {
			return g
		}
		other, known := p.models[g.Model]
		if known && g.Model != m.Name && p.counts(other) > other.Replicas {
			return g
		}
	}
	return nil
}

// fits tells whether a group's domain could hold a group of the model once the group is gone.
func (p *plan) fits(g *Group, m Model) bool {
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

// formExtra loads further replicas where stranded accelerators weigh more than the wait that a loss
// in the same domain would then cost.
func (p *plan) formExtra() {
	if len(p.wanted()) > 0 {
		return
	}
	models := append([]Model(nil), p.in.Models...)
	sort.SliceStable(models, func(i, j int) bool { return models[i].HostsPerReplica > models[j].HostsPerReplica })
	for _, m := range models {
		for m.Replicas > 0 && p.worthExtra(m) && p.form(m, false) {
			p.decisions[len(p.decisions)-1].Reason = "idle hosts can serve"
		}
	}
}

// worthExtra compares, for one second, what an idle group's accelerators cost with the expected cost
// of having to break the extra group up at a loss in its domain.
func (p *plan) worthExtra(m Model) bool {
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

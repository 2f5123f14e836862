package formation

import (
	"fmt"
	"math"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// Loads from the weight store are the scarcest resource while hosts keep being lost: few run concurrently, and each
// takes many seconds. They go where a load restores the most capacity soonest.

// spareWeight and smallSpareWeight are the value of a standby host for a model with large and with small groups,
// relative to a host that a group waits for. While hosts keep being lost, a large group needs a standby host before
// the next load would be done, whereas survivors of small groups pair up.
const (
	spareWeight      = 0.8
	smallSpareWeight = 0.2
)

// replacementHysteresis is the factor by which the value gained must exceed that of the weights replaced on a host,
// so that small changes of demand don't move hosts back and forth.
const replacementHysteresis = 1.5

// loadCandidate is one possible load.
type loadCandidate struct {
	server *fleet.Server
	model  *catalogue.Model
	value  float64
}

// stageWeights begins the loads with the highest value.
func (p *planning) stageWeights(domains []*domain) {
	if p.stillDiscovering() {
		return
	}
	for p.loadBudget > 0 {
		var best loadCandidate
		for _, d := range domains {
			for i := range p.engine.Models {
				if first := p.firstModel(d); p.in.FirstStart && (first == nil || first.Name != p.engine.Models[i].Name) {
					continue
				}
				if l := p.bestLoad(d, &p.engine.Models[i]); l.server != nil && l.value > best.value {
					best = l
				}
			}
		}
		if best.server == nil {
			return
		}
		p.beginLoad(best.server, best.model)
		for _, d := range domains {
			if d.name == best.server.Report().Domain {
				d.remove(best.server)
			}
		}
	}
}

// beginLoad orders a server to load a model's weights, and counts the load.
func (p *planning) beginLoad(s *fleet.Server, m *catalogue.Model) {
	r := s.Report()
	p.orders = append(p.orders, savorywing.FleetOrder{Action: savorywing.ActionStage, Server: r.ID, Address: r.Address, Model: m.Name})
	p.reconciler.loads.add(p.now)
	p.loading[hostCount{r.Domain, m.Name}]++
	p.loadBudget--
}

// bestLoad returns the load that brings a domain closer to its next group of a model, or adds a standby host for it.
func (p *planning) bestLoad(d *domain, m *catalogue.Model) loadCandidate {
	value, idle := p.loadValue(d, m, p.hostsWithWeights(d, m), shortage(p.demandRatio(m))), p.emptyHostValue(d, m)
	if value <= 0 && idle <= 0 {
		return loadCandidate{}
	}
	var best loadCandidate
	for _, s := range d.free {
		if isStaged(s, m.Name) || p.mustKeepWeights(s) {
			continue
		}
		gain := value
		if len(s.Report().Staged) == 0 {
			gain = max(value, idle)
		}
		for i := range p.engine.Models {
			other := &p.engine.Models[i]
			if other.Name != m.Name && isStaged(s, other.Name) {
				if p.demandRatio(m) < max(swapDemandRatio, swapHysteresis*p.demandRatio(other)) {
					gain = 0
					break
				}
				// The weights that the host has now are lost with the load.
				gain -= replacementHysteresis * p.loadValue(d, other, p.hostsWithWeights(d, other)-1, shortage(p.demandRatio(other)))
			}
		}
		if gain > 0 && (best.server == nil || gain > best.value) {
			best = loadCandidate{server: s, model: m, value: gain}
		}
	}
	return best
}

// emptyHostValue returns the value of loading an empty host for a model that is not underprovisioned. The model
// of the domain's oldest group goes first, since hosts with the same weights can replace each other.
func (p *planning) emptyHostValue(d *domain, m *catalogue.Model) float64 {
	if first := p.firstModel(d); first != nil && first != m && p.loadValue(d, first, p.hostsWithWeights(d, first), emptyHostFill) > 0 {
		return 0
	}
	return p.loadValue(d, m, p.hostsWithWeights(d, m), emptyHostFill)
}

// loadValue returns the capacity, in slots for each second of loading, that one more host with a model's weights
// restores. withWeights is the number of hosts that have them already, and filled the fraction of a further group
// that callers would use. Where these hosts suffice for complete groups, those form without further loads.
func (p *planning) loadValue(d *domain, m *catalogue.Model, withWeights int, filled float64) float64 {
	if withWeights < 0 || m.HostsPerGroup == 0 {
		return 0
	}
	group := filled * effectiveSlots(p.engine, m) / max(1, m.ColdLoadTime.Seconds())
	formed, rest := withWeights/m.HostsPerGroup, withWeights%m.HostsPerGroup
	missing := max(0, (formed+1)*m.HostsPerGroup-p.candidateHosts(d, m))
	// A group that also needs hosts which have yet to return is worth less, the more of them it needs.
	value := group / float64(m.HostsPerGroup-rest) * math.Pow(absentHostWeight, float64(missing))
	if missing == 0 || d.reporting+missing <= p.reconciler.maxDomainHosts[d.name] {
		return value
	}
	if rest < p.wantedSpares(d, m)+formed {
		if m.HostsPerGroup > pairSize {
			return spareWeight * group
		}
		return smallSpareWeight * group
	}
	return 0
}

// Below lowDemandRatio more capacity serves hardly anyone; above highDemandRatio every slot is filled at once.
const (
	lowDemandRatio  = 0.5
	highDemandRatio = 1.3
	// emptyHostFill gives loads onto empty hosts a small value where no model is underprovisioned. It is never
	// counted when weights would be replaced.
	emptyHostFill = 0.01
)

// shortage returns the fraction of a further group that callers would use. It grows faster than the demand ratio:
// load is uneven, so callers begin to wait when the last tenth of a model's slots is in use.
func shortage(ratio float64) float64 {
	over := max(0, ratio-lowDemandRatio) / (highDemandRatio - lowDemandRatio)
	return min(1, over*over)
}

// absentHostWeight is the value of a host that the domain once had and that has yet to return, relative to one that
// is present.
const absentHostWeight = 0.6

// wantedSpares returns how many hosts of a domain should be on standby for a model: one for each group, or as many as
// a fragile one is expected to lose.
func (p *planning) wantedSpares(d *domain, m *catalogue.Model) int {
	groups := 0
	for _, g := range p.groupsIn(d) {
		if g.model == m.Name {
			groups++
		}
	}
	if m.HostsPerGroup <= pairSize {
		return min(1, groups)
	}
	if isFragile(m) {
		return groups * int(math.Ceil(expectedLoss*float64(m.HostsPerGroup)))
	}
	return groups
}

// mustKeepWeights reports whether a host keeps its weights because demand is unknown. A new leader would otherwise
// undo what its predecessor did.
func (p *planning) mustKeepWeights(s *fleet.Server) bool {
	return !p.in.FirstStart && !p.in.isDemandKnown() && len(s.Report().Staged) > 0
}

// hostsWithWeights counts the hosts of a domain that have a model's weights for its next group, or will soon.
func (p *planning) hostsWithWeights(d *domain, m *catalogue.Model) int {
	return p.stagedHosts(d, m) + p.loading[hostCount{d.name, m.Name}] + p.returning[hostCount{d.name, m.Name}]
}

// candidateHosts counts the hosts of a domain that could form a group of a model.
func (p *planning) candidateHosts(d *domain, m *catalogue.Model) int {
	return len(d.free) + p.loading[hostCount{d.name, m.Name}] + p.returning[hostCount{d.name, m.Name}]
}

// countReturning counts the members of ending groups that will be free soon.
func (p *planning) countReturning() {
	p.returning = map[hostCount]int{}
	for _, g := range p.reconciler.index.groups {
		if !g.ending || g.headReleased || g.removed {
			continue
		}
		for rank := range g.members {
			s := p.reconciler.member(g, rank)
			if isMember(s, g) && !s.Report().Leaving && !p.reconciler.evacuated.Covers(s.Report().DataCentre) && !p.reconciler.isSuspect(p.now, s) {
				p.returning[hostCount{s.Report().Domain, g.model}]++
			}
		}
	}
}

func (p *planning) stagedHosts(d *domain, m *catalogue.Model) int {
	n := 0
	for _, s := range d.free {
		if isStaged(s, m.Name) {
			n++
		}
	}
	return n
}

// countLoading counts the hosts that are loading weights.
func (p *planning) countLoading() {
	p.loading = map[hostCount]int{}
	for _, o := range p.reconciler.orders {
		if o.order.Action == savorywing.ActionStage {
			if s := p.in.Table.Server(o.order.Server); s != nil {
				p.loading[hostCount{s.Report().Domain, o.order.Model}]++
			}
		}
	}
}

// joinStandby makes free hosts that have a model's weights join a group of their own, once, so that a later join of
// a serving group is quick.
func (p *planning) joinStandby(d *domain) {
	for _, s := range d.free {
		r := s.Report()
		if len(r.Staged) == 0 || r.Group != nil || p.reconciler.hasCached(s, r.Staged[0]) {
			continue
		}
		model := r.Staged[0]
		_, epoch := p.reconciler.nextName(model)
		name := fmt.Sprintf("%s%d%s%s", standbyPrefix, epoch, nameSeparator, model)
		p.orders = append(p.orders, savorywing.FleetOrder{
			Action: savorywing.ActionJoin, Server: r.ID, Address: r.Address, Group: name, Epoch: epoch, Model: model, Members: []string{r.ID},
		})
	}
}

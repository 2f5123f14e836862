package formation

import (
	"math"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/demand"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// Weights can be loaded onto a host while its group serves another model. Where one model is underprovisioned and
// another is not, hosts in groups of the latter load the new weights while they serve. The groups are dissolved once
// enough of their hosts have the weights, so callers lose no capacity during the loads.

const (
	// swapHysteresis is the factor by which a model's demand ratio must exceed the ratio that the other model would
	// have after the swap, or has now when a free host's weights are replaced. It is well above 1.25: a domain that
	// is unreachable for some seconds raises its model's demand ratio by a quarter, but is back before a load is
	// done, so it isn't worth a swap.
	swapHysteresis = 1.5
	// swapDemandRatio is the demand ratio from which groups of another model are replaced. It is below 1 because
	// losses raise the ratio further while the weights are loaded.
	swapDemandRatio = 0.7
	// reservedLoadFraction is the fraction of concurrent loads reserved for hosts that replace lost ones.
	reservedLoadFraction = 0.5
	// prepareDemandRatio is the demand ratio from which one swap is prepared even if it has no gain yet. Loads are
	// cheap while no host is lost; loads that start during a shortage would finish after its end.
	prepareDemandRatio = 0.5
	// minExchangeUse is the fraction of the new groups' slots that a swap in favour of a model that is short must gain, so
	// that it is worth its loads.
	minExchangeUse = 0.25
	// A model's groups are fragile if less than fragileFraction of them remain after the loss of expectedLoss of all servers.
	expectedLoss    = 0.1
	fragileFraction = 0.2
	// preparedAtFirstStart is the number of data centres in which a swap in favour of a model with fragile groups is prepared.
	preparedAtFirstStart = 2
	// spareShare is the number of hosts for each of which one more is prepared, since a loss that calls for a swap takes some.
	spareShare = 4
	// reservationTime is how long a host stays reserved until the swap's other hosts are free: the longest response of
	// a closing group, and a join.
	reservationTime = 12 * time.Second
)

// swap is a set of groups of one domain that can be replaced by groups of another model.
type swap struct {
	model  *catalogue.Model
	groups []*group
	// hosts are the members of the groups, and free hosts that have the model's weights already.
	hosts []*fleet.Server
	// needed is how many of the hosts the new groups take; prepared ones have the weights or are loading them.
	needed, prepared int
	// gain is the additional demand served, in slots.
	gain float64
}

// rebalance prepares the swaps that are worth their loads, and executes those that are prepared.
func (p *planning) rebalance(service string) {
	if p.in.FirstStart {
		p.prepareAtFirstStart(service)
		return
	}
	if !p.in.isDemandKnown() {
		return
	}
	p.loadBudget -= int(math.Ceil(reservedLoadFraction * float64(p.engine.MaxConcurrentLoads)))
	used := map[string]bool{}
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		for p.demandRatio(m) >= swapDemandRatio {
			x := p.bestSwap(service, m, used)
			if x == nil {
				break
			}
			p.executeSwap(x, used)
		}
	}
	p.prepareAhead(service, used)
}

// prepareAhead loads the weights of the model with the highest demand ratio onto hosts of another model's groups,
// enough for one swap.
func (p *planning) prepareAhead(service string, used map[string]bool) {
	var m *catalogue.Model
	for i := range p.engine.Models {
		if next := &p.engine.Models[i]; m == nil || p.demandRatio(next) > p.demandRatio(m) {
			m = next
		}
	}
	if m == nil || p.demandRatio(m) < prepareDemandRatio {
		return
	}
	var best *swap
	for _, x := range p.swaps(service, m, used) {
		if best == nil || x.prepared > best.prepared {
			best = x
		}
	}
	if best != nil {
		p.startSwapLoads(best)
	}
}

// prepareAtFirstStart loads the weights of a model with fragile groups onto hosts of other models' groups before the first request, when
// loads are short: enough for one swap in each of two data centres.
func (p *planning) prepareAtFirstStart(service string) {
	if p.stillDiscovering() {
		return
	}
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		if !isFragile(m) {
			continue
		}
		list := p.swaps(service, m, nil)
		sort.SliceStable(list, func(i, j int) bool { return list[i].prepared > list[j].prepared })
		prepared := map[string]bool{}
		for _, x := range list {
			dataCentre := x.hosts[0].Report().DataCentre
			if len(prepared) == preparedAtFirstStart || prepared[dataCentre] {
				continue
			}
			prepared[dataCentre] = true
			x.needed += x.needed / spareShare
			p.startSwapLoads(x)
		}
	}
}

// isFragile reports whether a model's groups are so large that most of them break when servers are lost.
func isFragile(m *catalogue.Model) bool {
	return math.Pow(1-expectedLoss, float64(m.HostsPerGroup)) < fragileFraction
}

// bestSwap returns the swap in favour of a model that has the most prepared hosts and, among equals, the highest gain;
// nil if none has a positive gain. used holds the ids of servers that earlier swaps take.
func (p *planning) bestSwap(service string, m *catalogue.Model, used map[string]bool) *swap {
	var best *swap
	for _, x := range p.swaps(service, m, used) {
		if x.gain <= 0 {
			continue
		}
		if best == nil || x.prepared > best.prepared || (x.prepared == best.prepared && x.gain > best.gain) {
			best = x
		}
	}
	return best
}

// swaps returns the smallest swap in favour of a model in each domain that has one.
func (p *planning) swaps(service string, m *catalogue.Model, used map[string]bool) []*swap {
	byDomain, open := map[string][]*group{}, map[string]int{}
	for _, g := range p.reconciler.index.groups {
		head := p.reconciler.member(g, 0)
		if membership := membershipOf(head, g); !g.ending && !g.removed && !p.reconciler.isEvacuated(g) && !used[g.members[0]] && g.model != m.Name && membership != nil && membership.State == fleet.StateOpen {
			if r := head.Report(); r.Service == service {
				byDomain[r.Domain] = append(byDomain[r.Domain], g)
				open[g.model]++
			}
		}
	}
	var list []*swap
	for _, name := range sortedNames(byDomain) {
		if x := p.swapInDomain(name, byDomain[name], m, used); x != nil && leavesOpen(x, open) {
			list = append(list, x)
		}
	}
	return list
}

// leavesOpen reports whether every model still has an open group after a swap. open counts the open groups of each
// model. Without one, the model's callers are rejected until the next group is formed.
func leavesOpen(x *swap, open map[string]int) bool {
	taken := map[string]int{}
	for _, g := range x.groups {
		taken[g.model]++
	}
	for model, n := range taken {
		if n >= open[model] {
			return false
		}
	}
	return true
}

func sortedNames(byDomain map[string][]*group) []string {
	names := make([]string, 0, len(byDomain))
	for name := range byDomain {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// swapInDomain returns the smallest swap in one domain, or nil if it has too few hosts or needs no group of them.
func (p *planning) swapInDomain(domain string, groups []*group, m *catalogue.Model, used map[string]bool) *swap {
	x := &swap{model: m}
	for _, e := range p.reconciler.index.domain(domain).engines {
		if isStaged(e.Server, m.Name) && !used[e.Report().ID] && p.reconciler.isEntryFree(p.now, e) {
			x.hosts = append(x.hosts, e.Server)
			x.prepared++
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return p.preparedMembers(groups[i], m) > p.preparedMembers(groups[j], m) })
	for _, g := range groups {
		if len(x.hosts) >= m.HostsPerGroup && !p.takesFurther(x, g) {
			break
		}
		x.groups = append(x.groups, g)
		x.prepared += p.preparedMembers(g, m)
		for rank := range g.members {
			if s := p.reconciler.member(g, rank); s != nil {
				x.hosts = append(x.hosts, s)
			}
		}
	}
	formed := len(x.hosts) / max(1, m.HostsPerGroup)
	if formed == 0 || len(x.groups) == 0 {
		return nil
	}
	x.needed = formed * m.HostsPerGroup
	x.gain = p.swapGain(x, float64(formed)*groupCapacity(p.in, p.engine, m))
	return x
}

// takesFurther reports whether a swap that has enough hosts takes one more group, so that enough of its hosts are prepared. The
// others form a group of their model again at once.
func (p *planning) takesFurther(x *swap, g *group) bool {
	size := x.model.HostsPerGroup
	if p.in.FirstStart {
		return len(x.hosts) < size+size/spareShare
	}
	return x.prepared < size && len(x.hosts)+len(g.members) < size+size/2+1 && x.prepared+p.preparedMembers(g, x.model) >= size
}

// swapGain returns what a swap adds to an underprovisioned model, less what it takes from the demand served by the
// others.
func (p *planning) swapGain(x *swap, added float64) float64 {
	lost := map[string]float64{}
	for _, g := range x.groups {
		if other := findModel(p.in.Catalogue, g.model); other != nil {
			lost[g.model] += groupCapacity(p.in, p.engine, other)
		}
	}
	ratio := p.demandRatio(x.model)
	gain := shortage(ratio) * added
	for name, slots := range lost {
		other := findModel(p.in.Catalogue, name)
		ratioAfter := p.demand(other) / max(p.capacity[name]-slots, 1)
		if ratio < swapHysteresis*ratioAfter {
			return 0
		}
		gain -= replacementHysteresis * shortage(ratioAfter) * slots
	}
	if p.reconciler.shortages.IsShort(x.model.Name) {
		gain = max(gain, p.exchangeGain(x, added, lost))
	}
	return gain
}

// exchangeGain returns what a swap in favour of a model that is short adds to the demand served, less what it takes from the others,
// where the whole swap is weighed, and not its last slot.
func (p *planning) exchangeGain(x *swap, added float64, lost map[string]float64) float64 {
	gain := p.modelDemand(x.model).Gain(added)
	for name, slots := range lost {
		gain -= p.modelDemand(findModel(p.in.Catalogue, name)).Loss(slots)
	}
	if gain < minExchangeUse*added {
		return 0
	}
	return gain
}

// modelDemand returns the demand for a model, and its capacity.
func (p *planning) modelDemand(m *catalogue.Model) demand.Model {
	return demand.Model{Mean: p.meanDemand(m), Planned: p.demand(m), Capacity: p.capacity[m.Name]}
}

// observeShortages records the demand for each model of an engine that has several.
func (p *planning) observeShortages() {
	if p.in.FirstStart || !p.in.isDemandKnown() || len(p.engine.Models) < 2 {
		return
	}
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		p.reconciler.shortages.Observe(p.now, m.Name, p.modelDemand(m))
	}
}

// preparedMembers counts the members of a group that have a model's weights or are loading them.
func (p *planning) preparedMembers(g *group, m *catalogue.Model) int {
	n := 0
	for rank := range g.members {
		if s := p.reconciler.member(g, rank); s != nil && (isStaged(s, m.Name) || p.isLoading(s, m)) {
			n++
		}
	}
	return n
}

func (p *planning) isLoading(s *fleet.Server, m *catalogue.Model) bool {
	o := p.reconciler.orders[s.Report().ID]
	return o != nil && o.order.Action == savorywing.ActionStage && o.order.Model == m.Name
}

// executeSwap begins the loads that a swap lacks, or ends its groups once enough hosts have the weights. It updates
// the capacity as if the swap were done, for the decisions that follow.
func (p *planning) executeSwap(x *swap, used map[string]bool) {
	loaded := 0
	for _, s := range x.hosts {
		used[s.Report().ID] = true
		if isStaged(s, x.model.Name) {
			loaded++
		}
	}
	p.startSwapLoads(x)
	for _, g := range x.groups {
		if loaded >= x.needed {
			g.ending = true
			for rank, id := range g.members {
				if s := p.reconciler.member(g, rank); s != nil && isStaged(s, x.model.Name) {
					p.reconciler.reservations[id] = reservation{model: x.model.Name, until: p.now.Add(reservationTime)}
				}
			}
		}
		p.capacity[g.model] -= groupCapacity(p.in, p.engine, findModel(p.in.Catalogue, g.model))
	}
	p.capacity[x.model.Name] += float64(x.needed/x.model.HostsPerGroup) * groupCapacity(p.in, p.engine, x.model)
}

// startSwapLoads begins the loads that a swap lacks.
func (p *planning) startSwapLoads(x *swap) {
	missing := x.needed - x.prepared
	for _, s := range x.hosts {
		r := s.Report()
		if missing <= 0 || p.loadBudget <= 0 {
			return
		}
		if isStaged(s, x.model.Name) || p.reconciler.orders[r.ID] != nil || p.reconciler.isSuspect(p.now, s) {
			continue
		}
		p.beginLoad(s, x.model)
		missing--
	}
}

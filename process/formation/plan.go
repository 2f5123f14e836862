package formation

import (
	"math"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// domain holds the free servers of one fabric domain and service.
type domain struct {
	*domainEntry
	service string
	free    []*fleet.Server
}

// plan forms groups of free servers, stages weights on those that stay free, and swaps groups between models, once
// earlier leaders' orders have settled.
func (rc *Reconciler) plan(now time.Time, in Input) []savorywing.FleetOrder {
	if now.Before(rc.settledAt) {
		return nil
	}
	var out []savorywing.FleetOrder
	for i := range in.Catalogue.Services() {
		service := &in.Catalogue.Services()[i]
		if service.Engine != nil {
			out = append(out, rc.planService(now, in, service)...)
		}
	}
	return out
}

func (rc *Reconciler) planService(now time.Time, in Input, service *catalogue.Service) []savorywing.FleetOrder {
	p := &planning{
		reconciler: rc, now: now, in: in, engine: service.Engine, capacity: rc.capacity(in, service.Engine), limitsCold: service.ColdPerSecond > 0,
	}
	p.countLoading()
	p.countReturning()
	p.observeShortages()
	p.loadBudget = math.MaxInt
	if !in.FirstStart {
		p.loadBudget = rc.loads.remaining(now, rc.cfg.LoadWindow, int(service.Engine.LoadsPerSecond*rc.cfg.LoadWindow.Seconds()))
		p.loadBudget = min(p.loadBudget, service.Engine.MaxConcurrentLoads-rc.loadsInProgress())
	}
	domains := rc.domains(now, service.Name)
	p.domains = domains
	for _, d := range domains {
		p.formGroups(d)
	}
	p.stageWeights(domains)
	for _, d := range domains {
		p.joinStandby(d)
	}
	p.rebalance(service.Name)
	return p.orders
}

// loadsInProgress counts pending orders to load weights.
func (rc *Reconciler) loadsInProgress() int {
	n := 0
	for _, p := range rc.orders {
		if p.order.Action == savorywing.ActionStage {
			n++
		}
	}
	return n
}

// capacity returns the capacity of each model in groups that serve or are being formed. It counts hosts while demand
// is known only from the catalogue's initial shares, and slots divided by the model's time factor once callers'
// demand is known.
func (rc *Reconciler) capacity(in Input, e *catalogue.Engine) map[string]float64 {
	out := map[string]float64{}
	for _, g := range rc.groups {
		if m := findModel(in.Catalogue, g.model); m != nil && !g.ending && !rc.isEvacuated(g) {
			out[g.model] += groupCapacity(in, e, m)
		}
	}
	return out
}

// groupCapacity returns what one group adds to its model's capacity.
func groupCapacity(in Input, e *catalogue.Engine, m *catalogue.Model) float64 {
	if !in.isDemandKnown() {
		return float64(m.HostsPerGroup)
	}
	return effectiveSlots(e, m)
}

// isDemandKnown reports whether callers' demand is known.
func (in Input) isDemandKnown() bool {
	for _, v := range in.Demand {
		if v > 0 {
			return true
		}
	}
	return false
}

// demandDeviations is the number of standard deviations above mean demand that capacity is planned for.
const demandDeviations = 2

func effectiveSlots(e *catalogue.Engine, m *catalogue.Model) float64 {
	return float64(e.Slots) / max(m.TimeFactor, minTimeFactor)
}

// minTimeFactor keeps a model without a stated time factor from counting as infinitely fast.
const minTimeFactor = 0.05

// domains returns the free servers by domain, the domain with the most free servers first.
func (rc *Reconciler) domains(now time.Time, service string) []*domain {
	var list []*domain
	for _, entry := range rc.index.domains {
		var d *domain
		for _, e := range entry.engines {
			if e.Report().Service != service || !rc.isEntryFree(now, e) {
				continue
			}
			if d == nil {
				d = &domain{domainEntry: entry, service: service}
				list = append(list, d)
			}
			d.free = append(d.free, e.Server)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if len(list[i].free) != len(list[j].free) {
			return len(list[i].free) > len(list[j].free)
		}
		return list[i].name < list[j].name
	})
	return list
}

// isFree reports whether a server may join a group.
func (rc *Reconciler) isFree(now time.Time, s *fleet.Server) bool {
	e := rc.index.byID[s.Report().ID]
	return e != nil && rc.isEntryFree(now, e)
}

func (rc *Reconciler) isEntryFree(now time.Time, e *serverEntry) bool {
	for _, g := range e.groups {
		// A server listed in a group that isn't ending is not free either, even if it doesn't report the membership.
		if !g.headReleased && !g.removed && (!g.ending || isMember(e.Server, g)) {
			return false
		}
	}
	r := e.Report()
	return !rc.unplaced[r.ID] && !rc.evacuated.Covers(r.DataCentre) && !rc.isLost(now, e.Server) && !r.Leaving && rc.orders[r.ID] == nil && !now.Before(rc.quarantinedUntil[r.ID]) &&
		!rc.mayReceiveStaleOrder(now, e.Server)
}

// hostCount identifies the number of hosts of a domain that load, or will return with, a model's weights.
type hostCount struct{ domain, model string }

// planning is one planning pass over the free servers of a service.
type planning struct {
	reconciler *Reconciler
	now        time.Time
	in         Input
	engine     *catalogue.Engine
	capacity   map[string]float64
	// limitsCold reports whether cold servers of the service get few requests.
	limitsCold bool
	// loading and returning count the hosts that load a model's weights, and the members of ending groups that will be
	// free soon.
	loading, returning map[hostCount]int
	// domains lists the domains with free servers.
	domains []*domain
	// loadBudget is the number of loads that may begin now.
	loadBudget int
	orders     []savorywing.FleetOrder
}

// formGroups forms as many groups as one domain's free servers allow.
func (p *planning) formGroups(d *domain) {
	for {
		m, members := p.nextGroup(d)
		if members == nil {
			break
		}
		p.formGroup(d, m, members)
	}
}

// demandRatio returns a model's demand divided by its capacity.
func (p *planning) demandRatio(m *catalogue.Model) float64 {
	return p.demand(m) / max(p.capacity[m.Name], 1)
}

func (p *planning) demand(m *catalogue.Model) float64 {
	if !p.in.isDemandKnown() {
		return max(m.InitialShare, minDemandFraction)
	}
	mean := p.meanDemand(m)
	return mean + demandDeviations*math.Sqrt(mean)
}

// meanDemand returns callers' recent demand for a model, in slots.
func (p *planning) meanDemand(m *catalogue.Model) float64 {
	total := 0.0
	for _, v := range p.in.Demand {
		total += v
	}
	// A fraction of the total is added so that a model without recent requests keeps a group.
	return p.in.Demand[m.Name] + minDemandFraction*total
}

// minDemandFraction is the minimum demand that is planned for each model, as a fraction of the total.
const minDemandFraction = 0.02

// nextGroup returns the model and the members of the next group of a domain's free servers; members is nil if none can
// be formed. The model is the one with the highest demand ratio, or, at a first start, the one that initialGroup chooses.
func (p *planning) nextGroup(d *domain) (*catalogue.Model, []*fleet.Server) {
	if p.in.FirstStart {
		return p.initialGroup(d)
	}
	var best *catalogue.Model
	var members []*fleet.Server
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		if candidates := p.chooseMembers(d, m); candidates != nil && (best == nil || p.demandRatio(m) > p.demandRatio(best)) {
			best, members = m, candidates
		}
	}
	return best, members
}

// initialGroup assigns whole domains to models at a first start, since hosts with the same weights can replace each
// other. A domain's model is that of its oldest group or, if it has none, the least assigned one. Servers that it can't
// use go to other models once all servers are discovered.
func (p *planning) initialGroup(d *domain) (*catalogue.Model, []*fleet.Server) {
	model := p.firstModel(d)
	if model == nil {
		model = p.leastAssignedModel()
	} else if unassigned := p.unassignedModel(); unassigned != nil && !p.hasUnassignedDomain() {
		// There are fewer domains than models, as far as is known, so that this domain has to serve several.
		if p.stillDiscovering() {
			return nil, nil
		}
		model = unassigned
	}
	if model == nil {
		return nil, nil
	}
	if members := p.chooseMembers(d, model); members != nil || p.stillDiscovering() {
		return model, members
	}
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; m != model {
			if members := p.chooseMembers(d, m); members != nil {
				return m, members
			}
		}
	}
	return nil, nil
}

// leastAssignedModel returns the model with the fewest domains in proportion to its initial share.
func (p *planning) leastAssignedModel() *catalogue.Model {
	domains := map[string]map[string]bool{}
	for _, g := range p.reconciler.groups {
		if s := p.reconciler.member(g, 0); s != nil {
			if domains[g.model] == nil {
				domains[g.model] = map[string]bool{}
			}
			domains[g.model][s.Report().Domain] = true
		}
	}
	var best *catalogue.Model
	bestRatio := 0.0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		ratio := max(m.InitialShare, minDemandFraction) / float64(1+len(domains[m.Name]))
		if best == nil || ratio > bestRatio {
			best, bestRatio = m, ratio
		}
	}
	return best
}

// unassignedModel returns a model without a group, or nil.
func (p *planning) unassignedModel() *catalogue.Model {
	assigned := map[string]bool{}
	for _, g := range p.reconciler.groups {
		if !g.ending {
			assigned[g.model] = true
		}
	}
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; !assigned[m.Name] {
			return m
		}
	}
	return nil
}

// hasUnassignedDomain reports whether a domain has free servers and no group.
func (p *planning) hasUnassignedDomain() bool {
	for _, d := range p.domains {
		if len(d.free) > 0 && p.firstModel(d) == nil {
			return true
		}
	}
	return false
}

// stillDiscovering reports whether, at a first start, the newest server was first seen less than discoveryWait ago.
// Meanwhile a domain's free servers are kept for its model, since the first few would all go to small groups of other
// models.
func (p *planning) stillDiscovering() bool {
	return p.in.FirstStart && p.now.Sub(p.reconciler.newestFirstSeen) < discoveryWait
}

// discoveryWait is longer than a server's report interval: when no new server has been seen for that long, every running
// one has reported.
const discoveryWait = 1500 * time.Millisecond

// chooseMembers returns the members of a new group of a model, or nil if too few free servers are eligible. Suspect
// servers are not eligible, nor, except at a first start, those without the model's weights. At a first start, no load
// budget applies, and the domain's spares are withheld.
func (p *planning) chooseMembers(d *domain, m *catalogue.Model) []*fleet.Server {
	if p.in.FirstStart && len(d.free)-m.HostsPerGroup < p.spares(d, m) {
		return nil
	}
	var eligible []*fleet.Server
	for _, s := range d.free {
		if p.reconciler.isSuspect(p.now, s) {
			continue
		}
		if p.in.FirstStart || isStaged(s, m.Name) || (p.reconciler.hasCached(s, m.Name) && !p.isReservedForOther(s, m)) {
			eligible = append(eligible, s)
		}
	}
	if len(eligible) < m.HostsPerGroup || m.HostsPerGroup == 0 {
		return nil
	}
	// The server with the most recent report is the least likely to be lost already. The first one is the head, which gets the group's
	// requests, so a cold one would leave the whole group idle.
	sort.SliceStable(eligible, func(i, j int) bool {
		if p.limitsCold {
			if a, b := eligible[i].IsCold(p.now), eligible[j].IsCold(p.now); a != b {
				return b
			}
		}
		return eligible[i].LastReportAt().After(eligible[j].LastReportAt())
	})
	return eligible[:m.HostsPerGroup]
}

// isReservedForOther reports whether a server is reserved for another model than m by a swap. The server waits for
// the other hosts of the swap, even if it could rejoin a group of m at once.
func (p *planning) isReservedForOther(s *fleet.Server, m *catalogue.Model) bool {
	reserved := p.reconciler.reservations[s.Report().ID]
	return reserved.model != m.Name && p.now.Before(reserved.until)
}

// firstModel returns the model of a domain's oldest group that isn't ending, or nil. Further groups of the domain prefer
// it at a first start, since hosts with the same weights can replace each other.
func (p *planning) firstModel(d *domain) *catalogue.Model {
	for _, g := range d.groups {
		if !g.ending && !g.removed {
			return findModel(p.in.Catalogue, g.model)
		}
	}
	return nil
}

// groupsIn returns the groups of a domain that aren't ending, oldest first.
func (p *planning) groupsIn(d *domain) []*group {
	var list []*group
	for _, g := range d.groups {
		if !g.ending && !g.removed {
			list = append(list, g)
		}
	}
	return list
}

// pairSize is the largest group size that needs no spare hosts: survivors of such groups pair up with those of other
// groups.
const pairSize = 2

// spares returns how many hosts of a domain are to remain on standby once a further group of a model is formed: one
// for every two large groups, rounded up.
func (p *planning) spares(d *domain, next *catalogue.Model) int {
	large := 0
	if next.HostsPerGroup > pairSize {
		large++
	}
	for _, g := range p.groupsIn(d) {
		if m := findModel(p.in.Catalogue, g.model); m != nil && m.HostsPerGroup > pairSize {
			large++
		}
	}
	return (large + 1) / 2
}

func (p *planning) formGroup(d *domain, m *catalogue.Model, members []*fleet.Server) {
	name, epoch := p.reconciler.nextName(m.Name)
	g := &group{name: name, epoch: epoch, model: m.Name, ready: map[string]bool{}, formedHere: true, knownSince: p.now}
	for _, s := range members {
		g.members = append(g.members, s.Report().ID)
	}
	p.reconciler.groups[name] = g
	p.reconciler.index.add(g)
	p.capacity[m.Name] += groupCapacity(p.in, p.engine, m)
	for _, s := range members {
		p.orders = append(p.orders, order(savorywing.ActionJoin, s, g))
		d.remove(s)
	}
}

func (d *domain) remove(s *fleet.Server) {
	for i := range d.free {
		if d.free[i] == s {
			d.free = append(d.free[:i], d.free[i+1:]...)
			return
		}
	}
}

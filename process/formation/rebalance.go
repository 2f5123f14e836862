package formation

import (
	"math"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// Weights can be loaded onto a host while its group serves another model. So where one model is short and another
// is not, whole groups of the latter are prepared while they serve, and broken up once enough of their hosts hold
// the weights: callers lose nothing by the time that loads take.

const (
	// evenness is how many times as needed a model must be as one that gives way to it. A domain that is dark for some
	// seconds raises its model's need by a quarter, and is back before a load is done.
	evenness = 1.5
	// shortNeed is the need from which groups of another model give way to one: losses make it grow while the
	// weights are loaded.
	shortNeed = 0.7
	// keptLoads is the part of the loads at once that is kept for hosts which replace lost ones.
	keptLoads = 0.5
	// aheadNeed is the need from which one exchange is prepared before it is worth anything: while nothing is lost,
	// loads cost next to nothing, and later they take longer than the shortage that they would have ended.
	aheadNeed = 0.5
	// promiseTime is how long hosts wait for the others of their exchange: the longest answer of a group that closes,
	// and a join.
	promiseTime = 12 * time.Second
)

// exchange is a set of groups of one domain that can give way to groups of another model.
type exchange struct {
	model  *catalogue.Model
	groups []*group
	// hosts are the members of the groups, and free hosts that hold the model already.
	hosts []*fleet.Server
	// wanted is how many of the hosts the new groups take; prepared ones hold the weights or are loading them.
	wanted, prepared int
	// gain is the work that callers get more of, in slots.
	gain float64
}

// rebalance prepares the exchanges that are worth their loads, and carries out those that are prepared.
func (p *planning) rebalance(service string) {
	if p.in.FirstStart || !p.in.isMeasured() {
		return
	}
	p.room -= int(math.Ceil(keptLoads * float64(p.engine.MaxConcurrentLoads)))
	used := map[string]bool{}
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		for p.need(m) >= shortNeed {
			x := p.bestExchange(service, m, used)
			if x == nil {
				break
			}
			p.carryOut(x, used)
		}
	}
	p.prepareAhead(service, used)
}

// prepareAhead loads the weights of the model that is needed most onto hosts of groups of another one, enough for one
// exchange.
func (p *planning) prepareAhead(service string, used map[string]bool) {
	var m *catalogue.Model
	for i := range p.engine.Models {
		if next := &p.engine.Models[i]; m == nil || p.need(next) > p.need(m) {
			m = next
		}
	}
	if m == nil || p.need(m) < aheadNeed {
		return
	}
	var best *exchange
	for _, x := range p.exchanges(service, m, used) {
		if best == nil || x.prepared > best.prepared {
			best = x
		}
	}
	if best != nil {
		p.load(best)
	}
}

// bestExchange returns the exchange towards a model that is prepared the furthest, or else gains the most; nil if
// none is worth its loads. used holds the ids of servers that earlier exchanges take.
func (p *planning) bestExchange(service string, m *catalogue.Model, used map[string]bool) *exchange {
	var best *exchange
	for _, x := range p.exchanges(service, m, used) {
		if x.gain <= 0 {
			continue
		}
		if best == nil || x.prepared > best.prepared || (x.prepared == best.prepared && x.gain > best.gain) {
			best = x
		}
	}
	return best
}

// exchanges returns the smallest exchange towards a model in each domain that has one.
func (p *planning) exchanges(service string, m *catalogue.Model, used map[string]bool) []*exchange {
	byDomain := map[string][]*group{}
	for _, g := range p.reconciler.sorted() {
		head := member(p.in, g, 0)
		if place := placeOf(head, g); !g.ending && !used[g.members[0]] && g.model != m.Name && place != nil && place.State == fleet.StateOpen {
			if r := head.Report(); r.Service == service {
				byDomain[r.Domain] = append(byDomain[r.Domain], g)
			}
		}
	}
	var list []*exchange
	for _, name := range sortedNames(byDomain) {
		if x := p.exchangeIn(name, byDomain[name], m, used); x != nil {
			list = append(list, x)
		}
	}
	return list
}

func sortedNames(byDomain map[string][]*group) []string {
	names := make([]string, 0, len(byDomain))
	for name := range byDomain {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// exchangeIn returns the smallest exchange in one domain, or nil if its hosts are too few.
func (p *planning) exchangeIn(domain string, groups []*group, m *catalogue.Model, used map[string]bool) *exchange {
	x := &exchange{model: m}
	for _, s := range p.servers {
		if r := s.Report(); r.Domain == domain && r.Engine && isStaged(s, m.Name) && !used[r.ID] && p.reconciler.isFree(p.now, s) {
			x.hosts = append(x.hosts, s)
			x.prepared++
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return p.preparedIn(groups[i], m) > p.preparedIn(groups[j], m) })
	for _, g := range groups {
		if len(x.hosts) >= m.HostsPerGroup {
			break
		}
		x.groups = append(x.groups, g)
		x.prepared += p.preparedIn(g, m)
		for rank := range g.members {
			if s := member(p.in, g, rank); s != nil {
				x.hosts = append(x.hosts, s)
			}
		}
	}
	formed := len(x.hosts) / max(1, m.HostsPerGroup)
	if formed == 0 || len(x.groups) == 0 {
		return nil
	}
	x.wanted = formed * m.HostsPerGroup
	x.gain = p.gain(x, float64(formed)*unit(p.in, p.engine, m))
	return x
}

// gain weighs what an exchange adds to a short model against what the others lose, where they are needed.
func (p *planning) gain(x *exchange, added float64) float64 {
	lost := map[string]float64{}
	for _, g := range x.groups {
		if other := findModel(p.in.Catalogue, g.model); other != nil {
			lost[g.model] += unit(p.in, p.engine, other)
		}
	}
	need := p.need(x.model)
	gain := shortage(need) * added
	for name, units := range lost {
		other := findModel(p.in.Catalogue, name)
		after := p.demand(other) / max(p.capacity[name]-units, 1)
		if need < evenness*after {
			return 0
		}
		gain -= reluctance * shortage(after) * units
	}
	return gain
}

// preparedIn counts the members of a group that hold a model's weights or are loading them.
func (p *planning) preparedIn(g *group, m *catalogue.Model) int {
	n := 0
	for rank := range g.members {
		if s := member(p.in, g, rank); s != nil && (isStaged(s, m.Name) || p.isLoading(s, m)) {
			n++
		}
	}
	return n
}

func (p *planning) isLoading(s *fleet.Server, m *catalogue.Model) bool {
	o := p.reconciler.orders[s.Report().ID]
	return o != nil && o.order.Action == savorywing.ActionStage && o.order.Model == m.Name
}

// carryOut begins the loads that an exchange lacks, or ends its groups once none is lacking, and counts it as done
// for what is decided after it.
func (p *planning) carryOut(x *exchange, used map[string]bool) {
	held := 0
	for _, s := range x.hosts {
		used[s.Report().ID] = true
		if isStaged(s, x.model.Name) {
			held++
		}
	}
	p.load(x)
	for _, g := range x.groups {
		if held >= x.wanted {
			g.ending = true
			for _, id := range g.members {
				p.reconciler.promised[id] = promise{model: x.model.Name, until: p.now.Add(promiseTime)}
			}
		}
		p.capacity[g.model] -= unit(p.in, p.engine, findModel(p.in.Catalogue, g.model))
	}
	p.capacity[x.model.Name] += float64(x.wanted/x.model.HostsPerGroup) * unit(p.in, p.engine, x.model)
}

// load begins the loads that an exchange lacks.
func (p *planning) load(x *exchange) {
	lacking := x.wanted - x.prepared
	for _, s := range x.hosts {
		r := s.Report()
		if lacking <= 0 || p.room <= 0 {
			return
		}
		if isStaged(s, x.model.Name) || p.reconciler.orders[r.ID] != nil || p.reconciler.isDoubtful(p.now, s) {
			continue
		}
		p.beginLoad(s, x.model)
		lacking--
	}
}

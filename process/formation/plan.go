package formation

import (
	"math"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// domain is the free servers of one fabric domain and service.
type domain struct {
	service string
	name    string
	free    []*fleet.Server
}

// plan forms groups of free servers, and stages weights on those that stay free.
func (f *Reconciler) plan(now time.Time, in Input) []savorywing.FleetOrder {
	if now.Before(f.settledAt) {
		return nil
	}
	var out []savorywing.FleetOrder
	for i := range in.Catalogue.Services() {
		service := &in.Catalogue.Services()[i]
		if service.Engine != nil {
			out = append(out, f.planService(now, in, service)...)
		}
	}
	return out
}

func (f *Reconciler) planService(now time.Time, in Input, service *catalogue.Service) []savorywing.FleetOrder {
	p := &planning{
		reconciler: f, now: now, in: in, engine: service.Engine, capacity: f.capacity(in, service.Engine), servers: in.Table.Servers(),
	}
	p.room = math.MaxInt
	if !in.FirstStart {
		p.room = f.loads.room(now, f.cfg.LoadWindow, int(service.Engine.LoadsPerSecond*f.cfg.LoadWindow.Seconds()))
		p.room = min(p.room, service.Engine.MaxConcurrentLoads-f.loadsUnderWay())
	}
	domains := f.domains(now, in, service.Name)
	for _, d := range domains {
		p.fill(d)
	}
	p.stage(domains)
	for _, d := range domains {
		p.standBy(d)
	}
	p.rebalance(service.Name)
	return p.orders
}

// loadsUnderWay counts orders that are loading weights.
func (f *Reconciler) loadsUnderWay() int {
	n := 0
	for _, p := range f.orders {
		if p.order.Action == savorywing.ActionStage {
			n++
		}
	}
	return n
}

// capacity returns what each model has in groups that serve or will: hosts while the work is known from the
// document only, and slots at the model's pace once it is measured.
func (f *Reconciler) capacity(in Input, e *catalogue.Engine) map[string]float64 {
	out := map[string]float64{}
	for _, g := range f.groups {
		if m := findModel(in.Catalogue, g.model); m != nil && !g.ending {
			out[g.model] += unit(in, e, m)
		}
	}
	return out
}

// unit is what one group adds to its model's capacity.
func unit(in Input, e *catalogue.Engine, m *catalogue.Model) float64 {
	if !in.isMeasured() {
		return float64(m.HostsPerGroup)
	}
	return slotsOf(e, m)
}

// isMeasured tells whether callers' work is known.
func (in Input) isMeasured() bool {
	for _, v := range in.Demand {
		if v > 0 {
			return true
		}
	}
	return false
}

// headroom is how many times the spread of the work is planned for above its mean.
const headroom = 2

func slotsOf(e *catalogue.Engine, m *catalogue.Model) float64 {
	return float64(e.Slots) / max(m.TimeFactor, minPace)
}

// minPace keeps a model without a stated pace from counting as infinitely fast.
const minPace = 0.05

// domains returns the free servers by domain, fullest first.
func (f *Reconciler) domains(now time.Time, in Input, service string) []*domain {
	byName := map[string]*domain{}
	for _, s := range in.Table.Servers() {
		r := s.Report()
		if !r.Engine || r.Service != service || !f.isFree(now, s) {
			continue
		}
		d := byName[r.Domain]
		if d == nil {
			d = &domain{service: service, name: r.Domain}
			byName[r.Domain] = d
		}
		d.free = append(d.free, s)
	}
	list := make([]*domain, 0, len(byName))
	for _, d := range byName {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool {
		if len(list[i].free) != len(list[j].free) {
			return len(list[i].free) > len(list[j].free)
		}
		return list[i].name < list[j].name
	})
	return list
}

// isFree tells whether a server may join a group.
func (f *Reconciler) isFree(now time.Time, s *fleet.Server) bool {
	r := s.Report()
	if f.isLost(now, s) || r.Leaving || f.orders[r.ID] != nil || now.Before(f.barred[r.ID]) || f.mayBeHaunted(now, s) {
		return false
	}
	for _, g := range f.groups {
		if g.headOut {
			continue
		}
		// A member of a group that another member has replaced it in is not free either.
		for _, id := range g.members {
			if id == r.ID && (isMember(s, g) || !g.ending) {
				return false
			}
		}
	}
	return true
}

// planning is one pass over the free servers of a service.
type planning struct {
	reconciler *Reconciler
	now        time.Time
	in         Input
	engine     *catalogue.Engine
	capacity   map[string]float64
	// servers lists the table's servers, sorted by id: it does not change within a pass.
	servers []*fleet.Server
	// room is the number of loads that may begin now.
	room   int
	orders []savorywing.FleetOrder
}

// fill uses up one domain's free servers.
func (p *planning) fill(d *domain) {
	for {
		m, members := p.next(d)
		if members == nil {
			break
		}
		p.form(d, m, members)
	}
}

// need is how short a model is: demand against capacity.
func (p *planning) need(m *catalogue.Model) float64 {
	return p.demand(m) / max(p.capacity[m.Name], 1)
}

func (p *planning) demand(m *catalogue.Model) float64 {
	if !p.in.isMeasured() {
		return max(m.InitialShare, minShare)
	}
	total := 0.0
	for _, v := range p.in.Demand {
		total += v
	}
	// The share at the start stays visible, so that a model without work lately keeps a group.
	mean := p.in.Demand[m.Name] + minShare*total
	return mean + headroom*math.Sqrt(mean)
}

// minShare is the part of all work that every model is planned for at least.
const minShare = 0.02

// next returns the model that the domain's free servers serve best, and who joins.
func (p *planning) next(d *domain) (*catalogue.Model, []*fleet.Server) {
	if p.in.FirstStart {
		return p.first(d)
	}
	var best *catalogue.Model
	var members []*fleet.Server
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		if chosen := p.choose(d, m); chosen != nil && (best == nil || p.need(m) > p.need(best)) {
			best, members = m, chosen
		}
	}
	return best, members
}

// first shares whole domains out among the models at a first start, since hosts with the same weights can
// replace each other. What a domain's own model leaves over goes to others once all servers are found.
func (p *planning) first(d *domain) (*catalogue.Model, []*fleet.Server) {
	own := p.settled(d)
	if own == nil {
		own = p.leastSettled()
	}
	if own == nil {
		return nil, nil
	}
	if members := p.choose(d, own); members != nil || p.gathering() {
		return own, members
	}
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; m != own {
			if members := p.choose(d, m); members != nil {
				return m, members
			}
		}
	}
	return nil, nil
}

// leastSettled returns the model with the fewest domains for its share of the work.
func (p *planning) leastSettled() *catalogue.Model {
	domains := map[string]map[string]bool{}
	for _, g := range p.reconciler.groups {
		if s := member(p.in, g, 0); s != nil {
			if domains[g.model] == nil {
				domains[g.model] = map[string]bool{}
			}
			domains[g.model][s.Report().Domain] = true
		}
	}
	var best *catalogue.Model
	bestNeed := 0.0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		need := max(m.InitialShare, minShare) / float64(1+len(domains[m.Name]))
		if best == nil || need > bestNeed {
			best, bestNeed = m, need
		}
	}
	return best
}

// gathering tells whether servers are still being found after a first start. Until they all are, a domain
// waits for the model that is needed most, since its first servers alone would all go to small groups.
func (p *planning) gathering() bool {
	return p.in.FirstStart && p.now.Sub(p.reconciler.lastFound) < gatherTime
}

// gatherTime is longer than the time between two reports of a server, so that the last ones are in.
const gatherTime = 1500 * time.Millisecond

// choose returns the members of a group of a model that can be formed now without waiting for weights;
// at a first start, when loads are cheap, all free servers count.
func (p *planning) choose(d *domain, m *catalogue.Model) []*fleet.Server {
	if p.in.FirstStart && len(d.free)-m.HostsPerGroup < p.spares(d, m) {
		return nil
	}
	var fit []*fleet.Server
	for _, s := range d.free {
		if p.reconciler.isDoubtful(p.now, s) {
			continue
		}
		if p.in.FirstStart || isStaged(s, m.Name) || (p.reconciler.holds(s, m.Name) && !p.isPromised(s, m)) {
			fit = append(fit, s)
		}
	}
	if len(fit) < m.HostsPerGroup || m.HostsPerGroup == 0 {
		return nil
	}
	// Who was heard of last is the least likely to be lost already.
	sort.SliceStable(fit, func(i, j int) bool { return fit[i].LastReportAt().After(fit[j].LastReportAt()) })
	return fit[:m.HostsPerGroup]
}

// isPromised tells whether a server's group has given way to another model than m. The server waits for the other
// hosts of that exchange, even if it could go back to m at once.
func (p *planning) isPromised(s *fleet.Server, m *catalogue.Model) bool {
	promise := p.reconciler.promised[s.Report().ID]
	return promise.model != m.Name && p.now.Before(promise.until)
}

// settled returns the model of a domain's first group, which the domain's other groups follow: hosts with
// the same weights replace each other.
func (p *planning) settled(d *domain) *catalogue.Model {
	if groups := p.groupsIn(d); len(groups) > 0 {
		return findModel(p.in.Catalogue, groups[0].model)
	}
	return nil
}

// groupsIn returns the groups of a domain that don't end, oldest first.
func (p *planning) groupsIn(d *domain) []*group {
	var list []*group
	for _, g := range p.reconciler.sorted() {
		if s := member(p.in, g, 0); s != nil && s.Report().Domain == d.name && !g.ending {
			list = append(list, g)
		}
	}
	return list
}

// pairSize is the largest group whose survivors find a partner among those of other groups, so that no
// host needs to stand by for them.
const pairSize = 2

// spares returns how many hosts of a domain are to stand by once a further group of a model is formed: one
// for every two large groups.
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

func (p *planning) form(d *domain, m *catalogue.Model, members []*fleet.Server) {
	name, epoch := p.reconciler.nextName(m.Name)
	g := &group{name: name, epoch: epoch, model: m.Name, ready: map[string]bool{}, own: true, formed: p.now}
	for _, s := range members {
		g.members = append(g.members, s.Report().ID)
	}
	p.reconciler.groups[name] = g
	p.capacity[m.Name] += unit(p.in, p.engine, m)
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

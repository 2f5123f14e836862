package former

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
func (f *Former) plan(now time.Time, in Input) []savorywing.FleetOrder {
	var out []savorywing.FleetOrder
	for i := range in.Catalogue.Services() {
		service := &in.Catalogue.Services()[i]
		if service.Engine != nil {
			out = append(out, f.planService(now, in, service)...)
		}
	}
	return out
}

func (f *Former) planService(now time.Time, in Input, service *catalogue.Service) []savorywing.FleetOrder {
	p := &planning{former: f, now: now, in: in, engine: service.Engine, capacity: f.capacity(in, service.Engine)}
	p.room = math.MaxInt
	if !in.FirstStart {
		p.room = f.loads.room(now, f.cfg.LoadWindow, int(service.Engine.LoadsPerSecond*f.cfg.LoadWindow.Seconds()))
		p.room = min(p.room, service.Engine.LoadsAtOnce-f.loadsUnderWay())
	}
	for _, d := range f.domains(now, in, service.Name) {
		p.fill(d)
	}
	return p.orders
}

// loadsUnderWay counts orders that are loading weights.
func (f *Former) loadsUnderWay() int {
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
func (f *Former) capacity(in Input, e *catalogue.Engine) map[string]float64 {
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
		return float64(m.Size)
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

func slotsOf(e *catalogue.Engine, m *catalogue.Model) float64 {
	return float64(e.Slots) / max(m.Pace, minPace)
}

// minPace keeps a model without a stated pace from counting as infinitely fast.
const minPace = 0.05

// domains returns the free servers by domain, fullest first.
func (f *Former) domains(now time.Time, in Input, service string) []*domain {
	byName := map[string]*domain{}
	for _, s := range in.Table.Servers() {
		r := s.Report()
		if !r.Engine || r.Service != service || !f.isFree(now, in, s) {
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
func (f *Former) isFree(now time.Time, in Input, s *fleet.Server) bool {
	r := s.Report()
	if f.isLost(now, s) || r.Leaving || f.orders[r.ID] != nil {
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
	former   *Former
	now      time.Time
	in       Input
	engine   *catalogue.Engine
	capacity map[string]float64
	// room is the number of loads that may begin now.
	room   int
	orders []savorywing.FleetOrder
}

// fill uses up one domain's free servers.
func (p *planning) fill(d *domain) {
	for {
		m, members := p.next(d)
		if m == nil {
			break
		}
		p.form(d, m, members)
	}
	p.stage(d)
}

// need is how short a model is: demand against capacity.
func (p *planning) need(m *catalogue.Model) float64 {
	return p.demand(m) / max(p.capacity[m.Name], 1)
}

func (p *planning) demand(m *catalogue.Model) float64 {
	if !p.in.isMeasured() {
		return max(m.Share, minShare)
	}
	total := 0.0
	for _, v := range p.in.Demand {
		total += v
	}
	// The share at the start stays visible, so that a model without work lately keeps a group.
	return p.in.Demand[m.Name] + minShare*total
}

// minShare is the part of all work that every model is planned for at least.
const minShare = 0.02

// next returns the model that the domain's free servers serve best, and who joins.
func (p *planning) next(d *domain) (*catalogue.Model, []*fleet.Server) {
	var best *catalogue.Model
	var members []*fleet.Server
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		chosen := p.choose(d, m)
		if chosen == nil && !p.gathering() {
			continue
		}
		if best == nil || p.need(m) > p.need(best) {
			best, members = m, chosen
		}
	}
	if members == nil {
		return nil, nil
	}
	return best, members
}

// gathering tells whether servers are still being found after a first start. Until they all are, a domain
// waits for the model that is needed most, since its first servers alone would all go to small groups.
func (p *planning) gathering() bool {
	return p.in.FirstStart && p.now.Sub(p.former.lastFound) < gatherTime
}

// gatherTime is longer than the pause between the first reports of two servers.
const gatherTime = 700 * time.Millisecond

// choose returns the members of a group of a model that can be formed now without waiting for weights;
// at a first start, when loads are cheap, all free servers count.
func (p *planning) choose(d *domain, m *catalogue.Model) []*fleet.Server {
	var fit []*fleet.Server
	for _, s := range d.free {
		if p.in.FirstStart || isStaged(s, m.Name) || p.former.lastModel[s.Report().ID] == m.Name {
			fit = append(fit, s)
		}
	}
	if len(fit) < m.Size || m.Size == 0 {
		return nil
	}
	return fit[:m.Size]
}

func (p *planning) form(d *domain, m *catalogue.Model, members []*fleet.Server) {
	name, epoch := p.former.nextName(m.Name)
	g := &group{name: name, epoch: epoch, model: m.Name, ready: map[string]bool{}, own: true, formed: p.now}
	for _, s := range members {
		g.members = append(g.members, s.Report().ID)
	}
	p.former.groups[name] = g
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

// stage loads weights onto servers that no group can use now.
func (p *planning) stage(d *domain) {
	for _, s := range append([]*fleet.Server(nil), d.free...) {
		if p.room <= 0 {
			return
		}
		m := p.stageFor(d)
		if m == nil {
			return
		}
		if isStaged(s, m.Name) {
			continue
		}
		if p.settledElsewhere(d, s, m) {
			continue
		}
		r := s.Report()
		p.orders = append(p.orders, savorywing.FleetOrder{Action: savorywing.ActionStage, Server: r.ID, Address: r.Address, Model: m.Name})
		p.former.loads.add(p.now)
		p.room--
	}
}

// settledElsewhere keeps a server's staged weights while they are as close to a group of their own.
func (p *planning) settledElsewhere(d *domain, s *fleet.Server, m *catalogue.Model) bool {
	for i := range p.engine.Models {
		other := &p.engine.Models[i]
		if other.Name == m.Name || !isStaged(s, other.Name) {
			continue
		}
		if other.Size-p.stagedFor(d, other) <= m.Size-p.stagedFor(d, m) {
			return true
		}
	}
	return false
}

// stagedFor counts free servers of a domain that hold a model's weights or are loading them.
func (p *planning) stagedFor(d *domain, m *catalogue.Model) int {
	n := 0
	for _, s := range p.in.Table.Servers() {
		r := s.Report()
		if r.Domain != d.name || r.Service != d.service {
			continue
		}
		if o := p.former.orders[r.ID]; o != nil && o.order.Action == savorywing.ActionStage && o.order.Model == m.Name {
			n++
		}
	}
	for _, s := range d.free {
		if isStaged(s, m.Name) {
			n++
		}
	}
	for _, o := range p.orders {
		if s := p.in.Table.Server(o.Server); o.Action == savorywing.ActionStage && o.Model == m.Name && s.Report().Domain == d.name {
			n++
		}
	}
	return n
}

// stageFor returns the model to stage next in a domain: the one with the fewest servers missing, the
// shorter one on a tie.
func (p *planning) stageFor(d *domain) *catalogue.Model {
	var best *catalogue.Model
	bestMissing := 0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		missing := m.Size - p.stagedFor(d, m)
		if missing <= 0 {
			continue
		}
		if best == nil || missing < bestMissing || (missing == bestMissing && p.need(m) > p.need(best)) {
			best, bestMissing = m, missing
		}
	}
	return best
}

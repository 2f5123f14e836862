package formation

import (
	"fmt"
	"math"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// Loads from the weight store are the scarcest resource of a day on which hosts keep being lost: a few at a
// time, many seconds each. They go where one brings back the most work soonest.

// A host that stands by is worth this much of one that a group waits for: on a day of losses a large group
// needs it before the next load would be done, while survivors of small groups find each other.
const (
	spareWeight      = 0.8
	smallSpareWeight = 0.2
)

// reluctance is how many times the worth of the weights on a host must be gained to replace them, so that
// small changes of demand don't move hosts to and fro.
const reluctance = 1.5

// load is one way to use a load.
type load struct {
	server *fleet.Server
	model  *catalogue.Model
	value  float64
}

// stage begins the loads that are worth the most.
func (p *planning) stage(domains []*domain) {
	if p.gathering() {
		return
	}
	for p.room > 0 {
		var best load
		for _, d := range domains {
			for i := range p.engine.Models {
				if own := p.settled(d); p.in.FirstStart && (own == nil || own.Name != p.engine.Models[i].Name) {
					continue
				}
				if l := p.consider(d, &p.engine.Models[i]); l.server != nil && l.value > best.value {
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
	p.room--
}

// consider returns the load that brings a domain closer to its next group of a model, or to one that stands by.
func (p *planning) consider(d *domain, m *catalogue.Model) load {
	value, idle := p.value(d, m, p.held(d, m), shortage(p.need(m))), p.idleValue(d, m)
	if value <= 0 && idle <= 0 {
		return load{}
	}
	var best load
	for _, s := range d.free {
		if isStaged(s, m.Name) || p.mustKeep(s) {
			continue
		}
		gain := value
		if len(s.Report().Staged) == 0 {
			gain = max(value, idle)
		}
		for i := range p.engine.Models {
			other := &p.engine.Models[i]
			if other.Name != m.Name && isStaged(s, other.Name) {
				if p.need(m) < max(shortNeed, evenness*p.need(other)) {
					gain = 0
					break
				}
				// What the host holds now is lost with the load.
				gain -= reluctance * p.value(d, other, p.held(d, other)-1, shortage(p.need(other)))
			}
		}
		if gain > 0 && (best.server == nil || gain > best.value) {
			best = load{server: s, model: m, value: gain}
		}
	}
	return best
}

// idleValue is what an empty host is worth to a model that is not short. A domain's own model goes first, since
// hosts with the same weights replace each other.
func (p *planning) idleValue(d *domain, m *catalogue.Model) float64 {
	if own := p.settled(d); own != nil && own != m && p.value(d, own, p.held(d, own), idleWorth) > 0 {
		return 0
	}
	return p.value(d, m, p.held(d, m), idleWorth)
}

// value is the work that one more host with a model's weights brings back, for each second of loading, where
// held hosts have them already and callers fill a part of a further group. Whole groups among these will form by
// themselves.
func (p *planning) value(d *domain, m *catalogue.Model, held int, filled float64) float64 {
	if held < 0 || m.HostsPerGroup == 0 {
		return 0
	}
	group := filled * slotsOf(p.engine, m) / max(1, m.ColdLoadTime.Seconds())
	formed, rest := held/m.HostsPerGroup, held%m.HostsPerGroup
	absent := max(0, (formed+1)*m.HostsPerGroup-p.reachable(d, m))
	// What hosts that are yet to come would complete is worth less, the more of them it takes.
	worth := group / float64(m.HostsPerGroup-rest) * math.Pow(arrivalChance, float64(absent))
	if absent == 0 || p.populated(d)+absent <= p.reconciler.largest[d.name] {
		return worth
	}
	if rest < p.wantedSpares(d, m)+formed {
		if m.HostsPerGroup > pairSize {
			return spareWeight * group
		}
		return smallSpareWeight * group
	}
	return 0
}

// Below easyNeed more capacity serves hardly anyone, above hardNeed every slot is filled at once.
const (
	easyNeed = 0.5
	hardNeed = 1.3
	// idleWorth keeps empty hosts from standing empty where no model is short. It is no reason to replace weights.
	idleWorth = 0.01
)

// shortage is the part of a further group that callers would fill. It grows faster than the need: work comes
// unevenly, so that the last tenth of a model's slots is where callers begin to wait.
func shortage(need float64) float64 {
	over := max(0, need-easyNeed) / (hardNeed - easyNeed)
	return min(1, over*over)
}

// arrivalChance is the worth of a host that the domain once had and is yet to get back, against one that is there.
const arrivalChance = 0.6

// populated counts the hosts of a domain that report.
func (p *planning) populated(d *domain) int {
	n := 0
	for _, s := range p.servers {
		if r := s.Report(); r.Engine && r.Domain == d.name && !r.Leaving && !p.reconciler.isLost(p.now, s) {
			n++
		}
	}
	return n
}

// wantedSpares returns how many hosts of a domain should stand by for a model.
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
	return groups
}

// mustKeep tells whether a host keeps the weights it has because the work is not known: a new leader would
// only undo what the last one did.
func (p *planning) mustKeep(s *fleet.Server) bool {
	return !p.in.FirstStart && !p.in.isMeasured() && len(s.Report().Staged) > 0
}

// held counts the hosts of a domain that have a model's weights for its next group, or will soon.
func (p *planning) held(d *domain, m *catalogue.Model) int {
	return p.staged(d, m) + p.loading(d, m) + p.returning(d, m)
}

// reachable counts the hosts of a domain that could form a group of a model.
func (p *planning) reachable(d *domain, m *catalogue.Model) int {
	return len(d.free) + p.loading(d, m) + p.returning(d, m)
}

// returning counts the members of groups that end which will be free soon.
func (p *planning) returning(d *domain, m *catalogue.Model) int {
	n := 0
	for _, g := range p.reconciler.groups {
		if !g.ending || g.headOut || g.model != m.Name {
			continue
		}
		for rank := range g.members {
			s := member(p.in, g, rank)
			if isMember(s, g) && s.Report().Domain == d.name && !s.Report().Leaving && !p.reconciler.isDoubtful(p.now, s) {
				n++
			}
		}
	}
	return n
}

func (p *planning) staged(d *domain, m *catalogue.Model) int {
	n := 0
	for _, s := range d.free {
		if isStaged(s, m.Name) {
			n++
		}
	}
	return n
}

// loading counts the hosts of a domain that are loading a model's weights.
func (p *planning) loading(d *domain, m *catalogue.Model) int {
	n := 0
	for _, o := range p.reconciler.orders {
		if o.order.Action == savorywing.ActionStage && o.order.Model == m.Name {
			if s := p.in.Table.Server(o.order.Server); s != nil && s.Report().Domain == d.name {
				n++
			}
		}
	}
	for _, o := range p.orders {
		if o.Action == savorywing.ActionStage && o.Model == m.Name {
			if s := p.in.Table.Server(o.Server); s != nil && s.Report().Domain == d.name {
				n++
			}
		}
	}
	return n
}

// standBy makes free hosts that hold a model's weights join a group of their own, once, so that a real join
// later is quick.
func (p *planning) standBy(d *domain) {
	for _, s := range d.free {
		r := s.Report()
		if len(r.Staged) == 0 || r.Group != nil || p.reconciler.holds(s, r.Staged[0]) {
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

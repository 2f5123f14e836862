package formation

import (
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// RecordOutcome takes the answer to an order.
func (f *Reconciler) RecordOutcome(now time.Time, o savorywing.FleetOrder, outcome savorywing.OrderOutcome) {
	p := f.orders[o.Server]
	if p == nil || p.order.Action != o.Action || p.order.Epoch != o.Epoch || p.order.Model != o.Model {
		return
	}
	switch outcome {
	case savorywing.OutcomeConflict, savorywing.OutcomeFenced, savorywing.OutcomeWrongServer:
		// It was not and will not be carried out in this form. The server is left alone until its next report
		// has had time to come.
		delete(f.orders, o.Server)
		f.barred[o.Server] = now.Add(f.cfg.ResendInterval)
		if g := f.groups[o.Group]; g != nil && o.Action == savorywing.ActionJoin {
			g.ending = true
		}
	case savorywing.OutcomeAccepted, savorywing.OutcomeAlreadyApplied:
		p.settled = true
	case savorywing.OutcomeUnknown:
		f.doubt(now, o)
	}
}

// doubt notes that a server has left an order unanswered: a group that it was to join is given up, and a
// head that does not answer is treated as one that can't be reached.
func (f *Reconciler) doubt(now time.Time, o savorywing.FleetOrder) {
	f.unanswered[o.Server] = now
	g := f.groups[o.Group]
	if g != nil && o.Action == savorywing.ActionJoin && !g.opened {
		g.ending = true
	}
}

// isDoubtful tells whether a server has missed a report or left an order unanswered since the last one.
func (f *Reconciler) isDoubtful(now time.Time, s *fleet.Server) bool {
	return f.isLost(now, s) || now.Sub(s.LastReportAt()) > f.cfg.SuspectTimeout || f.unanswered[s.Report().ID].After(s.LastReportAt())
}

// settle drops orders whose effect has been reported.
func (f *Reconciler) settle(in Input) {
	for id, p := range f.orders {
		s := in.Table.Server(id)
		if s == nil || s.Dead() {
			delete(f.orders, id)
			continue
		}
		if isDone(s, p.order) {
			delete(f.orders, id)
		}
	}
}

func isDone(s *fleet.Server, o savorywing.FleetOrder) bool {
	place := s.GroupMembership()
	in := place != nil && place.Name == o.Group && place.Epoch == o.Epoch
	switch o.Action {
	case savorywing.ActionJoin:
		return in
	case savorywing.ActionOpen:
		return !in || place.State == fleet.StateOpen || place.State == fleet.StateBroken
	case savorywing.ActionClose:
		return !in || place.State == fleet.StateReady || place.State == fleet.StateBroken
	case savorywing.ActionLeave:
		return !in
	case savorywing.ActionStage:
		return isStaged(s, o.Model)
	}
	return false
}

func isStaged(s *fleet.Server, model string) bool {
	for _, m := range s.Report().Staged {
		if m == model {
			return true
		}
	}
	return false
}

// resend repeats orders that got no answer, or whose effect is not reported in time. A repeated order is
// the same to the letter, so that carrying both out changes nothing.
func (f *Reconciler) resend(now time.Time, in Input) []savorywing.FleetOrder {
	var out []savorywing.FleetOrder
	ids := make([]string, 0, len(f.orders))
	for id := range f.orders {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		p := f.orders[id]
		s := in.Table.Server(id)
		wait := f.cfg.ResendInterval
		if p.settled {
			wait = 2 * f.cfg.ResendInterval
			if p.order.Action == savorywing.ActionStage {
				wait = f.loadTime(in, p.order.Model) + 2*f.cfg.ResendInterval
			}
		}
		if now.Sub(p.sent) < wait {
			continue
		}
		g := f.groups[p.order.Group]
		stale := p.order.Group != "" && !isStandby(p.order.Group) && (g == nil || (g.ending && p.order.Action != savorywing.ActionLeave))
		if f.isLost(now, s) || stale || p.order.Action == savorywing.ActionStage {
			delete(f.orders, id)
			continue
		}
		out = append(out, p.order)
	}
	return out
}

func (f *Reconciler) loadTime(in Input, model string) time.Duration {
	if m := findModel(in.Catalogue, model); m != nil {
		return m.ColdLoadTime
	}
	return 0
}

func findModel(c *catalogue.Catalogue, name string) *catalogue.Model {
	for _, s := range c.Services() {
		if s.Engine == nil {
			continue
		}
		if m := s.Engine.Model(name); m != nil {
			return m
		}
	}
	return nil
}

func order(action savorywing.OrderAction, s *fleet.Server, g *group) savorywing.FleetOrder {
	r := s.Report()
	o := savorywing.FleetOrder{Action: action, Server: r.ID, Address: r.Address, Group: g.name, Epoch: g.epoch}
	if action == savorywing.ActionJoin {
		o.Model, o.Members = g.model, g.members
	}
	return o
}

// give returns an order unless the same one is under way.
func (f *Reconciler) give(action savorywing.OrderAction, s *fleet.Server, g *group) []savorywing.FleetOrder {
	o := order(action, s, g)
	if p := f.orders[o.Server]; p != nil && p.order.Action == action && p.order.Epoch == g.epoch {
		return nil
	}
	return []savorywing.FleetOrder{o}
}

func (f *Reconciler) loadsAtOnce(in Input) int {
	n := 0
	for _, s := range in.Catalogue.Services() {
		if s.Engine != nil {
			n += s.Engine.MaxConcurrentLoads
		}
	}
	return n
}

package formation

import (
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// RecordOutcome applies the outcome of an order.
func (rc *Reconciler) RecordOutcome(now time.Time, o savorywing.FleetOrder, outcome savorywing.OrderOutcome) {
	p := rc.orders[o.Server]
	if p == nil || p.order.Action != o.Action || p.order.Epoch != o.Epoch || p.order.Model != o.Model {
		return
	}
	switch outcome {
	case savorywing.OutcomeConflict, savorywing.OutcomeFenced, savorywing.OutcomeWrongServer:
		// The order was not and will not be executed in this form. The server gets no orders until its next report
		// has had time to arrive.
		delete(rc.orders, o.Server)
		rc.quarantinedUntil[o.Server] = now.Add(rc.cfg.ResendInterval)
		if g := rc.groups[o.Group]; g != nil && o.Action == savorywing.ActionJoin {
			g.ending = true
		}
	case savorywing.OutcomeAccepted, savorywing.OutcomeAlreadyApplied:
		p.acknowledged = true
	case savorywing.OutcomeUnknown:
		rc.markSuspect(now, o)
	}
}

// markSuspect records that a server has left an order unanswered. A group that it was to join is ended, and a head
// that doesn't answer is treated as unreachable.
func (rc *Reconciler) markSuspect(now time.Time, o savorywing.FleetOrder) {
	rc.lastUnanswered[o.Server] = now
	g := rc.groups[o.Group]
	if g != nil && o.Action == savorywing.ActionJoin && !g.opened {
		g.ending = true
	}
}

// isSuspect reports whether a server has missed a report, or has left an order unanswered since its last report.
func (rc *Reconciler) isSuspect(now time.Time, s *fleet.Server) bool {
	return rc.isLost(now, s) || now.Sub(s.LastReportAt()) > rc.cfg.SuspectTimeout || rc.lastUnanswered[s.Report().ID].After(s.LastReportAt())
}

// dropApplied drops orders whose effect has been reported, and those to unknown or dead servers.
func (rc *Reconciler) dropApplied(in Input) {
	for id, p := range rc.orders {
		s := in.Table.Server(id)
		if s == nil || s.Dead() {
			delete(rc.orders, id)
			continue
		}
		if isApplied(s, p.order) {
			delete(rc.orders, id)
		}
	}
}

func isApplied(s *fleet.Server, o savorywing.FleetOrder) bool {
	membership := s.GroupMembership()
	in := membership != nil && membership.Name == o.Group && membership.Epoch == o.Epoch
	switch o.Action {
	case savorywing.ActionJoin:
		return in
	case savorywing.ActionOpen:
		return !in || membership.State == fleet.StateOpen || membership.State == fleet.StateBroken
	case savorywing.ActionClose:
		return !in || membership.State == fleet.StateReady || membership.State == fleet.StateBroken
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

// resend repeats orders that got no answer or whose effect isn't reported in time. A repeated order is identical to
// the first, so executing both has the effect of one. Orders to lost servers, orders for groups that have ended or are
// ending, and orders to load weights are dropped instead; orders to leave an ending group are repeated.
func (rc *Reconciler) resend(now time.Time, in Input) []savorywing.FleetOrder {
	var out []savorywing.FleetOrder
	ids := make([]string, 0, len(rc.orders))
	for id := range rc.orders {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		p := rc.orders[id]
		s := in.Table.Server(id)
		wait := rc.cfg.ResendInterval
		if p.acknowledged {
			wait = 2 * rc.cfg.ResendInterval
			if p.order.Action == savorywing.ActionStage {
				wait = rc.loadTime(in, p.order.Model) + 2*rc.cfg.ResendInterval
			}
		}
		if now.Sub(p.sentAt) < wait {
			continue
		}
		g := rc.groups[p.order.Group]
		stale := p.order.Group != "" && !isStandby(p.order.Group) && (g == nil || (g.ending && p.order.Action != savorywing.ActionLeave))
		if rc.isLost(now, s) || stale || p.order.Action == savorywing.ActionStage {
			delete(rc.orders, id)
			continue
		}
		out = append(out, p.order)
	}
	return out
}

func (rc *Reconciler) loadTime(in Input, model string) time.Duration {
	if m := findModel(in.Catalogue, model); m != nil {
		return m.ColdLoadTime
	}
	return 0
}

func findModel(c *catalogue.Catalogue, name string) *catalogue.Model {
	for i := range c.Services() {
		e := c.Services()[i].Engine
		if e == nil {
			continue
		}
		if m := e.Model(name); m != nil {
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

// orderOnce returns an order unless the same one is pending.
func (rc *Reconciler) orderOnce(action savorywing.OrderAction, s *fleet.Server, g *group) []savorywing.FleetOrder {
	o := order(action, s, g)
	if p := rc.orders[o.Server]; p != nil && p.order.Action == action && p.order.Epoch == g.epoch {
		return nil
	}
	return []savorywing.FleetOrder{o}
}

func (rc *Reconciler) maxConcurrentLoads(in Input) int {
	n := 0
	for _, s := range in.Catalogue.Services() {
		if s.Engine != nil {
			n += s.Engine.MaxConcurrentLoads
		}
	}
	return n
}

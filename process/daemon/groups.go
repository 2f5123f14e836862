package daemon

import (
	"context"
	"time"

	"savorywing.example/savorywing/process/group"
	"savorywing.example/savorywing/process/planner"
	"savorywing.example/savorywing/process/quorum"
)

const (
	controlEvery   = 250 * time.Millisecond
	commandTimeout = 2 * time.Second
)

// controlGroups is the leader's duty: it plans groups, commits the plan and gives orders.
func (d *Daemon) controlGroups() {
	var controller *group.Controller
	var since time.Time
	for d.wait(controlEvery) {
		view := d.node.Status()
		if view.Role != quorum.Leader || !d.node.HasLease() {
			controller = nil
			continue
		}
		if controller == nil || !view.LeadingSince.Equal(since) {
			controller, since = group.NewController(planner.Weighted), view.LeadingSince
		}
		d.carryOut(controller.Step(d.groupInput(view)))
	}
}

func (d *Daemon) groupInput(view quorum.Status) group.Input {
	in := group.Input{Now: d.clock.Now(), LeadingSince: view.LeadingSince, Settings: d.registry.Settings(), Table: view.Table}
	for _, a := range d.registry.Announcements() {
		w := group.Report{Announcement: a}
		if answer, requestedAt, known := d.registry.LatestPollAnswer(a.Host); known {
			w = group.Report{Announcement: answer, RequestedAt: requestedAt}
		}
		in.Reports = append(in.Reports, w)
	}
	return in
}

func (d *Daemon) carryOut(out group.Output) {
	for i, c := range out.Commands {
		d.log.Info().Str("reason", out.Reasons[i]).Msg("group")
		ctx, cancel := context.WithTimeout(d.ctx, commandTimeout)
		r, err := d.node.Propose(ctx, c)
		cancel()
		if err != nil {
			d.log.Warn().Err(err).Msg("group command")
			return
		}
		if !r.Accepted {
			d.log.Info().Str("why", r.Reason).Msg("group command not accepted")
		}
	}
	for _, o := range out.Orders {
		_ = d.pool.Submit(func() { d.order(o) })
	}
}

// order sends one order, if this host still leads at the moment of sending.
func (d *Daemon) order(o group.Order) {
	ctx, cancel := context.WithTimeout(d.ctx, d.registry.Settings().Timing.MaxOrderDelay)
	defer cancel()
	if !d.node.HasLease() {
		return
	}
	reply, err := d.control.Order(ctx, o.Address, o.Order)
	switch {
	case err != nil:
		d.log.Info().Err(err).Str("backend", o.Host).Str("order", o.Order.Kind).Msg("the order's answer was lost; it is repeated")
	case !reply.Accepted:
		d.log.Warn().Str("backend", o.Host).Str("why", reply.Reason).Uint64("newestFence", reply.NewestFence).Msg("the order was refused")
	}
}

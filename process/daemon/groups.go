package daemon

import (
	"context"
	"time"

	"savorywing.example/savorywing/process/group"
	"savorywing.example/savorywing/process/planner"
	"savorywing.example/savorywing/process/quorum"
)

const (
	controlInterval = 250 * time.Millisecond
	commandTimeout  = 2 * time.Second
)

// controlGroups plans groups, commits the plan and sends orders while this host is the leader.
func (d *Daemon) controlGroups() {
	var controller *group.Controller
	var leadingSince time.Time
	for d.wait(controlInterval) {
		status := d.node.Status()
		if status.Role != quorum.Leader || !d.node.HasLease() {
			controller = nil
			continue
		}
		if controller == nil || !status.LeadingSince.Equal(leadingSince) {
			controller, leadingSince = group.NewController(planner.Weighted), status.LeadingSince
		}
		d.execute(controller.Step(d.groupInput(status)))
	}
}

func (d *Daemon) groupInput(status quorum.Status) group.Input {
	in := group.Input{Now: d.clock.Now(), LeadingSince: status.LeadingSince, Settings: d.registry.Settings(), Table: status.Table}
	for _, a := range d.registry.Announcements() {
		report := group.Report{Announcement: a}
		if response, requestedAt, known := d.registry.LatestPollResponse(a.Host); known {
			report = group.Report{Announcement: response, RequestedAt: requestedAt}
		}
		in.Reports = append(in.Reports, report)
	}
	return in
}

func (d *Daemon) execute(out group.Output) {
	for i, c := range out.Commands {
		d.log.Info().Str("reason", out.Reasons[i]).Msg("group")
		ctx, cancel := context.WithTimeout(d.ctx, commandTimeout)
		r, err := d.node.Propose(ctx, c)
		cancel()
		if err != nil {
			d.log.Warn().Err(err).Msg("proposing a group command failed")
			return
		}
		if !r.Accepted {
			d.log.Info().Str("why", r.Reason).Msg("a group command was rejected")
		}
	}
	for _, o := range out.Orders {
		_ = d.pool.Submit(func() { d.sendOrder(o) })
	}
}

// sendOrder sends an order, unless this host has lost the leader's lease since the order was planned.
func (d *Daemon) sendOrder(o group.Order) {
	ctx, cancel := context.WithTimeout(d.ctx, d.registry.Settings().Timing.MaxOrderDelay)
	defer cancel()
	if !d.node.HasLease() {
		return
	}
	reply, err := d.control.Order(ctx, o.Address, o.Order)
	switch {
	case err != nil:
		d.log.Info().Err(err).Str("backend", o.Host).Str("order", o.Order.Kind).Msg("no response to an order; it will be resent")
	case !reply.Accepted:
		d.log.Warn().Str("backend", o.Host).Str("why", reply.Reason).Uint64("newestFence", reply.NewestFence).Msg("an order was rejected")
	}
}

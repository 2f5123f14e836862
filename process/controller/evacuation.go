package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// evacuateTimeout bounds an order to evacuate a data centre. It is shorter than the second after which operators send an order again, so
// that none is proposed after its operator may have gone on to the next one.
const evacuateTimeout = 900 * time.Millisecond

// errRejected means that the leader's version doesn't know the command.
var errRejected = errors.New("the leader rejected the command")

// Evacuate commits an order to evacuate a data centre, or to finish that. It returns ErrUnknownDataCentre if there is none of that name,
// ErrInvalidDataCentre if the name can't be one, and ErrNoQuorum if the order was not committed in time or can't be accepted yet.
func (c *Controller) Evacuate(ctx context.Context, order wire.Evacuate) error {
	if err := order.Validate(); err != nil {
		return fmt.Errorf("Controller.Evacuate: %w: %w", controlapi.ErrInvalidDataCentre, err)
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	start := c.clock.Now()
	err := c.checkEvacuation(ctx, order)
	if err == nil {
		err = c.proposeEvacuation(ctx, start.Add(evacuateTimeout), order)
	}
	result := "accepted"
	if err != nil {
		result = "refused"
	}
	c.telemetry.Count("evacuation_orders", "result", result)
	c.log.Info().Str("event", "evacuationOrdered").Str("dataCentre", order.DataCentre).Bool("on", order.On).
		Dur("took", c.clock.Now().Sub(start)).Err(err).Msg("an operator's order for a data centre")
	if err != nil {
		return fmt.Errorf("Controller.Evacuate: %w", err)
	}
	return nil
}

// proposeEvacuation proposes an order that follows the newest set which this host knows of, and, while its operator waits, follows newer
// ones. A copy on its way to the leader that is delivered later has no effect after another order.
func (c *Controller) proposeEvacuation(ctx context.Context, until time.Time, order wire.Evacuate) error {
	follows := c.node.Status().Evacuated.Revision()
	order.Follows = &follows
	r, err := c.proposeUntil(ctx, until, wire.Command{Evacuate: &order})
	for err == nil && r.Reason == state.ReasonSuperseded {
		newest := evacuation.Restore(r.Evacuations).Revision()
		order.Follows = &newest
		r, err = c.proposeUntil(ctx, until, wire.Command{Evacuate: &order})
	}
	if err == nil && !r.Accepted {
		err = fmt.Errorf("%w: %s", errRejected, r.Reason)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", controlapi.ErrNoQuorum, err)
	}
	return nil
}

// checkEvacuation returns why an order can't be proposed, by what the event loop knows.
func (c *Controller) checkEvacuation(ctx context.Context, order wire.Evacuate) error {
	result := make(chan error, 1)
	if !c.push(evacuationEvent{order: order, result: result}) {
		return fmt.Errorf("%w: the queue is full", controlapi.ErrNoQuorum)
	}
	select {
	case err := <-result:
		if errors.Is(err, evacuation.ErrUnknown) {
			return fmt.Errorf("%w: %w", controlapi.ErrUnknownDataCentre, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", controlapi.ErrNoQuorum, err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", controlapi.ErrNoQuorum, ctx.Err())
	}
}

// evacuationView returns what this host knows as an order arrives.
func (c *Controller) evacuationView(now time.Time) evacuation.View {
	v := evacuation.View{
		Evacuated: c.evacuated, IsKnown: c.knowsDataCentre,
		Complete: len(c.settings.Regions) > 0 || now.Sub(c.startedAt) > reconcilerConfig(c.settings).TakeoverDelay,
	}
	for _, p := range c.presence {
		// A host that was last heard of long ago has ended, or comes back with whatever version is installed then.
		if now.Sub(p.soundAt) < serverRetention {
			v.Formats = append(v.Formats, p.presence.LogFormat)
		}
	}
	return v
}

// countEvacuatedRequests returns how many requests are in flight in evacuated data centres, which the metric shows from then on.
func (c *Controller) countEvacuatedRequests() int {
	n := 0
	for id, load := range c.totals.Loads {
		if e, known := c.endpoints.endpoint(id); known && c.evacuated.Covers(e.DataCentre) {
			n += load.InFlight
		}
	}
	c.evacuatedRequests.Store(int64(n))
	return n
}

// grantable returns an endpoint for which requests can be permitted.
func (c *Controller) grantable(id string) (wire.Endpoint, bool) {
	e, known := c.endpoints.endpoint(id)
	return e, known && !c.evacuated.Covers(e.DataCentre)
}

// knowsDataCentre reports whether a data centre is named in the settings, or by a server or a daemon.
func (c *Controller) knowsDataCentre(name string) bool {
	if _, named := c.settings.Regions[name]; named || name == c.settings.DataCentre {
		return true
	}
	for _, s := range c.table.Servers() {
		if s.Report().DataCentre == name {
			return true
		}
	}
	for _, host := range c.mesh.InboundHosts() {
		if c.mesh.DataCentreOf(host) == name {
			return true
		}
	}
	return false
}

// Status returns what this host knows of the control hosts and of the replicated state. Unless the leader confirms the evacuated data
// centres in time, they are those that this host knows of.
func (c *Controller) Status(ctx context.Context) controlapi.Status {
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	r, err := c.propose(ctx, wire.Command{Barrier: true})
	s := c.node.Status()
	evacuated := s.Evacuated
	if err == nil {
		evacuated = evacuated.Newer(r.Evacuations)
	}
	out := controlapi.Status{
		Host: c.settings.Name, Leader: quorum.HostOf(s.Leader), Leading: c.node.HasLease(), Term: s.Term, Members: []string{}, Confirmed: err == nil,
		Evacuated: append([]string{}, evacuated.Names()...), EvacuatedAt: evacuated.Revision(), LogFailure: s.FailureReason,
	}
	for _, m := range s.Members.Members {
		out.Members = append(out.Members, m.ID)
	}
	if s.Published != nil {
		out.Document = s.Published.Version
	}
	return out
}

// coldReportMargin is added to the interval of reports until the servers of a data centre that is taken back say themselves whether they
// are cold.
const coldReportMargin = 300 * time.Millisecond

// updateEvacuated applies the evacuated data centres of the replicated log. A leader tells the entry hosts of a further one at once. Servers
// of one that is taken back may have become cold meanwhile, so they count as cold until their next reports, and hosts hear of both in the next step.
func (c *Controller) updateEvacuated(now time.Time, s *evacuation.Set) {
	if s == c.evacuated {
		return
	}
	old := c.evacuated
	c.evacuated = s
	if s.Revision() == old.Revision() {
		return
	}
	c.changed = true
	for _, name := range old.Names() {
		if !s.Covers(name) {
			c.table.AssumeCold(now, name, instance.Milliseconds(c.settings.ReportIntervalMs)+coldReportMargin)
		}
	}
	isFurther := slices.ContainsFunc(s.Names(), func(name string) bool { return !old.Covers(name) })
	c.log.Warn().Str("event", "evacuationsInForce").Strs("dataCentres", s.Names()).Uint64("revision", s.Revision()).Uint64("term", c.term).
		Bool("leading", c.leading).Msg("the evacuated data centres have changed")
	if c.leading && isFurther {
		c.pushToAll(now)
	}
}

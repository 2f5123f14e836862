package controller

import (
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/pace"
	"savorywing.example/savorywing/process/quarantine"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// presenceInterval is how often control hosts announce their presence to each other.
	presenceInterval = 500 * time.Millisecond
	// serverRetention is how long a silent backend server stays in the table.
	serverRetention = 60 * time.Second
	// replaceVoterAfter is how long a voter must be silent before another host may replace it.
	replaceVoterAfter = 2 * time.Second
)

// run is the controller's event loop; it owns the state that needs no lock. Urgent events come first, then a bounded
// number of the others, so that none waits behind a burst of another kind.
func (c *Controller) run() {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	nextPresence := c.clock.Now()
	for {
		var first event
		select {
		case <-c.ctx.Done():
			return
		case first = <-c.urgent.Out():
		case <-c.reports.Ready():
		case <-c.repeats.Ready():
		case <-c.usage.Ready():
		case <-timer.C:
		}
		// What has waited since before a gap is handled after it is known.
		c.observeListening(c.clock.Now())
		if first != nil {
			c.handleUrgent(first)
		}
		select {
		case first := <-c.urgent.Out():
			c.handleUrgent(first)
		default:
		}
		c.handleReports()
		c.handleWaitingUsage()
		now := c.clock.Now()
		c.updateLeadership(now)
		c.updateIsolation(now)
		c.stepQuarantine(now)
		c.notifyWaiting(now)
		if !now.Before(nextPresence) {
			nextPresence = now.Add(presenceInterval)
			c.sendPresence(now)
			c.logDropped()
		}
		c.step(now)
		c.flushReports(now)
		now = c.clock.Now()
		timer.Reset(min(c.untilNextStep(now), c.outbox.UntilDue(now)))
	}
}

// step takes the next step if it is due: as leader it reconciles groups, otherwise it observes them.
func (c *Controller) step(now time.Time) {
	if c.untilNextStep(now) > 0 {
		return
	}
	c.lastStep, c.changed = now, false
	document := c.document.Load()
	if document == nil {
		return
	}
	if !c.leading {
		c.observeAsFollower(now, document)
		return
	}
	c.runLeader(now, document)
	took := c.clock.Now().Sub(now)
	c.telemetry.Observe("step", "role", "leader", took)
	if took > slowStep {
		c.log.Warn().Str("event", "slowStep").Dur("took", took).Dur("electionTimeout", electionTimeout).Msg("a planning step took so long that leadership may be lost")
	}
}

// untilNextStep returns the time until the next step is due.
func (c *Controller) untilNextStep(now time.Time) time.Duration {
	interval := stepInterval
	if c.changed {
		interval = minStepInterval
	}
	return max(0, c.lastStep.Add(interval).Sub(now))
}

// handleUrgent handles an urgent event and those that wait behind it.
func (c *Controller) handleUrgent(first event) {
	for _, e := range c.urgent.Drain(first, maxEventBatch) {
		c.handle(e)
	}
}

// handleWaitingUsage answers waiting usage reports.
func (c *Controller) handleWaitingUsage() {
	hosts, reports := c.usage.Take(maxEventBatch)
	for i, host := range hosts {
		c.handleUsage(host, reports[i])
	}
}

func (c *Controller) handle(e event) {
	switch e := e.(type) {
	case reportsEvent:
		c.applyReports(e)
	case withdrawalEvent:
		c.handleWithdrawal(e)
	case presenceEvent:
		c.handlePresence(e.from, e.presence)
	case connectionEvent:
		c.lacking[e.host] = true
		c.updateDirectory(c.clock.Now())
	case outcomeEvent:
		c.log.Info().Str("event", "orderAnswered").Str("action", e.order.Action.String()).Str("server", e.order.Server).
			Str("group", e.order.Group).Str("outcome", e.outcome.String()).Msg("outcome of an order")
		c.telemetry.Count("orders", "outcome", e.order.Action.String()+"/"+e.outcome.String())
		c.reconciler.RecordOutcome(c.clock.Now(), e.order, e.outcome)
		c.applyLeaving(e.leaving)
		c.changed = true
	case evacuationEvent:
		e.result <- evacuation.Check(c.evacuationView(c.clock.Now()), e.order)
	}
}

// notifyWaiting tells the entry hosts of changed endpoints and then the callers that wait for it.
func (c *Controller) notifyWaiting(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	if c.leading {
		c.pushNow(now)
	}
	for _, done := range c.waiting {
		close(done)
	}
	c.waiting = nil
}

// logDropped logs that events have been dropped since it was last called.
func (c *Controller) logDropped() {
	dropped := c.dropped()
	if dropped == c.loggedDropped {
		return
	}
	c.log.Warn().Str("event", "eventsDropped").Uint64("dropped", dropped-c.loggedDropped).Msg("queues were full; dropped events")
	c.loggedDropped = dropped
}

// updateLeadership applies changes of the leader, the term and the lease.
func (c *Controller) updateLeadership(now time.Time) {
	status := c.node.Status()
	c.updateEvacuated(now, status.Evacuated)
	leading := status.Role == quorum.Leader && now.Before(status.LeaseUntil)
	if leading != c.leading || status.Term != c.term {
		c.log.Info().Str("event", "leadership").Bool("leading", leading).Uint64("term", status.Term).Str("leader", status.Leader).Msg("leadership changed")
		c.leading, c.term = leading, status.Term
		if leading {
			c.endpoints, c.totals, c.outgoingVoters = newEndpointLog(), fleet.NewTotals(), nil
			c.entryHosts, c.demandSince, c.packedAt = map[string]*entryHostState{}, time.Time{}, time.Time{}
			c.beginTerm(c.clock.Now(), status.Term)
			c.forwarders = forwarding.NewDirectory()
			// Entry hosts report as soon as they know of the new leader, and are sent all endpoints.
			c.pushNow(now)
		}
	}
	if status.Leader != c.lastLeader {
		c.lastLeader = status.Leader
		c.announceLeader(quorum.HostOf(status.Leader))
		c.updateDirectory(now)
	}
	c.decodeDocument(status.Published)
}

// beginTerm forgets what an earlier leader, or this host in an earlier term, was told by entry hosts. They tell it again in each
// term, but not if this host only loses its lease for a moment.
func (c *Controller) beginTerm(now time.Time, term uint64) {
	if term == c.toldTerm {
		return
	}
	c.toldTerm, c.quarantine, c.limits = term, quarantine.NewTracker(now), quota.NewAllocator()
	c.paces = pace.NewTracker(c.silentAfter())
}

// announceLeader sends the leader's host to the entry hosts that are connected to this one.
func (c *Controller) announceLeader(host string) {
	c.setLeaderControl(host)
	if host == "" {
		return
	}
	for _, entry := range c.mesh.InboundHosts() {
		// The error is ignored: an entry host that has disconnected sends its usage report again once it is back.
		_ = c.mesh.Push(entry, wire.Frame{Fleet: &wire.FleetUpdate{Leader: host, Controls: c.controlHosts()}})
	}
}

func (c *Controller) setLeaderControl(host string) {
	address := ""
	if host == c.settings.PeerAddress() {
		address = c.settings.ControlAddress
	} else if p, known := c.presence[host]; known {
		address = p.presence.ControlAddress
	}
	c.leaderControl.Store(&address)
}

func (c *Controller) controlHosts() []string {
	var out []string
	for _, m := range c.node.Status().Members.Members {
		out = append(out, quorum.HostOf(m.ID))
	}
	return out
}

// decodeDocument decodes a published document and keeps its catalogue if its version is newer than the one held.
func (c *Controller) decodeDocument(p *wire.Publish) {
	if p == nil {
		return
	}
	if old := c.document.Load(); old != nil && old.version >= p.Version {
		return
	}
	if c.unreadable == p.Version {
		return
	}
	b, err := codec.Decompress(p.Document)
	var catalogue *catalogue.Catalogue
	if err == nil {
		catalogue, err = c.dialect.ReadDocument(b)
	}
	if err != nil {
		c.unreadable = p.Version
		c.log.Error().Str("event", "documentUnreadable").Uint64("version", p.Version).Err(err).Msg("a published document can't be decoded")
		return
	}
	c.document.Store(&decodedDocument{version: p.Version, packed: p.Document, catalogue: catalogue})
	c.log.Info().Str("event", "documentInForce").Uint64("version", p.Version).Msg("a new document is in force")
	c.changed = true
}

package controller

import (
	"time"

	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// presenceInterval is how often control hosts announce their presence to each other.
	presenceInterval = 500 * time.Millisecond
	// flushInterval bounds how long an unchanged report waits before it is forwarded.
	flushInterval = 100 * time.Millisecond
	// serverRetention is how long a silent backend server stays in the table.
	serverRetention = 60 * time.Second
	// replaceVoterAfter is how long a voter must be silent before another host may replace it.
	replaceVoterAfter = 2 * time.Second
)

// run is the controller's event loop; it owns the state that needs no lock.
func (c *Controller) run() {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	nextPresence := c.clock.Now()
	for {
		select {
		case <-c.ctx.Done():
			return
		case first := <-c.events.Out():
			for _, e := range c.events.Drain(first, maxEventBatch) {
				c.handle(e)
			}
		case <-timer.C:
			timer.Reset(stepInterval)
		}
		now := c.clock.Now()
		c.updateLeadership(now)
		if !now.Before(nextPresence) {
			nextPresence = now.Add(presenceInterval)
			c.sendPresence(now)
		}
		if c.leading {
			c.runLeader(now)
		} else {
			c.observeAsFollower(now)
		}
		c.flushReports(now)
	}
}

func (c *Controller) handle(e event) {
	switch e := e.(type) {
	case reportsEvent:
		for _, r := range e.reports {
			c.applyReport(r, e.direct)
		}
		// The entry hosts are notified before the report is acknowledged.
		if c.leading && e.done != nil && c.table.Revision() != c.pushedRevision {
			c.pushChanges(c.clock.Now())
		}
		if e.done != nil {
			close(e.done)
		}
	case usageEvent:
		c.handleUsage(e.from, e.usage)
	case presenceEvent:
		c.handlePresence(e.from, e.presence)
	case outcomeEvent:
		c.log.Info().Str("event", "orderAnswered").Str("action", e.order.Action.String()).Str("server", e.order.Server).
			Str("group", e.order.Group).Str("outcome", e.outcome.String()).Msg("outcome of an order")
		c.telemetry.Count("orders", "outcome", e.order.Action.String()+"/"+e.outcome.String())
		c.reconciler.RecordOutcome(c.clock.Now(), e.order, e.outcome)
		c.applyLeaving(e.leaving)
		c.nextStep = time.Time{}
	}
}

// applyReport applies one report and forwards it if it came directly from the backend server.
func (c *Controller) applyReport(r wire.Report, direct bool) {
	now := c.clock.Now()
	if r.Gone && r.Service == "" {
		if c.table.Withdraw(now, r.ID) {
			c.log.Info().Str("event", "serverWithdrawn").Str("server", r.ID).Msg("a backend server deregistered")
			c.nextStep = time.Time{}
			c.pendingReports, c.flushAt = append(c.pendingReports, r), now
		}
		return
	}
	changed, err := c.table.Apply(now, r)
	if err != nil {
		c.telemetry.Count("reports_ignored", "reason", err.Error())
		c.log.Debug().Str("event", "reportIgnored").Str("server", r.ID).Int64("born", r.Born).Uint64("sequence", r.Sequence).Err(err).Msg("ignored a report")
		return
	}
	if changed {
		c.logServer(r)
		c.nextStep = time.Time{}
	}
	if !direct {
		return
	}
	c.pendingReports = append(c.pendingReports, r)
	if changed {
		c.flushAt = now
	} else if c.flushAt.IsZero() {
		c.flushAt = now.Add(flushInterval)
	}
}

func (c *Controller) logServer(r wire.Report) {
	e := c.log.Info().Str("event", "serverChanged").Str("server", r.ID).Str("service", r.Service).Int64("born", r.Born).
		Uint64("sequence", r.Sequence).Bool("leaving", r.Leaving).Strs("staged", r.Staged)
	if g := r.Group; g != nil {
		e = e.Str("group", g.Name).Int("rank", g.Rank).Str("state", g.State)
	}
	e.Msg("a backend server changed its state")
}

// flushReports forwards pending reports to the other control hosts, so that each of them can take over as leader.
func (c *Controller) flushReports(now time.Time) {
	if len(c.pendingReports) == 0 || now.Before(c.flushAt) {
		return
	}
	for _, host := range c.mesh.Hosts() {
		// An unreachable control host is sent the next report.
		_ = c.mesh.Send(host, wire.Frame{Reports: c.pendingReports})
	}
	c.pendingReports, c.flushAt = nil, time.Time{}
}

// updateLeadership applies changes of the leader, the term and the lease.
func (c *Controller) updateLeadership(now time.Time) {
	status := c.node.Status()
	leading := status.Role == quorum.Leader && now.Before(status.LeaseUntil)
	if leading != c.leading || status.Term != c.term {
		c.log.Info().Str("event", "leadership").Bool("leading", leading).Uint64("term", status.Term).Str("leader", status.Leader).Msg("leadership changed")
		c.leading, c.term = leading, status.Term
		if leading {
			c.endpoints = endpointLog{}
			c.entryHosts, c.demandSince, c.loadSumAt = map[string]*entryHostState{}, time.Time{}, time.Time{}
		}
	}
	if status.Leader != c.lastLeader {
		c.lastLeader = status.Leader
		c.announceLeader(quorum.HostOf(status.Leader))
	}
	c.decodeDocument(status.Published)
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
	b, err := codec.Decompress(p.Document)
	if err != nil {
		c.log.Error().Str("event", "documentUnreadable").Uint64("version", p.Version).Err(err).Msg("a published document can't be decoded")
		return
	}
	catalogue, err := c.dialect.ReadDocument(b)
	if err != nil {
		c.log.Error().Str("event", "documentUnreadable").Uint64("version", p.Version).Err(err).Msg("a published document can't be decoded")
		return
	}
	c.document.Store(&decodedDocument{version: p.Version, packed: p.Document, catalogue: catalogue})
	c.log.Info().Str("event", "documentInForce").Uint64("version", p.Version).Msg("a new document is in force")
	c.nextStep = time.Time{}
}

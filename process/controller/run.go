package controller

import (
	"time"

	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	// presenceEvery is how often control hosts tell each other that they are there.
	presenceEvery = 500 * time.Millisecond
	// flushEvery bounds how long an unchanged report waits before it is passed on.
	flushEvery = 100 * time.Millisecond
	// forgetAfter is how long a silent backend server is remembered.
	forgetAfter = 60 * time.Second
	// replaceAfter is how long a voter must be silent before another host takes its place.
	replaceAfter = 2 * time.Second
)

// run is the controller's thread.
func (c *Controller) run() {
	timer := time.NewTimer(stepEvery)
	defer timer.Stop()
	nextPresence := c.clock.Now()
	for {
		select {
		case <-c.ctx.Done():
			return
		case first := <-c.events.Out():
			for _, e := range c.events.Drain(first, batchSize) {
				c.handle(e)
			}
		case <-timer.C:
			timer.Reset(stepEvery)
		}
		now := c.clock.Now()
		c.follow(now)
		if !now.Before(nextPresence) {
			nextPresence = now.Add(presenceEvery)
			c.tellPresence(now)
		}
		if c.leading {
			c.lead(now)
		} else {
			c.keepUp(now)
		}
		c.flushReports(now)
	}
}

func (c *Controller) handle(e event) {
	switch e := e.(type) {
	case reportsEvent:
		for _, r := range e.reports {
			c.takeOver(r, e.direct)
		}
		// The entry hosts are told before the report is acknowledged.
		if c.leading && e.done != nil && c.table.Revision() != c.pushed {
			c.pushChanges(c.clock.Now())
		}
		if e.done != nil {
			close(e.done)
		}
	case usageEvent:
		c.takeUsage(e.from, e.usage)
	case presenceEvent:
		c.takePresence(e.from, e.presence)
	case outcomeEvent:
		c.log.Info().Str("event", "orderAnswered").Str("action", e.order.Action.String()).Str("server", e.order.Server).
			Str("group", e.order.Group).Str("outcome", e.outcome.String()).Msg("")
		c.telemetry.Count("orders", "outcome", e.order.Action.String()+"/"+e.outcome.String())
		c.reconciler.RecordOutcome(c.clock.Now(), e.order, e.outcome)
		c.nextStep = time.Time{}
	}
}

// takeOver applies one report and passes it on if it came from the backend server itself.
func (c *Controller) takeOver(r wire.Report, direct bool) {
	now := c.clock.Now()
	if r.Gone && r.Service == "" {
		if c.table.Withdraw(now, r.ID) {
			c.log.Info().Str("event", "serverWithdrawn").Str("server", r.ID).Msg("")
			c.nextStep = time.Time{}
			c.forward, c.flushAt = append(c.forward, r), now
		}
		return
	}
	changed, err := c.table.Apply(now, r)
	if err != nil {
		c.telemetry.Count("reports_ignored", "reason", err.Error())
		c.log.Debug().Str("event", "reportIgnored").Str("server", r.ID).Int64("born", r.Born).Uint64("sequence", r.Sequence).Err(err).Msg("")
		return
	}
	if changed {
		c.logServer(r)
		c.nextStep = time.Time{}
	}
	if !direct {
		return
	}
	c.forward = append(c.forward, r)
	if changed {
		c.flushAt = now
	} else if c.flushAt.IsZero() {
		c.flushAt = now.Add(flushEvery)
	}
}

func (c *Controller) logServer(r wire.Report) {
	e := c.log.Info().Str("event", "serverChanged").Str("server", r.ID).Str("service", r.Service).Int64("born", r.Born).
		Uint64("sequence", r.Sequence).Bool("leaving", r.Leaving).Strs("staged", r.Staged)
	if g := r.Group; g != nil {
		e = e.Str("group", g.Name).Int("rank", g.Rank).Str("state", g.State)
	}
	e.Msg("")
}

// flushReports passes reports on to the other control hosts, so that each can take over as leader.
func (c *Controller) flushReports(now time.Time) {
	if len(c.forward) == 0 || now.Before(c.flushAt) {
		return
	}
	for _, host := range c.mesh.Hosts() {
		// A control host that can't be reached gets the next report.
		_ = c.mesh.Send(host, wire.Frame{Reports: c.forward})
	}
	c.forward, c.flushAt = nil, time.Time{}
}

// follow notices changes of the leader.
func (c *Controller) follow(now time.Time) {
	view := c.node.Status()
	leading := view.Role == quorum.Leader && now.Before(view.LeaseUntil)
	if leading != c.leading || view.Term != c.term {
		c.log.Info().Str("event", "leadership").Bool("leading", leading).Uint64("term", view.Term).Str("leader", view.Leader).Msg("")
		c.leading, c.term = leading, view.Term
		if leading {
			c.endpoints = endpointLog{}
			c.entries, c.measuredSince, c.summedAt = map[string]*entryState{}, time.Time{}, time.Time{}
		}
	}
	if view.Leader != c.lastLeader {
		c.lastLeader = view.Leader
		c.announceLeader(quorum.HostOf(view.Leader))
	}
	c.decodeDocument(view.Published)
}

// announceLeader tells the entry hosts connected here who leads.
func (c *Controller) announceLeader(host string) {
	c.setLeaderControl(host)
	if host == "" {
		return
	}
	for _, entry := range c.mesh.InboundHosts() {
		// An entry host that has gone asks again when it is back.
		_ = c.mesh.Push(entry, wire.Frame{Fleet: &wire.FleetUpdate{Leader: host, Controls: c.controls()}})
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

func (c *Controller) controls() []string {
	var out []string
	for _, m := range c.node.Status().Members.Members {
		out = append(out, quorum.HostOf(m.ID))
	}
	return out
}

// decodeDocument keeps the catalogue of the newest accepted document.
func (c *Controller) decodeDocument(p *wire.Publish) {
	if p == nil {
		return
	}
	if old := c.document.Load(); old != nil && old.version >= p.Version {
		return
	}
	b, err := codec.Decompress(p.Document)
	if err != nil {
		c.log.Error().Str("event", "documentUnreadable").Uint64("version", p.Version).Err(err).Msg("")
		return
	}
	catalogue, err := c.dialect.ReadDocument(b)
	if err != nil {
		c.log.Error().Str("event", "documentUnreadable").Uint64("version", p.Version).Err(err).Msg("")
		return
	}
	c.document.Store(&decoded{version: p.Version, packed: p.Document, catalogue: catalogue})
	c.log.Info().Str("event", "documentInForce").Uint64("version", p.Version).Msg("")
	c.nextStep = time.Time{}
}

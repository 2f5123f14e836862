package controller

import (
	"time"

	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/reporting"
	"savorywing.example/savorywing/wire"
)

// handleReports applies waiting reports. Those that repeat an earlier one come after it.
func (c *Controller) handleReports() {
	_, events := c.reports.Take(maxEventBatch)
	for _, e := range events {
		c.applyReport(e.report, e.direct)
	}
	_, repeats := c.repeats.Take(maxEventBatch)
	now := c.clock.Now()
	for _, r := range repeats {
		if err := c.table.Repeat(now, r); err != nil {
			c.telemetry.Count("reports_ignored", "reason", err.Error())
		}
	}
}

// applyReports applies reports for whose effect somebody may wait.
func (c *Controller) applyReports(e reportsEvent) {
	var refused error
	for _, r := range e.reports {
		if r.IsWithdrawal() {
			if _, err := c.applyWithdrawal(r); err != nil {
				refused = err
			}
			continue
		}
		c.applyReport(r, false)
	}
	switch {
	case e.done == nil:
	case refused != nil && e.refused != nil:
		e.refused <- refused
	default:
		c.waiting = append(c.waiting, e.done)
	}
}

// applyReport applies one report and forwards it if it came directly from the backend server.
func (c *Controller) applyReport(r wire.Report, direct bool) {
	now := c.clock.Now()
	if c.isDaemon(r.Address) {
		if allowed, omitted := c.invalidReports.Allow(r.ID); allowed {
			c.log.Warn().Str("event", "reportIgnored").Str("server", r.ID).Str("address", r.Address).Uint64("omitted", omitted).Msg("ignored a report with the address of a daemon")
		}
		return
	}
	if direct && c.applyRepeat(now, r) {
		return
	}
	before := c.reinstatedAt(r)
	changed, err := c.table.Apply(now, r)
	if err != nil {
		c.telemetry.Count("reports_ignored", "reason", err.Error())
		c.log.Debug().Str("event", "reportIgnored").Str("server", r.ID).Int64("born", r.Born).Uint64("sequence", r.Sequence).Err(err).Msg("ignored a report")
		return
	}
	if r.Reinstated = c.reinstatedAt(r); r.Reinstated != before {
		c.logReinstated(r, direct)
	}
	if r.Leaving {
		c.outbox.Forget(r.ID)
	}
	if changed {
		c.changed = true
		c.logServer(r, direct || r.Leaving)
	}
	if direct {
		c.outbox.AddWhole(now, r, changed)
	}
}

// applyRepeat applies a report that says the same as the server's last one, and returns false if it is another one or is to be
// forwarded as a whole.
func (c *Controller) applyRepeat(now time.Time, r wire.Report) bool {
	repeat, same := c.table.AsRepeat(r)
	return same && c.outbox.AddRepeat(now, repeat) && c.table.Repeat(now, repeat) == nil
}

// logServer logs that a server has changed its state, at the control host that it has told.
func (c *Controller) logServer(r wire.Report, told bool) {
	e := c.log.Debug()
	if told {
		e = c.log.Info()
	}
	e = e.Str("event", "serverChanged").Str("server", r.ID).Str("service", r.Service).Int64("born", r.Born).
		Uint64("sequence", r.Sequence).Bool("leaving", r.Leaving).Strs("staged", r.Staged)
	if g := r.Group; g != nil {
		e = e.Str("group", g.Name).Int("rank", g.Rank).Str("state", g.State)
	}
	e.Msg("a backend server changed its state")
}

// flushReports forwards waiting reports to the other control hosts, so that each of them can take over as leader. A host that
// has been out of reach since the last time is sent all that it may lack.
func (c *Controller) flushReports(now time.Time) {
	batch, due := c.outbox.Take(now)
	if !due {
		return
	}
	encoded := map[flushKind]peer.EncodedFrame{}
	for _, host := range c.mesh.Hosts() {
		if !c.mesh.IsConnected(host) {
			c.lacking[host] = true
			continue
		}
		kind := flushKind{lacking: c.lacking[host], takesRepeats: c.presence[host].presence.TakesRepeats}
		frame, known := encoded[kind]
		if !known {
			var err error
			if frame, err = peer.Encode(c.reportFrame(now, batch, kind)); err != nil {
				c.log.Error().Str("event", "reportsUnsent").Err(err).Msg("reports can't be encoded")
				return
			}
			encoded[kind] = frame
		}
		c.lacking[host] = c.mesh.SendEncoded(host, frame) != nil
	}
}

// flushKind is what a control host is to be sent: one that lacks earlier reports is sent all, and only one that takes
// repeated reports is sent such.
type flushKind struct{ lacking, takesRepeats bool }

func (c *Controller) reportFrame(now time.Time, b reporting.Batch, kind flushKind) wire.Frame {
	f := wire.Frame{Reports: b.Whole, Repeats: b.Repeats}
	if !kind.takesRepeats {
		f = wire.Frame{Reports: c.outbox.WholeOnly(b)}
	}
	if kind.lacking {
		f.Reports = append(c.outbox.All(now), f.Reports...)
	}
	return f
}

// maxPresenceAge is how old the last announcement of a control host may be for servers to be told to report there.
const maxPresenceAge = 3 * presenceInterval

// updateDirectory decides anew which control hosts take reports.
func (c *Controller) updateDirectory(now time.Time) {
	self := c.settings.PeerAddress()
	hosts := []reporting.Host{{Address: c.settings.ControlAddress, DataCentre: c.settings.DataCentre}}
	for host, p := range c.presence {
		if p.presence.ControlAddress != "" && now.Sub(p.seenAt) <= maxPresenceAge && c.mesh.IsConnected(host) && host != self {
			hosts = append(hosts, reporting.Host{Address: p.presence.ControlAddress, DataCentre: c.mesh.DataCentreOf(host)})
		}
	}
	servers := map[string]int{}
	for _, s := range c.table.Servers() {
		servers[s.Report().DataCentre]++
	}
	c.directory.Store(reporting.NewDirectory(hosts, servers))
	leader := quorum.HostOf(c.lastLeader)
	c.cutOff.Store(leader != "" && leader != self && !c.mesh.IsConnected(leader))
}

// maxSilence is how long another control host may announce nothing until it counts as out of reach: two announcements and the network
// delay.
const maxSilence = 2*presenceInterval + 100*time.Millisecond

// updateIsolation finds out whether this host reaches more than half of the control hosts. Without them no leader learns of the reports
// that it gets.
func (c *Controller) updateIsolation(now time.Time) {
	self := c.settings.PeerAddress()
	var members []string
	for _, m := range c.node.Status().Members.Members {
		if m.Voter {
			members = append(members, quorum.HostOf(m.ID))
		}
	}
	isolated := !reporting.HasMajority(members, func(host string) bool {
		return host == self || (c.mesh.IsConnected(host) && now.Sub(c.presence[host].seenAt) <= maxSilence)
	})
	c.reachKnown = true
	if isolated == c.isolated.Load() {
		return
	}
	c.isolated.Store(isolated)
	c.log.Warn().Str("event", "controlHostsOutOfReach").Bool("isolated", isolated).Int("members", len(members)).Msg("whether this host reaches a majority of the control hosts")
}

// observeListening records whether this host hears the others. What it holds of them from before a gap tells nothing of them since.
func (c *Controller) observeListening(now time.Time) {
	gap, ended := c.listening.Observe(now, c.reachKnown && !c.isolated.Load())
	if !ended {
		return
	}
	c.telemetry.Count("listening_gaps", "cause", gap.Cause())
	c.log.Warn().Str("event", "listeningResumed").Str("cause", gap.Cause()).Dur("suspended", gap.Suspended).Dur("listenedBefore", gap.Listened).
		Uint64("gaps", c.listening.Gaps()).Msg("this host was suspended or out of reach, and hears the other control hosts again")
}

// reportAddress returns where a server is to send its later reports; empty for any control host. A host that doesn't reach the
// leader names it.
func (c *Controller) reportAddress(r wire.Report) string {
	if c.cutOff.Load() {
		if address := c.leaderControl.Load(); address != nil {
			return *address
		}
		return ""
	}
	if d := c.directory.Load(); d != nil {
		return d.HostFor(r.ID, r.DataCentre)
	}
	return ""
}

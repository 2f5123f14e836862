package controller

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/formation"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

// entryHostState is the leader's state of one entry host.
type entryHostState struct {
	usage        wire.Usage
	lastReportAt time.Time
	// sentRevision is the revision of the last update sent to the host; 0 if it needs a full one.
	sentRevision uint64
	// forwardersSentAt is when the host was last sent the entry hosts that take requests of others.
	forwardersSentAt time.Time
	// demand is the smoothed demand for each model, in busy slots.
	demand map[string]float64
	// observedTime is the total time over which demand has been sampled.
	observedTime time.Duration
}

// demandTimeConstant is the time constant of the moving average of the demand that groups are planned for.
const demandTimeConstant = 4 * time.Second

// runLeader reconciles groups, sends orders and updates the entry hosts.
func (c *Controller) runLeader(now time.Time, document *decodedDocument) {
	c.totals.Expire(now, entryTimeout)
	c.forwarders.Expire(now, entryTimeout)
	in := formation.Input{
		Table: c.table, Catalogue: document.catalogue, Term: c.term, Demand: c.demand(now), Progress: c.progress(), Evacuated: c.evacuated,
		FirstStart: c.settings.FirstStart && !c.hasSeenRequests,
	}
	for _, o := range c.reconciler.Step(now, in) {
		c.submitOrder(o)
	}
	c.logShortages(now)
	c.pushChanges(now)
	if !now.Before(c.nextSummary) {
		c.nextSummary = now.Add(summaryInterval)
		c.logSummary(now, in)
	}
}

// observeAsFollower lets a follower derive the groups from reports, so that it knows every group's members
// when it takes over.
func (c *Controller) observeAsFollower(now time.Time, document *decodedDocument) {
	c.reconciler.ObserveAsFollower(now, formation.Input{Table: c.table, Catalogue: document.catalogue, Term: c.term})
}

// summaryInterval is how often the leader logs a summary of the groups.
const summaryInterval = 1 * time.Second

func (c *Controller) logSummary(now time.Time, in formation.Input) {
	s := c.reconciler.Summary(now, in)
	e := c.log.Info().Str("event", "fleet").Int("free", s.Free).Int("loading", s.Loading).Int("lost", s.Lost).Int("evacuated", s.Evacuated).
		Int("evacuatedRequests", c.countEvacuatedRequests()).Int("entries", len(c.entryHosts))
	for model, m := range s.Models {
		e = e.Dict(model, zerolog.Dict().Int("open", m.Open).Int("forming", m.Forming).Int("ending", m.Ending).
			Float64("need", m.DemandRatio).Float64("demand", in.Demand[model]))
	}
	domains := zerolog.Dict()
	for domain, text := range s.Domains {
		domains = domains.Str(domain, text)
	}
	e.Dict("domains", domains).Msg("summary of the fleet")
}

// minPushInterval is the minimum time between two pushes of changed endpoints, other than those that a server waits for.
const minPushInterval = 50 * time.Millisecond

// pushChanges computes the endpoints, and sends the entry hosts what has changed if that is urgent. Any other change is
// part of the reply to a host's next usage report.
func (c *Controller) pushChanges(now time.Time) {
	if now.Before(c.nextPush) {
		c.changed = true
		return
	}
	list := slices.DeleteFunc(c.table.Endpoints(now, c.silentAfter(), c.reconciler.ModelOf), func(e wire.Endpoint) bool { return c.isDaemon(e.Address) })
	c.boundCold(now, list)
	c.pace(now, list)
	changed, urgent := c.endpoints.refresh(list)
	if !changed || !urgent {
		return
	}
	c.nextPush = now.Add(minPushInterval)
	c.pushToAll(now)
}

// pushToAll sends each entry host the changes that it lacks.
func (c *Controller) pushToAll(now time.Time) {
	// Hosts that lack the same changes are sent the same bytes.
	type state struct {
		revision    uint64
		takesPacked bool
	}
	encoded := map[state]peer.EncodedFrame{}
	for host, e := range c.entryHosts {
		if now.Sub(e.lastReportAt) >= entryTimeout {
			continue
		}
		held := state{e.sentRevision, e.usage.TakesPacked}
		frame := encoded[held]
		if frame == nil {
			var err error
			if frame, err = peer.Encode(wire.Frame{Fleet: c.changesSince(held.revision, held.takesPacked)}); err != nil {
				c.log.Error().Str("event", "updateLost").Err(err).Msg("an update can't be encoded")
				return
			}
			encoded[held] = frame
		}
		c.recordSent(host, e, c.mesh.PushEncoded(host, frame))
	}
}

// pushNow is pushChanges without regard to the time of the last push.
func (c *Controller) pushNow(now time.Time) {
	c.nextPush = time.Time{}
	c.pushChanges(now)
}

// changesSince returns an update with the changes of the endpoints after a revision, or all endpoints if it is 0 or too
// old. For a host that takes them, these are packed.
func (c *Controller) changesSince(revision uint64, takesPacked bool) *wire.FleetUpdate {
	u := &wire.FleetUpdate{Term: c.term, Revision: c.endpoints.revision, Leader: c.settings.PeerAddress()}
	u.Full = !c.endpoints.reaches(revision)
	if u.Full && takesPacked {
		var err error
		if u.Packed, u.Endpoints, u.Removed, err = c.endpoints.full(); err != nil {
			c.log.Error().Str("event", "endpointsUnpacked").Err(err).Msg("endpoints can't be packed and are sent as they are")
		}
	}
	if len(u.Packed) == 0 {
		u.Endpoints, u.Removed, _ = c.endpoints.since(revision)
	}
	u.Quarantine, u.Evacuations = c.quarantine.List(c.clock.Now()), c.evacuated.Wire()
	if u.Full {
		u.Controls = c.controlHosts()
	}
	if d := c.document.Load(); d != nil {
		u.Version = d.version
	}
	return u
}

// recordSent records that an entry host was sent the current endpoints, unless sending failed.
func (c *Controller) recordSent(host string, e *entryHostState, err error) {
	if err != nil {
		c.log.Debug().Str("event", "updateLost").Str("entry", host).Err(err).Msg("an update could not be sent")
		return
	}
	e.sentRevision = c.endpoints.revision
}

// reply answers an entry host's usage report with the changes that it lacks, the newest document and the loads.
func (c *Controller) reply(host string, e *entryHostState) {
	u := c.changesSince(e.sentRevision, e.usage.TakesPacked)
	u.Echo = e.usage.SentAt
	if d := c.document.Load(); d != nil && e.usage.Version < d.version {
		u.Document = d.packed
	}
	u.Loads, u.Entries = c.loads(c.clock.Now()), c.totals.Hosts()
	if e.usage.Term != c.term || e.usage.LimitRevision != c.limits.Revision() {
		u.Limits, u.LimitRevision = c.limits.List(c.clock.Now()), c.limits.Revision()
	}
	c.addForwarders(host, e, u)
	u.Permits = c.limits.Grant(c.clock.Now(), e.usage.PermitRequests, c.grantable)
	u.Probes = c.quarantine.Probes(c.clock.Now(), e.usage.TurnedAway)
	c.recordSent(host, e, c.mesh.Push(host, wire.Frame{Fleet: u}))
}

// minForwardersInterval is the minimum time between two lists of the entry hosts that take requests, which may change often
// while many hosts start.
const minForwardersInterval = 500 * time.Millisecond

// addForwarders adds the entry hosts that take requests of others, unless the host knows them.
func (c *Controller) addForwarders(host string, e *entryHostState, u *wire.FleetUpdate) {
	now := c.clock.Now()
	if e.usage.ForwarderRevision == c.forwarders.Revision() && e.usage.Term == c.term || now.Sub(e.forwardersSentAt) < minForwardersInterval {
		return
	}
	e.forwardersSentAt = now
	u.Forwarders, u.ForwarderRevision = c.forwarders.For(host), c.forwarders.Revision()
}

// handleUsage applies an entry host's usage report. While this host holds the lease, it responds with an update, which
// confirms the newest state.
func (c *Controller) handleUsage(host string, u wire.Usage) {
	if !c.leading {
		if leader := quorum.HostOf(c.node.Status().Leader); leader != "" {
			// The error is ignored: an entry host that has disconnected sends its usage report again once it is back.
			_ = c.mesh.Push(host, wire.Frame{Fleet: &wire.FleetUpdate{Leader: leader, Controls: c.controlHosts()}})
		}
		return
	}
	now := c.clock.Now()
	e := c.entryHosts[host]
	if e == nil {
		e = &entryHostState{demand: map[string]float64{}}
		c.entryHosts[host] = e
		c.log.Info().Str("event", "entryHostFound").Str("entry", host).Msg("discovered an entry host")
	}
	if len(u.Demand) > 0 && c.demandSince.IsZero() {
		c.demandSince = now
	}
	e.updateDemand(now, u)
	e.usage, e.lastReportAt = u, now
	c.recordDaemon(host)
	c.recordDaemon(u.Addresses...)
	c.totals.Set(now, host, u.Loads)
	c.forwarders.Set(now, host, c.mesh.DataCentreOf(host), u.ForwardProtocol)
	e.sentRevision = u.Revision
	if u.Term != c.term || u.Revision > c.endpoints.revision {
		e.sentRevision = 0
	}
	c.applyLeaving(u.Leaving)
	c.recordLosses(now, host, u)
	c.recordLimits(now, u)
	c.recordPace(now, u)
	for _, d := range u.Demand {
		c.hasSeenRequests = c.hasSeenRequests || d.Requests > 0
	}
	status := c.node.Status()
	if status.Published != nil {
		if d := c.document.Load(); d == nil || d.version < status.Published.Version {
			c.decodeDocument(status.Published)
		}
	}
	c.updateEvacuated(now, status.Evacuated)
	// The lease is checked after everything that the update contains has been read.
	if c.node.HasLease() {
		c.reply(host, e)
	}
}

// applyLeaving records servers whose responses say that they are leaving. The entry hosts are told before anything else is
// handled, as with a report.
func (c *Controller) applyLeaving(list []wire.ServerIncarnation) {
	changed := false
	for _, s := range list {
		if c.table.MarkLeaving(s.ID, s.Born) {
			changed = true
			c.log.Info().Str("event", "serverLeaving").Str("server", s.ID).Int64("born", s.Born).Msg("a backend server's response says that it is leaving")
		}
	}
	if changed {
		c.changed = true
		c.pushNow(c.clock.Now())
	}
}

// updateDemand adds the demand for each model between two usage reports to the moving average.
func (e *entryHostState) updateDemand(now time.Time, u wire.Usage) {
	previous := map[string]uint64{}
	for _, d := range e.usage.Demand {
		previous[d.Model] = d.WorkMs
	}
	interval := now.Sub(e.lastReportAt)
	if e.lastReportAt.IsZero() || interval <= 0 || interval > demandTimeConstant {
		return
	}
	// Until usage reports cover a full time constant, they are weighted by their intervals only. An average that started
	// at zero would make a new leader plan for less demand than there is.
	e.observedTime += interval
	weight := float64(interval) / float64(min(e.observedTime, demandTimeConstant))
	for _, d := range u.Demand {
		if d.WorkMs < previous[d.Model] {
			continue
		}
		rate := float64(d.WorkMs-previous[d.Model]) / float64(interval.Milliseconds()+1)
		e.demand[d.Model] += (rate - e.demand[d.Model]) * weight
	}
}

// demand returns the demand for each model in busy slots, or nothing before a full time constant has been observed.
func (c *Controller) demand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if c.demandSince.IsZero() || now.Sub(c.demandSince) < demandTimeConstant {
		return out
	}
	for _, e := range c.entryHosts {
		if now.Sub(e.lastReportAt) > demandTimeConstant {
			continue
		}
		for model, v := range e.demand {
			out[model] += v
		}
	}
	return out
}

// demandAge returns how old the oldest usage report is that the demand counts.
func (c *Controller) demandAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, e := range c.entryHosts {
		if age := now.Sub(e.lastReportAt); age <= demandTimeConstant {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// logShortages logs each change of the belief that a model is short.
func (c *Controller) logShortages(now time.Time) {
	for _, x := range c.reconciler.TakeShortageChanges() {
		change := "ended"
		if x.Short {
			change = "begun"
		}
		c.telemetry.Count("shortages", "change", change)
		c.log.Info().Str("event", "shortage").Str("model", x.Name).Str("change", change).Float64("need", x.Need()).Float64("demand", x.Mean).
			Float64("planned", x.Planned).Float64("capacity", x.Capacity).Dur("lasted", x.Lasted).Dur("age", c.demandAge(now)).Int("entries", len(c.entryHosts)).
			Msg("a model's groups have become too few for its demand, or enough again")
	}
}

// maxLoadAge is how long the encoded loads are reused. It is well below the interval between two usage reports of one
// host.
const maxLoadAge = 20 * time.Millisecond

// loads returns the encoded sum of what the entry hosts have in flight.
func (c *Controller) loads(now time.Time) []byte {
	if c.packedAt.IsZero() || now.Sub(c.packedAt) >= maxLoadAge {
		c.packedLoads, c.packedAt = fleet.PackLoads(c.endpoints.loadsByHandle(c.totals)), now
	}
	return c.packedLoads
}

// progress reports for each endpoint with requests in flight whether at least one of these requests makes progress.
func (c *Controller) progress() map[string]bool {
	out := map[string]bool{}
	for id, l := range c.totals.Loads {
		if l.InFlight > 0 {
			out[id] = !l.Stalled
		}
	}
	return out
}

package controller

import (
	"sort"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
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
	// demand is the smoothed demand for each model, in busy slots.
	demand map[string]float64
	// observedTime is the total time over which demand has been sampled.
	observedTime time.Duration
}

// demandTimeConstant is the time constant of the moving average of the demand that groups are planned for.
const demandTimeConstant = 4 * time.Second

// endpointLog holds the endpoints with the revision at which each was last changed or removed.
type endpointLog struct {
	revision uint64
	current  map[string]wire.Endpoint
	changed  map[string]uint64
	removed  map[string]uint64
	// handles maps the IDs of all endpoints seen in this leader's term to their handles; a handle is not reused.
	handles map[string]uint64
}

// refresh replaces the endpoints and reports whether any was added, changed or removed.
func (l *endpointLog) refresh(list []wire.Endpoint) bool {
	if l.current == nil {
		l.current, l.changed, l.removed = map[string]wire.Endpoint{}, map[string]uint64{}, map[string]uint64{}
		l.handles = map[string]uint64{}
	}
	next := l.revision + 1
	seen := map[string]bool{}
	dirty := false
	for _, e := range list {
		seen[e.ID] = true
		if l.handles[e.ID] == 0 {
			l.handles[e.ID] = uint64(len(l.handles) + 1)
		}
		e.Handle = l.handles[e.ID]
		if old, known := l.current[e.ID]; known && sameEndpoint(old, e) {
			continue
		}
		l.current[e.ID], l.changed[e.ID] = e, next
		delete(l.removed, e.ID)
		dirty = true
	}
	for id := range l.current {
		if !seen[id] {
			delete(l.current, id)
			delete(l.changed, id)
			l.removed[id] = next
			dirty = true
		}
	}
	if dirty {
		l.revision = next
	}
	return dirty
}

func sameEndpoint(a, b wire.Endpoint) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Service == b.Service && a.Model == b.Model && a.Group == b.Group &&
		a.Epoch == b.Epoch && a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Silent == b.Silent && (a.ColdMs > 0) == (b.ColdMs > 0)
}

// loadsByHandle returns the loads of the endpoints that still exist, with their handles in place of their IDs.
func (l *endpointLog) loadsByHandle(list []wire.EndpointLoad) []fleet.Load {
	out := make([]fleet.Load, 0, len(list))
	for _, e := range list {
		if _, known := l.current[e.ID]; known {
			out = append(out, fleet.Load{
				Handle: l.handles[e.ID], InFlight: e.InFlight, WaitingTokens: e.WaitingTokens, Stalled: e.Stalled, Progressed: e.Moved,
			})
		}
	}
	return out
}

// since returns the endpoints that were changed or removed after a revision, sorted by ID.
func (l *endpointLog) since(revision uint64) (endpoints []wire.Endpoint, removed []string) {
	for id, at := range l.changed {
		if at > revision {
			endpoints = append(endpoints, l.current[id])
		}
	}
	for id, at := range l.removed {
		if at > revision {
			removed = append(removed, id)
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	sort.Strings(removed)
	return endpoints, removed
}

// runLeader performs the leader's periodic work: it reconciles groups, sends orders and updates the entry hosts.
func (c *Controller) runLeader(now time.Time) {
	document := c.document.Load()
	if document == nil || now.Before(c.nextStep) {
		return
	}
	c.nextStep = now.Add(stepInterval)
	in := formation.Input{
		Table: c.table, Catalogue: document.catalogue, Term: c.term, Demand: c.demand(now), Progress: c.progress(now),
		FirstStart: c.settings.FirstStart && !c.hasSeenRequests,
	}
	for _, o := range c.reconciler.Step(now, in) {
		c.submitOrder(o)
	}
	c.pushChanges(now)
	if !now.Before(c.nextSummary) {
		c.nextSummary = now.Add(summaryInterval)
		c.logSummary(now, in)
	}
}

// observeAsFollower lets a follower derive the groups from reports, so that it knows every group's members
// when it takes over.
func (c *Controller) observeAsFollower(now time.Time) {
	document := c.document.Load()
	if document == nil || now.Before(c.nextStep) {
		return
	}
	c.nextStep = now.Add(stepInterval)
	c.reconciler.ObserveAsFollower(now, formation.Input{Table: c.table, Catalogue: document.catalogue, Term: c.term})
}

// summaryInterval is how often the leader logs a summary of the groups.
const summaryInterval = 1 * time.Second

func (c *Controller) logSummary(now time.Time, in formation.Input) {
	s := c.reconciler.Summary(now, in)
	e := c.log.Info().Str("event", "fleet").Int("free", s.Free).Int("loading", s.Loading).Int("lost", s.Lost).Int("entries", len(c.entryHosts))
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

// submitOrder sends an order from a goroutine of the pool; its outcome arrives as an event.
func (c *Controller) submitOrder(o savorywing.FleetOrder) {
	c.log.Info().Str("event", "orderSent").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
		Str("model", o.Model).Strs("members", o.Members).Uint64("fence", o.FencingToken).Msg("sending an order")
	born := int64(0)
	if s := c.table.Server(o.Server); s != nil {
		born = s.Report().Born
	}
	err := c.pool.Submit(func() {
		// The lease is checked again, since the task may have waited while this host was suspended.
		if !c.node.HasLease() {
			return
		}
		outcome, leaving := c.sendOrder(o)
		e := outcomeEvent{order: o, outcome: outcome}
		if leaving {
			e.leaving = []wire.ServerIncarnation{{ID: o.Server, Born: born}}
		}
		c.push(e)
	})
	if err != nil {
		c.log.Warn().Str("event", "orderDropped").Str("server", o.Server).Err(err).Msg("dropped an order")
	}
}

// pushChanges sends each entry host the changes since its last update.
func (c *Controller) pushChanges(now time.Time) {
	c.pushedRevision = c.table.Revision()
	list := c.table.Endpoints(now, c.silentAfter(), c.reconciler.Groups())
	if !c.endpoints.refresh(list) {
		return
	}
	for host, e := range c.entryHosts {
		if now.Sub(e.lastReportAt) < entryTimeout {
			c.sendUpdate(host, e, 0)
		}
	}
}

// sendUpdate sends an entry host the changes since its last update. echo is the sending time of the usage report
// that this update responds to, or 0.
func (c *Controller) sendUpdate(host string, e *entryHostState, echo int64) {
	u := &wire.FleetUpdate{Term: c.term, Revision: c.endpoints.revision, Echo: echo, Leader: c.settings.PeerAddress()}
	if e.sentRevision == 0 {
		u.Full = true
		u.Controls = c.controlHosts()
	}
	u.Endpoints, u.Removed = c.endpoints.since(e.sentRevision)
	if u.Full {
		u.Removed = nil
	}
	if d := c.document.Load(); d != nil {
		u.Version = d.version
		if echo != 0 && e.usage.Version < d.version {
			u.Document = d.packed
		}
	}
	if echo != 0 {
		list, entryHosts := c.loads(c.clock.Now())
		u.Loads, u.Entries = fleet.PackLoads(c.endpoints.loadsByHandle(list)), entryHosts
	}
	if err := c.mesh.Push(host, wire.Frame{Fleet: u}); err != nil {
		c.log.Debug().Str("event", "updateLost").Str("entry", host).Err(err).Msg("an update could not be sent")
		return
	}
	e.sentRevision = c.endpoints.revision
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
	e.sentRevision = u.Revision
	if u.Term != c.term || u.Revision > c.endpoints.revision {
		e.sentRevision = 0
	}
	c.applyLeaving(u.Leaving)
	for _, d := range u.Demand {
		c.hasSeenRequests = c.hasSeenRequests || d.Requests > 0
	}
	if status := c.node.Status(); status.Published != nil {
		if d := c.document.Load(); d == nil || d.version < status.Published.Version {
			c.decodeDocument(status.Published)
		}
	}
	// The lease is checked after everything that the update contains has been read.
	if c.node.HasLease() {
		c.sendUpdate(host, e, u.SentAt)
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
		c.nextStep = time.Time{}
		c.pushChanges(c.clock.Now())
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

// maxLoadSumAge is how long the sum of the entry hosts' loads is reused. It is well below the interval between two
// usage reports of one host. Without reuse, the sum over n hosts would be computed anew for each response to one of them.
const maxLoadSumAge = 20 * time.Millisecond

// loads returns the sum of what the entry hosts have in flight, and the number of entry hosts in it.
func (c *Controller) loads(now time.Time) ([]wire.EndpointLoad, int) {
	if c.loadSumAt.IsZero() || now.Sub(c.loadSumAt) >= maxLoadSumAge {
		c.loadSum, c.loadSumEntries = c.sumLoads(now)
		c.loadSumAt = now
	}
	return c.loadSum, c.loadSumEntries
}

func (c *Controller) sumLoads(now time.Time) ([]wire.EndpointLoad, int) {
	total := map[string]*wire.EndpointLoad{}
	entryHosts := 0
	for _, e := range c.entryHosts {
		if now.Sub(e.lastReportAt) > entryTimeout {
			continue
		}
		entryHosts++
		for _, l := range e.usage.Loads {
			sum := total[l.ID]
			if sum == nil {
				sum = &wire.EndpointLoad{ID: l.ID}
				total[l.ID] = sum
			}
			sum.InFlight += l.InFlight
			sum.WaitingTokens += l.WaitingTokens
			sum.Stalled = sum.Stalled || l.Stalled
			sum.Moved = sum.Moved || l.Moved
		}
	}
	list := make([]wire.EndpointLoad, 0, len(total))
	for _, sum := range total {
		// A host whose requests all wait for a slot may see no progress where another host does.
		sum.Stalled = sum.Stalled && !sum.Moved
		list = append(list, *sum)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, entryHosts
}

// progress reports for each endpoint with requests in flight whether at least one of these requests makes progress.
func (c *Controller) progress(now time.Time) map[string]bool {
	out := map[string]bool{}
	list, _ := c.loads(now)
	for _, l := range list {
		if l.InFlight > 0 {
			out[l.ID] = !l.Stalled
		}
	}
	return out
}

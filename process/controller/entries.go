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

// entryState is what the leader knows of one entry host.
type entryState struct {
	usage wire.Usage
	heard time.Time
	// told is the revision that the host was sent last.
	told uint64
	// demand is the work asked of each model, in slots, smoothed.
	demand map[string]float64
	// measured is how long it has been asked for in all.
	measured time.Duration
}

// demandSmoothing is the time constant of the demand that groups are planned for.
const demandSmoothing = 4 * time.Second

// endpointLog holds the endpoints with the revision at which each was changed or removed.
type endpointLog struct {
	revision uint64
	current  map[string]wire.Endpoint
	changed  map[string]uint64
	removed  map[string]uint64
	// handles are the short names of all endpoints of the term; they are never given twice.
	handles map[string]uint64
}

// refresh takes new endpoints over and tells whether any has changed.
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

// handled returns loads by the handles of the endpoints that are still there.
func (l *endpointLog) handled(list []wire.EndpointLoad) []fleet.Load {
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

// since returns what has changed behind a revision.
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

// lead carries out a leader's duties.
func (c *Controller) lead(now time.Time) {
	document := c.document.Load()
	if document == nil || now.Before(c.nextStep) {
		return
	}
	c.nextStep = now.Add(stepEvery)
	in := formation.Input{
		Table: c.table, Catalogue: document.catalogue, Term: c.term, Demand: c.demand(now), Progress: c.progress(now),
		FirstStart: c.settings.FirstStart && !c.requested,
	}
	for _, o := range c.reconciler.Step(now, in) {
		c.send(o)
	}
	c.pushChanges(now)
	if !now.Before(c.nextSummary) {
		c.nextSummary = now.Add(summaryEvery)
		c.logSummary(now, in)
	}
}

// keepUp lets a follower learn of groups what reports say, so that it can lead at once.
func (c *Controller) keepUp(now time.Time) {
	document := c.document.Load()
	if document == nil || now.Before(c.nextStep) {
		return
	}
	c.nextStep = now.Add(stepEvery)
	c.reconciler.ObserveAsFollower(now, formation.Input{Table: c.table, Catalogue: document.catalogue, Term: c.term})
}

// summaryEvery is how often the leader logs what groups there are.
const summaryEvery = 1 * time.Second

func (c *Controller) logSummary(now time.Time, in formation.Input) {
	s := c.reconciler.Summary(now, in)
	e := c.log.Info().Str("event", "fleet").Int("free", s.Free).Int("loading", s.Loading).Int("lost", s.Lost).Int("entries", len(c.entries))
	for model, m := range s.Models {
		e = e.Dict(model, zerolog.Dict().Int("open", m.Open).Int("forming", m.Forming).Int("ending", m.Ending).
			Float64("need", m.DemandRatio).Float64("demand", in.Demand[model]))
	}
	domains := zerolog.Dict()
	for domain, text := range s.Domains {
		domains = domains.Str(domain, text)
	}
	e.Dict("domains", domains).Msg("")
}

// send gives an order on a thread of the pool; its outcome comes back as an event.
func (c *Controller) send(o savorywing.FleetOrder) {
	c.log.Info().Str("event", "orderSent").Str("action", o.Action.String()).Str("server", o.Server).Str("group", o.Group).
		Str("model", o.Model).Strs("members", o.Members).Uint64("fence", o.FencingToken).Msg("")
	err := c.pool.Submit(func() {
		// The lease is read again, since the task may have waited while this host was suspended.
		if !c.node.HasLease() {
			return
		}
		c.push(outcomeEvent{order: o, outcome: c.deliver(o)})
	})
	if err != nil {
		c.log.Warn().Str("event", "orderDropped").Str("server", o.Server).Err(err).Msg("")
	}
}

// pushChanges tells every entry host what has changed since it was told last.
func (c *Controller) pushChanges(now time.Time) {
	c.pushed = c.table.Revision()
	list := c.table.Endpoints(now, c.silentAfter(), c.reconciler.Groups())
	if !c.endpoints.refresh(list) {
		return
	}
	for host, e := range c.entries {
		if now.Sub(e.heard) < silentEntryAfter {
			c.update(host, e, 0)
		}
	}
}

// update sends an entry host what it lacks. echo is the time of the usage that it answers, or 0.
func (c *Controller) update(host string, e *entryState, echo int64) {
	u := &wire.FleetUpdate{Term: c.term, Revision: c.endpoints.revision, Echo: echo, Leader: c.settings.PeerAddress()}
	if e.told == 0 {
		u.Full = true
		u.Controls = c.controls()
	}
	u.Endpoints, u.Removed = c.endpoints.since(e.told)
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
		list, entries := c.loads(c.clock.Now())
		u.Loads, u.Entries = fleet.PackLoads(c.endpoints.handled(list)), entries
	}
	if err := c.mesh.Push(host, wire.Frame{Fleet: u}); err != nil {
		c.log.Debug().Str("event", "updateLost").Str("entry", host).Err(err).Msg("")
		return
	}
	e.told = c.endpoints.revision
}

// takeUsage answers an entry host, and confirms to it under the lease what is newest.
func (c *Controller) takeUsage(host string, u wire.Usage) {
	if !c.leading {
		if leader := quorum.HostOf(c.node.Status().Leader); leader != "" {
			// An entry host that has gone asks again when it is back.
			_ = c.mesh.Push(host, wire.Frame{Fleet: &wire.FleetUpdate{Leader: leader, Controls: c.controls()}})
		}
		return
	}
	now := c.clock.Now()
	e := c.entries[host]
	if e == nil {
		e = &entryState{demand: map[string]float64{}}
		c.entries[host] = e
		c.log.Info().Str("event", "entryHostFound").Str("entry", host).Msg("")
	}
	if len(u.Demand) > 0 && c.measuredSince.IsZero() {
		c.measuredSince = now
	}
	e.learnDemand(now, u)
	e.usage, e.heard = u, now
	e.told = u.Revision
	if u.Term != c.term || u.Revision > c.endpoints.revision {
		e.told = 0
	}
	for _, d := range u.Demand {
		c.requested = c.requested || d.Requests > 0
	}
	if view := c.node.Status(); view.Published != nil {
		if d := c.document.Load(); d == nil || d.version < view.Published.Version {
			c.decodeDocument(view.Published)
		}
	}
	// The lease is read again after everything that the answer is made of.
	if c.node.HasLease() {
		c.update(host, e, u.SentAt)
	}
}

// learnDemand smooths the work that was asked of each model between two usages.
func (e *entryState) learnDemand(now time.Time, u wire.Usage) {
	before := map[string]uint64{}
	for _, d := range e.usage.Demand {
		before[d.Model] = d.WorkMs
	}
	span := now.Sub(e.heard)
	if e.heard.IsZero() || span <= 0 || span > demandSmoothing {
		return
	}
	// Until there is a full time constant of usages, each counts as much as any other: a mean that began at
	// nothing would make a new leader plan for less work than there is.
	e.measured += span
	part := float64(span) / float64(min(e.measured, demandSmoothing))
	for _, d := range u.Demand {
		if d.WorkMs < before[d.Model] {
			continue
		}
		rate := float64(d.WorkMs-before[d.Model]) / float64(span.Milliseconds()+1)
		e.demand[d.Model] += (rate - e.demand[d.Model]) * part
	}
}

// demand returns the work asked of each model, once it has been measured for long enough.
func (c *Controller) demand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if c.measuredSince.IsZero() || now.Sub(c.measuredSince) < demandSmoothing {
		return out
	}
	for _, e := range c.entries {
		if now.Sub(e.heard) > demandSmoothing {
			continue
		}
		for model, v := range e.demand {
			out[model] += v
		}
	}
	return out
}

// loadsKept is how long the sum of what entry hosts have in flight is used again. It is well below the time
// between two usages of one host, so that a sum over n hosts isn't made anew for each answer to one of them.
const loadsKept = 20 * time.Millisecond

// loads returns what entry hosts have in flight, and counts the entry hosts.
func (c *Controller) loads(now time.Time) ([]wire.EndpointLoad, int) {
	if c.summedAt.IsZero() || now.Sub(c.summedAt) >= loadsKept {
		c.summed, c.summedEntries = c.sumLoads(now)
		c.summedAt = now
	}
	return c.summed, c.summedEntries
}

func (c *Controller) sumLoads(now time.Time) ([]wire.EndpointLoad, int) {
	total := map[string]*wire.EndpointLoad{}
	entries := 0
	for _, e := range c.entries {
		if now.Sub(e.heard) > silentEntryAfter {
			continue
		}
		entries++
		for _, l := range e.usage.Loads {
			t := total[l.ID]
			if t == nil {
				t = &wire.EndpointLoad{ID: l.ID}
				total[l.ID] = t
			}
			t.InFlight += l.InFlight
			t.WaitingTokens += l.WaitingTokens
			t.Stalled = t.Stalled || l.Stalled
			t.Moved = t.Moved || l.Moved
		}
	}
	list := make([]wire.EndpointLoad, 0, len(total))
	for _, t := range total {
		// One host whose requests wait for a slot may see nothing where another sees progress.
		t.Stalled = t.Stalled && !t.Moved
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, entries
}

// progress tells of each endpoint with requests in flight whether any of them moves.
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

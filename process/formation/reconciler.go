package formation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/demand"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// Config holds the timeouts and intervals of a Reconciler.
type Config struct {
	// ReportTimeout is how long a server may send no report before it counts as lost, unless requests at its group
	// make progress.
	ReportTimeout time.Duration
	// SuspectTimeout is how long a server may send no report if requests at its group have stalled as well.
	SuspectTimeout time.Duration
	// MaxSilence is how long a silent member is kept in a group that still makes progress.
	MaxSilence time.Duration
	// StallTimeout is how long a group stalls after the loss of a member until its head breaks it, plus a margin.
	StallTimeout time.Duration
	// ResendInterval is how long an order may go unanswered, or its effect unreported, before it is sent again.
	ResendInterval time.Duration
	// MaxOrderDelay is how long after it was sent an unanswered order may still be executed.
	MaxOrderDelay time.Duration
	// TakeoverDelay is how long a new leader forms no groups: orders of an earlier leader may not show in reports
	// yet, and reports may be delayed.
	TakeoverDelay time.Duration
	// LoadWindow is the sliding window over which loads are counted.
	LoadWindow time.Duration
}

// Defaults sets fields that are zero to their defaults.
func (c *Config) Defaults() {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ReportTimeout, 2600 * time.Millisecond},  // two reports missed at the usual interval of 1.2 s, with a margin
		{&c.SuspectTimeout, 1400 * time.Millisecond}, // one report missed, with a margin
		{&c.MaxSilence, 15 * time.Second},
		{&c.StallTimeout, 5500 * time.Millisecond},   // the usual 5 s with a margin
		{&c.ResendInterval, 1500 * time.Millisecond}, // an answer, if any, arrives within 1 s
		{&c.MaxOrderDelay, 13 * time.Second},         // the platform's 12 s with a margin
		{&c.TakeoverDelay, 4500 * time.Millisecond},  // a report delayed by 3 s, and the next one
		{&c.LoadWindow, 5500 * time.Millisecond},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Input is the state that a step decides on.
type Input struct {
	Table     *fleet.Table
	Catalogue *catalogue.Catalogue
	// Term is the leader's term. It orders groups of different leaders, and serves as the fencing token of orders.
	Term uint64
	// Demand is the recent demand for each model, in slots.
	Demand map[string]float64
	// Progress has an entry for each head with requests in flight: whether any entry host sees them make progress.
	Progress map[string]bool
	// Evacuated holds the data centres whose servers are in no group; nil for none.
	Evacuated *evacuation.Set
	// FirstStart reports whether the whole system was started for the first time and has received no request yet.
	FirstStart bool
}

// isEngine reports whether a server runs models of a known service.
func (in Input) isEngine(s *fleet.Server) bool {
	r := s.Report()
	if !r.Engine {
		return false
	}
	service := in.Catalogue.Service(r.Service)
	return service != nil && service.Engine != nil
}

// Reconciler holds the state that a leader keeps between steps.
type Reconciler struct {
	cfg Config
	// groupCounter numbers the groups of one term. It never decreases within the term.
	groupCounter uint64
	term         uint64
	since        time.Time
	// noPriorOrders reports whether no server reported a group or staged weights when this leader's term began.
	noPriorOrders bool
	// settledAt is the time by which reports show every executed order of earlier leaders.
	settledAt time.Time
	// groups holds every group that is mentioned in reports or in this leader's orders, by name.
	groups map[string]*group
	// pendingJoins holds the names of groups that a server has a pending order to join, as of the last observation.
	pendingJoins map[string]bool
	// orders holds the newest order to each server until a report shows its effect or it is rejected.
	orders map[string]*pendingOrder
	loads  loadWindow
	// lastModels is the model of each server's newest group, by id. Joining a group of that model again needs no
	// load from the weight store.
	lastModels map[string]cachedModel
	// reservations holds the servers of groups that a swap replaces, by id.
	reservations map[string]reservation
	// shortages holds which models are short, as this leader has seen it in its term.
	shortages demand.Shortages
	// evacuated holds the evacuated data centres as of the last step, and evacuatedSince when each was first seen.
	evacuated      *evacuation.Set
	evacuatedSince map[string]time.Time
	// quarantinedUntil holds the time until which a server that has rejected an order receives no further ones.
	quarantinedUntil map[string]time.Time
	// lastUnanswered is when each server last left an order unanswered.
	lastUnanswered map[string]time.Time
	// maxDomainHosts is the largest number of hosts seen in each domain.
	maxDomainHosts map[string]int
	// index is nil before the first step. indexStale is set when the members of a group have changed since it was built.
	index      *index
	indexStale bool
	// observedRevision is the table's revision as of the last observation.
	observedRevision uint64
	// unplaced holds the ids of servers that report a place in a group in which they aren't listed.
	unplaced map[string]bool
	// seen holds the ids of all engines ever seen, and newestFirstSeen is when the newest of them was first seen.
	seen            map[string]bool
	newestFirstSeen time.Time
}

// cachedModel is the model of the newest group of one incarnation of a server.
type cachedModel struct {
	// incarnation is the start time of the server's process.
	incarnation int64
	model       string
}

// reservation keeps a server for a model until the model's group can be formed, or until it expires.
type reservation struct {
	model string
	until time.Time
}

// pendingOrder is an order whose effect has not been reported yet.
type pendingOrder struct {
	order        savorywing.FleetOrder
	sentAt       time.Time
	acknowledged bool
}

// group is the leader's state of one group, which is identified by name and epoch.
type group struct {
	name  string
	epoch uint64
	model string
	// members lists ids by rank, the head first. Unknown ones are empty.
	members []string
	// ready holds the members that have reported ready under this name and epoch. Entries are never removed.
	ready map[string]bool
	// opened reports whether an order to open it may have been sent.
	opened bool
	// formedHere reports whether this leader formed it in its current term, and so knows all orders that were sent.
	formedHere bool
	// knownSince is when this leader formed the group, first saw it in a report, or began its term.
	knownSince time.Time
	// openSentAt is when this leader last sent the order to open it.
	openSentAt time.Time
	ending     bool
	// broken reports whether it ends because a member is lost, so that its requests in flight can't be completed.
	broken       bool
	headReleased bool
	// removed is set once the group is no longer kept.
	removed bool
	// busyAt is when requests were last seen in flight at its head while the head's data centre was evacuated.
	busyAt time.Time
	// fresh is set during the observation in which the group is first seen.
	fresh bool
	// servers holds the members' servers by rank, nil for unknown ones; it is valid while resolved is set.
	servers  []*fleet.Server
	resolved bool
	// detachedAt is when a member was found to have left while the head was unreachable.
	detachedAt time.Time
}

// New returns a reconciler without state.
func New(cfg Config) *Reconciler {
	cfg.Defaults()
	return &Reconciler{
		cfg: cfg, groups: map[string]*group{}, pendingJoins: map[string]bool{}, orders: map[string]*pendingOrder{}, lastModels: map[string]cachedModel{}, seen: map[string]bool{}, quarantinedUntil: map[string]time.Time{},
		evacuatedSince: map[string]time.Time{},
		reservations:   map[string]reservation{}, unplaced: map[string]bool{},
		lastUnanswered: map[string]time.Time{}, maxDomainHosts: map[string]int{},
	}
}

// standbyPrefix marks groups of one host that only keep a model in memory. They are never opened, so the member
// stays free, and its next join of a group of that model needs no load from the weight store, so it takes a fraction
// of the usual time.
const standbyPrefix = "standby"

func isStandby(name string) bool { return strings.HasPrefix(name, standbyPrefix) }

// nameSeparator separates the epoch from the model in a group's name, so that every leader can derive a group's
// model from reports.
const nameSeparator = "."

// termShift is the number of epoch bits below the term. They count the groups that one leader forms in its term.
const termShift = 24

func (rc *Reconciler) nextName(model string) (string, uint64) {
	rc.groupCounter++
	epoch := rc.term<<termShift + rc.groupCounter
	return fmt.Sprintf("g%d%s%s", epoch, nameSeparator, model), epoch
}

// parseName returns the epoch in a group's name, or false if the name is of another form than those of nextName.
func parseName(name string) (uint64, bool) {
	prefix, _, _ := strings.Cut(name, nameSeparator)
	number, isOurs := strings.CutPrefix(prefix, "g")
	epoch, err := strconv.ParseUint(number, 10, 64)
	return epoch, isOurs && err == nil
}

// groupModel returns the model of a group, or an empty string if no leader has formed a group of that name.
func groupModel(name string) string {
	if _, isOurs := parseName(name); !isOurs {
		return ""
	}
	return modelOf(name)
}

func modelOf(name string) string {
	_, model, _ := strings.Cut(name, nameSeparator)
	return model
}

// Step returns the orders to send now.
func (rc *Reconciler) Step(now time.Time, in Input) []savorywing.FleetOrder {
	if in.Term != rc.term || rc.since.IsZero() {
		rc.startTerm(now, in)
	}
	in.FirstStart = in.FirstStart && rc.noPriorOrders
	rc.observe(now, in)
	rc.observeEvacuated(now, in.Evacuated)
	var orders []savorywing.FleetOrder
	for _, g := range rc.index.groups {
		orders = append(orders, rc.advance(now, in, g)...)
	}
	orders = append(orders, rc.resend(now, in)...)
	orders = append(orders, rc.plan(now, in)...)
	for i := range orders {
		orders[i].FencingToken = rc.term
		rc.recordOrder(now, orders[i])
	}
	return orders
}

// ObserveAsFollower records what reports show while another host leads, so that this host knows the members of each
// group when it takes over, including members that have been lost meanwhile.
func (rc *Reconciler) ObserveAsFollower(now time.Time, in Input) {
	rc.orders = map[string]*pendingOrder{}
	rc.observe(now, in)
	for _, g := range rc.index.groups {
		if !rc.isReferenced(g) {
			rc.removeGroup(g)
		}
	}
}

// removeGroup forgets a group that no server is in any more.
func (rc *Reconciler) removeGroup(g *group) {
	g.removed = true
	delete(rc.groups, g.name)
	rc.indexStale = true
}

// startTerm begins a term. The orders of earlier leaders are unknown, and so are the loads that they started.
func (rc *Reconciler) startTerm(now time.Time, in Input) {
	rc.noPriorOrders = true
	for _, s := range in.Table.Servers() {
		rc.noPriorOrders = rc.noPriorOrders && s.GroupMembership() == nil && len(s.Report().Staged) == 0
	}
	in.FirstStart = in.FirstStart && rc.noPriorOrders
	rc.settledAt = now
	if !in.FirstStart {
		rc.settledAt = now.Add(rc.cfg.TakeoverDelay)
	}
	rc.term, rc.groupCounter, rc.since = in.Term, 0, now
	rc.orders = map[string]*pendingOrder{}
	for _, g := range rc.groups {
		// What was observed as a follower remains valid, but which orders were sent is unknown.
		rc.indexStale = true
		*g = group{name: g.name, epoch: g.epoch, model: g.model, members: g.members, ready: g.ready, opened: true, knownSince: now}
	}
	rc.loads, rc.shortages = loadWindow{}, demand.Shortages{}
	if !in.FirstStart {
		// An earlier leader may have started as many loads as may run concurrently. No more are assumed in the window.
		for range rc.maxConcurrentLoads(in) {
			rc.loads.add(now)
		}
	}
}

// TakeShortageChanges returns the changes of the belief that models are short since the last call.
func (rc *Reconciler) TakeShortageChanges() []demand.Change { return rc.shortages.TakeChanges() }

func (rc *Reconciler) recordOrder(now time.Time, o savorywing.FleetOrder) {
	rc.orders[o.Server] = &pendingOrder{order: o, sentAt: now}
}

// ModelOf implements fleet.ModelOf. The group may be incomplete. Only a group whose head reports open is known to be
// complete: each of its members has been ready once.
func (rc *Reconciler) ModelOf(s *fleet.Server) (model string, known bool) {
	g := rc.groupOf(s)
	if g == nil || g.model == "" || g.members[0] != s.Report().ID {
		return "", false
	}
	return g.model, true
}

// groupOf returns the group that a server reports and is listed in, or nil.
func (rc *Reconciler) groupOf(s *fleet.Server) *group {
	membership := s.GroupMembership()
	if membership == nil {
		return nil
	}
	g := rc.groups[membership.Name]
	if g == nil || g.epoch != membership.Epoch || membership.Rank >= len(g.members) || g.members[membership.Rank] != s.Report().ID {
		return nil
	}
	return g
}

// isLost reports whether a server is unavailable: unknown, dead, withdrawn, or without a report within
// ReportTimeout.
func (rc *Reconciler) isLost(now time.Time, s *fleet.Server) bool {
	return s == nil || s.Dead() || s.Report().Gone || now.Sub(s.LastReportAt()) > rc.cfg.ReportTimeout
}

// mayReceiveStaleOrder reports whether an order to an earlier incarnation of a server may still reach it. The order
// carries the same id, and the new incarnation has no fencing token or epoch to reject it by.
func (rc *Reconciler) mayReceiveStaleOrder(now time.Time, s *fleet.Server) bool {
	restartedAt := s.RestartedAt()
	if restartedAt.IsZero() || now.Sub(restartedAt) > rc.cfg.MaxOrderDelay {
		return false
	}
	last, known := rc.lastUnanswered[s.Report().ID]
	return (known && now.Sub(last) < rc.cfg.MaxOrderDelay) || now.Sub(rc.since) < rc.cfg.MaxOrderDelay
}

func isMember(s *fleet.Server, g *group) bool {
	if s == nil || s.Dead() {
		return false
	}
	membership := s.GroupMembership()
	return membership != nil && membership.Name == g.name && membership.Epoch == g.epoch
}

// observe applies what reports show of groups. It looks only at servers whose state has changed since the last
// observation.
func (rc *Reconciler) observe(now time.Time, in Input) {
	isNew := rc.index == nil || rc.index.generation != in.Table.Generation()
	for _, s := range in.Table.Servers() {
		if isNew && in.isEngine(s) && !rc.seen[s.Report().ID] {
			rc.seen[s.Report().ID], rc.newestFirstSeen = true, now
		}
		if s.ChangedAt() > rc.observedRevision || rc.unplaced[s.Report().ID] {
			rc.observeServer(now, in, s)
		}
	}
	for _, g := range rc.groups {
		g.fresh = false
	}
	rc.observedRevision = in.Table.Revision()
	rc.ensureIndex(in.Table)
	rc.countReporting(now, in)
	rc.dropApplied(in)
	clear(rc.pendingJoins)
	for _, p := range rc.orders {
		if p.order.Action == savorywing.ActionJoin {
			rc.pendingJoins[p.order.Group] = true
		}
	}
}

// observeServer applies what one server's report shows of its group. A server that claims a place which the group can't
// have, or which another server has, is left out: its report must not change the group for the others.
func (rc *Reconciler) observeServer(now time.Time, in Input, s *fleet.Server) {
	id := s.Report().ID
	delete(rc.unplaced, id)
	membership := s.GroupMembership()
	if membership == nil || s.Dead() {
		return
	}
	if isStandby(membership.Name) {
		rc.recordModel(s, modelOf(membership.Name))
		return
	}
	g := rc.groups[membership.Name]
	if g == nil {
		g = &group{name: membership.Name, epoch: membership.Epoch, model: groupModel(membership.Name), ready: map[string]bool{}, opened: true, knownSince: now, fresh: true}
	}
	if !rc.canPlace(in, g, s) {
		rc.unplaced[id] = true
		return
	}
	if rc.groups[g.name] == nil {
		rc.groups[g.name] = g
		rc.indexStale = true
	}
	for len(g.members) <= membership.Rank {
		g.members = append(g.members, "")
		rc.indexStale = true
	}
	if old := g.members[membership.Rank]; old != id {
		if old != "" {
			rc.unplaced[old] = true
		}
		g.members[membership.Rank] = id
		rc.indexStale = true
	}
	rc.recordModel(s, g.model)
	if membership.State != fleet.StateJoining && membership.State != fleet.StateBroken {
		g.ready[id] = true
	}
}

// canPlace reports whether a group can have a server at the place that the server reports.
func (rc *Reconciler) canPlace(in Input, g *group, s *fleet.Server) bool {
	id, membership := s.Report().ID, s.GroupMembership()
	if epoch, isOurs := parseName(g.name); g.epoch != membership.Epoch || (isOurs && epoch != g.epoch) {
		return false
	}
	if rank := slices.Index(g.members, id); rank >= 0 {
		return rank == membership.Rank
	}
	if membership.Rank < len(g.members) {
		old := in.Table.Server(g.members[membership.Rank])
		// Of several servers, all seen for the first time, the one that still reports is most likely the member.
		return g.members[membership.Rank] == "" || (g.fresh && old != nil && s.LastReportAt().After(old.LastReportAt()))
	}
	size := rc.groupSize(in, g)
	return !g.formedHere && (size == 0 || membership.Rank < size)
}

func (rc *Reconciler) recordModel(s *fleet.Server, model string) {
	r := s.Report()
	rc.lastModels[r.ID] = cachedModel{incarnation: r.Born, model: model}
}

// hasCached reports whether a server still has a model in memory, from a group of its current incarnation.
func (rc *Reconciler) hasCached(s *fleet.Server, model string) bool {
	r := s.Report()
	return rc.lastModels[r.ID] == cachedModel{incarnation: r.Born, model: model}
}

// loadWindow counts loads over a sliding window.
type loadWindow struct {
	starts []time.Time
}

func (l *loadWindow) remaining(now time.Time, window time.Duration, limit int) int {
	var kept []time.Time
	for _, t := range l.starts {
		if now.Sub(t) < window {
			kept = append(kept, t)
		}
	}
	l.starts = kept
	return limit - len(kept)
}

func (l *loadWindow) add(now time.Time) { l.starts = append(l.starts, now) }

// member returns a member's server, or nil.
func (rc *Reconciler) member(g *group, rank int) *fleet.Server {
	if rank >= len(g.members) {
		return nil
	}
	if !g.resolved {
		rc.index.resolve(g)
	}
	return g.servers[rank]
}

func membershipOf(s *fleet.Server, g *group) *wire.GroupPlace {
	if !isMember(s, g) {
		return nil
	}
	return s.GroupMembership()
}

package formation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// Config holds the times that the reconciler waits for.
type Config struct {
	// ReportTimeout is how long a server may send no report before it counts as lost, if nothing shows that it works.
	ReportTimeout time.Duration
	// SuspectTimeout is how long a server may send no report if its group has stopped moving as well.
	SuspectTimeout time.Duration
	// MaxSilence is how long a silent member is kept in a group that still makes progress.
	MaxSilence time.Duration
	// StallTimeout is how long a head goes on after it has lost a member, with a margin.
	StallTimeout time.Duration
	// ResendInterval is how long an order may go unanswered, or its effect unreported, before it is sent again.
	ResendInterval time.Duration
	// MaxOrderDelay is how long after it was sent an unanswered order may still be carried out.
	MaxOrderDelay time.Duration
	// TakeoverDelay is how long a new leader forms no groups: what an earlier leader has ordered may not have been
	// reported yet, and reports come late.
	TakeoverDelay time.Duration
	// LoadWindow is the span over which loads are counted.
	LoadWindow time.Duration
}

// Defaults fills in what is not set.
func (c *Config) Defaults() {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ReportTimeout, 2600 * time.Millisecond},  // two reports missed at the usual 1.2 s, and a little
		{&c.SuspectTimeout, 1400 * time.Millisecond}, // a report missed by a little
		{&c.MaxSilence, 15 * time.Second},
		{&c.StallTimeout, 5500 * time.Millisecond},   // the usual 5 s and a margin
		{&c.ResendInterval, 1500 * time.Millisecond}, // an answer takes a second at most where there is one
		{&c.MaxOrderDelay, 13 * time.Second},         // the platform's 12 s and a margin
		{&c.TakeoverDelay, 4500 * time.Millisecond},  // a report that is 3 s late, and the next one
		{&c.LoadWindow, 5500 * time.Millisecond},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Input is what a step decides on.
type Input struct {
	Table     *fleet.Table
	Catalogue *catalogue.Catalogue
	// Term is the leader's term; it orders groups of different leaders and fences orders.
	Term uint64
	// Demand is the work asked of each model lately, in slots.
	Demand map[string]float64
	// Progress holds the heads at which requests are in flight: whether any entry host sees them move.
	Progress map[string]bool
	// FirstStart tells that no request has come yet since the whole system was started for the first time.
	FirstStart bool
}

// Reconciler holds what a leader remembers between steps.
type Reconciler struct {
	cfg Config
	// counter numbers the groups of one term; it only grows within it.
	counter uint64
	term    uint64
	since   time.Time
	// untouched tells that no server had been given an order when this leader began.
	untouched bool
	// settledAt is when everything that earlier leaders ordered and that was carried out has been reported.
	settledAt time.Time
	// groups holds every group that reports or own orders speak of, by name.
	groups map[string]*group
	// orders holds the newest order to each server until a report or an answer settles it.
	orders map[string]*pending
	loads  loadWindow
	// lastModel is the model of each server's newest group, by id; joining it again needs no load.
	lastModel map[string]joined
	// promised holds servers whose groups give way to another model.
	promised map[string]promise
	// barred holds servers that have refused an order, until when they are left alone.
	barred map[string]time.Time
	// unanswered is when each server last left an order without an answer.
	unanswered map[string]time.Time
	// largest is the most hosts that each domain was seen with.
	largest map[string]int
	// found holds every server that was ever seen, and lastFound when the newest was.
	found     map[string]bool
	lastFound time.Time
}

// joined is a model that one life of a server has had in its newest group.
type joined struct {
	born  int64
	model string
}

// promise keeps a server for a model until its group can be formed, or for too long.
type promise struct {
	model string
	until time.Time
}

// pending is an order whose effect has not been reported yet.
type pending struct {
	order   savorywing.FleetOrder
	sent    time.Time
	settled bool
}

// group is one group of one epoch.
type group struct {
	name  string
	epoch uint64
	model string
	// members lists ids, head first; unknown ones are empty.
	members []string
	// ready holds the members that once reported ready under this name and epoch; it only grows.
	ready map[string]bool
	// opened tells that an order to open it may have been given.
	opened bool
	// own tells that this leader formed it, so that it knows all orders that were given.
	own    bool
	formed time.Time
	// openSent is when this leader last gave the order to open it.
	openSent time.Time
	ending   bool
	// broken tells that it ends because a member is lost, so that what it has in hand can't be finished.
	broken  bool
	headOut bool
	// severed is when a member is known to have left while the head could not be reached.
	severed time.Time
}

// New returns a reconciler without memory.
func New(cfg Config) *Reconciler {
	cfg.Defaults()
	return &Reconciler{
		cfg: cfg, groups: map[string]*group{}, orders: map[string]*pending{}, lastModel: map[string]joined{}, found: map[string]bool{}, barred: map[string]time.Time{},
		promised:   map[string]promise{},
		unanswered: map[string]time.Time{}, largest: map[string]int{},
	}
}

// standbyPrefix marks groups of one host that only keep a model at hand: they are never opened, so that their
// member is free, and its next join of that model takes a fraction of the time.
const standbyPrefix = "standby"

func isStandby(name string) bool { return strings.HasPrefix(name, standbyPrefix) }

// nameSeparator stands between the epoch and the model in a group's name, so that every leader can
// read a group's model from reports.
const nameSeparator = "."

// termShift leaves room for the groups that one leader forms, below the term that orders leaders.
const termShift = 24

func (f *Reconciler) nextName(model string) (string, uint64) {
	f.counter++
	epoch := f.term<<termShift + f.counter
	return fmt.Sprintf("g%d%s%s", epoch, nameSeparator, model), epoch
}

func modelOf(name string) string {
	_, model, _ := strings.Cut(name, nameSeparator)
	return model
}

// Step returns the orders to send now.
func (f *Reconciler) Step(now time.Time, in Input) []savorywing.FleetOrder {
	if in.Term != f.term || f.since.IsZero() {
		f.takeOver(now, in)
	}
	in.FirstStart = in.FirstStart && f.untouched
	f.observe(now, in)
	var orders []savorywing.FleetOrder
	for _, g := range f.sorted() {
		orders = append(orders, f.advance(now, in, g)...)
	}
	orders = append(orders, f.resend(now, in)...)
	orders = append(orders, f.plan(now, in)...)
	for i := range orders {
		orders[i].FencingToken = f.term
		f.remember(now, orders[i])
	}
	return orders
}

// ObserveAsFollower notes what reports say while another host leads, so that this one knows the members of each group
// when it takes over, those included that are lost by then.
func (f *Reconciler) ObserveAsFollower(now time.Time, in Input) {
	f.orders = map[string]*pending{}
	f.observe(now, in)
	for _, g := range f.sorted() {
		if !f.hasTrace(in, g) {
			delete(f.groups, g.name)
		}
	}
}

// takeOver starts a term: orders of earlier leaders are unknown, and so are the loads that they began.
func (f *Reconciler) takeOver(now time.Time, in Input) {
	f.untouched = true
	for _, s := range in.Table.Servers() {
		f.untouched = f.untouched && s.GroupMembership() == nil && len(s.Report().Staged) == 0
	}
	in.FirstStart = in.FirstStart && f.untouched
	f.settledAt = now
	if !in.FirstStart {
		f.settledAt = now.Add(f.cfg.TakeoverDelay)
	}
	f.term, f.counter, f.since = in.Term, 0, now
	f.orders = map[string]*pending{}
	for _, g := range f.groups {
		// What reports told of it while this host followed stays true; which orders were given is not known.
		*g = group{name: g.name, epoch: g.epoch, model: g.model, members: g.members, ready: g.ready, opened: true, formed: now}
	}
	f.loads = loadWindow{}
	if !in.FirstStart {
		// An earlier leader may have begun as many loads as run at once, and no more within the window.
		for range f.loadsAtOnce(in) {
			f.loads.add(now)
		}
	}
}

func (f *Reconciler) sorted() []*group {
	list := make([]*group, 0, len(f.groups))
	for _, g := range f.groups {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].epoch < list[j].epoch })
	return list
}

func (f *Reconciler) remember(now time.Time, o savorywing.FleetOrder) {
	f.orders[o.Server] = &pending{order: o, sent: now}
}

// Groups returns the groups that may be served: complete, and every member was once ready.
func (f *Reconciler) Groups() map[string]fleet.CompleteGroup {
	out := map[string]fleet.CompleteGroup{}
	for _, g := range f.groups {
		out[g.name] = fleet.CompleteGroup{Model: g.model}
	}
	return out
}

// isLost tells whether a server can't be counted on.
func (f *Reconciler) isLost(now time.Time, s *fleet.Server) bool {
	return s == nil || s.Dead() || s.Report().Gone || now.Sub(s.LastReportAt()) > f.cfg.ReportTimeout
}

// mayBeHaunted tells whether an order to a server's earlier life may still reach it: it carries the same id,
// and the new life knows neither fences nor epochs that would refuse it.
func (f *Reconciler) mayBeHaunted(now time.Time, s *fleet.Server) bool {
	reborn := s.RestartedAt()
	if reborn.IsZero() || now.Sub(reborn) > f.cfg.MaxOrderDelay {
		return false
	}
	last, known := f.unanswered[s.Report().ID]
	return (known && now.Sub(last) < f.cfg.MaxOrderDelay) || now.Sub(f.since) < f.cfg.MaxOrderDelay
}

func isMember(s *fleet.Server, g *group) bool {
	if s == nil || s.Dead() {
		return false
	}
	p := s.GroupMembership()
	return p != nil && p.Name == g.name && p.Epoch == g.epoch
}

// observe takes over what reports say of groups.
func (f *Reconciler) observe(now time.Time, in Input) {
	present := map[string]int{}
	for _, s := range in.Table.Servers() {
		if r := s.Report(); r.Engine && !r.Leaving && !f.isLost(now, s) {
			present[r.Domain]++
			f.largest[r.Domain] = max(f.largest[r.Domain], present[r.Domain])
		}
	}
	for _, s := range in.Table.Servers() {
		if id := s.Report().ID; !f.found[id] {
			f.found[id], f.lastFound = true, now
		}
		p := s.GroupMembership()
		if p == nil || s.Dead() {
			continue
		}
		if isStandby(p.Name) {
			f.noteModel(s, modelOf(p.Name))
			continue
		}
		g := f.groups[p.Name]
		if g == nil {
			g = &group{name: p.Name, epoch: p.Epoch, model: modelOf(p.Name), ready: map[string]bool{}, opened: true, formed: now}
			f.groups[p.Name] = g
		}
		for len(g.members) <= p.Rank {
			g.members = append(g.members, "")
		}
		id := s.Report().ID
		g.members[p.Rank] = id
		f.noteModel(s, g.model)
		if p.State != fleet.StateJoining && p.State != fleet.StateBroken {
			g.ready[id] = true
		}
	}
	f.settle(in)
}

func (f *Reconciler) noteModel(s *fleet.Server, model string) {
	r := s.Report()
	f.lastModel[r.ID] = joined{born: r.Born, model: model}
}

// holds tells whether a server has a model in its memory still, from a group of this life.
func (f *Reconciler) holds(s *fleet.Server, model string) bool {
	r := s.Report()
	return f.lastModel[r.ID] == joined{born: r.Born, model: model}
}

// loadWindow counts loads over a sliding window.
type loadWindow struct {
	began []time.Time
}

func (l *loadWindow) room(now time.Time, window time.Duration, limit int) int {
	var kept []time.Time
	for _, t := range l.began {
		if now.Sub(t) < window {
			kept = append(kept, t)
		}
	}
	l.began = kept
	return limit - len(kept)
}

func (l *loadWindow) add(now time.Time) { l.began = append(l.began, now) }

// member returns a member's server, or nil.
func member(in Input, g *group, rank int) *fleet.Server {
	if rank >= len(g.members) || g.members[rank] == "" {
		return nil
	}
	return in.Table.Server(g.members[rank])
}

func placeOf(s *fleet.Server, g *group) *wire.GroupPlace {
	if !isMember(s, g) {
		return nil
	}
	return s.GroupMembership()
}

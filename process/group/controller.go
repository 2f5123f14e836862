package group

import (
	"fmt"
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/planner"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const (
	// aliveBound is how long a host counts as alive after its last answer was requested.
	aliveBound = 3 * time.Second
	// flapMemory is how long a host must stay up until its flaps are forgotten.
	flapMemory = time.Hour
	// settleTime is how long a new leader listens before it plans, so that hosts which have not
	// answered yet are not taken for lost.
	settleTime         = 3 * time.Second
	expectedLoad       = 30 * time.Second
	failuresPerHostDay = 39.0 / 2100
)

// Report is what a host announced of itself.
type Report struct {
	Announcement wire.Announcement
	// RequestedAt is when it was polled, before the poll was sent; zero if it never answered.
	RequestedAt time.Time
}

// Input is what one step is made from.
type Input struct {
	Now time.Time
	// LeadingSince is when this control host became leader.
	LeadingSince time.Time
	Settings     *settings.Settings
	Table        wire.Table
	Reports      []Report
}

// Order is an order to one backend server.
type Order struct {
	Host    string
	Address string
	Order   wire.Order
}

// Output is what a step asks for.
type Output struct {
	Commands []wire.Command
	Orders   []Order
	// Reasons explains the commands, for the log.
	Reasons []string
}

// life is what the controller remembers of a host.
type life struct {
	alive bool
	since time.Time
	boot  uint64
	flaps int
}

// condition is what the controller remembers of a group.
type condition struct {
	health planner.Health
	since  time.Time
	// releasedAt is when this leader first saw the group releasing.
	releasedAt time.Time
}

// Controller is the leader's duty for groups. A new leader starts with an empty one.
type Controller struct {
	way        planner.Policy
	lives      map[string]*life
	conditions map[uint64]*condition
}

// NewController returns a controller for a new leader.
func NewController(way planner.Policy) *Controller {
	return &Controller{way: way, lives: map[string]*life{}, conditions: map[uint64]*condition{}}
}

// ReleaseWait is how long after a release a host may still be given work by an entry host that was
// cut off, or by an order that is on its way.
func ReleaseWait(t settings.Timing) time.Duration {
	return t.Freshness + t.Lease + t.MaxOrderDelay
}

// Step returns what to do now.
func (c *Controller) Step(in Input) Output {
	reports := map[string]Report{}
	for _, w := range in.Reports {
		reports[w.Announcement.Host] = w
	}
	c.observe(in, reports)
	if in.Now.Sub(in.LeadingSince) < in.Settings.Timing.MaxOrderDelay+settleTime {
		return Output{}
	}
	var out Output
	for _, g := range in.Table.Groups {
		c.stepGroup(in, g, reports, &out)
	}
	unloadOrphans(in, &out)
	c.plan(in, reports, &out)
	return out
}

// unloadOrphans tells hosts without an owner to hold nothing, so that they can be used again.
func unloadOrphans(in Input, out *Output) {
	owned := map[string]bool{}
	for _, h := range in.Table.Hosts {
		owned[h.Host] = h.Group != ""
	}
	for _, w := range in.Reports {
		h := w.Announcement.Holding
		if h == nil || owned[w.Announcement.Host] || in.Now.Sub(w.RequestedAt) >= aliveBound {
			continue
		}
		g := wire.Group{ID: h.Group, Fence: h.Fence, Model: h.Model, Version: h.Version}
		out.Orders = append(out.Orders, order(savorywing.OrderUnload, g, w, nil))
	}
}

// observe updates what is remembered of hosts and groups.
func (c *Controller) observe(in Input, reports map[string]Report) {
	for host, w := range reports {
		c.observeHost(in.Now, host, w)
	}
	seen := map[uint64]bool{}
	for _, g := range in.Table.Groups {
		seen[g.Fence] = true
		c.observeGroup(in.Now, g, reports)
	}
	for fence := range c.conditions {
		if !seen[fence] {
			delete(c.conditions, fence)
		}
	}
	for host, l := range c.lives {
		if _, known := reports[host]; !known && l.alive {
			l.alive, l.since = false, in.Now
		}
	}
}

func (c *Controller) observeHost(now time.Time, host string, w Report) {
	alive := now.Sub(w.RequestedAt) < aliveBound
	l := c.lives[host]
	if l == nil {
		c.lives[host] = &life{alive: alive, since: now, boot: w.Announcement.Boot}
		return
	}
	if l.flaps > 0 && l.alive && now.Sub(l.since) > flapMemory {
		l.flaps = 0
	}
	restarted := alive && l.boot != w.Announcement.Boot
	if alive != l.alive || restarted {
		if alive {
			l.flaps++
		}
		l.alive, l.since = alive, now
	}
	if alive {
		l.boot = w.Announcement.Boot
	}
}

func (c *Controller) observeGroup(now time.Time, g wire.Group, reports map[string]Report) {
	s := c.conditions[g.Fence]
	if s == nil {
		s = &condition{since: now}
		c.conditions[g.Fence] = s
	}
	if g.Phase == savorywing.PhaseReleasing && s.releasedAt.IsZero() {
		s.releasedAt = now
	}
	if h := c.health(now, g, reports); h != s.health {
		s.health, s.since = h, now
	}
}

// health judges a group by its members' own reports.
func (c *Controller) health(now time.Time, g wire.Group, reports map[string]Report) planner.Health {
	health := planner.Complete
	for _, m := range g.Members {
		w, known := reports[m.Host]
		alive := known && now.Sub(w.RequestedAt) < aliveBound
		switch {
		case !alive:
			health = max(health, planner.Silent)
		case g.Phase == savorywing.PhaseServing && (w.Announcement.Boot != m.Boot || !holds(w.Announcement, g)):
			return planner.Dead
		}
	}
	return health
}

func holds(a wire.Announcement, g wire.Group) bool {
	return a.Holding != nil && a.Holding.Group == g.ID && a.Holding.Fence == g.Fence
}

func (c *Controller) stepGroup(in Input, g wire.Group, reports map[string]Report, out *Output) {
	switch g.Phase {
	case savorywing.PhaseLoading:
		c.load(in, g, reports, out)
	case savorywing.PhaseReleasing:
		c.release(in, g, reports, out)
	}
}

// load orders members that do not hold the group yet, and activates it once all are ready.
func (c *Controller) load(in Input, g wire.Group, reports map[string]Report, out *Output) {
	hosts := make([]string, len(g.Members))
	for i, m := range g.Members {
		hosts[i] = m.Host
	}
	ready := &wire.GroupStep{Group: g.ID, Fence: g.Fence}
	for _, m := range g.Members {
		w := reports[m.Host]
		if in.Now.Sub(w.RequestedAt) >= aliveBound {
			continue
		}
		if !holds(w.Announcement, g) {
			out.Orders = append(out.Orders, order(savorywing.OrderLoad, g, w, hosts))
			continue
		}
		if w.Announcement.Holding.Ready {
			ready.Members = append(ready.Members, wire.GroupMember{Host: m.Host, Boot: w.Announcement.Boot})
		}
	}
	if len(ready.Members) == len(g.Members) {
		out.add(wire.Command{Activate: ready}, "every member of "+g.ID+" is ready")
	}
}

func (o *Output) add(c wire.Command, reason string) {
	o.Commands = append(o.Commands, c)
	o.Reasons = append(o.Reasons, reason)
}

func order(kind string, g wire.Group, w Report, hosts []string) Order {
	return Order{Host: w.Announcement.Host, Address: w.Announcement.Address, Order: wire.Order{
		Kind: kind, Group: g.ID, Fence: g.Fence, Model: g.Model, Version: g.Version, Members: hosts,
	}}
}

// release frees members that were polled after every lease and order had run out, and hold nothing.
func (c *Controller) release(in Input, g wire.Group, reports map[string]Report, out *Output) {
	over := c.conditions[g.Fence].releasedAt.Add(ReleaseWait(in.Settings.Timing))
	if in.Now.Before(over) {
		return
	}
	for _, m := range g.Members {
		w, known := reports[m.Host]
		if !known || !w.RequestedAt.After(over) {
			continue
		}
		if w.Announcement.Holding == nil {
			out.add(wire.Command{Free: &wire.FreeHost{Host: m.Host, Fence: g.Fence}}, m.Host+" holds nothing")
			continue
		}
		unload := order(savorywing.OrderUnload, g, w, nil)
		// A host may still hold an older group that it was told of too late.
		unload.Order.Group, unload.Order.Fence = w.Announcement.Holding.Group, w.Announcement.Holding.Fence
		out.Orders = append(out.Orders, unload)
	}
}

// plan asks the planner and turns its decisions into commands.
func (c *Controller) plan(in Input, reports map[string]Report, out *Output) {
	p := c.planInput(in, reports)
	fences := map[string]uint64{}
	for _, h := range in.Table.Hosts {
		fences[h.Host] = h.Fence
	}
	groups := map[string]wire.Group{}
	for _, g := range in.Table.Groups {
		groups[g.ID] = g
	}
	taken := nextNames(in.Table)
	for _, d := range planner.Plan(c.way, p) {
		if d.Assign == nil {
			g := groups[d.Release]
			out.add(wire.Command{Release: &wire.GroupStep{Group: g.ID, Fence: g.Fence}}, "releasing "+g.ID+": "+d.Reason)
			continue
		}
		a := &wire.Assign{Group: taken(d.Assign.Model), Model: d.Assign.Model, Version: d.Assign.Version, FabricDomain: d.Assign.Domain}
		for _, host := range d.Assign.Hosts {
			a.Members = append(a.Members, wire.GroupMember{Host: host, LastFence: fences[host]})
		}
		out.add(wire.Command{Assign: a}, "forming "+a.Group+": "+d.Reason)
	}
}

// nextNames returns a function that gives unused group ids.
func nextNames(t wire.Table) func(model string) string {
	used := map[string]bool{}
	for _, g := range t.Groups {
		used[g.ID] = true
	}
	return func(model string) string {
		for n := 1; ; n++ {
			id := fmt.Sprintf("%s-%d", model, n)
			if !used[id] {
				used[id] = true
				return id
			}
		}
	}
}

func (c *Controller) planInput(in Input, reports map[string]Report) *planner.Input {
	cfg := in.Settings
	p := &planner.Input{Now: in.Now, Limits: planner.Limits{
		DowntimeWeight: cfg.Planning.DowntimeWeight, StrandedAcceleratorWeight: cfg.Planning.StrandedWeight,
		MaxConcurrentLoads: cfg.Planning.MaxConcurrentLoads, HoldDown: cfg.Planning.HoldDown, HoldDownMax: cfg.Planning.MaxHoldDown,
		DomainReturnWait: cfg.Planning.DomainReturnTimeout, ReleaseTime: ReleaseWait(cfg.Timing), LoadTime: expectedLoad,
		FailuresPerHostDay: failuresPerHostDay,
	}}
	for name, m := range cfg.Models {
		p.Models = append(p.Models, planner.Model{Name: name, Version: m.Version, HostsPerReplica: m.HostsPerReplica, Replicas: m.Replicas, Accelerators: m.Accelerators})
	}
	sort.Slice(p.Models, func(i, j int) bool { return p.Models[i].Name < p.Models[j].Name })
	owners := map[string]wire.Ownership{}
	for _, h := range in.Table.Hosts {
		owners[h.Host] = h
	}
	for host, w := range reports {
		if w.Announcement.Kind == savorywing.KindEngine {
			p.Hosts = append(p.Hosts, c.planHost(host, w, owners[host]))
		}
	}
	for host, o := range owners {
		if _, known := reports[host]; !known {
			p.Hosts = append(p.Hosts, c.planHost(host, Report{}, o))
		}
	}
	sort.Slice(p.Hosts, func(i, j int) bool { return p.Hosts[i].Name < p.Hosts[j].Name })
	for _, g := range in.Table.Groups {
		p.Groups = append(p.Groups, c.planGroup(g))
	}
	return p
}

func (c *Controller) planHost(host string, w Report, o wire.Ownership) planner.Host {
	h := planner.Host{
		Name: host, Domain: w.Announcement.FabricDomain, Accelerators: int(w.Announcement.Accelerators),
		Group: o.Group, Fence: o.Fence, Draining: o.Draining, Leaving: w.Announcement.Leaving,
	}
	if l := c.lives[host]; l != nil {
		h.Alive, h.Since, h.Flaps = l.alive, l.since, l.flaps
	}
	// A host that holds something without an owner is not free: it must say first that it holds nothing.
	if o.Group == "" && w.Announcement.Holding != nil {
		h.Alive = false
	}
	return h
}

func (c *Controller) planGroup(g wire.Group) planner.Group {
	s := c.conditions[g.Fence]
	p := planner.Group{
		ID: g.ID, Model: g.Model, Version: g.Version, Domain: g.FabricDomain, Health: s.health, Since: s.since,
		Loading: g.Phase == savorywing.PhaseLoading, Releasing: g.Phase == savorywing.PhaseReleasing,
	}
	for _, m := range g.Members {
		p.Members = append(p.Members, m.Host)
	}
	return p
}

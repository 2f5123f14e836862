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
	// aliveTimeout is how long a host counts as alive, from the sending of the latest poll that it has answered.
	aliveTimeout = 3 * time.Second
	// flapResetTime is how long a host must stay alive until its flap count is reset.
	flapResetTime = time.Hour
	// settleTime is how long a new leader collects reports before it plans, so that hosts that have not responded yet
	// don't count as lost.
	settleTime = 3 * time.Second
	// discoveryTime is how long no new host must have appeared before the first groups of a new cluster are planned.
	discoveryTime    = 500 * time.Millisecond
	expectedLoadTime = 30 * time.Second
	// failuresPerHostDay is 39 failures a day in a fleet of 2100 hosts.
	failuresPerHostDay = 39.0 / 2100
)

// Report is a host's latest announcement.
type Report struct {
	Announcement wire.Announcement
	// RequestedAt is the time just before the poll for the announcement was sent; zero if the host never responded.
	RequestedAt time.Time
}

// Input is the input of one step.
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

// Output is the result of a step: commands for the replicated log and orders to backend servers.
type Output struct {
	Commands []wire.Command
	Orders   []Order
	// Reasons holds the reason of each command, for the log.
	Reasons []string
}

// hostState is the controller's state of a host: since is when alive last changed or the host restarted, boot its last
// boot ID, and flaps the number of times that it came back or restarted.
type hostState struct {
	alive bool
	since time.Time
	boot  uint64
	flaps int
}

// groupState is the controller's state of a group; since is when health last changed.
type groupState struct {
	health planner.Health
	since  time.Time
	// releasedAt is when this leader first saw the group in the phase releasing.
	releasedAt time.Time
}

// Controller is the leader's reconciler of groups where the settings list the hosts. A new leader starts with
// an empty one.
type Controller struct {
	policy      planner.Policy
	hostStates  map[string]*hostState
	groupStates map[uint64]*groupState
	// newestHostAt is when the host that was seen last was seen first.
	newestHostAt time.Time
	// settled is set once this leader has begun to plan.
	settled bool
}

// NewController returns a controller for a new leader.
func NewController(policy planner.Policy) *Controller {
	return &Controller{policy: policy, hostStates: map[string]*hostState{}, groupStates: map[uint64]*groupState{}}
}

// ReleaseWait returns how long after a release a host may still receive work from a partitioned entry host or from an
// order in transit.
func ReleaseWait(t settings.Timing) time.Duration {
	return t.Freshness + t.Lease + t.MaxOrderDelay
}

// Step returns the commands and orders that bring the reported state closer to the desired state. It returns none
// until older leaders' orders have expired and hosts have had time to report.
func (c *Controller) Step(in Input) Output {
	reports := map[string]Report{}
	for _, r := range in.Reports {
		reports[r.Announcement.Host] = r
	}
	c.observe(in, reports)
	if c.settled = c.settled || c.isSettled(in); !c.settled {
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

// isSettled reports whether hosts have had time to report and no order of an earlier leader may still be executed.
func (c *Controller) isSettled(in Input) bool {
	if in.Now.Sub(in.LeadingSince) >= in.Settings.Timing.MaxOrderDelay+settleTime {
		return true
	}
	return isNewCluster(in) && len(in.Reports) > 0 && in.Now.Sub(c.newestHostAt) >= discoveryTime
}

// isNewCluster reports whether there has never been a group, so that no order can have been sent.
func isNewCluster(in Input) bool {
	for _, h := range in.Table.Hosts {
		if h.Fence > 0 {
			return false
		}
	}
	for _, r := range in.Reports {
		if r.Announcement.Holding != nil {
			return false
		}
	}
	return len(in.Table.Groups) == 0
}

// unloadOrphans sends an unload order to each host that holds a group without being assigned to one, so that the host
// can be reused.
func unloadOrphans(in Input, out *Output) {
	owned := map[string]bool{}
	for _, h := range in.Table.Hosts {
		owned[h.Host] = h.Group != ""
	}
	for _, r := range in.Reports {
		h := r.Announcement.Holding
		if h == nil || owned[r.Announcement.Host] || in.Now.Sub(r.RequestedAt) >= aliveTimeout {
			continue
		}
		g := wire.Group{ID: h.Group, Fence: h.Fence, Model: h.Model, Version: h.Version}
		out.Orders = append(out.Orders, order(savorywing.OrderUnload, g, r, nil))
	}
}

// observe updates the state of hosts and groups from the reports.
func (c *Controller) observe(in Input, reports map[string]Report) {
	for host, r := range reports {
		c.observeHost(in.Now, host, r)
	}
	seen := map[uint64]bool{}
	for _, g := range in.Table.Groups {
		seen[g.Fence] = true
		c.observeGroup(in.Now, g, reports)
	}
	for fence := range c.groupStates {
		if !seen[fence] {
			delete(c.groupStates, fence)
		}
	}
	for host, s := range c.hostStates {
		if _, known := reports[host]; !known && s.alive {
			s.alive, s.since = false, in.Now
		}
	}
}

func (c *Controller) observeHost(now time.Time, host string, r Report) {
	alive := now.Sub(r.RequestedAt) < aliveTimeout
	s := c.hostStates[host]
	if s == nil {
		c.hostStates[host] = &hostState{alive: alive, since: now, boot: r.Announcement.Boot}
		c.newestHostAt = now
		return
	}
	if s.flaps > 0 && s.alive && now.Sub(s.since) > flapResetTime {
		s.flaps = 0
	}
	restarted := alive && s.boot != r.Announcement.Boot
	if alive != s.alive || restarted {
		if alive {
			s.flaps++
		}
		s.alive, s.since = alive, now
	}
	if alive {
		s.boot = r.Announcement.Boot
	}
}

func (c *Controller) observeGroup(now time.Time, g wire.Group, reports map[string]Report) {
	s := c.groupStates[g.Fence]
	if s == nil {
		s = &groupState{since: now}
		c.groupStates[g.Fence] = s
	}
	if g.Phase == savorywing.PhaseReleasing && s.releasedAt.IsZero() {
		s.releasedAt = now
	}
	if h := c.health(now, g, reports); h != s.health {
		s.health, s.since = h, now
	}
}

// health derives a group's health from its members' reports. A serving group is dead as soon as a member has restarted
// or no longer holds it.
func (c *Controller) health(now time.Time, g wire.Group, reports map[string]Report) planner.Health {
	health := planner.Complete
	for _, m := range g.Members {
		r, known := reports[m.Host]
		alive := known && now.Sub(r.RequestedAt) < aliveTimeout
		switch {
		case !alive:
			health = max(health, planner.Silent)
		case g.Phase == savorywing.PhaseServing && (r.Announcement.Boot != m.Boot || !holds(r.Announcement, g)):
			return planner.Dead
		}
	}
	return health
}

// holds reports whether a host announced that it holds the group with its current fencing token.
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

// load orders members that do not hold the group yet to load it, and activates the group once all are ready.
func (c *Controller) load(in Input, g wire.Group, reports map[string]Report, out *Output) {
	hosts := make([]string, len(g.Members))
	for i, m := range g.Members {
		hosts[i] = m.Host
	}
	ready := &wire.GroupStep{Group: g.ID, Fence: g.Fence}
	for _, m := range g.Members {
		r := reports[m.Host]
		if in.Now.Sub(r.RequestedAt) >= aliveTimeout {
			continue
		}
		if !holds(r.Announcement, g) {
			out.Orders = append(out.Orders, order(savorywing.OrderLoad, g, r, hosts))
			continue
		}
		if r.Announcement.Holding.Ready {
			ready.Members = append(ready.Members, wire.GroupMember{Host: m.Host, Boot: r.Announcement.Boot})
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

func order(kind string, g wire.Group, r Report, hosts []string) Order {
	return Order{Host: r.Announcement.Host, Address: r.Announcement.Address, Order: wire.Order{
		Kind: kind, Group: g.ID, Fence: g.Fence, Model: g.Model, Version: g.Version, Members: hosts,
	}}
}

// release frees members that, polled after every lease and order had expired, report that they hold no group. Members
// that still hold one are ordered to unload it.
func (c *Controller) release(in Input, g wire.Group, reports map[string]Report, out *Output) {
	expiry := c.groupStates[g.Fence].releasedAt.Add(ReleaseWait(in.Settings.Timing))
	if in.Now.Before(expiry) {
		return
	}
	for _, m := range g.Members {
		r, known := reports[m.Host]
		if !known || !r.RequestedAt.After(expiry) {
			continue
		}
		if r.Announcement.Holding == nil {
			out.add(wire.Command{Free: &wire.FreeHost{Host: m.Host, Fence: g.Fence}}, m.Host+" holds no group")
			continue
		}
		unload := order(savorywing.OrderUnload, g, r, nil)
		// A host may hold an older group, if the order to load it arrived late.
		unload.Order.Group, unload.Order.Fence = r.Announcement.Holding.Group, r.Announcement.Holding.Fence
		out.Orders = append(out.Orders, unload)
	}
}

// plan runs the planner and turns its decisions into commands.
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
	newID := newIDGenerator(in.Table)
	for _, d := range planner.Plan(c.policy, p) {
		if d.Assign == nil {
			g := groups[d.Release]
			out.add(wire.Command{Release: &wire.GroupStep{Group: g.ID, Fence: g.Fence}}, "releasing "+g.ID+": "+d.Reason)
			continue
		}
		a := &wire.Assign{Group: newID(d.Assign.Model), Model: d.Assign.Model, Version: d.Assign.Version, FabricDomain: d.Assign.Domain}
		for _, host := range d.Assign.Hosts {
			a.Members = append(a.Members, wire.GroupMember{Host: host, LastFence: fences[host]})
		}
		out.add(wire.Command{Assign: a}, "forming "+a.Group+": "+d.Reason)
	}
}

// newIDGenerator returns a function that returns unused group IDs.
func newIDGenerator(t wire.Table) func(model string) string {
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
		DowntimeWeight: cfg.Planning.DowntimeWeight, StrandedAcceleratorWeight: cfg.Planning.StrandedAcceleratorWeight,
		MaxConcurrentLoads: cfg.Planning.MaxConcurrentLoads, HoldDown: cfg.Planning.HoldDown, MaxHoldDown: cfg.Planning.MaxHoldDown,
		DomainReturnTimeout: cfg.Planning.DomainReturnTimeout, ReleaseTime: ReleaseWait(cfg.Timing), LoadTime: expectedLoadTime,
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
	for host, r := range reports {
		if r.Announcement.Kind == savorywing.KindEngine {
			p.Hosts = append(p.Hosts, c.planHost(host, r, owners[host]))
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

func (c *Controller) planHost(host string, r Report, o wire.Ownership) planner.Host {
	h := planner.Host{
		Name: host, Domain: r.Announcement.FabricDomain, Accelerators: int(r.Announcement.Accelerators),
		Group: o.Group, Fence: o.Fence, Draining: o.Draining, Leaving: r.Announcement.Leaving,
	}
	if s := c.hostStates[host]; s != nil {
		h.Alive, h.Since, h.Flaps = s.alive, s.since, s.flaps
	}
	// A host that holds a group without being assigned to one counts as not alive until it reports that it holds none,
	// so that the planner doesn't use it.
	if o.Group == "" && r.Announcement.Holding != nil {
		h.Alive = false
	}
	return h
}

func (c *Controller) planGroup(g wire.Group) planner.Group {
	s := c.groupStates[g.Fence]
	p := planner.Group{
		ID: g.ID, Model: g.Model, Version: g.Version, Domain: g.FabricDomain, Health: s.health, Since: s.since,
		Loading: g.Phase == savorywing.PhaseLoading, Releasing: g.Phase == savorywing.PhaseReleasing,
	}
	for _, m := range g.Members {
		p.Members = append(p.Members, m.Host)
	}
	return p
}

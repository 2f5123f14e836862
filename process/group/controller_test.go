package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/planner"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const settingsText = `
dataCentres: {centre: {region: here}}
hosts: {one: {dataCentre: centre, peers: "127.0.0.1:9080", roles: [control]}}
organisations: {college: {share: 1}}
classes: {desk: {timeZone: UTC, windows: {always: {from: "00:00", to: "24:00", firstToken: 1s, betweenTokens: 1s, wholeAnswer: 9s}}}}
models: {ledger: {version: "1", span: 2, replicas: 1}}
planning: {holdDown: 10s}
`

// simFleet simulates the replicated state and the hosts that a controller acts on.
type simFleet struct {
	now        time.Time
	machine    *state.Machine
	index      uint64
	reports    map[string]*Report
	controller *Controller
	settings   *settings.Settings
	// ignoresOrders holds the hosts that execute no orders.
	ignoresOrders map[string]bool
	last          Output
	// hosts and groups are added to the table that the controller gets.
	hosts  []wire.Ownership
	groups []wire.Group
}

func newFleet(hosts ...string) *simFleet {
	s, err := settings.Parse("test", []byte(settingsText))
	if err != nil {
		panic(err)
	}
	f := &simFleet{
		now: time.Unix(1000, 0), machine: state.New(), reports: map[string]*Report{}, settings: s,
		controller: NewController(planner.BestFit), ignoresOrders: map[string]bool{},
	}
	for _, h := range hosts {
		f.reports[h] = &Report{RequestedAt: f.now, Announcement: wire.Announcement{
			Host: h, Boot: 1, Kind: savorywing.KindEngine, FabricDomain: "fabric", Accelerators: 1, Address: h,
		}}
	}
	return f
}

// run advances the time in steps of one second. Hosts that are not silent respond in each step and, unless they are in
// ignoresOrders, execute their orders.
func (f *simFleet) run(seconds int, silent ...string) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for host, r := range f.reports {
			if !contains(silent, host) {
				r.RequestedAt = f.now
			}
		}
		f.step(silent)
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (f *simFleet) step(silent []string) {
	in := Input{Now: f.now, LeadingSince: time.Unix(1000, 0), Settings: f.settings, Table: f.machine.Table()}
	in.Table.Hosts = append(in.Table.Hosts, f.hosts...)
	in.Table.Groups = append(in.Table.Groups, f.groups...)
	for _, r := range f.reports {
		in.Reports = append(in.Reports, *r)
	}
	f.last = f.controller.Step(in)
	for _, c := range f.last.Commands {
		f.index++
		f.machine.Apply(f.index, c)
	}
	for _, o := range f.last.Orders {
		if contains(silent, o.Host) || f.ignoresOrders[o.Host] {
			continue
		}
		f.reports[o.Host].Announcement.Holding = nil
		if o.Order.Kind == savorywing.OrderLoad {
			f.reports[o.Host].Announcement.Holding = &wire.Holding{
				Group: o.Order.Group, Fence: o.Order.Fence, Model: o.Order.Model, Version: o.Order.Version, Ready: true,
			}
		}
	}
}

func (f *simFleet) restart(host string) {
	r := f.reports[host]
	r.Announcement.Boot++
	r.Announcement.Holding = nil
}

// serving returns the members of the one serving group.
func (f *simFleet) serving() []string {
	for _, g := range f.machine.Table().Groups {
		if g.Phase == savorywing.PhaseServing {
			var names []string
			for _, m := range g.Members {
				names = append(names, m.Host)
			}
			return names
		}
	}
	return nil
}

// TestFirstPlan checks when a new leader plans. Only where no group can have existed may it plan before an earlier leader's
// orders have expired.
func TestFirstPlan(t *testing.T) {
	full := newFleet().settings.Timing.MaxOrderDelay + settleTime
	for _, tt := range []struct {
		name    string
		prepare func(f *simFleet)
		want    time.Duration
	}{
		{"a new cluster", func(*simFleet) {}, 2 * time.Second},
		{"a host that holds a group", func(f *simFleet) { f.reports["b"].Announcement.Holding = &wire.Holding{Group: "ledger-1", Fence: 1} }, full},
		{"a host that was in a group", func(f *simFleet) { f.hosts = []wire.Ownership{{Host: "b", Fence: 1}} }, full},
		{"a group", func(f *simFleet) { f.groups = []wire.Group{{ID: "ledger-1", Fence: 1}} }, full},
	} {
		Convey("With "+tt.name, t, func() {
			f := newFleet("a", "b", "c")
			tt.prepare(f)
			for f.now.Sub(time.Unix(1000, 0)) < tt.want {
				So(len(f.last.Commands), ShouldEqual, 0)
				f.run(1)
			}
			So(len(f.last.Commands), ShouldBeGreaterThan, 0)
		})
	}
	Convey("With a host that appears later, a new cluster plans with both", t, func() {
		f := newFleet("a")
		f.step(nil)
		f.now = f.now.Add(discoveryTime / 2)
		f.reports["b"] = newFleet("b").reports["b"]
		f.reports["b"].RequestedAt = f.now
		f.step(nil)
		f.now = f.now.Add(discoveryTime / 2)
		f.step(nil)
		So(len(f.last.Commands), ShouldEqual, 0)
		f.now = f.now.Add(discoveryTime / 2)
		f.step(nil)
		So(len(f.last.Commands), ShouldBeGreaterThan, 0)
	})
}

func TestController(t *testing.T) {
	Convey("A new leader sends no order before older leaders' orders have expired", t, func() {
		f := newFleet("a", "b")
		f.hosts = []wire.Ownership{{Host: "c", Fence: 1}}
		f.run(4)
		So(f.machine.Table().Groups, ShouldBeEmpty)
		f.run(6)
		So(f.serving(), ShouldResemble, []string{"a", "b"})
	})
	Convey("Orders are repeated until the hosts report the desired state", t, func() {
		f := newFleet("a", "b")
		f.ignoresOrders["b"] = true
		f.run(12)
		So(f.serving(), ShouldBeNil)
		So(f.last.Orders, ShouldHaveLength, 1)
		f.ignoresOrders["b"] = false
		f.run(3)
		So(f.serving(), ShouldNotBeNil)
	})
	Convey("A member that is silent for a while and did not restart keeps its group", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		fence := f.machine.Table().Groups[0].Fence
		f.run(6, "b")
		f.run(3)
		So(f.machine.Table().Groups[0].Fence, ShouldEqual, fence)
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseServing)
	})
	Convey("A member that returns with a new boot ID ends its group", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		f.restart("b")
		f.run(1)
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseReleasing)

		Convey("whose hosts are freed only after every lease and order has expired", func() {
			// The freshness bound is 5 s, the lease 2 s and the maximum order delay 2 s.
			f.run(8)
			So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseReleasing)
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 2)
			f.run(20)
			So(f.serving(), ShouldHaveLength, 2)
		})
		Convey("and a host that does not respond stays assigned", func() {
			f.run(40, "a")
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 1)
			So(f.machine.Table().Groups[0].Members[0].Host, ShouldEqual, "a")
			So(f.serving(), ShouldBeNil)
		})
		Convey("and a host that still holds the group is ordered to unload it, and stays assigned until it reports that it holds none", func() {
			f.ignoresOrders["a"] = true
			f.run(40)
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 1)
			f.ignoresOrders["a"] = false
			f.run(15)
			So(f.serving(), ShouldHaveLength, 2)
		})
	})
	Convey("A group that loses a member is replaced by one of free hosts, also after a second loss", t, func() {
		f := newFleet("a", "b", "c", "d")
		f.run(10)
		So(f.serving(), ShouldResemble, []string{"a", "b"})
		f.run(30, "b")
		So(f.serving(), ShouldResemble, []string{"c", "d"})
		f.run(30, "b", "d")
		So(f.serving(), ShouldResemble, []string{"a", "c"})
	})
	Convey("While a whole domain is unreachable, nothing is released", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		f.run(60, "a", "b")
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseServing)
		f.run(1)
		So(f.serving(), ShouldHaveLength, 2)
	})
	Convey("A host that holds a group it is not assigned to is ordered to unload it before the host is used", t, func() {
		f := newFleet("a", "b")
		f.reports["a"].Announcement.Holding = &wire.Holding{Group: "old", Fence: 99, Ready: true}
		f.run(12)
		So(f.serving(), ShouldHaveLength, 2)
	})
	Convey("The group of a draining host is replaced if enough other hosts are free", t, func() {
		f := newFleet("a", "b", "c", "d")
		f.run(10)
		f.index++
		f.machine.Apply(f.index, wire.Command{Drain: &wire.DrainHost{Host: "a", On: true}})
		f.run(4)
		So(f.serving(), ShouldNotBeNil)
		f.run(20)
		So(f.serving(), ShouldNotContain, "a")
		So(f.serving(), ShouldHaveLength, 2)
	})
}

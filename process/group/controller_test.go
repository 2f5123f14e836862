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

// fleetFake is the replicated state and the hosts that a controller acts on.
type fleetFake struct {
	now        time.Time
	machine    *state.Machine
	index      uint64
	reports    map[string]*Report
	controller *Controller
	settings   *settings.Settings
	// ignore makes hosts take orders with any fencing number, deaf ones take none.
	deaf map[string]bool
	last Output
}

func newFleet(hosts ...string) *fleetFake {
	s, err := settings.Parse("test", []byte(settingsText))
	if err != nil {
		panic(err)
	}
	f := &fleetFake{
		now: time.Unix(1000, 0), machine: state.New(), reports: map[string]*Report{}, settings: s,
		controller: NewController(planner.BestFit), deaf: map[string]bool{},
	}
	for _, h := range hosts {
		f.reports[h] = &Report{RequestedAt: f.now, Announcement: wire.Announcement{
			Host: h, Boot: 1, Kind: savorywing.KindEngine, FabricDomain: "fabric", Accelerators: 1, Address: h,
		}}
	}
	return f
}

// run lets seconds pass; hosts that are not silent answer every second, and orders are carried out.
func (f *fleetFake) run(seconds int, silent ...string) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for host, w := range f.reports {
			if !contains(silent, host) {
				w.RequestedAt = f.now
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

func (f *fleetFake) step(silent []string) {
	in := Input{Now: f.now, LeadingSince: time.Unix(1000, 0), Settings: f.settings, Table: f.machine.Table()}
	for _, w := range f.reports {
		in.Reports = append(in.Reports, *w)
	}
	f.last = f.controller.Step(in)
	for _, c := range f.last.Commands {
		f.index++
		f.machine.Apply(f.index, c)
	}
	for _, o := range f.last.Orders {
		if contains(silent, o.Host) || f.deaf[o.Host] {
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

func (f *fleetFake) restart(host string) {
	w := f.reports[host]
	w.Announcement.Boot++
	w.Announcement.Holding = nil
}

// serving returns the members of the one serving group.
func (f *fleetFake) serving() []string {
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

func TestController(t *testing.T) {
	Convey("A new leader gives no order before older leaders' orders have run out", t, func() {
		f := newFleet("a", "b")
		f.run(4)
		So(f.machine.Table().Groups, ShouldBeEmpty)
		f.run(6)
		So(f.serving(), ShouldResemble, []string{"a", "b"})
	})
	Convey("Orders are repeated until the hosts agree", t, func() {
		f := newFleet("a", "b")
		f.deaf["b"] = true
		f.run(12)
		So(f.serving(), ShouldBeNil)
		So(f.last.Orders, ShouldHaveLength, 1)
		f.deaf["b"] = false
		f.run(3)
		So(f.serving(), ShouldNotBeNil)
	})
	Convey("A member that pauses and returns as it was keeps its group", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		fence := f.machine.Table().Groups[0].Fence
		f.run(6, "b")
		f.run(3)
		So(f.machine.Table().Groups[0].Fence, ShouldEqual, fence)
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseServing)
	})
	Convey("A member that returns with a new boot number ends its group", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		f.restart("b")
		f.run(1)
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseReleasing)

		Convey("whose hosts are free only after every lease and order has run out", func() {
			// Freshness 5 s, lease 2 s and the longest order 2 s.
			f.run(8)
			So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseReleasing)
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 2)
			f.run(20)
			So(f.serving(), ShouldHaveLength, 2)
		})
		Convey("and a host that does not answer stays owned", func() {
			f.run(40, "a")
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 1)
			So(f.machine.Table().Groups[0].Members[0].Host, ShouldEqual, "a")
			So(f.serving(), ShouldBeNil)
		})
		Convey("and a host that still holds the group is told to unload and stays owned until it does", func() {
			f.deaf["a"] = true
			f.run(40)
			So(f.machine.Table().Groups[0].Members, ShouldHaveLength, 1)
			f.deaf["a"] = false
			f.run(15)
			So(f.serving(), ShouldHaveLength, 2)
		})
	})
	Convey("A spare takes the place of a lost member, also after a second loss", t, func() {
		f := newFleet("a", "b", "c", "d")
		f.run(10)
		So(f.serving(), ShouldResemble, []string{"a", "b"})
		f.run(30, "b")
		So(f.serving(), ShouldResemble, []string{"c", "d"})
		f.run(30, "b", "d")
		So(f.serving(), ShouldResemble, []string{"a", "c"})
	})
	Convey("While a whole domain is dark, nothing is released", t, func() {
		f := newFleet("a", "b")
		f.run(10)
		f.run(60, "a", "b")
		So(f.machine.Table().Groups[0].Phase, ShouldEqual, savorywing.PhaseServing)
		f.run(1)
		So(f.serving(), ShouldHaveLength, 2)
	})
	Convey("A host that holds something nobody gave it is told to unload before it is used", t, func() {
		f := newFleet("a", "b")
		f.reports["a"].Announcement.Holding = &wire.Holding{Group: "old", Fence: 99, Ready: true}
		f.run(12)
		So(f.serving(), ShouldHaveLength, 2)
	})
	Convey("A draining host is replaced where others suffice", t, func() {
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

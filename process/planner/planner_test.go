package planner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var now = time.Unix(100_000, 0)

func limits() Limits {
	return Limits{
		DowntimeWeight: 1, StrandedAcceleratorWeight: 1, MaxConcurrentLoads: 100, HoldDown: 30 * time.Second, MaxHoldDown: time.Hour,
		DomainReturnTimeout: time.Minute, ReleaseTime: 9 * time.Second, LoadTime: time.Minute, FailuresPerHostDay: 39.0 / 2100,
	}
}

func fleet(domains, perDomain int) []Host {
	var hosts []Host
	for i := range domains * perDomain {
		hosts = append(hosts, Host{
			Name: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", i/perDomain), Accelerators: 1,
			Alive: true, Since: now.Add(-time.Hour),
		})
	}
	return hosts
}

// execute adds the groups that a plan assigns, as if they loaded immediately.
func execute(in *Input, decisions []Decision) {
	for _, d := range decisions {
		if d.Assign == nil {
			continue
		}
		g := Group{ID: fmt.Sprint("group-", len(in.Groups)), Model: d.Assign.Model, Version: d.Assign.Version, Domain: d.Assign.Domain, Members: d.Assign.Hosts, Since: now}
		for i := range in.Hosts {
			for _, name := range d.Assign.Hosts {
				if in.Hosts[i].Name == name {
					in.Hosts[i].Group = g.ID
				}
			}
		}
		in.Groups = append(in.Groups, g)
	}
}

func releases(decisions []Decision) []string {
	var names []string
	for _, d := range decisions {
		if d.Release != "" {
			names = append(names, d.Release)
		}
	}
	return names
}

func TestPlan(t *testing.T) {
	model := Model{Name: "m", Version: "1", HostsPerReplica: 4, Replicas: 2, Accelerators: 1}
	start := func() *Input {
		in := &Input{Now: now, Models: []Model{model}, Hosts: fleet(2, 6), Limits: limits()}
		execute(in, Plan(BestFit, in))
		return in
	}
	Convey("Groups are formed within one domain, where they leave the fewest unusable hosts", t, func() {
		in := start()
		So(in.Groups, ShouldHaveLength, 2)
		So(in.Groups[0].Domain, ShouldNotEqual, in.Groups[1].Domain)
		So(Plan(BestFit, in), ShouldBeEmpty)
	})
	Convey("No group is formed if every domain has too few hosts", t, func() {
		So(Plan(Weighted, &Input{Now: now, Models: []Model{model}, Hosts: fleet(5, 3), Limits: limits()}), ShouldBeEmpty)
	})
	Convey("A dead group is released at once, one with a silent member after the grace period", t, func() {
		in := start()
		in.Groups[0].Health, in.Groups[0].Since = Silent, now
		So(releases(Plan(BestFit, in)), ShouldBeEmpty)
		in.Groups[0].Since = now.Add(-silenceGrace)
		So(releases(Plan(BestFit, in)), ShouldResemble, []string{in.Groups[0].ID})
		in.Groups[0].Health, in.Groups[0].Since = Dead, now
		So(releases(Plan(BestFit, in)), ShouldResemble, []string{in.Groups[0].ID})
	})
	Convey("Nothing is released while an unreachable domain may return", t, func() {
		in := start()
		for i := range in.Hosts[:6] {
			in.Hosts[i].Alive, in.Hosts[i].Since = false, now.Add(-30*time.Second)
		}
		in.Groups[0].Health, in.Groups[0].Since = Silent, now.Add(-30*time.Second)
		So(Plan(BestFit, in), ShouldBeEmpty)
	})
	Convey("A host that came back is held down, for longer with each flap", t, func() {
		So(holdDown(limits(), 0), ShouldEqual, 0)
		So(holdDown(limits(), 1), ShouldEqual, 30*time.Second)
		So(holdDown(limits(), 3), ShouldEqual, 2*time.Minute)
		So(holdDown(limits(), 30), ShouldEqual, time.Hour)
		in := &Input{Now: now, Models: []Model{model}, Hosts: fleet(1, 4), Limits: limits()}
		in.Hosts[0].Flaps, in.Hosts[0].Since = 1, now.Add(-10*time.Second)
		So(Plan(BestFit, in), ShouldBeEmpty)
		in.Hosts[0].Since = now.Add(-30 * time.Second)
		So(Plan(BestFit, in), ShouldHaveLength, 1)
	})
	Convey("A new version is loaded before the old one is released, if there are enough hosts", t, func() {
		in := start()
		in.Models[0].Version = "2"
		So(releases(Plan(BestFit, in)), ShouldHaveLength, 1)
		in.Hosts = append(in.Hosts, fleet(4, 6)[12:]...)
		decisions := Plan(BestFit, in)
		So(releases(decisions), ShouldBeEmpty)
		execute(in, decisions)
		So(releases(Plan(BestFit, in)), ShouldHaveLength, 2)
	})
	Convey("Idle hosts serve extra replicas, which are released for a model that lacks one", t, func() {
		in := &Input{Now: now, Models: []Model{model}, Hosts: fleet(1, 12), Limits: limits()}
		execute(in, Plan(Weighted, in))
		execute(in, Plan(Weighted, in))
		So(in.Groups, ShouldHaveLength, 3)
		in.Models = append(in.Models, Model{Name: "other", Version: "1", HostsPerReplica: 4, Replicas: 1, Accelerators: 1})
		So(releases(Plan(Weighted, in)), ShouldHaveLength, 1)
	})
	Convey("No more than MaxConcurrentLoads groups load at once, to protect the weight store", t, func() {
		in := &Input{Now: now, Models: []Model{model}, Hosts: fleet(1, 12), Limits: limits()}
		in.Limits.MaxConcurrentLoads = 1
		So(Plan(Weighted, in), ShouldHaveLength, 1)
	})
}

// TestPlanNeverMixes checks on random fleets that a group consists of distinct, usable hosts of one domain.
func TestPlanNeverMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Now: now, Hosts: fleet(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 9).Draw(t, "hosts")), Limits: limits()}
		for i := range rapid.IntRange(1, 3).Draw(t, "models") {
			in.Models = append(in.Models, Model{
				Name: fmt.Sprint("m", i), Version: "1", HostsPerReplica: rapid.IntRange(1, 4).Draw(t, "hostsPerReplica"),
				Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"), Accelerators: 1,
			})
		}
		for i := range in.Hosts {
			in.Hosts[i].Alive = rapid.Bool().Draw(t, "alive")
			in.Hosts[i].Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
		}
		taken := map[string]bool{}
		for _, d := range Plan(Policy(rapid.IntRange(0, 2).Draw(t, "policy")), in) {
			if d.Assign == nil {
				continue
			}
			for _, name := range d.Assign.Hosts {
				for i := range in.Hosts {
					h := &in.Hosts[i]
					if h.Name == name && (taken[name] || !h.Alive || h.Draining || h.Domain != d.Assign.Domain) {
						t.Fatalf("%+v joins %+v", h, d.Assign)
					}
				}
				taken[name] = true
			}
		}
	})
}

func benchmarkPlan(b *testing.B, hosts int) {
	in := &Input{
		Now: now, Hosts: fleet(hosts/50, 50), Limits: limits(),
		Models: []Model{{Name: "m", Version: "1", HostsPerReplica: 4, Replicas: hosts/4 - hosts/40, Accelerators: 1}},
	}
	execute(in, Plan(BestFit, in))
	in.Hosts[0].Alive = false
	in.Groups[0].Health = Dead
	b.ResetTimer()
	for range b.N {
		Plan(Weighted, in)
	}
}

func BenchmarkPlan100(b *testing.B)  { benchmarkPlan(b, 100) }
func BenchmarkPlan500(b *testing.B)  { benchmarkPlan(b, 500) }
func BenchmarkPlan2100(b *testing.B) { benchmarkPlan(b, 2100) }

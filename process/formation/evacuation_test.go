package formation

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

func (s *sim) evacuate(names ...string) {
	s.evacuated = evacuation.Restore(&wire.Evacuations{Revision: s.evacuated.Revision() + 1, DataCentres: names})
}

// openIn counts the open groups by the data centre of their heads.
func (s *sim) openIn(dataCentre string) int {
	n := 0
	for _, v := range s.servers {
		if v.domain == dataCentre && v.rank == 0 && v.state == fleet.StateOpen {
			n++
		}
	}
	return n
}

// TestEvacuatedDataCentre checks, also with a change of leader, that groups of an evacuated data centre end once their requests have, that
// no server there joins another one meanwhile, that a model whose groups were all there gets one elsewhere, and that groups form there
// again afterwards.
func TestEvacuatedDataCentre(t *testing.T) {
	for _, elect := range []bool{false, true} {
		for seed := uint64(1); seed <= 4; seed++ {
			s := newSim(t, seed)
			s.run(9*time.Second, nil)
			s.served = true
			s.run(5*time.Second, nil)
			before := s.openIn("d0")
			s.quietAt = s.now.Add(8 * time.Second)
			s.evacuate("d0")
			s.onJoin = func(v *simServer, model string) {
				if v.domain == "d0" && s.now.After(s.quietAt.Add(simMaxResponse)) {
					t.Errorf("seed %d: %s joins a group of %s in an evacuated data centre", seed, v.id, model)
				}
			}
			s.run(7*time.Second, nil)
			if got := s.openIn("d0"); got < before {
				t.Errorf("seed %d: %d of %d groups are open while they have requests", seed, got, before)
			}
			if elect {
				s.elect()
			}
			s.run(45*time.Second, nil)
			if got := s.openIn("d0"); got != 0 {
				t.Errorf("seed %d: %d groups are open in the evacuated data centre", seed, got)
			}
			for model, n := range map[string]int{"large": s.openGroups()["large"], "small": s.openGroups()["small"]} {
				if n == 0 {
					t.Errorf("seed %d: no group of %s is left", seed, model)
				}
			}
			s.onJoin = nil
			s.evacuate()
			s.run(20*time.Second, nil)
			if s.openIn("d0") == 0 {
				t.Errorf("seed %d: no group has formed in the data centre after its evacuation", seed)
			}
		}
	}
}

// TestGroupAcrossDataCentres guards against a group that goes on with a member in an evacuated data centre, since entry hosts see only
// that of its head.
func TestGroupAcrossDataCentres(t *testing.T) {
	s := newSim(t, 3)
	s.run(9*time.Second, nil)
	s.served = true
	var head *simServer
	for _, v := range s.sorted() {
		if v.rank == 0 && v.state == fleet.StateOpen {
			head = v
		}
	}
	member := s.servers[head.members[1]]
	report := *s.table.Server(member.id).Report()
	report.DataCentre, report.Sequence = "elsewhere", report.Sequence+1
	if _, err := s.table.Apply(s.now, report); err != nil {
		t.Fatal(err)
	}
	s.evacuate("elsewhere")
	s.step()
	s.run(time.Second, nil)
	if head.state == fleet.StateOpen {
		t.Error("the group is still open")
	}
}

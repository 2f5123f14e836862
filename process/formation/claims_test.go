package formation

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// memberships returns the group, rank and state of each server that is in a group.
func (s *sim) memberships() map[string]string {
	out := map[string]string{}
	for _, v := range s.servers {
		if v.group != "" && !v.dead {
			out[v.id] = fmt.Sprint(v.group, " ", v.rank, " ", v.state)
		}
	}
	return out
}

// claim applies the report of a server that is no engine of the simulation.
func (s *sim) claim(id, service string, place *wire.GroupPlace, sequence uint64) {
	s.t.Helper()
	r := wire.Report{
		ID: id, Born: s.now.UnixMilli(), Sequence: sequence, Service: service, Address: "address-of-" + id, Engine: true, Domain: "d0", Slots: 17, Group: place,
	}
	if _, err := s.table.Apply(s.now, r); err != nil {
		s.t.Fatal(err)
	}
	s.servers[id] = &simServer{id: id, dead: true}
}

// isEndpoint reports whether requests are sent to a server.
func (s *sim) isEndpoint(id string) bool {
	for _, e := range s.table.Endpoints(s.now, time.Minute, s.reconciler.ModelOf) {
		if e.ID == id {
			return true
		}
	}
	return false
}

// TestForeignClaim guards against reports that claim a place in a group and so end or change the group. Each server's
// membership stays as it is, under the same leader and under the next one, which was a follower or has just started.
func TestForeignClaim(t *testing.T) {
	for _, tt := range []struct {
		name    string
		service string
		change  func(p *wire.GroupPlace)
	}{
		{"head", "engines", func(p *wire.GroupPlace) { p.Rank = 0 }},
		{"broken head", "engines", func(p *wire.GroupPlace) { p.Rank, p.State = 0, fleet.StateBroken }},
		{"closing head", "engines", func(p *wire.GroupPlace) { p.Rank, p.State = 0, fleet.StateClosing }},
		{"head of an unknown service", "other", func(p *wire.GroupPlace) { p.Rank = 0 }},
		{"member", "engines", func(p *wire.GroupPlace) { p.Rank, p.State = 2, fleet.StateReady }},
		{"rank next to the last", "engines", func(p *wire.GroupPlace) { p.Rank, p.State = 4, fleet.StateReady }},
		{"rank beyond the last", "engines", func(p *wire.GroupPlace) { p.Rank, p.State = 900, fleet.StateReady }},
		{"other epoch", "engines", func(p *wire.GroupPlace) { p.Epoch++ }},
		{"highest epoch", "engines", func(p *wire.GroupPlace) { p.Epoch = math.MaxUint64 }},
		{"epoch 0", "engines", func(p *wire.GroupPlace) { p.Epoch = 0 }},
		{"other group of the model", "engines", func(p *wire.GroupPlace) { p.Name = "x.large" }},
		{"number beyond 64 bits", "engines", func(p *wire.GroupPlace) { p.Name = "g99999999999999999999.large" }},
		{"model without a name", "engines", func(p *wire.GroupPlace) { p.Name = "g7." }},
	} {
		for _, next := range []string{"same leader", "follower leads", "new leader"} {
			t.Run(tt.name+"/"+next, func(t *testing.T) {
				s := newSim(t, 2)
				s.run(9*time.Second, nil)
				s.served = true
				before := s.memberships()
				for i, v := range s.sorted() {
					if v.rank == 0 && v.state == fleet.StateOpen && v.model == "large" {
						place := &wire.GroupPlace{Name: v.group, Epoch: v.epoch, State: fleet.StateOpen}
						tt.change(place)
						// Names sort before and after those of the engines.
						s.claim(fmt.Sprint("a-other-", i), tt.service, place, 1)
						s.claim(fmt.Sprint("z-other-", i), tt.service, place, 1)
					}
				}
				s.run(200*time.Millisecond, nil)
				switch next {
				case "follower leads":
					s.term++
					s.reconciler, s.follower = s.follower, New(Config{})
				case "new leader":
					s.run(simReportInterval, nil)
					s.term++
					s.reconciler, s.follower = New(Config{}), New(Config{})
				}
				s.run(12*time.Second, func() {
					for id := range s.servers {
						if _, known := before[id]; !known && s.isEndpoint(id) {
							t.Fatalf("requests are sent to %s", id)
						}
					}
				})
				if after := s.memberships(); !maps.Equal(before, after) {
					t.Errorf("memberships before: %v, after: %v", before, after)
				}
			})
		}
	}
}

// TestMemberOfTwoRanks guards against a server that is listed at two places of its group.
func TestMemberOfTwoRanks(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fleet.NewTable()
	in := Input{Table: table, Catalogue: simCatalogue(t), Term: 1}
	rc := New(Config{})
	for sequence, rank := range []int{1, 3, 0} {
		r := wire.Report{ID: "i", Sequence: uint64(sequence + 1), Service: "engines", Address: "a", Engine: true, Domain: "d",
			Group: &wire.GroupPlace{Name: "g7.large", Epoch: 7, Rank: rank, State: fleet.StateReady}}
		if _, err := table.Apply(now, r); err != nil {
			t.Fatal(err)
		}
		rc.ObserveAsFollower(now, in)
		n := 0
		for _, id := range rc.groups["g7.large"].members {
			if id == "i" {
				n++
			}
		}
		if n != 1 {
			t.Errorf("after it has reported rank %d, the server is listed %d times", rank, n)
		}
	}
}

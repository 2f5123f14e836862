package quarantine

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

var start = time.Unix(1_000_000, 0)

func key(organisation string, part uint64) wire.PartKey {
	return wire.PartKey{Service: "s", Organisation: organisation, Part: part}
}

// scene drives a Tracker with the reports of entry hosts.
type scene struct {
	*Tracker
	now     time.Time
	crashes int
}

func newScene() *scene { return &scene{Tracker: NewTracker(start), now: start} }

// report delivers a usage report of one host that is sent now, to the leader of a term.
func (s *scene) report(term uint64, u wire.Usage) { s.reportLate("host", 0, term, u) }

// reportLate delivers a report of a host that was sent some time ago.
func (s *scene) reportLate(host string, transit time.Duration, term uint64, u wire.Usage) {
	u.SentAt = s.now.Add(-transit).UnixNano()
	s.Record(s.now, host, term, u)
}

// crash reports that a server has ended under requests of an organisation with these parts.
func (s *scene) crash(organisation string, prompts ...[]uint64) {
	s.crashes++
	l := wire.Loss{Server: fmt.Sprint("server-", s.crashes), Born: 1, Ended: true}
	for _, parts := range prompts {
		l.Requests = append(l.Requests, wire.LostRequest{Service: "s", Organisation: organisation, Parts: parts})
	}
	s.report(1, wire.Usage{QuarantineTerm: 1, Losses: []wire.Loss{l}})
}

// survive reports that requests with parts that got their first event at begun have survived.
func (s *scene) survive(organisation string, begun time.Time, parts ...uint64) {
	var u wire.Usage
	u.QuarantineTerm = 1
	for _, part := range parts {
		u.Survivals = append(u.Survivals, wire.Survival{Key: key(organisation, part), BegunMs: s.now.Sub(begun).Milliseconds()})
	}
	s.report(1, u)
}

// pass lets time pass, with a step every 50 ms.
func (s *scene) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		s.Step(s.now)
	}
}

func (s *scene) isBlocked(organisation string, part uint64) bool {
	return s.blocked[key(organisation, part)] != nil
}

const (
	common = 1
	lethal = 2
)

// TestLethalPart checks how soon a part is blocked under which servers crash, and that no other part is.
func TestLethalPart(t *testing.T) {
	tests := []struct {
		name string
		// known is how long ago the latest request with the lethal part survived; 0 for never.
		known time.Duration
		// others are the prompts of other requests that are lost in each crash.
		others  func(n int) [][]uint64
		crashes int
	}{
		{"a new part", 0, func(int) [][]uint64 { return nil }, 3},
		{"a new part, sound requests lost beside it", 0, func(n int) [][]uint64 { return [][]uint64{{common, uint64(100 + n%2)}} }, 3},
		{"a part that servers survived before", 2 * time.Second, func(int) [][]uint64 { return nil }, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			s.survive("o", s.now.Add(-10*time.Millisecond), common)
			if tt.known > 0 {
				s.survive("o", s.now.Add(-tt.known), lethal)
			}
			for n := range tt.crashes {
				s.crash("o", append(tt.others(n), []uint64{common, uint64(1000 + n), lethal})...)
				s.pass(200 * time.Millisecond)
				s.survive("o", s.now.Add(-150*time.Millisecond), common)
			}
			s.pass(200 * time.Millisecond)
			if !s.isBlocked("o", lethal) {
				t.Errorf("not blocked after %d crashes", tt.crashes)
			}
			if len(s.blocked) != 1 {
				t.Errorf("blocked %v, want only the lethal part", s.List(s.now))
			}
		})
	}
}

// TestOtherLosses checks that servers that end for other reasons don't block the parts that their requests share.
func TestOtherLosses(t *testing.T) {
	const many = 12
	tests := []struct {
		name string
		run  func(s *scene)
	}{
		{"many at once, others go on", func(s *scene) {
			for range many {
				s.crash("o", []uint64{common, 5})
			}
			for range 20 {
				s.pass(100 * time.Millisecond)
				s.survive("o", s.now.Add(-600*time.Millisecond), common, 5)
			}
		}},
		{"one after the other, others go on", func(s *scene) {
			for range 40 {
				s.crash("o", []uint64{common, 5})
				s.pass(150 * time.Millisecond)
				s.survive("o", s.now.Add(-600*time.Millisecond), common, 5)
			}
		}},
		{"all at once, of several organisations", func(s *scene) {
			for n := range many {
				s.crash(fmt.Sprint("o", n%2), []uint64{common, 5})
			}
		}},
		{"all at once, of one organisation, parts known and new", func(s *scene) {
			for range many {
				s.crash("o", []uint64{common, 5, 9})
			}
		}},
		{"two by chance", func(s *scene) {
			for range 2 {
				s.crash("o", []uint64{7})
				s.pass(time.Second)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			for _, organisation := range []string{"o", "o0", "o1"} {
				s.survive(organisation, s.now.Add(-600*time.Millisecond), common, 5)
			}
			tt.run(s)
			s.pass(3 * time.Second)
			for _, c := range s.Changes() {
				t.Errorf("%+v", c)
			}
		})
	}
}

// TestConfusedParts blocks two parts that all crashes have in common. Once one request with each is tried, only the
// lethal one stays blocked.
func TestConfusedParts(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crash("o", []uint64{7, lethal})
		s.pass(200 * time.Millisecond)
	}
	s.pass(200 * time.Millisecond)
	if !s.isBlocked("o", 7) || !s.isBlocked("o", lethal) {
		t.Fatalf("blocked %v, want both parts", s.List(s.now))
	}
	s.pass(2 * time.Second)
	away := []wire.PartKey{key("o", lethal)}
	if got := s.Probes(s.now, away); len(got) != 1 {
		t.Fatalf("%d probes, want 1", len(got))
	}
	s.crash("o", []uint64{8, lethal})
	s.pass(100 * time.Millisecond)
	if s.isBlocked("o", 7) || !s.isBlocked("o", lethal) {
		t.Errorf("blocked %v, want the lethal part only", s.List(s.now))
	}
	tries := 0
	for range 300 {
		s.pass(time.Second)
		if len(s.Probes(s.now, away)) > 0 {
			tries++
			s.pass(100 * time.Millisecond)
			s.crash("o", []uint64{uint64(100 + tries), lethal})
		}
	}
	if tries > 3 {
		t.Errorf("%d probes of a part that isn't doubtful in 5 minutes, want at most 3", tries)
	}
}

// TestLostProbe checks that a probe whose outcome never becomes known is followed by another one.
func TestLostProbe(t *testing.T) {
	s := newScene()
	s.report(2, wire.Usage{QuarantineTerm: 1, Quarantine: []wire.QuarantinedPart{{Key: key("o", common), Blocked: true}}})
	away := []wire.PartKey{key("o", common)}
	probes := 0
	for range 10 * time.Second / (100 * time.Millisecond) {
		s.pass(100 * time.Millisecond)
		probes += len(s.Probes(s.now, away))
	}
	if probes != 2 {
		t.Errorf("%d probes in 10 s, want 2", probes)
	}
}

// TestMendedPart checks that a part is served again once a request with it has survived.
func TestMendedPart(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crash("o", []uint64{lethal})
		s.pass(200 * time.Millisecond)
	}
	s.pass(clearRetry)
	if got := s.Probes(s.now, []wire.PartKey{key("o", lethal)}); len(got) != 1 {
		t.Fatalf("%d probes, want 1", len(got))
	}
	begun := s.now
	s.pass(SurvivalTime)
	s.survive("o", begun, lethal)
	if s.isBlocked("o", lethal) {
		t.Error("still blocked after a survival")
	}
}

// TestOrganisations checks that one organisation can't get another's requests rejected, and that a part on which servers
// crash for two of them is blocked for all.
func TestOrganisations(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crash("attacker", []uint64{lethal})
		s.pass(200 * time.Millisecond)
	}
	s.pass(200 * time.Millisecond)
	if !s.isBlocked("attacker", lethal) || s.isBlocked("victim", lethal) || s.isBlocked(AllOrganisations, lethal) {
		t.Fatalf("blocked %v, want the attacker's use only", s.List(s.now))
	}
	s.crash("second", []uint64{lethal})
	s.pass(200 * time.Millisecond)
	if !s.isBlocked(AllOrganisations, lethal) {
		t.Errorf("blocked %v, want all organisations'", s.List(s.now))
	}
	s.pass(clearRetry)
	away := []wire.PartKey{key(AllOrganisations, lethal)}
	if got := s.Probes(s.now, away); len(got) != 1 {
		t.Fatalf("%d probes, want 1", len(got))
	}
	s.pass(100 * time.Millisecond)
	s.crash("third", []uint64{lethal})
	s.pass(clearRetry)
	if got := s.Probes(s.now, away); len(got) != 0 {
		t.Error("another probe a minute after a crash under the first, want two minutes")
	}
}

// TestNewLeader checks that a new leader adopts the blocked parts that the entry hosts know of, but not later ones.
func TestNewLeader(t *testing.T) {
	list := []wire.QuarantinedPart{{Key: key("o", lethal), Blocked: true, RetryMs: 30000}, {Key: key("o", common)}}
	s := newScene()
	s.report(2, wire.Usage{QuarantineTerm: 1, Quarantine: list})
	s.pass(time.Second)
	if !s.isBlocked("o", lethal) || len(s.blocked) != 1 {
		t.Errorf("blocked %v, want the part that was blocked before", s.List(s.now))
	}
	s = newScene()
	s.pass(adoptionTime)
	s.report(2, wire.Usage{QuarantineTerm: 1, Quarantine: list})
	s.report(2, wire.Usage{QuarantineTerm: 2, Quarantine: list})
	if len(s.blocked) != 0 {
		t.Errorf("blocked %v of an old list", s.List(s.now))
	}
}

// TestAdoptedBlockOutlivesSurvivals guards against a new leader that releases a part because of a survival from before the crashes
// for which the leader before it blocked the part.
func TestAdoptedBlockOutlivesSurvivals(t *testing.T) {
	s := newScene()
	s.report(2, wire.Usage{
		QuarantineTerm: 1, Quarantine: []wire.QuarantinedPart{{Key: key("o", lethal), Blocked: true, RetryMs: 30000}},
		Survivals: []wire.Survival{{Key: key("o", lethal), BegunMs: 8000}},
	})
	s.pass(time.Second)
	if !s.isBlocked("o", lethal) {
		t.Fatal("released because of an earlier survival")
	}
	s.survive("o", s.now.Add(-500*time.Millisecond), lethal)
	if s.isBlocked("o", lethal) {
		t.Error("still blocked after a survival")
	}
}

// TestMemory checks that crashes without end, each with new parts, take bounded memory.
func TestMemory(t *testing.T) {
	s := newScene()
	for n := range 300 {
		var prompts [][]uint64
		for i := range 100 {
			prompts = append(prompts, []uint64{uint64(n/3*1000 + i), uint64(n*1000 + i + 500)})
		}
		s.crash("o", prompts...)
		s.pass(50 * time.Millisecond)
	}
	if len(s.Tracker.crashes) > maxCrashes+1 || len(s.blocked) > maxBlocked || len(s.suspects) > maxSuspects || len(s.survivals) > 2*maxSuspects {
		t.Errorf("%d crashes, %d blocked, %d suspects, %d survivals", len(s.Tracker.crashes), len(s.blocked), len(s.suspects), len(s.survivals))
	}
	for _, c := range s.Tracker.crashes {
		if len(c.keys) > maxCrashKeys {
			t.Errorf("%d parts of one crash", len(c.keys))
		}
	}
}

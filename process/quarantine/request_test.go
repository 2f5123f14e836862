package quarantine

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/wire"
)

func requestKey(organisation string, digest uint64) wire.PartKey {
	return wire.PartKey{Service: "s", Organisation: organisation, Part: digest, Request: true}
}

// lost returns a request of the organisation o.
func lost(digest uint64, parts ...uint64) wire.LostRequest {
	return wire.LostRequest{Service: "s", Organisation: "o", Digest: digest, Parts: parts}
}

// crashUnder reports that a server has ended under requests, and lets time pass until the next crash.
func (s *scene) crashUnder(requests ...wire.LostRequest) {
	s.crashes++
	s.report(1, wire.Usage{QuarantineTerm: 1, Losses: []wire.Loss{{Server: fmt.Sprint("server-", s.crashes), Born: 1, Ended: true, Requests: requests}}})
	s.pass(200 * time.Millisecond)
}

// surviveRequest reports that a request has survived that began just now.
func (s *scene) surviveRequest(digest uint64) {
	key := requestKey("o", digest)
	s.report(1, wire.Usage{QuarantineTerm: 1, Survivals: []wire.Survival{{Key: key, BegunMs: 10}}})
}

// TestLethalRequest checks that the request is blocked which was in all crashes, and nothing else.
func TestLethalRequest(t *testing.T) {
	const lethalDigest, popular = 0xd1, 0xd2
	for _, tt := range []struct {
		name    string
		crashes int
		run     func(s *scene, n int)
	}{
		{"plain service", 3, func(s *scene, _ int) { s.crashUnder(lost(lethalDigest)) }},
		{"other parts each time", 3, func(s *scene, n int) { s.crashUnder(lost(lethalDigest, common, uint64(1000+n))) }},
		{"the same parts each time, never seen elsewhere", 3, func(s *scene, _ int) { s.crashUnder(lost(lethalDigest, 7, 8)) }},
		{"sound requests beside it", 3, func(s *scene, n int) { s.crashUnder(lost(uint64(n), common), lost(lethalDigest), lost(uint64(100+n))) }},
		{"a request that many repeat beside it", 8, func(s *scene, _ int) {
			s.surviveRequest(popular)
			s.crashUnder(lost(popular), lost(lethalDigest))
		}},
		{"a part with the same number", 3, func(s *scene, n int) { s.crashUnder(lost(lethalDigest), lost(uint64(500+n), lethalDigest)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			s.survive("o", s.now.Add(-10*time.Millisecond), common)
			for n := range tt.crashes {
				tt.run(s, n)
			}
			s.pass(200 * time.Millisecond)
			if len(s.blocked) != 1 || s.blocked[requestKey("o", lethalDigest)] == nil {
				t.Errorf("blocked %v, want the lethal request only", s.List(s.now))
			}
		})
	}
}

// TestLethalPartOfRepeatedRequest checks that a lethal part is still found after the one request in which it came first has
// been blocked.
func TestLethalPartOfRepeatedRequest(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crashUnder(lost(1, lethal))
	}
	for n := range 3 {
		s.crashUnder(lost(uint64(10+n), lethal))
	}
	s.pass(200 * time.Millisecond)
	if !s.isBlocked("o", lethal) {
		t.Errorf("blocked %v, want the lethal part after three crashes under other requests", s.List(s.now))
	}
}

// TestMendedRequest checks that a request is served again once it has survived.
func TestMendedRequest(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crashUnder(lost(1))
	}
	s.pass(clearRetry)
	if got := s.Probes(s.now, []wire.PartKey{requestKey("o", 1)}); len(got) != 1 {
		t.Fatalf("%d probes, want 1", len(got))
	}
	s.pass(time.Second)
	s.surviveRequest(1)
	if len(s.blocked) != 0 {
		t.Errorf("blocked %v after a survival", s.List(s.now))
	}
}

// TestRequestOfOtherCaller checks that one organisation's crashes don't get another's same request rejected, and that crashes
// of two do.
func TestRequestOfOtherCaller(t *testing.T) {
	s := newScene()
	for range 3 {
		s.crashUnder(lost(1))
	}
	o := NewObserver()
	o.Apply(s.now, wire.FleetUpdate{Term: 1, Echo: 1, Quarantine: s.List(s.now)})
	for _, tt := range []struct {
		identity Identity
		want     bool
	}{
		{Identity{Service: "s", Organisation: "o", Digest: 1}, true},
		{Identity{Service: "s", Organisation: "o", Digest: 1, Parts: []uint64{common}}, true},
		{Identity{Service: "s", Organisation: "o", Digest: 2}, false},
		{Identity{Service: "s", Organisation: "p", Digest: 1}, false},
		{Identity{Service: "other", Organisation: "o", Digest: 1}, false},
		{Identity{Service: "s", Organisation: "o", Parts: []uint64{1}}, false},
	} {
		if _, got := o.Blocked(s.now, tt.identity); got != tt.want {
			t.Errorf("%+v: blocked %v, want %v", tt.identity, got, tt.want)
		}
	}
	s.crashUnder(wire.LostRequest{Service: "s", Organisation: "p", Digest: 1})
	o.Apply(s.now, wire.FleetUpdate{Term: 1, Echo: 2, Quarantine: s.List(s.now)})
	if _, got := o.Blocked(s.now, Identity{Service: "s", Organisation: "q", Digest: 1}); !got {
		t.Error("not blocked for all after crashes of two organisations")
	}
}

// TestProvenEnds checks what proves that a server has ended whose connections ended.
func TestProvenEnds(t *testing.T) {
	loss := func(ended bool) wire.Loss {
		return wire.Loss{Server: "a", Born: 1, Ended: ended, Requests: []wire.LostRequest{lost(1)}}
	}
	for _, tt := range []struct {
		name string
		// restartsAfter is when a new incarnation is known; 0 for never.
		restartsAfter time.Duration
		reports       []wire.Loss
		want          int
	}{
		{"proven by the host", 0, []wire.Loss{loss(true)}, 1},
		{"nothing follows", 0, []wire.Loss{loss(false)}, 0},
		{"a new incarnation", 3 * time.Second, []wire.Loss{loss(false)}, 1},
		{"a new incarnation, for two hosts", 3 * time.Second, []wire.Loss{loss(false), loss(false)}, 1},
		{"a new incarnation much later", time.Minute, []wire.Loss{loss(false)}, 0},
		{"another host proves it", 0, []wire.Loss{loss(false), loss(true)}, 1},
		{"another host has proved it", 0, []wire.Loss{loss(true), loss(false)}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			for _, l := range tt.reports {
				s.report(1, wire.Usage{QuarantineTerm: 1, Losses: []wire.Loss{l}})
			}
			begun := s.now
			for range 30 {
				s.pass(time.Second)
				s.ProveEnds(s.now, func(string, int64) bool { return tt.restartsAfter > 0 && s.now.Sub(begun) >= tt.restartsAfter })
			}
			if len(s.Tracker.crashes) != tt.want || len(s.unproven) != 0 {
				t.Errorf("%d crashes, %d unproven, want %d and none", len(s.Tracker.crashes), len(s.unproven), tt.want)
			}
			for _, c := range s.Tracker.crashes {
				if c.at.After(begun) {
					t.Errorf("a crash at %v, want the time at which the connections ended", c.at)
				}
			}
		})
	}
}

// TestReportsUnderWay guards against reports that arrive late: a survival from before a crash doesn't become a later one each
// time that it is reported.
func TestReportsUnderWay(t *testing.T) {
	const crashes = 5
	for _, tt := range []struct {
		name string
		// transit is how long each report of the survival is under way, and maxShift how much later it may appear.
		transit  []time.Duration
		maxShift time.Duration
	}{
		{"all at once", []time.Duration{0, 0, 0}, 0},
		{"some late", []time.Duration{time.Millisecond, 90 * time.Millisecond, 450 * time.Millisecond}, survivalResolution},
		{"the first one late", []time.Duration{350 * time.Millisecond, time.Millisecond, 450 * time.Millisecond}, 350 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			survivedAt := s.now
			s.now = s.now.Add(400 * time.Millisecond)
			s.reportLate("late", tt.transit[0], 1, survivalsOf(survivedAt, s.now.Add(-tt.transit[0]), 1))
			for n := range crashes {
				s.crashUnder(lost(1))
				s.pass(600 * time.Millisecond)
				transit := tt.transit[min(n+1, len(tt.transit)-1)]
				s.reportLate("late", transit, 1, survivalsOf(survivedAt, s.now.Add(-transit), 1))
			}
			s.pass(200 * time.Millisecond)
			if s.blocked[requestKey("o", 1)] == nil {
				t.Errorf("not blocked after %d crashes", crashes)
			}
			if got := s.survivals[requestKey("o", 1)].Sub(survivedAt); got > tt.maxShift {
				t.Errorf("the survival became %v later, want at most %v", got, tt.maxShift)
			}
		})
	}
}

// TestFirstReportOfCrash guards against a request that is blocked in the place of the lethal one because the first report of a
// crash contained only that: other hosts have lost the lethal one at the same server.
func TestFirstReportOfCrash(t *testing.T) {
	const lethalDigest, popular = 0xd1, 0xd2
	s := newScene()
	s.surviveRequest(popular)
	s.surviveRequest(lethalDigest)
	for range 2 {
		s.pass(1500 * time.Millisecond)
		for _, digest := range []uint64{popular, lethalDigest} {
			var losses []wire.Loss
			for n := range 3 {
				losses = append(losses, wire.Loss{Server: fmt.Sprint("server-", s.crashes+n), Born: 1, Ended: true, Requests: []wire.LostRequest{lost(digest)}})
			}
			s.report(1, wire.Usage{QuarantineTerm: 1, Losses: losses})
			s.pass(100 * time.Millisecond)
		}
		s.crashes += 3
	}
	s.pass(100 * time.Millisecond)
	if s.blocked[requestKey("o", lethalDigest)] == nil {
		t.Errorf("blocked %v, want the lethal request among them after six crashes", s.List(s.now))
	}
}

// TestHostsFindNewLeader guards against a request that is blocked in the place of the lethal one because a new leader was told by one
// host only: hosts find it one after another.
func TestHostsFindNewLeader(t *testing.T) {
	const lethalDigest, popular = 0xd1, 0xd2
	s := newScene()
	losses := func(digest uint64) (out []wire.Loss) {
		for n := range 6 {
			out = append(out, wire.Loss{Server: fmt.Sprint("server-", n), Born: 1, Ended: true, AgeMs: 2000 - int64(n/3)*1500, Requests: []wire.LostRequest{lost(digest)}})
		}
		return out
	}
	survivals := []wire.Survival{{Key: requestKey("o", popular), BegunMs: 9000}, {Key: requestKey("o", lethalDigest), BegunMs: 9000}}
	for n, digest := range []uint64{popular, lethalDigest} {
		s.reportLate(fmt.Sprint("host-", n), 0, 1, wire.Usage{QuarantineTerm: 1, Losses: losses(digest), Survivals: survivals})
		s.pass(250 * time.Millisecond)
	}
	s.pass(200 * time.Millisecond)
	if s.blocked[requestKey("o", lethalDigest)] == nil {
		t.Errorf("blocked %v, want the lethal request among them", s.List(s.now))
	}
}

// TestProbesOneByOne guards against probes of several doubtful parts at the same time: a server that crashes under one of them
// would speak against the others as well.
func TestProbesOneByOne(t *testing.T) {
	const lethalDigest, popular = 0xd1, 0xd2
	away := []wire.PartKey{requestKey("o", lethalDigest), requestKey("o", popular)}
	for _, tt := range []struct {
		name string
		// outcome happens after the first probe.
		outcome func(s *scene, probed uint64)
		// wait is how long after that another part may be tried.
		wait time.Duration
	}{
		{"the server survives", func(s *scene, probed uint64) { s.surviveRequest(probed) }, 0},
		{"the server crashes", func(s *scene, probed uint64) { s.crashUnder(lost(probed)) }, 0},
		{"never sent", func(*scene, uint64) {}, probeTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScene()
			for range 3 {
				s.crashUnder(lost(lethalDigest), lost(popular))
			}
			s.pass(doubtfulRetry)
			got := s.Probes(s.now, away)
			if len(got) != 1 {
				t.Fatalf("%d probes at the same time, want 1", len(got))
			}
			s.pass(100 * time.Millisecond)
			if more := s.Probes(s.now, away); len(more) != 0 {
				t.Errorf("another probe before the outcome of the first one is known")
			}
			tt.outcome(s, got[0].Part)
			s.pass(tt.wait + 100*time.Millisecond)
			other := requestKey("o", lethalDigest+popular-got[0].Part)
			if next := s.Probes(s.now, []wire.PartKey{other}); s.blocked[other] != nil && len(next) != 1 {
				t.Errorf("no probe of the other part after that")
			}
		})
	}
}

// survivalsOf returns a report, sent at sentAt, of a request that survived at begun.
func survivalsOf(begun, sentAt time.Time, digest uint64) wire.Usage {
	return wire.Usage{QuarantineTerm: 1, Survivals: []wire.Survival{{Key: requestKey("o", digest), BegunMs: sentAt.Sub(begun).Milliseconds()}}}
}

// TestDigest checks what distinguishes two requests.
func TestDigest(t *testing.T) {
	seen := map[uint64]string{0: "no digest"}
	for _, tt := range [][3]string{
		{"POST", "/a", "b"}, {"GET", "/a", "b"}, {"POST", "/a?x=1", "b"}, {"POST", "/b", "a"}, {"POST", "/ab", ""}, {"POST", "/", "ab"}, {"", "", ""},
	} {
		text := fmt.Sprintf("%q", tt)
		d := Digest([]byte(tt[0]), []byte(tt[1]), []byte(tt[2]))
		if other, known := seen[d]; known {
			t.Errorf("%s and %s have the same digest", text, other)
		}
		seen[d] = text
	}
}

// BenchmarkDigest measures the time for a body of the default limit.
func BenchmarkDigest(b *testing.B) {
	body := make([]byte, 4<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		Digest([]byte("POST"), []byte("/a/b"), body)
	}
}

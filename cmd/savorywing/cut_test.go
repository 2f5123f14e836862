package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/wire"
)

// TestControlHostCutOff cuts the leader off without closing a connection: it stops by its own clock,
// another one leads, its entry host admits nothing, the others go on; healed, it follows.
func TestControlHostCutOff(t *testing.T) {
	s := newRelayedSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	for i := range s.daemons {
		s.eventually("the service is known", func() bool { return s.ask(i, "GET", "/booking/x", "", "").status == 200 })
	}
	s.eventually("there is a leader", func() bool { return s.leader() >= 0 })
	old := s.leader()
	other := (old + 1) % 3
	s.cut(old, true)
	began := time.Now()
	s.eventually("the cut-off leader has no lease", func() bool { return !s.status(old).Voter.HasLease })
	t.Logf("the cut-off leader's lease ended within %s", time.Since(began).Round(time.Millisecond))
	s.eventually("another leader", func() bool {
		return s.status(other).Voter.HasLease || s.status((old+2)%3).Voter.HasLease
	})
	for range 20 {
		if a := s.ask(other, "GET", "/booking/x", "", ""); a.status != 200 {
			t.Errorf("status %d %s at the majority's side", a.status, a.body)
		}
	}
	if a := s.ask(other, "POST", "/booking/confirm", "during the cut", "body"); a.status != 200 {
		t.Errorf("a claimed request got %d %s at the majority's side", a.status, a.body)
	}
	if a := s.ask(old, "POST", "/booking/confirm", "cut off", "body"); a.status == 200 || !a.notRun() {
		t.Errorf("a claimed request got %d %s at the cut-off side", a.status, a.body)
	}
	s.eventually("the cut-off entry host admits nothing", func() bool {
		a := s.ask(old, "GET", "/booking/x", "", "")
		return a.status == 503 && a.notRun()
	})
	s.cut(old, false)
	s.waitReady()
	if runs := s.stats(s.standins["booking-1"]).Executions["cut off"]; runs != 0 {
		t.Errorf("the refused request ran %d times", runs)
	}
	s.eventually("the healed side answers from the record", func() bool {
		return s.ask(old, "POST", "/booking/confirm", "during the cut", "body").status == 200
	})
	if runs := s.stats(s.standins["booking-1"]).Executions["during the cut"]; runs != 1 {
		t.Errorf("the claimed request ran %d times", runs)
	}
}

// TestSilentConnections silences every open connection between daemons for good, while new ones work.
func TestSilentConnections(t *testing.T) {
	s := newRelayedSystem(t, 3)
	s.waitReady()
	before := s.apply(0, "before")
	for _, r := range s.relays {
		r.silenceOld()
	}
	began := time.Now()
	s.eventually("a change is accepted over new connections", func() bool {
		_, err := s.operator(0).Command(operator.PathConfiguration, s.change(before, "after"))
		return err == nil
	})
	t.Logf("a change was accepted %s after the connections fell silent", time.Since(began).Round(time.Millisecond))
	s.waitReady()
}

// change returns the next change after a configuration's number.
func (s *system) change(number uint64, id string) wire.ChangeConfiguration {
	text := systemSettings + s.sharedHosts() + fmt.Sprintf("limits: {claims: %d}\n", 1000+number)
	return wire.ChangeConfiguration{Follows: number, ChangeID: id, Operator: "test", Text: text}
}

// sharedHosts is the part of the settings that names the hosts, as daemon 0 knows them.
func (s *system) sharedHosts() string {
	var now operator.ConfigurationStatus
	if err := s.operator(0).Get(operator.PathConfiguration, &now); err != nil {
		s.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(now.Text, "\nhosts:\n")
	hosts := "hosts:\n"
	for _, line := range strings.Split(rest, "\n") {
		if !strings.HasPrefix(line, " ") {
			break
		}
		hosts += line + "\n"
	}
	return hosts
}

// apply makes the change that follows number through daemon 0, whose addresses of the others are in the
// change, and returns its number.
func (s *system) apply(number uint64, id string) uint64 {
	s.t.Helper()
	r, err := s.operator(0).Command(operator.PathConfiguration, s.change(number, id))
	if err != nil {
		s.t.Fatal(err)
	}
	return r.Configuration.Number
}

// TestAwayForHundredsOfChanges kills a daemon, makes 300 changes, and starts it again: it comes back on
// the newest. It also measures the time from acceptance to the last daemon.
func TestAwayForHundredsOfChanges(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	number := s.apply(0, "first")
	s.eventually("in force at daemon 2", func() bool { return s.status(2).Configuration == number })
	s.daemons[2].kill()
	const changes = 300
	for n := range changes {
		c := s.change(number, fmt.Sprint("change-", n))
		r, err := s.operator(0).Command(operator.PathConfiguration, c)
		if err != nil {
			t.Fatal(err)
		}
		number = r.Configuration.Number
	}
	s.daemons[2].start()
	s.eventually("daemon 2 admits again", func() bool {
		st := s.status(2)
		if st.Fresh && st.Configuration != number {
			t.Fatalf("it admits on configuration %d, the newest is %d", st.Configuration, number)
		}
		return st.Fresh
	})
	var slowest time.Duration
	for n := range 10 {
		number = s.apply(number, fmt.Sprint("timed-", n))
		began := time.Now()
		for i := range s.daemons {
			s.eventually("in force everywhere", func() bool { return s.status(i).Configuration == number })
		}
		slowest = max(slowest, time.Since(began))
	}
	t.Logf("from acceptance to the last daemon: %s at most in 10 changes", slowest.Round(time.Millisecond))
}

// TestFabricDomainDark freezes every host of a fabric domain and thaws them: no request is given to the
// group meanwhile, and it serves again as it was, without a load.
func TestFabricDomainDark(t *testing.T) {
	s := newSystem(t, 3)
	engines := []*process{s.engine("engine-1", false), s.engine("engine-2", false)}
	s.waitReady()
	g := s.waitGroup(0)
	for _, e := range engines {
		e.signal(syscall.SIGSTOP)
	}
	s.eventually("no lease in the dark", func() bool { return len(s.groups(0)) == 0 })
	if a := s.complete(0); a.status != 503 || !a.notRun() || a.retry == "" {
		t.Errorf("status %d %s, Retry-After %q in the dark", a.status, a.body, a.retry)
	}
	for _, e := range engines {
		e.signal(syscall.SIGCONT)
	}
	if again := s.waitGroup(0); again.Fence != g.Fence {
		t.Errorf("the group was loaded again: fence %d after %d", again.Fence, g.Fence)
	}
	if a := s.complete(0); a.status != 200 {
		t.Errorf("status %d %s after the dark", a.status, a.body)
	}
}

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

// TestLeaderPartitioned partitions the leader without closing a connection. Its lease must expire by its own clock and
// another daemon must become leader. Meanwhile the partitioned entry host must admit nothing and the others must serve.
// Afterwards the partitioned daemon must become a follower, and no claimed request may have run twice.
func TestLeaderPartitioned(t *testing.T) {
	s := newRelayedSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	for i := range s.daemons {
		s.eventually("the service is known", func() bool { return s.send(i, "GET", "/booking/x", "", "").status == 200 })
	}
	s.eventually("there is a leader", func() bool { return s.leader() >= 0 })
	old := s.leader()
	other := (old + 1) % 3
	s.setPartitioned(old, true)
	start := time.Now()
	s.eventually("the partitioned leader has no lease", func() bool { return !s.status(old).Voter.HasLease })
	t.Logf("the partitioned leader's lease ended within %s", time.Since(start).Round(time.Millisecond))
	s.eventually("another daemon is the leader", func() bool {
		return s.status(other).Voter.HasLease || s.status((old+2)%3).Voter.HasLease
	})
	for range 20 {
		if r := s.send(other, "GET", "/booking/x", "", ""); r.status != 200 {
			t.Errorf("status %d %s on the majority's side, want 200", r.status, r.body)
		}
	}
	if r := s.send(other, "POST", "/booking/confirm", "during the partition", "body"); r.status != 200 {
		t.Errorf("a claimed request got status %d %s on the majority's side, want 200", r.status, r.body)
	}
	// The minority can't look up the key, so it knows of no earlier request whether it has run.
	if r := s.send(old, "POST", "/booking/confirm", "in the minority", "body"); r.status != 503 || r.isNotRun() || r.retryAfter == "" {
		t.Errorf("a claimed request got status %d %s, Retry-After %q on the minority's side, want 503 without notRun and with Retry-After", r.status, r.body, r.retryAfter)
	}
	if r := s.send(old, "POST", "/booking/confirm", "during the partition", "body"); r.status == 200 || r.isNotRun() {
		t.Errorf("a key that has run got status %d %s on the minority's side, want an error without notRun", r.status, r.body)
	}
	s.eventually("the partitioned entry host admits nothing", func() bool {
		r := s.send(old, "GET", "/booking/x", "", "")
		return r.status == 503 && r.isNotRun()
	})
	s.setPartitioned(old, false)
	s.waitReady()
	if runs := s.stats(s.standins["booking-1"]).Executions["in the minority"]; runs != 0 {
		t.Errorf("the rejected request ran %d times, want 0", runs)
	}
	s.eventually("the formerly partitioned daemon answers with the recorded response", func() bool {
		return s.send(old, "POST", "/booking/confirm", "during the partition", "body").status == 200
	})
	if runs := s.stats(s.standins["booking-1"]).Executions["during the partition"]; runs != 1 {
		t.Errorf("the claimed request ran %d times, want 1", runs)
	}
}

// TestSilentConnections guards against daemons that keep waiting on connections that are open but carry no more data:
// every open connection between daemons falls silent for good, while new ones work. A change must still be accepted.
func TestSilentConnections(t *testing.T) {
	s := newRelayedSystem(t, 3)
	s.waitReady()
	before := s.applyChange(0, "before")
	for _, r := range s.relays {
		r.silenceOpen()
	}
	start := time.Now()
	s.eventually("a change is accepted over new connections", func() bool {
		_, err := s.operator(0).Command(operator.PathConfiguration, s.nextChange(before, "after"))
		return err == nil
	})
	t.Logf("a change was accepted %s after the connections had fallen silent", time.Since(start).Round(time.Millisecond))
	s.waitReady()
}

// nextChange returns a change that follows the configuration with the given number.
func (s *system) nextChange(number uint64, id string) wire.ChangeConfiguration {
	text := systemSettings + s.sharedHosts() + fmt.Sprintf("limits: {claims: %d}\n", 1000+number)
	return wire.ChangeConfiguration{Follows: number, ChangeID: id, Operator: "test", Text: text}
}

// sharedHosts returns the hosts section of the configuration that is in force at daemon 0.
func (s *system) sharedHosts() string {
	var current operator.ConfigurationStatus
	if err := s.operator(0).Get(operator.PathConfiguration, &current); err != nil {
		s.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(current.Text, "\nhosts:\n")
	hosts := "hosts:\n"
	for _, line := range strings.Split(rest, "\n") {
		if !strings.HasPrefix(line, " ") {
			break
		}
		hosts += line + "\n"
	}
	return hosts
}

// applyChange submits a change that follows number through daemon 0, and returns the number of the new configuration.
// The change contains the other daemons' addresses as daemon 0 has them.
func (s *system) applyChange(number uint64, id string) uint64 {
	s.t.Helper()
	r, err := s.operator(0).Command(operator.PathConfiguration, s.nextChange(number, id))
	if err != nil {
		s.t.Fatal(err)
	}
	return r.Configuration.Number
}

// TestRestartAfterMissedChanges kills a daemon, makes 300 changes and restarts it. It must not admit requests under
// an outdated configuration. The test also measures the time from acceptance of a change until it is in force everywhere.
func TestRestartAfterMissedChanges(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	number := s.applyChange(0, "first")
	s.eventually("the change is in force at daemon 2", func() bool { return s.status(2).Configuration == number })
	s.daemons[2].kill()
	const changes = 300
	for n := range changes {
		c := s.nextChange(number, fmt.Sprint("change-", n))
		r, err := s.operator(0).Command(operator.PathConfiguration, c)
		if err != nil {
			t.Fatal(err)
		}
		number = r.Configuration.Number
	}
	s.daemons[2].start()
	s.eventually("daemon 2 admits requests again", func() bool {
		st := s.status(2)
		if st.IsFresh && st.Configuration != number {
			t.Fatalf("daemon 2 admits requests under configuration %d, the newest is %d", st.Configuration, number)
		}
		return st.IsFresh
	})
	var slowest time.Duration
	for n := range 10 {
		number = s.applyChange(number, fmt.Sprint("timed-", n))
		start := time.Now()
		for i := range s.daemons {
			s.eventually("the change is in force everywhere", func() bool { return s.status(i).Configuration == number })
		}
		slowest = max(slowest, time.Since(start))
	}
	t.Logf("from acceptance until in force at the last daemon: at most %s in 10 changes", slowest.Round(time.Millisecond))
}

// TestFabricDomainUnreachable suspends every host of a fabric domain and resumes them. Meanwhile no request may be sent
// to their group. Afterwards the group must serve again without loading the model anew.
func TestFabricDomainUnreachable(t *testing.T) {
	s := newSystem(t, 3)
	engines := []*process{s.engine("engine-1", false), s.engine("engine-2", false)}
	s.waitReady()
	g := s.waitGroup(0)
	for _, e := range engines {
		e.signal(syscall.SIGSTOP)
	}
	s.eventually("no lease while the domain is unreachable", func() bool { return len(s.servingGroups(0)) == 0 })
	if r := s.sendCompletion(0); r.status != 503 || !r.isNotRun() || r.retryAfter == "" {
		t.Errorf("status %d %s, Retry-After %q while the domain is unreachable, want 503 with notRun and Retry-After", r.status, r.body, r.retryAfter)
	}
	for _, e := range engines {
		e.signal(syscall.SIGCONT)
	}
	if after := s.waitGroup(0); after.Fence != g.Fence {
		t.Errorf("the group was loaded again: fencing token %d, want %d as before", after.Fence, g.Fence)
	}
	if r := s.sendCompletion(0); r.status != 200 {
		t.Errorf("status %d %s after the domain is reachable again, want 200", r.status, r.body)
	}
}

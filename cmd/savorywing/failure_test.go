package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/wire"
)

// TestAtMostOnce guards against a second execution of a request with an idempotency key. It sends every key through
// three entry hosts at once and kills one of them while requests are in flight. It sends every key again after it has
// killed the leader, and again after it has killed every daemon. No key may run twice.
func TestAtMostOnce(t *testing.T) {
	s := newSystem(t, 3)
	services := []*process{s.service("booking-1", 150*time.Millisecond), s.service("booking-2", 150*time.Millisecond)}
	s.waitReady()
	s.eventually("the services are known everywhere", func() bool {
		for i := range s.daemons {
			if s.send(i, "GET", "/booking/slots", "", "").status != 200 {
				return false
			}
		}
		return true
	})
	const keys = 24
	send := func(entries ...int) {
		var done sync.WaitGroup
		for k := range keys {
			for _, i := range entries {
				done.Add(1)
				go func() {
					defer done.Done()
					s.send(i, "POST", "/booking/confirm", fmt.Sprintf("key-%d", k), fmt.Sprintf("booking %d", k))
				}()
			}
		}
		done.Wait()
	}
	killed := make(chan struct{})
	go func() {
		time.Sleep(100 * time.Millisecond)
		s.daemons[2].kill()
		close(killed)
	}()
	send(0, 1, 2)
	<-killed
	s.daemons[2].start()
	s.waitReady()
	leader := s.leader()
	if leader >= 0 {
		s.daemons[leader].kill()
		s.daemons[leader].start()
	}
	send(0, 1, 2)
	s.waitReady()
	for _, p := range s.daemons {
		p.kill()
	}
	for _, p := range s.daemons {
		p.start()
	}
	s.waitReady()
	s.eventually("the services are known again", func() bool { return s.send(0, "GET", "/booking/slots", "", "").status == 200 })
	send(0, 1, 2)
	answered := 0
	for k := range keys {
		if s.checkKey(k, services) {
			answered++
		}
	}
	if other := s.send(1, "POST", "/booking/confirm", "key-0", "another body"); other.status != 422 && answered > 0 {
		t.Errorf("another request with the same key got status %d, want 422", other.status)
	}
	t.Logf("%d of %d keys have a recorded response", answered, keys)
}

// checkKey checks that a key ran at most once and that its recorded response belongs to it. It reports whether there is
// a recorded response.
func (s *system) checkKey(k int, services []*process) bool {
	runs := 0
	for _, p := range services {
		runs += s.stats(p).Executions[fmt.Sprintf("key-%d", k)]
	}
	if runs > 1 {
		s.t.Errorf("key-%d ran %d times, want at most 1", k, runs)
	}
	r := s.send(0, "POST", "/booking/confirm", fmt.Sprintf("key-%d", k), fmt.Sprintf("booking %d", k))
	if r.isNotRun() && runs > 0 {
		s.t.Errorf("key-%d: the error code is notRun although it ran", k)
	}
	if r.status != 200 {
		return false
	}
	if runs != 1 || !strings.Contains(r.body, fmt.Sprintf("booking %d\"", k)) {
		s.t.Errorf("key-%d has the response %s after %d runs, want its own response after 1 run", k, r.body, runs)
	}
	return true
}

// TestLeaderLost kills one leader and suspends another under load. Requests through another entry host must not fail.
func TestLeaderLost(t *testing.T) {
	s := newServingSystem(t)
	for _, fault := range []string{"kill", "suspend"} {
		s.eventually("there is a leader", func() bool { return s.leader() >= 0 })
		leader := s.leader()
		entry := (leader + 1) % len(s.daemons)
		var failed, served atomic.Int64
		stop := make(chan struct{})
		var done sync.WaitGroup
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := s.sendCompletion(entry); r.status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
					t.Logf("%s: status %d %s %v", fault, r.status, r.body, r.err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		start := time.Now()
		if fault == "kill" {
			s.daemons[leader].kill()
		} else {
			s.daemons[leader].signal(syscall.SIGSTOP)
		}
		// A suspended daemon does not answer requests for its status.
		others := []int{entry, (leader + 2) % len(s.daemons)}
		s.eventually("another daemon is the leader", func() bool {
			for _, i := range others {
				if v := s.status(i).Voter; v != nil && v.HasLease {
					return true
				}
			}
			return false
		})
		t.Logf("after %s: %s without a leader", fault, time.Since(start).Round(time.Millisecond))
		if fault == "kill" {
			s.daemons[leader].start()
		} else {
			s.daemons[leader].signal(syscall.SIGCONT)
		}
		s.waitReady()
		close(stop)
		done.Wait()
		t.Logf("after %s: served %d, failed %d", fault, served.Load(), failed.Load())
		if failed.Load() > 0 {
			t.Errorf("after %s of the leader: %d requests failed, want 0", fault, failed.Load())
		}
	}
}

// TestMemberLost suspends and kills members of a group, with engines that check fencing tokens and with engines that
// don't. The group must get no requests while a member is missing, and a spare must replace a killed member.
func TestMemberLost(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checksFencing=%t", checks), func(t *testing.T) {
			s := newSystem(t, 3)
			for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
				s.engine(name, checks)
			}
			s.waitReady()
			g := s.waitGroup(0)
			head, second := s.standins[g.Members[0].Host], s.standins[g.Members[1].Host]

			second.signal(syscall.SIGSTOP)
			s.eventually("the group has no lease while a member is suspended", func() bool { return len(s.servingGroups(0)) == 0 })
			before := s.stats(head).Requests
			for range 5 {
				if r := s.sendCompletion(0); r.status == 200 || !r.isNotRun() || r.retryAfter == "" {
					t.Errorf("status %d %s, Retry-After %q while a member is suspended, want an error with notRun and Retry-After", r.status, r.body, r.retryAfter)
				}
			}
			if after := s.stats(head).Requests; after != before {
				t.Errorf("the group got %d requests while a member was suspended, want 0", after-before)
			}
			second.signal(syscall.SIGCONT)
			s.waitGroup(0)

			old := s.waitGroup(0).Fence
			second.kill()
			s.eventually("a spare replaces the killed member", func() bool {
				groups := s.servingGroups(0)
				return len(groups) == 1 && groups[0].Fence > old
			})
			g = s.servingGroups(0)[0]
			for _, m := range g.Members {
				if m.Host == second.name {
					t.Errorf("the killed %s is still a member", m.Host)
				}
			}
			if r := s.sendCompletion(0); r.status != 200 {
				t.Errorf("status %d %s after the replacement, want 200", r.status, r.body)
			}
			// A second member is killed right after the replacement, and the server that was killed first restarts with a new
			// boot ID.
			lost := s.standins[g.Members[1].Host]
			lost.kill()
			second.start()
			s.eventually("the group is complete again after a second loss", func() bool {
				groups := s.servingGroups(0)
				return len(groups) == 1 && groups[0].Fence > g.Fence
			})
		})
	}
}

// TestConfigurationRace lets operators propose, through all daemons at once, changes based on the same configuration.
// One change must be accepted and the other operators must be told whose it was. After a restart of every daemon the
// accepted configuration must be in force, and a resent change must return its first result.
func TestConfigurationRace(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	var before operator.ConfigurationStatus
	if err := s.operator(0).Get(operator.PathConfiguration, &before); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(before.Text, "replicas: 1", "replicas: 2", 1)
	apply := func(i int, id string) (wire.Result, error) {
		return s.operator(i).Command(operator.PathConfiguration, wire.ChangeConfiguration{
			Follows: before.Number, ChangeID: id, Operator: "operator-" + id, Text: text,
		})
	}
	var won, notified atomic.Int64
	var winner atomic.Value
	var done sync.WaitGroup
	for n := range 9 {
		done.Add(1)
		go func() {
			defer done.Done()
			id := fmt.Sprintf("change-%d", n)
			r, err := apply(n%3, id)
			switch {
			case err == nil:
				won.Add(1)
				winner.Store(id)
			case errors.Is(err, operator.ErrNotAccepted) && r.Configuration != nil && r.Configuration.Operator != "":
				notified.Add(1)
			default:
				t.Errorf("%s: %v", id, err)
			}
		}()
	}
	done.Wait()
	if won.Load() != 1 || notified.Load() != 8 {
		t.Fatalf("%d changes were accepted and %d rejected with the name of the winner, want 1 and 8", won.Load(), notified.Load())
	}
	waitInForce := func() {
		for i := range s.daemons {
			s.eventually("the configuration is in force everywhere", func() bool { return s.status(i).Configuration == before.Number+1 })
		}
	}
	waitInForce()
	for _, p := range s.daemons {
		p.kill()
	}
	for _, p := range s.daemons {
		p.start()
	}
	s.waitReady()
	waitInForce()
	id, _ := winner.Load().(string)
	if r, err := apply(1, id); err != nil || r.Configuration.Number != before.Number+1 {
		t.Errorf("the resent change %s got %+v, %v after the restart", id, r, err)
	}
}

// TestLostQuorum suspends two of three voters. The third can't confirm its configuration any more and must not admit
// new requests, until the others resume.
func TestLostQuorum(t *testing.T) {
	s := newSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.eventually("the service is known", func() bool { return s.send(0, "GET", "/booking/x", "", "").status == 200 })
	s.daemons[1].signal(syscall.SIGSTOP)
	s.daemons[2].signal(syscall.SIGSTOP)
	s.eventually("the configuration of entry-0 is not within the freshness bound", func() bool { return !s.status(0).IsFresh })
	if r := s.send(0, "GET", "/booking/x", "", ""); r.status != 503 || !r.isNotRun() || r.retryAfter == "" {
		t.Errorf("status %d %s, Retry-After %q without a quorum, want 503 with notRun and Retry-After", r.status, r.body, r.retryAfter)
	}
	if r := s.send(0, "GET", "/readyz", "", ""); r.status != 503 {
		t.Errorf("/readyz answers with status %d without a quorum, want 503", r.status)
	}
	s.daemons[1].signal(syscall.SIGCONT)
	s.daemons[2].signal(syscall.SIGCONT)
	s.waitReady()
	s.eventually("entry-0 serves again", func() bool { return s.send(0, "GET", "/booking/x", "", "").status == 200 })
}

// TestLostAndTornDisk deletes the data of one voter, leaves a torn write at the end of another's log and corrupts the
// middle of a third's. The first must rejoin under a new identity, the second must restart without losing a record,
// and the third must refuse to start.
func TestLostAndTornDisk(t *testing.T) {
	s := newSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.eventually("a claimed request is answered", func() bool {
		return s.send(0, "POST", "/booking/confirm", "kept", "body").status == 200
	})
	old := s.status(0).Voter.ID
	s.daemons[0].kill()
	if err := os.RemoveAll(s.dataDir(0)); err != nil {
		t.Fatal(err)
	}
	s.daemons[0].start()
	s.eventually("the voter that lost its data is replaced by its new identity", func() bool {
		v := s.status(0).Voter
		return v != nil && v.ID != old && len(v.Members) == 3 && strings.Contains(strings.Join(v.Members, " "), v.ID) &&
			!strings.Contains(strings.Join(v.Members, " "), "learner")
	})
	s.daemons[1].kill()
	appendTornFrame(t, s.dataDir(1))
	s.daemons[1].start()
	s.waitReady()
	if r := s.send(1, "POST", "/booking/confirm", "kept", "body"); r.status != 200 || s.stats(s.standins["booking-1"]).Executions["kept"] != 1 {
		t.Errorf("status %d %s after %d runs, want 200 after 1 run", r.status, r.body, s.stats(s.standins["booking-1"]).Executions["kept"])
	}
	s.daemons[2].kill()
	corruptLog(t, s.dataDir(2))
	s.daemons[2].start()
	if code := s.daemons[2].wait(); code != exitFailed || !strings.Contains(s.daemons[2].logText(), "damaged before its end") {
		t.Errorf("the daemon with a corrupt log exited with code %d: %s", code, tail(s.daemons[2].logText()))
	}
}

// readLogFile returns the path and the content of the newest file of the replicated log in dir.
func readLogFile(t *testing.T, dir string) (string, []byte) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "log-*.swf"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no log in %s: %v", dir, err)
	}
	b, err := os.ReadFile(paths[len(paths)-1])
	if err != nil {
		t.Fatal(err)
	}
	return paths[len(paths)-1], b
}

// appendTornFrame appends an incomplete frame, as a loss of power in the middle of a write does.
func appendTornFrame(t *testing.T, dir string) {
	t.Helper()
	path, b := readLogFile(t, dir)
	if err := os.WriteFile(path, append(b, "SWF1\x00\x00\x01\x00half"...), 0o600); err != nil {
		t.Fatal(err)
	}
}

// corruptLog inverts one byte at a third of the length of the newest log file.
func corruptLog(t *testing.T, dir string) {
	t.Helper()
	path, b := readLogFile(t, dir)
	b[len(b)/3] ^= 0xff
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPlannedStop stops an entry host gracefully under load. Every request that it admitted must get a complete
// response.
func TestPlannedStop(t *testing.T) {
	s := newServingSystem(t)
	// These responses take longer than the daemon's listenerStopTimeout, after which stopping the listener gives up on open
	// connections. The daemon must first wait for the requests in flight.
	const tokens = 1600
	want := strings.TrimSpace(strings.Join(standin.ExpectedText("p", tokens), ""))
	var incomplete atomic.Int64
	var done sync.WaitGroup
	for range 12 {
		done.Add(1)
		go func() {
			defer done.Done()
			r := s.send(0, "POST", "/v1/completions", "", fmt.Sprintf(`{"model":"ledger","prompt":"p","max_tokens":%d}`, tokens))
			if r.status != 200 || !strings.Contains(r.body, want) {
				incomplete.Add(1)
				t.Logf("status %d %v %s", r.status, r.err, tail(r.body))
			}
		}()
	}
	s.eventually("all requests are in flight", func() bool { return s.status(0).InFlight == 12 })
	s.daemons[0].signal(syscall.SIGTERM)
	s.eventually("the load balancer sees that the entry host is not ready", func() bool { r := s.send(0, "GET", "/readyz", "", ""); return r.status == 503 || r.err != nil })
	done.Wait()
	if code := s.daemons[0].wait(); code != 0 {
		t.Errorf("the daemon exited with code %d after a planned stop, want 0: %s", code, tail(s.daemons[0].logText()))
	}
	if incomplete.Load() > 0 {
		t.Errorf("%d requests got no complete response during a planned stop", incomplete.Load())
	}
	s.daemons[0].start()
	s.waitReady()
}

// TestAnnouncementSpreads lets a service announce itself to one entry host only. The others must route to it too.
func TestAnnouncementSpreads(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	all := s.callers
	s.callers = all[:1]
	start := time.Now()
	s.service("booking-1", time.Millisecond)
	s.callers = all
	for i := range s.daemons {
		s.eventually("the service gets requests", func() bool { return s.send(i, "GET", "/booking/x", "", "").status == 200 })
	}
	t.Logf("every entry host routed to the service %s after its process had been started", time.Since(start).Round(time.Millisecond))
}

// TestLeavingService checks that a service that reports leaving gets no new requests from any entry host, not even from
// one that is partitioned from the others.
func TestLeavingService(t *testing.T) {
	s := newRelayedSystem(t, 3)
	one, two := s.service("booking-1", time.Millisecond), s.service("booking-2", time.Millisecond)
	s.waitReady()
	getsRequests := func(p *process) bool {
		before := s.stats(p).Requests
		for range 10 {
			for i := range s.daemons {
				s.send(i, "GET", "/booking/x", "", "")
			}
		}
		return s.stats(p).Requests > before
	}
	s.eventually("both services get requests", func() bool { return getsRequests(one) && getsRequests(two) })
	s.setPartitioned(2, true)
	post(t, one.address, "/leaving", "true")
	s.eventually("the leaving service gets no new requests", func() bool { return !getsRequests(one) })
	if !getsRequests(two) {
		t.Error("the other service gets no requests any more")
	}
}

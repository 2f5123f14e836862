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

// TestAtMostOnce sends every key through three entry hosts at once, kills an entry host in mid-flight, then
// the claims' leader, then every control host, and sends every key again after each: none runs twice.
func TestAtMostOnce(t *testing.T) {
	s := newSystem(t, 3)
	services := []*process{s.service("booking-1", 150*time.Millisecond), s.service("booking-2", 150*time.Millisecond)}
	s.waitReady()
	s.eventually("the services are known everywhere", func() bool {
		for i := range s.daemons {
			if s.ask(i, "GET", "/booking/slots", "", "").status != 200 {
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
					s.ask(i, "POST", "/booking/confirm", fmt.Sprintf("key-%d", k), fmt.Sprintf("booking %d", k))
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
	s.eventually("the services are known again", func() bool { return s.ask(0, "GET", "/booking/slots", "", "").status == 200 })
	send(0, 1, 2)
	answered := 0
	for k := range keys {
		if s.checkKey(k, services) {
			answered++
		}
	}
	if other := s.ask(1, "POST", "/booking/confirm", "key-0", "another body"); other.status != 422 && answered > 0 {
		t.Errorf("another request under the same key got status %d", other.status)
	}
	t.Logf("%d of %d keys have a recorded answer", answered, keys)
}

// checkKey checks that a key ran at most once, and that its recorded answer is its own.
func (s *system) checkKey(k int, services []*process) bool {
	runs := 0
	for _, p := range services {
		runs += s.stats(p).Executions[fmt.Sprintf("key-%d", k)]
	}
	if runs > 1 {
		s.t.Errorf("key-%d ran %d times", k, runs)
	}
	a := s.ask(0, "POST", "/booking/confirm", fmt.Sprintf("key-%d", k), fmt.Sprintf("booking %d", k))
	if a.notRun() && runs > 0 {
		s.t.Errorf("key-%d: notRun is said after it ran", k)
	}
	if a.status != 200 {
		return false
	}
	if runs != 1 || !strings.Contains(a.body, fmt.Sprintf("booking %d\"", k)) {
		s.t.Errorf("key-%d has the answer %s after %d runs", k, a.body, runs)
	}
	return true
}

// TestLeaderLost kills, freezes and thaws leaders under load: serving goes on.
func TestLeaderLost(t *testing.T) {
	s := newServingSystem(t)
	for _, harm := range []string{"kill", "freeze"} {
		s.eventually("there is a leader", func() bool { return s.leader() >= 0 })
		leader := s.leader()
		entry := (leader + 1) % len(s.daemons)
		var refused, served atomic.Int64
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
				if a := s.complete(entry); a.status == 200 {
					served.Add(1)
				} else {
					refused.Add(1)
					t.Logf("%s: status %d %s %v", harm, a.status, a.body, a.err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		began := time.Now()
		if harm == "kill" {
			s.daemons[leader].kill()
		} else {
			s.daemons[leader].signal(syscall.SIGSTOP)
		}
		// A frozen daemon would not answer the question for its status.
		others := []int{entry, (leader + 2) % len(s.daemons)}
		s.eventually("another leader", func() bool {
			for _, i := range others {
				if v := s.status(i).Voter; v != nil && v.HasLease {
					return true
				}
			}
			return false
		})
		t.Logf("after %s: %s without a leader", harm, time.Since(began).Round(time.Millisecond))
		if harm == "kill" {
			s.daemons[leader].start()
		} else {
			s.daemons[leader].signal(syscall.SIGCONT)
		}
		s.waitReady()
		close(stop)
		done.Wait()
		t.Logf("after %s: served %d, refused %d", harm, served.Load(), refused.Load())
		if refused.Load() > 0 {
			t.Errorf("%s of the leader cost %d requests", harm, refused.Load())
		}
	}
}

// TestMemberLost kills and freezes members of a group, for engines that check fencing numbers and
// those that do not: the group gets no work while a member is missing, and a spare takes its place.
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
			s.eventually("no lease without the frozen member", func() bool { return len(s.groups(0)) == 0 })
			before := s.stats(head).Requests
			for range 5 {
				if a := s.complete(0); a.status == 200 || !a.notRun() || a.retry == "" {
					t.Errorf("status %d %s, Retry-After %q while a member is frozen", a.status, a.body, a.retry)
				}
			}
			if after := s.stats(head).Requests; after != before {
				t.Errorf("the group got %d requests while a member was frozen", after-before)
			}
			second.signal(syscall.SIGCONT)
			s.waitGroup(0)

			old := s.waitGroup(0).Fence
			second.kill()
			s.eventually("a spare takes the place of the killed member", func() bool {
				groups := s.groups(0)
				return len(groups) == 1 && groups[0].Fence > old
			})
			g = s.groups(0)[0]
			for _, m := range g.Members {
				if m.Host == second.name {
					t.Errorf("the killed %s is a member", m.Host)
				}
			}
			if a := s.complete(0); a.status != 200 {
				t.Errorf("status %d %s after the repair", a.status, a.body)
			}
			// A second loss right after the repair, and the first host comes back with a new boot number.
			lost := s.standins[g.Members[1].Host]
			lost.kill()
			second.start()
			s.eventually("the group is whole again after a second loss", func() bool {
				groups := s.groups(0)
				return len(groups) == 1 && groups[0].Fence > g.Fence
			})
		})
	}
}

// TestConfigurationRace lets operators race for one number through all daemons, restarts every
// control host, and resends: one wins, everybody is told, and nothing reverts.
func TestConfigurationRace(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	var now operator.ConfigurationStatus
	if err := s.operator(0).Get(operator.PathConfiguration, &now); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(now.Text, "replicas: 1", "replicas: 2", 1)
	apply := func(i int, id string) (wire.Result, error) {
		return s.operator(i).Command(operator.PathConfiguration, wire.ChangeConfiguration{
			Follows: now.Number, ChangeID: id, Operator: "operator-" + id, Text: text,
		})
	}
	var won, told atomic.Int64
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
				told.Add(1)
			default:
				t.Errorf("%s: %v", id, err)
			}
		}()
	}
	done.Wait()
	if won.Load() != 1 || told.Load() != 8 {
		t.Fatalf("%d won and %d were told who did", won.Load(), told.Load())
	}
	inForce := func() {
		for i := range s.daemons {
			s.eventually("the configuration is in force everywhere", func() bool { return s.status(i).Configuration == now.Number+1 })
		}
	}
	inForce()
	for _, p := range s.daemons {
		p.kill()
	}
	for _, p := range s.daemons {
		p.start()
	}
	s.waitReady()
	inForce()
	id, _ := winner.Load().(string)
	if r, err := apply(1, id); err != nil || r.Configuration.Number != now.Number+1 {
		t.Errorf("the resend of %s after the restart got %+v, %v", id, r, err)
	}
}

// TestCutOffFromVoters stops two of three voters: the third confirms nothing and admits nothing new.
func TestCutOffFromVoters(t *testing.T) {
	s := newSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.eventually("the service is known", func() bool { return s.ask(0, "GET", "/booking/x", "", "").status == 200 })
	s.daemons[1].signal(syscall.SIGSTOP)
	s.daemons[2].signal(syscall.SIGSTOP)
	s.eventually("entry-0 is not fresh", func() bool { return !s.status(0).Fresh })
	if a := s.ask(0, "GET", "/booking/x", "", ""); a.status != 503 || !a.notRun() || a.retry == "" {
		t.Errorf("status %d %s, Retry-After %q", a.status, a.body, a.retry)
	}
	if a := s.ask(0, "GET", "/readyz", "", ""); a.status != 503 {
		t.Errorf("ready for the balancer with status %d", a.status)
	}
	s.daemons[1].signal(syscall.SIGCONT)
	s.daemons[2].signal(syscall.SIGCONT)
	s.waitReady()
	s.eventually("entry-0 serves again", func() bool { return s.ask(0, "GET", "/booking/x", "", "").status == 200 })
}

// TestLostAndTornDisk deletes one voter's data, tears another's log and damages a third's.
func TestLostAndTornDisk(t *testing.T) {
	s := newSystem(t, 3)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.eventually("a claimed request is answered", func() bool {
		return s.ask(0, "POST", "/booking/confirm", "kept", "body").status == 200
	})
	old := s.status(0).Voter.ID
	s.daemons[0].kill()
	if err := os.RemoveAll(s.data(0)); err != nil {
		t.Fatal(err)
	}
	s.daemons[0].start()
	s.eventually("the voter without a disk is replaced by its new identity", func() bool {
		v := s.status(0).Voter
		return v != nil && v.ID != old && len(v.Members) == 3 && strings.Contains(strings.Join(v.Members, " "), v.ID) &&
			!strings.Contains(strings.Join(v.Members, " "), "learner")
	})
	s.daemons[1].kill()
	tear(t, s.data(1))
	s.daemons[1].start()
	s.waitReady()
	if a := s.ask(1, "POST", "/booking/confirm", "kept", "body"); a.status != 200 || s.stats(s.standins["booking-1"]).Executions["kept"] != 1 {
		t.Errorf("status %d %s; it ran %d times", a.status, a.body, s.stats(s.standins["booking-1"]).Executions["kept"])
	}
	s.daemons[2].kill()
	damage(t, s.data(2))
	s.daemons[2].start()
	if code := s.daemons[2].wait(); code != exitFailed || !strings.Contains(s.daemons[2].text(), "damaged before its end") {
		t.Errorf("a damaged log ended with %d: %s", code, tail(s.daemons[2].text()))
	}
}

func logFile(t *testing.T, dir string) (string, []byte) {
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

// tear adds half a frame, as a loss of power in the middle of a write does.
func tear(t *testing.T, dir string) {
	t.Helper()
	path, b := logFile(t, dir)
	if err := os.WriteFile(path, append(b, "SWF1\x00\x00\x01\x00half"...), 0o600); err != nil {
		t.Fatal(err)
	}
}

func damage(t *testing.T, dir string) {
	t.Helper()
	path, b := logFile(t, dir)
	b[len(b)/3] ^= 0xff
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPlannedStop stops an entry host under load: every request it took is answered whole.
func TestPlannedStop(t *testing.T) {
	s := newServingSystem(t)
	// These answers take longer than the listener alone waits for its connections.
	const tokens = 1600
	want := strings.TrimSpace(strings.Join(standin.ExpectedText("p", tokens), ""))
	var bad atomic.Int64
	var done sync.WaitGroup
	for range 12 {
		done.Add(1)
		go func() {
			defer done.Done()
			a := s.ask(0, "POST", "/v1/completions", "", fmt.Sprintf(`{"model":"ledger","prompt":"p","max_tokens":%d}`, tokens))
			if a.status != 200 || !strings.Contains(a.body, want) {
				bad.Add(1)
				t.Logf("status %d %v %s", a.status, a.err, tail(a.body))
			}
		}()
	}
	s.eventually("the requests run", func() bool { return s.status(0).InFlight == 12 })
	s.daemons[0].signal(syscall.SIGTERM)
	s.eventually("the balancer is told", func() bool { a := s.ask(0, "GET", "/readyz", "", ""); return a.status == 503 || a.err != nil })
	done.Wait()
	if code := s.daemons[0].wait(); code != 0 {
		t.Errorf("the planned stop ended with %d: %s", code, tail(s.daemons[0].text()))
	}
	if bad.Load() > 0 {
		t.Errorf("the planned stop cut off %d requests", bad.Load())
	}
	s.daemons[0].start()
	s.waitReady()
}

// TestAnnouncementSpreads lets a service announce itself to one entry host only: the others route to it.
func TestAnnouncementSpreads(t *testing.T) {
	s := newSystem(t, 3)
	s.waitReady()
	all := s.callers
	s.callers = all[:1]
	began := time.Now()
	s.service("booking-1", time.Millisecond)
	s.callers = all
	for i := range s.daemons {
		s.eventually("the service is used", func() bool { return s.ask(i, "GET", "/booking/x", "", "").status == 200 })
	}
	t.Logf("every entry host routes to it %s after its process was started", time.Since(began).Round(time.Millisecond))
}

// TestLeaving proves that a service that is leaving gets nothing new, at every entry host, also at one
// that is cut off from the others.
func TestLeaving(t *testing.T) {
	s := newRelayedSystem(t, 3)
	one, two := s.service("booking-1", time.Millisecond), s.service("booking-2", time.Millisecond)
	s.waitReady()
	used := func(p *process) bool {
		before := s.stats(p).Requests
		for range 10 {
			for i := range s.daemons {
				s.ask(i, "GET", "/booking/x", "", "")
			}
		}
		return s.stats(p).Requests > before
	}
	s.eventually("both services are used", func() bool { return used(one) && used(two) })
	s.cut(2, true)
	post(t, one.address, "/leaving", "true")
	s.eventually("the leaving service gets nothing new", func() bool { return !used(one) })
	if !used(two) {
		t.Error("the other service is not used any more")
	}
}

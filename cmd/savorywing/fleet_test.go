package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// TestFleetServes shows the whole path: streams of both models and plain calls through every entry host.
func TestFleetServes(t *testing.T) {
	f := newFleetRig(t, 3, 2, 10)
	f.serveAll()
	tests := []struct {
		name, path, key string
		want            int
	}{
		{"no such route", "/nothing/", fleetKey, fasthttp.StatusNotFound},
		{"unknown key", "/book/x", "nobody's", fasthttp.StatusUnauthorized},
		{"no key", "/book/x", "", fasthttp.StatusUnauthorized},
		{"longest prefix", "/book/look/x", fleetKey, fasthttp.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := f.ask(0, tt.path, "", tt.key, nil); got.status != tt.want {
				t.Errorf("status %d, want %d: %s", got.status, tt.want, got.body)
			}
		})
	}
}

// TestFleetMemberLost kills a member of a large group under streams: they go on elsewhere or fail without
// looking whole, and a host that stands by takes the member's place.
func TestFleetMemberLost(t *testing.T) {
	f := newFleetRig(t, 3, 2, 20)
	f.serveAll()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := f.ask(n%2, "/talk/x", []string{largeModel, smallModel}[n/2%2], fleetKey, nil)
				if a.err == nil && a.status == fasthttp.StatusOK {
					if err := wholeStream(a.body); err != nil {
						t.Errorf("%s: %v", a.number, err)
					}
				}
			}
		}()
	}
	for range 3 {
		before := len(f.fleet.OpenHeads())
		head := f.fleet.OpenHeads()[0]
		if m := f.fleet.OtherMember(head); m != nil {
			m.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		f.until("as many groups as hosts allow", func() bool { return len(f.fleet.OpenHeads()) >= before-1 })
	}
	close(stop)
	callers.Wait()
	f.serveAll()
}

// TestFleetLateOrders carries orders out late, under two leaders, while heads are cut off from control.
func TestFleetLateOrders(t *testing.T) {
	f := newFleetRig(t, 3, 1, 20)
	f.serveAll()
	for i, head := range f.fleet.OpenHeads() {
		switch i % 3 {
		case 0:
			head.SetFaults(standin.Faults{OrderDelay: 1500 * time.Millisecond})
		case 1:
			head.SetFaults(standin.Faults{DropReports: true})
		}
	}
	head := f.fleet.OpenHeads()[0]
	if m := f.fleet.OtherMember(head); m != nil {
		m.Kill()
	}
	f.controls[0].Kill()
	f.stopped[f.controls[0]] = true
	time.Sleep(4 * time.Second)
	for _, s := range f.fleet.OpenHeads() {
		s.SetFaults(standin.Faults{})
	}
	f.serveAll()
}

// TestFleetAtMostOnce loses the answers of actions that may not be repeated.
func TestFleetAtMostOnce(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	for _, s := range f.fleet.PlainServers() {
		s.SetFaults(standin.Faults{LoseAnswer: true})
	}
	for range 20 {
		a := f.ask(0, "/book/x", "", fleetKey, nil)
		if a.status == fasthttp.StatusOK || a.status == fasthttp.StatusServiceUnavailable {
			t.Errorf("%s: status %d for an action whose answer was lost", a.number, a.status)
		}
		if got := f.fleet.RunCount(a.number); got > 1 {
			t.Errorf("%s ran %d times", a.number, got)
		}
	}
	a := f.ask(0, "/book/look/x", "", fleetKey, nil)
	if got := f.fleet.RunCount(a.number); got != 2 {
		t.Errorf("a call that may be repeated ran %d times, want 2 (max attempts)", got)
	}
}

// TestFleetCallerLeaves ends callers' connections in the middle of streams.
func TestFleetCallerLeaves(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	leave := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			f.ask(0, "/talk/x", largeModel, fleetKey, leave)
		}()
	}
	f.until("streams in flight", func() bool { return f.fleet.InFlight() == 4 })
	close(leave)
	left := time.Now()
	f.until("the engines' work ends", func() bool { return f.fleet.InFlight() == 0 })
	if d := time.Since(left); d > 500*time.Millisecond {
		t.Errorf("engines worked on for %v after their callers had left", d)
	}
	callers.Wait()
}

// TestFleetDocument publishes documents in and out of order, resends, races and refuses them.
func TestFleetDocument(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	five := fleetParts(5)
	five.Routes = append(five.Routes, catalogue.Route{Name: "more", Host: fleetHost, Prefix: "/more/", Kind: catalogue.Idempotent,
		Timeout: time.Second, Objective: time.Second, Services: []catalogue.WeightedService{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 1})
	noTimeout, shared, unknown, twice := fleetParts(9), fleetParts(9), fleetParts(9), fleetParts(9)
	noTimeout.Routes[0].Timeout = 0
	shared.Organisations[1].Keys = []string{fleetKey}
	unknown.Routes[0].Services = []catalogue.WeightedService{{Service: "nobody", Weight: 1}}
	twice.Routes[1].Prefix = "/talk/"
	tests := []struct {
		name  string
		parts catalogue.Document
		want  int
		newer bool
	}{
		{"higher", five, 200, true},
		{"resent", five, 200, true},
		{"lower", fleetParts(3), 200, true},
		{"other content under the version held", fleetParts(5), 200, true},
		{"no timeout", noTimeout, 400, true},
		{"shared key", shared, 400, true},
		{"unknown service", unknown, 400, true},
		{"two routes in one place", twice, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := f.publish(tt.parts); got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
			if body := f.read(); !strings.Contains(body, "/more/") {
				t.Errorf("the document read back lacks what was accepted: %.200s", body)
			}
			f.until("the new route", func() bool { return f.ask(0, "/more/x", "", fleetKey, nil).status == 200 })
		})
	}
	t.Run("a key taken away", func(t *testing.T) {
		six := fleetParts(6)
		six.Organisations = six.Organisations[:1]
		f.publish(six)
		f.until("the key is refused", func() bool { return f.ask(0, "/book/x", "", otherKey, nil).status == 401 })
		if got := f.ask(0, "/book/x", "", fleetKey, nil).status; got != 200 {
			t.Errorf("the key that stays gets %d", got)
		}
	})
}

// TestFleetControlLost kills control hosts and restarts one with an empty disk: what was acknowledged stays,
// and an entry host that can't confirm keys refuses them.
func TestFleetControlLost(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	f.publish(fleetParts(7))
	f.controls[0].Kill()
	f.stopped[f.controls[0]] = true
	if body := f.read(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after the loss of a control host: %.100s", body)
	}
	host, _, _ := net.SplitHostPort(f.seeds[0])
	f.controls = append(f.controls, f.startControl(host, t.TempDir(), false))
	f.until("three voters again", func() bool {
		members := f.controls[1].Members()
		if len(members) != 3 {
			return false
		}
		for _, m := range members {
			if !m.Voter || strings.HasSuffix(m.ID, "/first") && strings.HasPrefix(m.ID, host) {
				return false
			}
		}
		return true
	})
	f.serveAll()
	f.controls[1].Kill()
	f.stopped[f.controls[1]] = true
	if body := f.read(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after a second loss: %.100s", body)
	}
	f.controls[2].Kill()
	f.stopped[f.controls[2]] = true
	f.until("keys can't be confirmed", func() bool {
		a := f.ask(0, "/book/x", "", fleetKey, nil)
		return a.status == 503 && strings.Contains(a.body, "keysUnconfirmed")
	})
}

// TestFleetPlannedStop stops an entry host under streams; none is cut off.
func TestFleetPlannedStop(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if a := f.ask(0, "/talk/x", smallModel, fleetKey, nil); a.err != nil || a.status != 200 || wholeStream(a.body) != nil {
				t.Errorf("%s: status %d, %v", a.number, a.status, a.err)
			}
		}()
	}
	f.until("streams in flight", func() bool { return f.fleet.InFlight() > 0 })
	f.stopped[f.entries[0]] = true
	f.entries[0].Stop()
	callers.Wait()
}

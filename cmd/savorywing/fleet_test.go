package main

import (
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/controller"
	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// TestFleetServes sends streams of both models and plain calls through every entry host, and requests that must be
// rejected.
func TestFleetServes(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 10)
	f.waitServing()
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
			if got := f.send(0, tt.path, "", tt.key, nil); got.status != tt.want {
				t.Errorf("status %d, want %d: %s", got.status, tt.want, got.body)
			}
		})
	}
}

// TestFleetMemberLost kills a member of a group while it streams. A stream must continue at another group or end with
// an error: a truncated stream must not look complete. A standby host must replace the lost member.
func TestFleetMemberLost(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 20)
	f.waitServing()
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
				r := f.send(n%2, "/talk/x", []string{largeModel, smallModel}[n/2%2], fleetKey, nil)
				if r.err == nil && r.status == fasthttp.StatusOK {
					if err := checkCompleteStream(r.body); err != nil {
						t.Errorf("%s: %v", r.requestID, err)
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
		f.eventually("all groups but at most one serve again", func() bool { return len(f.fleet.OpenHeads()) >= before-1 })
	}
	close(stop)
	callers.Wait()
	f.waitServing()
}

// TestFleetLateOrders guards against the effects of late orders. Some heads execute orders only after a delay, and the
// reports of others don't reach the control hosts. Meanwhile a member and the first control host are killed, so that
// orders of two leaders may be in transit. The fleet must serve again and no invariant may be violated.
func TestFleetLateOrders(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 20)
	f.waitServing()
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
	f.waitServing()
}

// TestFleetAtMostOnce guards against a second execution of non-idempotent requests whose response is lost: the caller
// gets an error and the request runs once at most. An idempotent request is retried up to the maximum of attempts.
func TestFleetAtMostOnce(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	for _, s := range f.fleet.PlainServers() {
		s.SetFaults(standin.Faults{LoseResponse: true})
	}
	for range 20 {
		r := f.send(0, "/book/x", "", fleetKey, nil)
		if r.status == fasthttp.StatusOK || r.status == fasthttp.StatusServiceUnavailable {
			t.Errorf("%s: status %d for a non-idempotent request whose response was lost", r.requestID, r.status)
		}
		if got := f.fleet.RunCount(r.requestID); got > 1 {
			t.Errorf("%s ran %d times", r.requestID, got)
		}
	}
	r := f.send(0, "/book/look/x", "", fleetKey, nil)
	if got := f.fleet.RunCount(r.requestID); got != 2 {
		t.Errorf("an idempotent request ran %d times, want 2 (max attempts)", got)
	}
}

// TestFleetCallerDisconnects closes callers' connections in the middle of streams. The engines must stop generating
// within 500 ms.
func TestFleetCallerDisconnects(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	disconnect := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r := f.send(0, "/talk/x", largeModel, fleetKey, disconnect)
			t.Logf("stream %s ended: status %d, error %v, %d bytes: %.60s", r.requestID, r.status, r.err, len(r.body), r.body)
		}()
	}
	f.eventually("streams in flight", func() bool { return f.fleet.InFlight() == 4 })
	close(disconnect)
	disconnectedAt := time.Now()
	f.eventually("the engines stop generating", func() bool { return f.fleet.InFlight() == 0 })
	if d := time.Since(disconnectedAt); d > 500*time.Millisecond {
		t.Errorf("engines kept generating for %v after their callers had disconnected, want at most 500ms", d)
	}
	callers.Wait()
}

// TestFleetDocument publishes documents with higher, equal and lower versions and invalid ones. An older or invalid
// document must not replace the one in force, and a key that a newer document removes must be rejected.
func TestFleetDocument(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	v5 := fleetDocument(5)
	v5.Routes = append(v5.Routes, catalogue.Route{Name: "more", Host: fleetHost, Prefix: "/more/", Kind: catalogue.Idempotent,
		Timeout: time.Second, Objective: time.Second, Services: []catalogue.WeightedService{{Service: fleetPlainService, Weight: 1}}, MaxAttempts: 1})
	noTimeout, sharedKey, unknownService, duplicateRoute := fleetDocument(9), fleetDocument(9), fleetDocument(9), fleetDocument(9)
	noTimeout.Routes[0].Timeout = 0
	sharedKey.Organisations[1].Keys = []string{fleetKey}
	unknownService.Routes[0].Services = []catalogue.WeightedService{{Service: "nobody", Weight: 1}}
	duplicateRoute.Routes[1].Prefix = "/talk/"
	negativeSize, hugeLoads, negativeLimit, emptyKey := fleetDocument(9), fleetDocument(9), fleetDocument(9), fleetDocument(9)
	negativeSize.Services[0].Engine.Models[1].HostsPerGroup = -1
	hugeLoads.Services[0].Engine.MaxConcurrentLoads = math.MaxInt
	negativeLimit.Limits.MaxHeaderBytes = -1
	emptyKey.Organisations[0].Keys = []string{fleetKey, ""}
	tests := []struct {
		name  string
		doc   catalogue.Document
		want  int
		newer bool
	}{
		{"higher", v5, 200, true},
		{"resent", v5, 200, true},
		{"lower", fleetDocument(3), 200, true},
		{"other content under the version in force", fleetDocument(5), 200, true},
		{"no timeout", noTimeout, 400, true},
		{"shared key", sharedKey, 400, true},
		{"unknown service", unknownService, 400, true},
		{"duplicate route", duplicateRoute, 400, true},
		{"negative size of a group", negativeSize, 400, true},
		{"huge number of loads", hugeLoads, 400, true},
		{"negative limit", negativeLimit, 400, true},
		{"empty key", emptyKey, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := f.publish(tt.doc); got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
			if body := f.readDocument(); !strings.Contains(body, "/more/") {
				t.Errorf("the document in force lacks the accepted route /more/: %.200s", body)
			}
			f.eventually("the new route", func() bool { return f.send(0, "/more/x", "", fleetKey, nil).status == 200 })
		})
	}
	t.Run("removed key", func(t *testing.T) {
		v6 := fleetDocument(6)
		v6.Organisations = v6.Organisations[:1]
		f.publish(v6)
		f.eventually("the removed key is rejected", func() bool { return f.send(0, "/book/x", "", otherKey, nil).status == 401 })
		if got := f.send(0, "/book/x", "", fleetKey, nil).status; got != 200 {
			t.Errorf("status %d for the key that was kept, want 200", got)
		}
	})
}

// TestFleetControlLost kills control hosts and restarts one with an empty disk. An acknowledged document must survive,
// and once there is no quorum an entry host must reject keys that it can't confirm.
func TestFleetControlLost(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	f.publish(fleetDocument(7))
	f.controls[0].Kill()
	f.stopped[f.controls[0]] = true
	if body := f.readDocument(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after the loss of a control host the document in force is not version 7: %.100s", body)
	}
	host, _, _ := net.SplitHostPort(f.seeds[0])
	f.controls = append(f.controls, f.startControl(host, t.TempDir(), false))
	f.eventually("three voters again", func() bool {
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
	f.waitServing()
	f.controls[1].Kill()
	f.stopped[f.controls[1]] = true
	if body := f.readDocument(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after the loss of a second control host the document in force is not version 7: %.100s", body)
	}
	f.controls[2].Kill()
	f.stopped[f.controls[2]] = true
	f.eventually("keys can't be confirmed", func() bool {
		r := f.send(0, "/book/x", "", fleetKey, nil)
		return r.status == 503 && strings.Contains(r.body, "keysUnconfirmed")
	})
}

// TestFleetPlannedStop stops an entry host gracefully while it streams. Every stream must end complete.
func TestFleetPlannedStop(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if r := f.send(0, "/talk/x", smallModel, fleetKey, nil); r.err != nil || r.status != 200 || checkCompleteStream(r.body) != nil {
				t.Errorf("%s: stream truncated by a planned stop: status %d, error %v", r.requestID, r.status, r.err)
			}
		}()
	}
	f.eventually("streams in flight", func() bool { return f.fleet.InFlight() > 0 })
	f.stopped[f.entries[0]] = true
	f.entries[0].Stop()
	callers.Wait()
}

// TestFleetDocumentUnconfirmed kills every control host at a random moment. An entry host can't know then whether a newer
// document is in force, so it may go on serving by the one it has only until the propagation bound has passed.
func TestFleetDocumentUnconfirmed(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 10)
	f.waitServing()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	time.Sleep(time.Duration(rand.New(rand.NewPCG(seed, seed)).IntN(500)) * time.Millisecond)
	for _, c := range f.controls {
		c.Kill()
		f.stopped[c] = true
	}
	lost := time.Now()
	bound := time.Duration(f.settings(savorywing.RoleEntry, f.entryIP(0), true).ConfigPropagationMs) * time.Millisecond
	served := 0
	for time.Since(lost) < bound+2*time.Second {
		sentAt := time.Now()
		r := f.send(0, "/book/x", "", fleetKey, nil)
		if r.status != fasthttp.StatusOK {
			continue
		}
		served++
		if late := sentAt.Sub(lost) - bound; late > 0 {
			t.Fatalf("%s was served by an unconfirmed document %v after the bound", r.requestID, late)
		}
	}
	if served == 0 {
		t.Error("nothing was served within the bound")
	}
	if r := f.send(0, "/nothing/x", "", fleetKey, nil); r.status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d for a route that a newer document may have, want 503", r.status)
	}
}

// TestFleetLeaderLost kills the leader of the control hosts while callers send requests. The next leader knows the
// endpoints from the reports that it has received as a follower, so no entry host may forget any of them.
func TestFleetLeaderLost(t *testing.T) {
	f := newFleetEnv(t, 3, 3, 20)
	f.waitServing()
	// Soon after its start, an entry host lets requests wait for state that it lacks.
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	callers := f.callUntil(stop, 6, "/book/look/x", "", func(r fleetResponse) {
		if strings.Contains(r.body, "noEndpoint") {
			t.Errorf("%s: status %d, %s", r.requestID, r.status, r.body)
		}
	})
	leader := f.leader()
	leader.Kill()
	f.stopped[leader] = true
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
}

// leader returns the control host that leads.
func (f *fleetEnv) leader() *controller.Controller {
	var leader *controller.Controller
	f.eventually("a leader", func() bool {
		for _, c := range f.controls {
			if !f.stopped[c] && c.IsLeader() {
				leader = c
			}
		}
		return leader != nil
	})
	return leader
}

// TestFleetHugeNumbers guards against a caller whose stated numbers stop an entry host, or keep others from being served.
func TestFleetHugeNumbers(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 20)
	f.waitServing()
	for _, n := range []int{math.MaxInt64, math.MaxInt64 / 1000, math.MaxInt32} {
		m := savorywing.CallerMetadata{APIKey: fleetKey, Timeout: 8 * time.Second, Model: smallModel, PromptTokens: n, MaxOutputTokens: n, LastEventID: -1}
		answered := make(chan fleetResponse, 1)
		go func() { answered <- f.sendMetadata(0, "/talk/x", nil, m) }()
		for range 5 {
			start := time.Now()
			if r := f.send(0, "/talk/x", smallModel, fleetKey, nil); r.err != nil || r.status != fasthttp.StatusOK || time.Since(start) > 2*time.Second {
				t.Errorf("beside a caller that states %d tokens: status %d, error %v after %v, want 200 within 2 s", n, r.status, r.err, time.Since(start))
			}
		}
		if r := <-answered; r.err != nil || r.status != fasthttp.StatusServiceUnavailable || r.retryAfter == "" {
			t.Errorf("a caller that states %d tokens: status %d, Retry-After %q, error %v, want 503 with Retry-After", n, r.status, r.retryAfter, r.err)
		}
	}
}

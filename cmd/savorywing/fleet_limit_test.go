package main

import (
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

const (
	// limitGrace is how long after its first statement a server's limit may be exceeded.
	limitGrace = 3 * time.Second
	// In any limitWindow, a server may get limitFactor times what its limit allows and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitUse is the least part of its limit that a server must get while callers ask for more.
	limitUse = 0.7
)

// mostInWindow returns the largest number of arrivals within any limitWindow after a time.
func mostInWindow(arrivals []time.Time, after time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first].Before(after) && first < i || at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		if !at.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func countAfter(arrivals []time.Time, after time.Time) int {
	n := 0
	for _, at := range arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// plainServers returns the plain servers; the model is not used.
func (f *fleetEnv) plainServers(string) []*standin.Server { return f.fleet.PlainServers() }

// TestFleetServerLimit guards against servers that get more requests than they state to take from all hosts together, and
// against limits that aren't used in full, or hold requests back that other servers could take.
func TestFleetServerLimit(t *testing.T) {
	for _, tt := range []struct {
		name, path, model string
		servers           func(f *fleetEnv, model string) []*standin.Server
		// all limits each server of the pool, and not only one.
		all       bool
		limit     string
		perSecond float64
		// entry is the only host that callers ask; negative for all hosts.
		entry int
		// during happens two seconds after the limit is in force.
		during func(f *fleetEnv)
	}{
		{"head of a group", "/talk/x", smallModel, (*fleetEnv).headsOf, false, "4", 4, -1, nil},
		{"all heads of a model", "/talk/x", smallModel, (*fleetEnv).headsOf, true, "4.5", 4.5, -1, nil},
		{"plain server", "/book/look/x", "", (*fleetEnv).plainServers, false, "5", 5, -1, nil},
		{"all plain servers", "/book/look/x", "", (*fleetEnv).plainServers, true, "5", 5, -1, nil},
		{"all callers at one host", "/book/x", "", (*fleetEnv).plainServers, true, "8", 8, 1, nil},
		{"leader lost", "/book/look/x", "", (*fleetEnv).plainServers, true, "4", 4, -1, func(f *fleetEnv) {
			leader := f.leader()
			leader.Kill()
			f.stopped[leader] = true
		}},
		{"entry host restarted", "/book/look/x", "", (*fleetEnv).plainServers, true, "4", 4, -1, func(f *fleetEnv) { f.restartEntry(2) }},
		{"no number", "/book/look/x", "", (*fleetEnv).plainServers, true, "NaN", 1e6, -1, nil},
		{"zero", "/book/look/x", "", (*fleetEnv).plainServers, false, "0", 0, -1, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 6, 20)
			f.waitServing()
			limited := tt.servers(f, tt.model)
			if !tt.all {
				limited = limited[:1]
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			var mu sync.Mutex
			served, refused := 0, 0
			for n := range 18 {
				entry := n % len(f.entries)
				if tt.entry >= 0 {
					entry = tt.entry
				}
				callers.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
						sentAt := time.Now()
						r := f.send(entry, tt.path, tt.model, fleetKey, nil)
						took := time.Since(sentAt)
						mu.Lock()
						switch {
						case r.err == nil && r.status == fasthttp.StatusOK:
							served++
						case r.status == fasthttp.StatusServiceUnavailable:
							refused++
							if r.retryAfter == "" || took > time.Second {
								t.Errorf("rejected after %v with Retry-After %q, want at once and a time", took, r.retryAfter)
							}
						}
						mu.Unlock()
					}
				})
			}
			for _, s := range limited {
				s.SetFaults(standin.Faults{RequestLimit: tt.limit})
			}
			inForce := time.Now().Add(limitGrace)
			time.Sleep(limitGrace + 2*time.Second)
			if tt.during != nil {
				tt.during(f)
			}
			time.Sleep(6 * time.Second)
			measured := time.Since(inForce)
			for _, s := range limited {
				arrivals := s.Arrivals()
				allowed := int(limitFactor*tt.perSecond*limitWindow.Seconds()) + limitSlack
				most, used := mostInWindow(arrivals, inForce), countAfter(arrivals, inForce)
				t.Logf("%s: %d requests in %v at most, %d allowed; %d of %.0f used", s.ID, most, limitWindow, allowed, used, tt.perSecond*measured.Seconds())
				if most > allowed {
					t.Errorf("%s got %d requests in %v, want at most %d", s.ID, most, limitWindow, allowed)
				}
				if tt.all && tt.during == nil && float64(used) < limitUse*min(10, tt.perSecond)*measured.Seconds() {
					t.Errorf("%s got %d requests in %v, want %v of its limit at least", s.ID, used, measured, limitUse)
				}
			}
			for _, s := range limited {
				s.SetFaults(standin.Faults{})
			}
			time.Sleep(5 * time.Second)
			ended := time.Now()
			mu.Lock()
			servedBefore := served
			mu.Unlock()
			time.Sleep(2 * time.Second)
			for _, s := range limited {
				if n := countAfter(s.Arrivals(), ended); float64(n) < 2*max(tt.perSecond, 5)*2 && tt.perSecond < 1e6 {
					t.Errorf("%s got %d requests in 2s after the end of its limit, want %.0f at least", s.ID, n, 4*max(tt.perSecond, 5))
				}
			}
			close(stop)
			callers.Wait()
			mu.Lock()
			defer mu.Unlock()
			t.Logf("%d served, %d rejected; %d served in 2s after the end of the limits", served, refused, served-servedBefore)
		})
	}
}

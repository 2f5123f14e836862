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

// limitCase is a case of TestFleetServerLimit.
type limitCase struct {
	name, path, model string
	servers           func(f *fleetEnv, model string) []*standin.Server
	// all limits each server of the pool, and not only one.
	all       bool
	limit     string
	perSecond float64
	// entry is the only host that callers ask; negative for all hosts.
	entry int
	// callers is the number of callers, who ask each server for more than checkEnd wants.
	callers int
	// during happens two seconds after the limit is in force.
	during func(f *fleetEnv)
}

// TestFleetServerLimit guards against servers that get more requests than they state to take from all hosts together, and
// against limits that aren't used in full, or hold requests back that other servers could take.
func TestFleetServerLimit(t *testing.T) {
	for _, tt := range []limitCase{
		{"head of a group", "/talk/x", smallModel, (*fleetEnv).headsOf, false, "4", 4, -1, 36, nil},
		{"all heads of a model", "/talk/x", smallModel, (*fleetEnv).headsOf, true, "4.5", 4.5, -1, 36, nil},
		{"plain server", "/book/look/x", "", (*fleetEnv).plainServers, false, "5", 5, -1, 18, nil},
		{"all plain servers", "/book/look/x", "", (*fleetEnv).plainServers, true, "5", 5, -1, 18, nil},
		{"all callers at one host", "/book/x", "", (*fleetEnv).plainServers, true, "8", 8, 1, 18, nil},
		{"leader lost", "/book/look/x", "", (*fleetEnv).plainServers, true, "4", 4, -1, 18, func(f *fleetEnv) {
			leader := f.leader()
			leader.Kill()
			f.stopped[leader] = true
		}},
		{"entry host restarted", "/book/look/x", "", (*fleetEnv).plainServers, true, "4", 4, -1, 18, func(f *fleetEnv) { f.restartEntry(2) }},
		{"no number", "/book/look/x", "", (*fleetEnv).plainServers, true, "NaN", 1e6, -1, 18, nil},
		{"zero", "/book/look/x", "", (*fleetEnv).plainServers, false, "0", 0, -1, 18, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetEnv(t, 3, 6, 20)
			f.waitServing()
			limited := tt.servers(f, tt.model)
			if !tt.all {
				limited = limited[:1]
			}
			l := f.startLimitLoad(tt)
			setLimit(limited, tt.limit)
			inForce := time.Now().Add(limitGrace)
			time.Sleep(limitGrace + 2*time.Second)
			if tt.during != nil {
				tt.during(f)
			}
			time.Sleep(6 * time.Second)
			tt.checkUse(t, limited, inForce)
			setLimit(limited, "")
			time.Sleep(5 * time.Second)
			ended := time.Now()
			time.Sleep(2 * time.Second)
			tt.checkEnd(t, limited, ended)
			close(l.stop)
			l.callers.Wait()
			t.Logf("%d served, %d rejected", l.served, l.rejected)
		})
	}
}

func setLimit(servers []*standin.Server, text string) {
	for _, s := range servers {
		s.SetFaults(standin.Faults{RequestLimit: text})
	}
}

// checkUse checks that the servers got no more than their limits allow, and, if callers ask for more, most of that.
func (tt limitCase) checkUse(t *testing.T, servers []*standin.Server, inForce time.Time) {
	t.Helper()
	measured := time.Since(inForce).Seconds()
	allowed := int(limitFactor*tt.perSecond*limitWindow.Seconds()) + limitSlack
	for _, s := range servers {
		arrivals := s.Arrivals()
		most, used := mostInWindow(arrivals, inForce), countAfter(arrivals, inForce)
		t.Logf("%s: %d requests in %v at most, %d allowed; %d of %.0f used", s.ID, most, limitWindow, allowed, used, tt.perSecond*measured)
		if most > allowed {
			t.Errorf("%s got %d requests in %v, want at most %d", s.ID, most, limitWindow, allowed)
		}
		if tt.all && tt.during == nil && float64(used) < limitUse*min(10, tt.perSecond)*measured {
			t.Errorf("%s got %d requests in %.1fs, want %v of its limit at least", s.ID, used, measured, limitUse)
		}
	}
}

// checkEnd checks that the servers get more than their limits allowed.
func (tt limitCase) checkEnd(t *testing.T, servers []*standin.Server, ended time.Time) {
	t.Helper()
	for _, s := range servers {
		t.Logf("%s: %d requests in 2s after the end of its limit", s.ID, countAfter(s.Arrivals(), ended))
		if n := countAfter(s.Arrivals(), ended); float64(n) < 4*max(tt.perSecond, 5) && tt.perSecond < 1e6 {
			t.Errorf("%s got %d requests in 2s after the end of its limit, want %.0f at least", s.ID, n, 4*max(tt.perSecond, 5))
		}
	}
}

// limitLoad is a load of requests of which some are rejected.
type limitLoad struct {
	stop             chan struct{}
	callers          sync.WaitGroup
	mu               sync.Mutex
	served, rejected int
}

// startLimitLoad starts callers of a case that run until stop is closed. Each rejection must come at once, with a time.
func (f *fleetEnv) startLimitLoad(tt limitCase) *limitLoad {
	l := &limitLoad{stop: make(chan struct{})}
	for n := range tt.callers {
		entry := n % len(f.entries)
		if tt.entry >= 0 {
			entry = tt.entry
		}
		l.callers.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				sentAt := time.Now()
				r := f.send(entry, tt.path, tt.model, fleetKey, nil)
				l.record(f.t, r, time.Since(sentAt))
			}
		})
	}
	return l
}

func (l *limitLoad) record(t *testing.T, r fleetResponse, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.err == nil && r.status == fasthttp.StatusOK:
		l.served++
	case r.status == fasthttp.StatusServiceUnavailable:
		l.rejected++
		if r.retryAfter == "" || took > time.Second {
			t.Errorf("rejected after %v with Retry-After %q, want at once and a time", took, r.retryAfter)
		}
	}
}

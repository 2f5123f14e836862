package main

import (
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

// callUntil sends requests through every entry host until stop is closed. check is called with each response, unless it
// is nil.
func (f *fleetEnv) callUntil(stop <-chan struct{}, callers int, path, model string, check func(r fleetResponse)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := f.send(n%len(f.entries), path, model, fleetKey, nil); check != nil {
					check(r)
				}
			}
		}()
	}
	return &wg
}

// callEntryUntil sends lookups through one entry host, one after the other, until stop is closed. check is called with each
// response, unless it is nil.
func (f *fleetEnv) callEntryUntil(stop <-chan struct{}, entry int, check func(r fleetResponse)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if r := f.send(entry, "/book/look/x", "", fleetKey, nil); check != nil {
			check(r)
		}
	}
}

// TestFleetServerLeaving makes the head of a group, and a plain server, state in their responses that they are leaving.
// No entry host may send them further requests: neither the one that saw it, nor the others, nor one that restarts.
func TestFleetServerLeaving(t *testing.T) {
	for _, tt := range []struct {
		name, path, model string
		servers           func(f *fleetEnv) []*standin.Server
	}{
		{"engine", "/talk/x", smallModel, func(f *fleetEnv) []*standin.Server { return f.headsOf(smallModel) }},
		{"plain server", "/book/look/x", "", func(f *fleetEnv) []*standin.Server { return f.fleet.PlainServers() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetEnv(t, 3, 2, 20)
			f.waitServing()
			leaving := tt.servers(f)[0]
			stop := make(chan struct{})
			callers := f.callUntil(stop, 6, tt.path, tt.model, nil)
			leaving.SetFaults(standin.Faults{StateLeaving: true})
			time.Sleep(1500 * time.Millisecond)
			f.restartEntry(1)
			time.Sleep(1500 * time.Millisecond)
			close(stop)
			callers.Wait()
			if got := leaving.Unwanted(); got > 0 {
				t.Errorf("%s got %d requests after it had stated that it is leaving", leaving.ID, got)
			}
			f.waitServing()
		})
	}
}

// TestFleetServerClosed makes a server reject requests and state a time for which it is closed. It may get no further
// request in that time. When all servers of a pool are closed, callers are rejected at once and told when to return.
func TestFleetServerClosed(t *testing.T) {
	const closedFor = 20 * time.Second
	f := newFleetEnv(t, 3, 1, 20)
	f.waitServing()
	stop := make(chan struct{})
	callers := f.callUntil(stop, 6, "/talk/x", smallModel, nil)
	plainCallers := f.callUntil(stop, 4, "/book/look/x", "", nil)
	// The order of the list differs from call to call.
	plain := f.fleet.PlainServers()
	closed := []*standin.Server{f.headsOf(smallModel)[0], plain[0]}
	for _, s := range closed {
		s.SetFaults(standin.Faults{RejectFor: closedFor})
	}
	time.Sleep(2 * time.Second)
	for _, s := range closed {
		if got := s.Unwanted(); got > 2 {
			t.Errorf("%s got %d requests while it was closed, want 2 at most", s.ID, got)
		}
	}
	close(stop)
	callers.Wait()
	plainCallers.Wait()
	for _, s := range plain {
		s.SetFaults(standin.Faults{RejectFor: closedFor})
	}
	f.send(0, "/book/look/x", "", fleetKey, nil)
	f.send(0, "/book/look/x", "", fleetKey, nil)
	sentAt := time.Now()
	r := f.send(0, "/book/look/x", "", fleetKey, nil)
	seconds, err := strconv.ParseFloat(r.retryAfter, 64)
	if r.status != fasthttp.StatusServiceUnavailable || err != nil || seconds < (closedFor-5*time.Second).Seconds() {
		t.Errorf("status %d, Retry-After %q, want 503 and nearly %v: %s", r.status, r.retryAfter, closedFor, r.body)
	}
	if took := time.Since(sentAt); took > time.Second {
		t.Errorf("rejected after %v, want at once", took)
	}
}

// TestFleetLeavingInOrderReply makes all spare engines state in the replies to orders, and nowhere else, that they are
// leaving. After members of groups are lost, none of these engines may be in a group that serves, nor get further orders.
func TestFleetLeavingInOrderReply(t *testing.T) {
	f := newFleetEnv(t, 3, 1, 30)
	f.waitServing()
	leaving := f.fleet.SpareEngines()
	if len(leaving) == 0 {
		t.Fatal("there are no spare engines")
	}
	for _, s := range leaving {
		s.SetFaults(standin.Faults{StateLeaving: true})
	}
	for _, head := range f.fleet.OpenHeads()[:2] {
		f.fleet.OtherMember(head).Kill()
	}
	time.Sleep(4 * time.Second)
	spare := f.fleet.SpareEngines()
	for _, s := range leaving {
		if !slices.Contains(spare, s) {
			t.Errorf("%s is in a group that serves", s.ID)
		}
		if n := s.Unwanted(); n > 0 {
			t.Errorf("%s got %d orders after it had stated that it is leaving", s.ID, n)
		}
	}
	f.waitServing()
}

// TestFleetNoticesWhileFrozen suspends an entry host while servers state that they are leaving, or closed for a time, and
// resumes it. From the next update on it must send them nothing either.
func TestFleetNoticesWhileFrozen(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults standin.Faults
		// allowed is how many requests each entry host may send while the notice is in force, to find out about it.
		allowed int
	}{
		{"leaving", standin.Faults{StateLeaving: true}, 0},
		{"closed", standin.Faults{RejectFor: 20 * time.Second}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetEnv(t, 3, 1, 20)
			p, _ := f.startEntryProcess(1)
			f.waitServing()
			f.eventually("the process serves", func() bool { return f.send(1, "/book/look/x", "", fleetKey, nil).status == fasthttp.StatusOK })
			server := f.fleet.PlainServers()[0]
			stop := make(chan struct{})
			var callers sync.WaitGroup
			callers.Go(func() { f.callEntryUntil(stop, 0, nil) })
			p.signal(syscall.SIGSTOP)
			server.SetFaults(tt.faults)
			time.Sleep(2 * time.Second)
			if n := server.Unwanted(); n > tt.allowed {
				t.Errorf("%d unwanted requests while one host was suspended, want at most %d", n, tt.allowed)
			}
			p.signal(syscall.SIGCONT)
			callers.Go(func() { f.callEntryUntil(stop, 1, nil) })
			callers.Go(func() { f.callEntryUntil(stop, 1, nil) })
			time.Sleep(500 * time.Millisecond)
			before := server.Unwanted()
			time.Sleep(2 * time.Second)
			if n := server.Unwanted() - before; n > tt.allowed {
				t.Errorf("%d unwanted requests after the host was resumed, want at most %d", n, tt.allowed)
			}
			if r := f.send(1, "/book/look/x", "", fleetKey, nil); r.status != fasthttp.StatusOK {
				t.Errorf("status %d at the resumed host, want 200 from the other server", r.status)
			}
			close(stop)
			callers.Wait()
		})
	}
}

// headsOf returns the heads of the open groups of a model.
func (f *fleetEnv) headsOf(model string) []*standin.Server {
	var out []*standin.Server
	for _, s := range f.fleet.OpenHeads() {
		if s.Model() == model {
			out = append(out, s)
		}
	}
	return out
}

// restartEntry kills an entry host and starts it again.
func (f *fleetEnv) restartEntry(i int) {
	f.t.Helper()
	f.entries[i].Kill()
	f.entries[i] = f.startEntry(f.entryIP(i))
}

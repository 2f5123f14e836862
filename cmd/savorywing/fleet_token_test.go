package main

import (
	"net"
	"sync"
	"testing"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/peer"
)

// reloadControl applies the environment's settings to a running control host.
func (f *fleetEnv) reloadControl(i int) {
	ip, _, _ := net.SplitHostPort(f.seeds[i])
	f.controls[i].Reload(f.settings(savorywing.RoleControl, ip, true))
}

// reloadEntry applies the environment's settings to a running entry host.
func (f *fleetEnv) reloadEntry(i int) {
	f.entries[i].Reload(f.settings(savorywing.RoleEntry, f.entryIP(i), true))
}

// TestFleetTokenRotation replaces the token between daemons on one host after the other. Callers must be served all the
// time, also by an entry host that restarts between two steps.
func TestFleetTokenRotation(t *testing.T) {
	f := newFleetEnv(t, 3, 2, 20)
	f.waitServing()
	stop := make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		f.callEntryUntil(stop, 0, func(r fleetResponse) {
			if r.err != nil || r.status != 200 {
				t.Errorf("status %d, error %v at an entry host that wasn't restarted, want 200", r.status, r.err)
			}
		})
	})
	defer caller.Wait()
	defer close(stop)
	for _, tokens := range []peer.Tokens{{Sent: "test", AlsoAccepted: []string{"next"}}, {Sent: "next", AlsoAccepted: []string{"test"}}, {Sent: "next"}} {
		f.tokens = tokens
		f.reloadControl(0)
		f.restartEntry(1)
		f.waitServing()
		for i := range f.controls {
			f.reloadControl(i)
		}
		for i := range f.entries {
			f.reloadEntry(i)
		}
		f.restartEntry(1)
		f.waitServing()
	}
}

package controller

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// TestEndpointLog replays random changes to hosts that each apply the updates since what they have at random times.
// After an update, each of them must know exactly the current endpoints.
func TestEndpointLog(t *testing.T) {
	type host struct {
		revision  uint64
		endpoints map[string]wire.Endpoint
	}
	r := rand.New(rand.NewPCG(1, 1))
	l := newEndpointLog()
	var hosts []*host
	for range 5 {
		hosts = append(hosts, &host{endpoints: map[string]wire.Endpoint{}})
	}
	fullUpdates := 0
	for step := range 4000 {
		var list []wire.Endpoint
		for i := range 12 {
			if r.IntN(3) > 0 {
				list = append(list, wire.Endpoint{ID: fmt.Sprint("e", i), Epoch: uint64(r.IntN(2))})
			}
		}
		l.refresh(list)
		if len(l.current) != len(list) {
			t.Fatalf("step %d: %d endpoints, want %d", step, len(l.current), len(list))
		}
		h := hosts[r.IntN(len(hosts))]
		if step%97 == 0 {
			h = hosts[0]
		} else if h == hosts[0] {
			continue // this one falls behind
		}
		endpoints, removed, full := l.since(h.revision)
		if full {
			h.endpoints = map[string]wire.Endpoint{}
			fullUpdates++
		}
		for _, id := range removed {
			delete(h.endpoints, id)
		}
		for _, e := range endpoints {
			h.endpoints[e.ID] = e
		}
		h.revision = l.revision
		if !reflect.DeepEqual(h.endpoints, l.current) {
			t.Fatalf("step %d: a host knows %v, want %v", step, h.endpoints, l.current)
		}
	}
	if fullUpdates > len(hosts) {
		t.Errorf("%d full updates, want one for each of %d hosts", fullUpdates, len(hosts))
	}
}

// TestEndpointLogUrgency checks which changes are urgent: those after which requests would go where none is served.
func TestEndpointLogUrgency(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		list                    []wire.Endpoint
		wantChanged, wantUrgent bool
	}{
		{"no change", []wire.Endpoint{{ID: "a"}, {ID: "b"}}, false, false},
		{"added", []wire.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}, true, false},
		{"removed", []wire.Endpoint{{ID: "a"}}, true, true},
		{"one for another", []wire.Endpoint{{ID: "a"}, {ID: "c"}}, true, true},
		{"silent", []wire.Endpoint{{ID: "a", Silent: true}, {ID: "b"}}, true, true},
		{"all removed", nil, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newEndpointLog()
			l.refresh([]wire.Endpoint{{ID: "a"}, {ID: "b"}})
			if changed, urgent := l.refresh(tt.list); changed != tt.wantChanged || urgent != tt.wantUrgent {
				t.Errorf("changed %v, urgent %v, want %v, %v", changed, urgent, tt.wantChanged, tt.wantUrgent)
			}
		})
	}
}

// TestColdEndpoints checks that the hosts are told at once of a server that turns cold, and with it of the bound.
func TestColdEndpoints(t *testing.T) {
	l := newEndpointLog()
	e := wire.Endpoint{ID: "a", Service: "s", ColdShare: 5}
	l.refresh([]wire.Endpoint{e})
	for _, tt := range []struct {
		name            string
		change          func(e *wire.Endpoint)
		changed, urgent bool
	}{
		{"turns cold", func(e *wire.Endpoint) { e.ColdMs = 3000 }, true, true},
		{"is cold for less", func(e *wire.Endpoint) { e.ColdMs = 2000 }, false, false},
		{"another bound", func(e *wire.Endpoint) { e.ColdShare = 6 }, true, true},
		{"turns warm", func(e *wire.Endpoint) { e.ColdMs = 0 }, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.change(&e)
			if changed, urgent := l.refresh([]wire.Endpoint{e}); changed != tt.changed || urgent != tt.urgent {
				t.Errorf("changed %v, urgent %v", changed, urgent)
			}
		})
	}
}

// TestEndpointLogBound checks that a host which lacks more changes than the log holds gets the whole list.
func TestEndpointLogBound(t *testing.T) {
	l := newEndpointLog()
	l.refresh([]wire.Endpoint{{ID: "a"}})
	old := l.revision
	for n := range 2 * maxChanges {
		l.refresh([]wire.Endpoint{{ID: "a", Epoch: uint64(n + 1)}})
	}
	if _, _, full := l.since(old); !full {
		t.Error("no full update for a host that lacks dropped changes")
	}
	if endpoints, removed, full := l.since(l.revision - 1); full || len(endpoints) != 1 || len(removed) != 0 {
		t.Errorf("%v, %v, full %v, want one changed endpoint", endpoints, removed, full)
	}
	if len(l.changes) > maxChanges {
		t.Errorf("%d changes are kept", len(l.changes))
	}
}

// TestFullUpdate checks that a host which begins with a full update ends with the leader's endpoints, at whatever revision they
// were packed, and that few changes don't pack them anew.
func TestFullUpdate(t *testing.T) {
	l := newEndpointLog()
	current := map[string]wire.Endpoint{}
	list := func() []wire.Endpoint {
		out := make([]wire.Endpoint, 0, len(current))
		for _, e := range current {
			out = append(out, e)
		}
		return out
	}
	packedAgain := 0
	last := uint64(0)
	for step := range 300 {
		id := fmt.Sprint("i-", step%170)
		if _, known := current[id]; known && step%3 == 0 {
			delete(current, id)
		} else {
			current[id] = wire.Endpoint{ID: id, Born: int64(step), Address: "10.0.0.9:80", Service: "s", Slots: 8}
		}
		l.refresh(list())
		packed, changed, removed, err := l.full()
		if err != nil {
			t.Fatal(err)
		}
		if l.packedRevision != last {
			packedAgain, last = packedAgain+1, l.packedRevision
		}
		got, err := fleet.UnpackEndpoints(packed, changed, removed)
		if err != nil || len(got) != len(current) {
			t.Fatalf("step %d: %d endpoints, want %d; %v", step, len(got), len(current), err)
		}
		for _, e := range got {
			if e.Born != current[e.ID].Born || e.Handle != l.handles[e.ID] {
				t.Fatalf("step %d: %+v, want %+v", step, e, current[e.ID])
			}
		}
	}
	if packedAgain > 300/maxUnpacked+1 {
		t.Errorf("packed %d times for 300 changes", packedAgain)
	}
}

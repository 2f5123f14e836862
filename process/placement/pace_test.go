package placement

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// TestPaceSlots checks that a server on pace gets no more than its cap, and that what is observed of it is reported once.
func TestPaceSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBalancer(2)
	paced := b.byID["g0"].Endpoint
	paced.PaceSlots = 2
	b.UpdateEndpoints(false, []wire.Endpoint{paced}, nil)
	req := chatRequest()
	for range 12 {
		d := b.Pick(now, req)
		if d.Reason != ReasonNone {
			t.Fatalf("%+v", d)
		}
		b.Start(now, d, req)
	}
	if got := b.byID["g0"].localInFlight; got > 2 {
		t.Errorf("%d requests at a server with a cap of 2", got)
	}
	d := b.decide(b.evaluate(b.byID["g0"], 0, req))
	slow := b.Start(now, d, req)
	b.RecordProgress(now.Add(2*d.Predicted), slow, 0)
	b.RecordProgress(now.Add(2*d.Predicted+4*slow.passTime), slow, 4*slow.passTime)
	b.Finish(now, slow, Served)
	b.Finish(now, b.Start(now, d, req), Shed)
	for _, want := range []wire.EndpointLoad{{Times: 2, Served: 1, Refused: 1}, {}} {
		for _, l := range b.Usage(now) {
			if l.ID == "g0" && (l.Times != want.Times || l.Served != want.Served || l.Refused != want.Refused || (l.Times > 0 && l.Slowness < 4)) {
				t.Errorf("reported %+v, want %+v", l, want)
			}
			if l.ID == "g1" && l.Times+l.Served+l.Refused > 0 {
				t.Errorf("reported %+v of a server that isn't on pace", l)
			}
		}
	}
}

// TestShortPoolBesidePace replays the return of ten of 27 groups in a burst, which has three quarters of the slots of all in use: the slots that
// they lack while they are on pace are no reason for this host to reject requests.
func TestShortPoolBesidePace(t *testing.T) {
	now := time.Unix(1000, 0)
	list := groups(27)
	for i := range 10 {
		list[i].PaceSlots = max(1, list[i].Slots/4)
	}
	b := New(Config{Seed: 1})
	b.UpdateEndpoints(true, list, nil)
	var loads []fleet.Load
	for i, e := range list {
		load := fleet.Load{Handle: e.Handle, InFlight: e.Slots * 9 / 10}
		if i < 10 {
			load.InFlight = e.PaceSlots - 1
		}
		loads = append(loads, load)
	}
	req := chatRequest()
	for range 40 {
		b.SetLoads(now, loads, 126)
		if d := b.Pick(now, req); d.Reason != ReasonNone {
			t.Fatalf("rejected: %+v", d)
		}
		now = now.Add(10 * time.Millisecond)
	}
}

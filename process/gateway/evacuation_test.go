package gateway

import (
	"testing"
	"time"

	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// TestAttemptNeedsConfirmation guards against attempts of a request that was taken in time, but that are made after the bound on evacuations
// without a confirmation: its data centre may have been evacuated since.
func TestAttemptNeedsConfirmation(t *testing.T) {
	for _, tt := range []struct {
		name       string
		bound, age time.Duration
		sent       bool
	}{
		{"confirmed", 5 * time.Second, time.Second, true},
		{"not confirmed within the bound", 5 * time.Second, 6 * time.Second, false},
		{"a deployment without a bound", 0, time.Minute, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			s := *g.settings()
			s.EvacuationMs = tt.bound.Milliseconds()
			g.current.Store(&s)
			g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Service: "plain", Slots: 4, Handle: 1}}, nil)
			g.subscription.confirmedAt = g.clock.Now().Add(-tt.age)
			r := &callerRequest{
				gateway: g, exchange: &forwardedExchange{arrival: g.clock.Now()}, route: &catalogue.Route{MaxAttempts: 2, Objective: time.Second},
				service: &catalogue.Service{Name: "plain"}, deadline: g.clock.Now().Add(2 * time.Second), lastEventID: -1,
			}
			d, reservation := r.reserve(g.clock.Now())
			if (reservation != nil) != tt.sent || (!tt.sent && (d.Reason != placement.ReasonUnconfirmed || d.RetryAfter <= 0)) {
				t.Errorf("placed: %v, %+v", reservation != nil, d)
			}
			earlier := g.balancer.Start(g.clock.Now(), placement.Decision{ID: "s"}, r.placementRequest(g.clock.Now()))
			if got := g.mayStillSend(earlier); got != tt.sent {
				t.Errorf("sent once a connection is open: %v, want %v", got, tt.sent)
			}
		})
	}
}

// TestEvacuationsOutliveLeaders guards against a host that forgets evacuations since a leader states none, or older ones.
func TestEvacuationsOutliveLeaders(t *testing.T) {
	g := newTestGateway(t)
	g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Service: "plain", DataCentre: "a", Slots: 4, Handle: 1}}, nil)
	accepts := func(term uint64, e *wire.Evacuations) bool {
		g.subscription.apply(wire.FleetUpdate{Term: term, Revision: 1, Full: true, Evacuations: e, Endpoints: []wire.Endpoint{{ID: "s", Service: "plain", DataCentre: "a", Slots: 4, Handle: 1}}})
		return g.balancer.Accepts(g.clock.Now(), "s")
	}
	if accepts(1, &wire.Evacuations{Revision: 9, DataCentres: []string{"a"}}) || accepts(2, nil) || accepts(3, &wire.Evacuations{Revision: 8}) {
		t.Error("a server of the evacuated data centre gets requests")
	}
	if !accepts(4, &wire.Evacuations{Revision: 10}) {
		t.Error("the end of the evacuation isn't obeyed")
	}
}

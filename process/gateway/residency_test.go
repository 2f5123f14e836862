package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

var testRegions = residency.Map{"x": "north", "y": "south"}

// TestRequestStaysInItsRegions checks that neither the first attempt nor a later one leaves the regions of a request's route and
// organisation. All servers close each connection, so that each request makes all the attempts it may.
func TestRequestStaysInItsRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	for _, tt := range []struct {
		name                string
		route, organisation []string
		// wantNorth and wantSouth report whether servers there get the request.
		wantNorth, wantSouth bool
	}{
		{"anywhere", nil, nil, true, true},
		{"route", south, nil, false, true},
		{"organisation", nil, north, true, false},
		{"both", []string{"north", "south"}, south, false, true},
		{"nowhere", north, south, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.settings().RetryBurst, g.settings().Regions = 1000, testRegions
			inNorth, inSouth := &serverScript{texts: []string{"CLOSE", "CLOSE"}}, &serverScript{texts: []string{"CLOSE", "CLOSE"}}
			g.balancer.UpdateEndpoints(true, []wire.Endpoint{
				{ID: "i-1", Address: startServer(t, inNorth.serve), Service: "s", DataCentre: "x", Slots: 4, Born: 1, Handle: 1},
				{ID: "i-2", Address: startServer(t, inSouth.serve), Service: "s", DataCentre: "y", Slots: 4, Born: 1, Handle: 2},
			}, nil)
			c, err := catalogue.New(catalogue.Document{Version: 7, Services: []catalogue.Service{{Name: "s", HealthPath: "/healthz"}},
				Routes: []catalogue.Route{{Name: "r", Host: "x.example", Prefix: "/", Services: []catalogue.WeightedService{{Service: "s", Weight: 1}},
					MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Regions: tt.route}},
				Organisations: []catalogue.Organisation{{Name: "o", Keys: []string{"k"}, Regions: tt.organisation}}})
			if err != nil {
				t.Fatal(err)
			}
			g.catalogue.Store(c)
			x := &recordedExchange{arrival: g.clock.Now()}
			x.request.Header.SetMethod(fasthttp.MethodPost)
			x.request.Header.SetRequestURI("/r")
			x.request.Header.SetHost("x.example")
			platform.Dialect{}.WriteCallerMetadata(&x.request.Header, savorywing.CallerMetadata{AttemptID: "n1", LastEventID: -1, APIKey: "k"})
			g.Serve(context.Background(), x)
			if gotNorth, gotSouth := inNorth.arrived.Load() > 0, inSouth.arrived.Load() > 0; gotNorth != tt.wantNorth || gotSouth != tt.wantSouth {
				t.Errorf("reached north %v, south %v, want %v and %v (status %d)", gotNorth, gotSouth, tt.wantNorth, tt.wantSouth, x.status)
			}
			if !tt.wantNorth && !tt.wantSouth && x.status != fasthttp.StatusServiceUnavailable {
				t.Errorf("status %d", x.status)
			}
		})
	}
}

// TestForwardingStaysInRegions checks to which entry hosts a request may be handed over.
func TestForwardingStaysInRegions(t *testing.T) {
	g := newTestGateway(t)
	g.settings().Regions, g.settings().DataCentre = testRegions, "x"
	g.peers.Set(g.clock.Now(), []wire.Forwarder{{Address: "127.0.0.1:1", DataCentre: "y"}})
	r := g.newRequest(&recordedExchange{arrival: g.clock.Now()})
	if err := r.forward(context.Background()); !errors.Is(err, errNoForwarder) {
		t.Errorf("a route that isn't known: %v", err)
	}
	r.route, r.area = &catalogue.Route{}, testRegions.Within([]string{"north"})
	if err := r.forward(context.Background()); !errors.Is(err, errNoForwarder) {
		t.Errorf("another region: %v", err)
	}
	if _, found := g.peers.Pick(g.clock.Now(), nil, r.forwardArea()); found {
		t.Error("a host in another region is picked")
	}
	r.area = testRegions.Within([]string{"south"})
	if _, found := g.peers.Pick(g.clock.Now(), nil, r.forwardArea()); !found {
		t.Error("no host in the request's region is picked")
	}
}

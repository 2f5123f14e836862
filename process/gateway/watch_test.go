package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// TestStallOnLostPath guards against requests that wait for a server, by a lost path, because other hosts see it make progress.
func TestStallOnLostPath(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name           string
		lost, answered bool
		want           bool
	}{
		{"paths lost", true, false, true},
		{"paths lost, and the server still answers on open connections", true, true, false},
		{"a queue at the server", false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			now := g.clock.Now()
			g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Service: "engines", Model: "m", Slots: 4, Handle: 1}, {ID: "t", Service: "engines", Model: "m", Slots: 4, Handle: 2}}, nil)
			request := placement.Request{Service: "engines", Model: "m", Engine: &placement.EngineProfile{}, Objective: time.Second, Remaining: time.Second}
			g.balancer.Start(now, placement.Decision{ID: "s"}, request)
			g.balancer.SetLoads(now, []fleet.Load{{Handle: 1, InFlight: 3, Progressed: true}}, 2)
			if tt.lost {
				g.reach.Begin(now)
				g.reach.Conclude(now, reach.Round{Known: 60, Asked: 5, Elsewhere: 5})
			}
			r := &callerRequest{
				gateway: g, exchange: &forwardedExchange{arrival: now}, route: &catalogue.Route{Kind: catalogue.Streaming, Resumable: true, MaxAttempts: 2, Objective: time.Second},
				service: &catalogue.Service{Name: "engines", Engine: &catalogue.Engine{}}, deadline: now.Add(time.Second),
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			a := &attempt{request: r, decision: placement.Decision{ID: "s", StallTimeout: timeout}, number: 1, ctx: ctx, cancel: cancel}
			a.startWatch()
			defer a.watch.stop()
			time.Sleep(timeout * 3 / 4)
			if tt.answered {
				g.recordAnswer("s")
			}
			time.Sleep(timeout / 2)
			if got := errors.Is(context.Cause(ctx), errStalled); got != tt.want {
				t.Errorf("cancelled: %v, want %v", got, tt.want)
			}
		})
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// newTestGateway returns an entry host with version 7 of a document, confirmed just now.
func newTestGateway(t *testing.T) *Gateway {
	t.Helper()
	s := &instance.Settings{Role: "entry", IP: "127.0.0.1", PeerPorts: []int{0}, CPUShare: 1, MaxDescriptors: 16}
	s.Defaults()
	g, err := New(s, platform.Dialect{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.catalogue.Store(&catalogue.Catalogue{})
	g.subscription.version, g.subscription.confirmedAt = 7, g.clock.Now()
	return g
}

// TestAdmitOffer checks which requests of other hosts are refused, and that such a host isn't listed either.
func TestAdmitOffer(t *testing.T) {
	lost := reach.Round{Known: 60, Asked: 5, Elsewhere: 5}
	tests := []struct {
		name    string
		prepare func(g *Gateway)
		version uint64
		want    string
		listed  bool
	}{
		{"taken", func(*Gateway) {}, 7, "", true},
		{"of a host with an older document", func(*Gateway) {}, 6, "", true},
		{"of a host with a newer document", func(*Gateway) {}, 8, refusedDocument, true},
		{"stopping", func(g *Gateway) { g.stopping.Store(true) }, 7, refusedStopping, false},
		{"cut off", func(g *Gateway) { g.reach.Begin(g.clock.Now()); g.reach.Conclude(g.clock.Now(), lost) }, 7, refusedCutOff, false},
		{"paths in doubt", func(g *Gateway) { g.doubt = make(chan struct{}) }, 7, refusedCutOff, true},
		{"most servers crashed", func(g *Gateway) {
			g.reach.Begin(g.clock.Now())
			g.reach.Conclude(g.clock.Now(), reach.Round{Known: 60, Asked: 5, Reached: 1})
		}, 7, "", true},
		{"reaches a few of the servers that others reach", func(g *Gateway) {
			g.reach.Begin(g.clock.Now())
			g.reach.Conclude(g.clock.Now(), reach.Round{Known: 60, Asked: 5, Reached: 1, Elsewhere: 1})
		}, 7, refusedCutOff, false},
		{"reaches no server, nor do others", func(g *Gateway) {
			g.reach.Begin(g.clock.Now())
			g.reach.Conclude(g.clock.Now(), reach.Round{Known: 60, Asked: 5})
		}, 7, refusedCutOff, false},
		{"document unconfirmed", func(g *Gateway) { g.subscription.confirmedAt = g.clock.Now().Add(-time.Minute) }, 7, refusedDocument, false},
		{"no capacity", func(g *Gateway) {
			for range 2 {
				g.intake.Admit(g.clock.Now(), 10)
			}
		}, 7, refusedBusy, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			tt.prepare(g)
			if got := g.admitOffer(wire.ForwardOffer{Version: tt.version, Bytes: 10}); got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
			if got := g.forwardProtocol() == forwarding.Protocol; got != tt.listed {
				t.Errorf("listed: %v, want %v", got, tt.listed)
			}
		})
	}
}

// TestForwardedOnce checks that a host never hands on a request that another one has handed to it.
func TestForwardedOnce(t *testing.T) {
	g := newTestGateway(t)
	g.peers.Set(g.clock.Now(), []wire.Forwarder{{Address: "127.0.0.1:1"}})
	g.reach.Begin(g.clock.Now())
	g.reach.Conclude(g.clock.Now(), reach.Round{Known: 60, Asked: 5, Elsewhere: 5})
	for _, forwarded := range []bool{false, true} {
		r := &callerRequest{gateway: g, forwarded: forwarded, unreachable: 1}
		if got := r.isCutOff() && r.mayAskOthers(); got == forwarded {
			t.Errorf("handed on: %v, for a request that was forwarded: %v", got, forwarded)
		}
	}
}

// TestRetryPaidOnce checks which retry budget a request spends that one host has sent and another sends again.
func TestRetryPaidOnce(t *testing.T) {
	tests := []struct {
		name string
		// cutOff and taking are the retries that the budgets of the two hosts allow.
		cutOff, taking float64
		sends          int
		paid, placed   bool
	}{
		{"not sent yet", 0, 0, 0, false, true},
		{"the host that is cut off pays", 1, 0, 1, true, true},
		{"the host that takes it pays", 0, 1, 1, false, true},
		{"both could", 1, 1, 1, true, true},
		{"no host can", 0, 0, 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			newRequest := func(retries float64) *callerRequest {
				g := newTestGateway(t)
				s := *g.settings()
				s.RetryRatio, s.RetryBurst = 0, retries/retryBudgetFraction
				g.current.Store(&s)
				g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Service: "plain", Slots: 4, Handle: 1}}, nil)
				return &callerRequest{
					gateway: g, exchange: &forwardedExchange{arrival: g.clock.Now()}, route: &catalogue.Route{MaxAttempts: 2, Objective: time.Second},
					service: &catalogue.Service{Name: "plain"}, deadline: g.clock.Now().Add(2 * time.Second), counted: true, sends: tt.sends, lastEventID: -1,
				}
			}
			from, to := newRequest(tt.cutOff), newRequest(tt.taking)
			from.payRetry(from.gateway.clock.Now())
			if from.retryPaid != tt.paid {
				t.Errorf("paid by the host that is cut off: %v, want %v", from.retryPaid, tt.paid)
			}
			to.retryPaid = from.retryPaid
			if _, got := to.reserve(to.gateway.clock.Now()); (got != nil) != tt.placed {
				t.Errorf("sent again: %v, want %v", got != nil, tt.placed)
			}
			if again := to.gateway.budget("plain").Spend(to.gateway.clock.Now(), tt.taking); again != (tt.taking > 0 && (tt.paid || tt.sends == 0)) {
				t.Errorf("the budget of the host that takes it allows another retry: %v", again)
			}
		})
	}
}

// TestLostResponseNotRunAgain guards against requests that are sent again although their caller has got a part of a response that
// nothing can follow.
func TestLostResponseNotRunAgain(t *testing.T) {
	tests := []struct {
		name    string
		kind    catalogue.RouteKind
		started bool
		want    bool
	}{
		{"idempotent, nothing passed on", catalogue.Idempotent, false, true},
		{"idempotent, begun", catalogue.Idempotent, true, false},
		{"stream, begun", catalogue.Streaming, true, true},
		{"may run once", catalogue.NonIdempotent, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &callerRequest{exchange: &forwardedExchange{started: tt.started}, route: &catalogue.Route{Kind: tt.kind, Resumable: true}}
			if got := r.canResume(); got != tt.want {
				t.Errorf("sent again: %v, want %v", got, tt.want)
			}
		})
	}
}

package gateway

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/wire"
)

// whereGateway has two services with two servers each: at one of them, a server sends no reports, at the other, one is leaving. Half of
// each pool is usable, so that the others are never drawn.
func whereGateway(t *testing.T) *Gateway {
	t.Helper()
	g := newTestGateway(t)
	g.mesh.SetTokens(peer.Tokens{Sent: "secret"})
	g.balancer.UpdateEndpoints(true, []wire.Endpoint{
		{ID: "i-1", Address: "127.0.0.1:1", Service: "s", Slots: 4, Born: 1, Handle: 1}, {ID: "i-2", Address: "127.0.0.1:2", Service: "s", Slots: 4, Born: 1, Handle: 2, Silent: true},
		{ID: "i-3", Address: "127.0.0.1:3", Service: "t", Slots: 4, Born: 1, Handle: 3}, {ID: "i-4", Address: "127.0.0.1:4", Service: "t", Slots: 4, Born: 1, Handle: 4},
	}, nil)
	g.balancer.RecordNotice(g.clock.Now(), "i-3", 1, placement.Notice{Leaving: true})
	c, err := catalogue.New(catalogue.Document{Version: 7, Services: []catalogue.Service{{Name: "s", HealthPath: "/healthz"}, {Name: "t", HealthPath: "/healthz"}, {Name: "none", HealthPath: "/healthz"}},
		Routes: []catalogue.Route{
			{Name: "r", Host: "x.example", Prefix: "/r/", Services: []catalogue.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second},
			{Name: "leaving", Host: "x.example", Prefix: "/leaving/", Services: []catalogue.WeightedService{{Service: "t", Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second},
			{Name: "empty", Host: "x.example", Prefix: "/empty/", Services: []catalogue.WeightedService{{Service: "none", Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second},
		},
		Organisations: []catalogue.Organisation{{Name: "o", Keys: []string{"k"}}}})
	if err != nil {
		t.Fatal(err)
	}
	g.catalogue.Store(c)
	return g
}

func TestWhere(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		query                   operator.WhereQuery
		verdict, server, reason string
		status                  int
	}{
		{"by path and key", operator.WhereQuery{Host: "x.example", Path: "/r/a", Key: "k"}, operator.VerdictSent, "i-1", "", 0},
		{"by names", operator.WhereQuery{Route: "r", Organisation: "o"}, operator.VerdictSent, "i-1", "", 0},
		{"beside a leaving server", operator.WhereQuery{Route: "leaving", Key: "k"}, operator.VerdictSent, "i-4", "", 0},
		{"unknown key", operator.WhereQuery{Route: "r", Key: "z"}, operator.VerdictRejected, "", "unknownKey", fasthttp.StatusUnauthorized},
		{"unknown path", operator.WhereQuery{Host: "x.example", Path: "/z", Key: "k"}, operator.VerdictRejected, "", "noRoute", fasthttp.StatusNotFound},
		{"no time for an attempt", operator.WhereQuery{Route: "r", Key: "k", TimeoutMs: 20}, operator.VerdictRejected, "", "outOfTime", fasthttp.StatusServiceUnavailable},
		{"no server", operator.WhereQuery{Route: "empty", Key: "k"}, operator.VerdictRejected, "", string(placement.ReasonNoEndpoint), fasthttp.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := whereGateway(t)
			before := usageText(g)
			a, err := g.where(tt.query)
			if err != nil {
				t.Fatal(err)
			}
			if a.Verdict != tt.verdict || a.Server != tt.server || a.Reason != tt.reason || a.Status != tt.status || a.DocumentVersion != 7 {
				t.Errorf("got %+v", a)
			}
			if tt.verdict == operator.VerdictSent {
				want := map[string][]string{"i-1": nil, "i-2": {"sends no reports"}}
				if tt.server == "i-4" {
					want = map[string][]string{"i-3": {"leaving, or closed for a time"}, "i-4": nil}
				}
				got := map[string][]string{}
				for _, c := range a.Candidates {
					got[c.Server] = c.Excluded
				}
				if !reflect.DeepEqual(got, want) {
					t.Errorf("excluded %v, want %v", got, want)
				}
			}
			if after := usageText(g); after != before {
				t.Errorf("usage %s, want %s as before", after, before)
			}
		})
	}
	if _, err := whereGateway(t).where(operator.WhereQuery{Route: "z"}); err == nil {
		t.Error("an unknown route is accepted")
	}
}

// TestWhereForwards checks that the answer says when a request would be offered to other entry hosts.
func TestWhereForwards(t *testing.T) {
	unconfirmed := func(g *Gateway) { g.subscription.confirmedAt = g.clock.Now().Add(-time.Minute) }
	settled := func(g *Gateway) { g.subscription.startedAt = g.clock.Now().Add(-time.Minute) }
	withPeer := func(g *Gateway) { g.peers.Set(g.clock.Now(), []wire.Forwarder{{Address: "127.0.0.1:1"}}) }
	paths := func(r reach.Round) func(g *Gateway) {
		return func(g *Gateway) {
			g.reach.Begin(g.clock.Now())
			g.reach.Conclude(g.clock.Now(), r)
		}
	}
	lost, isolated := paths(reach.Round{Known: 60, Asked: 5, Elsewhere: 5}), paths(reach.Round{Known: 60, Asked: 60})
	for _, tt := range []struct {
		name    string
		prepare []func(g *Gateway)
		verdict string
		reason  string
	}{
		{"unconfirmed, with other hosts", []func(g *Gateway){unconfirmed, settled, withPeer}, operator.VerdictForwarded, "this host lacks a confirmed document"},
		{"unconfirmed, alone", []func(g *Gateway){unconfirmed, settled}, operator.VerdictRejected, "keysUnconfirmed"},
		{"unconfirmed and isolated", []func(g *Gateway){unconfirmed, settled, withPeer, isolated}, operator.VerdictRejected, "keysUnconfirmed"},
		{"unconfirmed, just started", []func(g *Gateway){unconfirmed, withPeer}, operator.VerdictWaits, "the host awaits the leader's first update"},
		{"cut off, with other hosts", []func(g *Gateway){lost, withPeer}, operator.VerdictForwarded, "this host reaches no servers"},
		{"cut off, alone", []func(g *Gateway){lost}, operator.VerdictRejected, "cutOff"},
		{"isolated", []func(g *Gateway){isolated, withPeer}, operator.VerdictRejected, "cutOff"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := whereGateway(t)
			for _, prepare := range tt.prepare {
				prepare(g)
			}
			if a, err := g.where(operator.WhereQuery{Route: "r", Key: "k"}); err != nil || a.Verdict != tt.verdict || a.Reason != tt.reason {
				t.Errorf("got %+v, error %v", a, err)
			}
		})
	}
}

// usageText returns what the gateway would report to the leader.
func usageText(g *Gateway) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprint(g.balancer.Usage(g.clock.Now()), len(g.demand), len(g.budgets))
}

// TestWhereNeedsToken checks that only callers with the token between daemons get an answer.
func TestWhereNeedsToken(t *testing.T) {
	g := whereGateway(t)
	for token, want := range map[string]int{
		"": fasthttp.StatusUnauthorized, "secret": fasthttp.StatusUnauthorized, peer.TokenDigest("secret"): fasthttp.StatusOK,
	} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
		ctx.Request.SetBodyString(`{"route":"r","key":"k"}`)
		g.handleWhere(ctx)
		if got := ctx.Response.StatusCode(); got != want {
			t.Errorf("token %q: status %d, want %d", token, got, want)
		}
	}
}

// TestWhereCountsPriorWait asks about a caller that states less than the others do, and so has waited elsewhere: its request is late, and
// gets only what others leave of a full pool. The questions themselves teach nothing.
func TestWhereCountsPriorWait(t *testing.T) {
	g := whereGateway(t)
	r, err := g.describe(g.clock.Now(), operator.WhereQuery{Route: "r", Key: "k", TimeoutMs: 800})
	if err != nil || r.resolve() != nil {
		t.Fatal(err)
	}
	for range 20 {
		g.waitEstimator.PriorWait("r", 2*time.Second)
	}
	for range 30 {
		a := operator.WhereAnswer{}
		g.explain(g.clock.Now(), r, &a)
		if r.priorWait != 1200*time.Millisecond {
			t.Fatalf("waited %v, want 1.2s", r.priorWait)
		}
	}
	if got := g.waitEstimator.PriorWait("r", 800*time.Millisecond); got != 1200*time.Millisecond {
		t.Errorf("waited %v after the questions, want 1.2s", got)
	}
}

package gateway

import (
	"context"
	"testing"
	"time"

	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
)

// TestHandedBackWhileInDoubt guards against requests of another host that use up their attempts at a host that is cut off as well and
// hasn't noticed it: after the first failure the next attempt waits for the round, as it does for this host's own callers.
func TestHandedBackWhileInDoubt(t *testing.T) {
	lost := reach.Round{Known: 60, Asked: 5, Elsewhere: 5}
	sound := reach.Round{Known: 60, Asked: 5, Reached: 5}
	for _, tt := range []struct {
		name string
		kind catalogue.RouteKind
		// before and sends are the attempts on arrival and now.
		before, sends int
		round         reach.Round
		want          handBackWay
	}{
		{"an attempt has failed, paths lost", catalogue.Idempotent, 0, 1, lost, handBackLost},
		{"an attempt has failed, paths sound", catalogue.Idempotent, 0, 1, sound, handBackNone},
		{"no attempt reached a server, paths lost", catalogue.NonIdempotent, 0, 0, lost, handBackNotRun},
		{"an attempt of the other host only", catalogue.Idempotent, 1, 1, lost, handBackNotRun},
		{"two attempts, of which the other host can't learn", catalogue.Idempotent, 0, 2, lost, handBackNone},
		{"may run once", catalogue.NonIdempotent, 0, 1, lost, handBackNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			doubt := make(chan struct{})
			g.doubt = doubt
			g.reach.Begin(g.clock.Now())
			r := &callerRequest{
				gateway: g, exchange: &forwardedExchange{arrival: g.clock.Now()}, route: &catalogue.Route{Kind: tt.kind, Resumable: true, MaxAttempts: 2},
				deadline: g.clock.Now().Add(time.Minute), forwarded: true, sendsBefore: tt.before, sends: tt.sends, unreachable: 1,
			}
			if way := r.handBack(); way != handBackNone {
				t.Errorf("handed back before the round has ended: %d", way)
			}
			go func() {
				g.mu.Lock()
				g.reach.Conclude(g.clock.Now(), tt.round)
				g.mu.Unlock()
				close(doubt)
			}()
			if got := r.awaitDoubt(context.Background()); got != (tt.want != handBackNone) {
				t.Errorf("another host must serve it: %v, want %v", got, !got)
			}
			if way := r.handBack(); way != tt.want {
				t.Errorf("handed back: %d, want %d", way, tt.want)
			}
		})
	}
}

package gateway

import (
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// applyEvacuations applies the evacuated data centres of a leader's update, unless newer ones are known here; the caller holds the
// gateway's mutex. They are kept for as long as the process runs, whoever leads.
func (g *Gateway) applyEvacuations(u wire.FleetUpdate) {
	old := g.evacuated.Load()
	next := old.Newer(u.Evacuations)
	if next == old {
		return
	}
	g.evacuated.Store(next)
	g.balancer.SetEvacuated(next)
	g.logEvacuations(u.Term, next)
}

func (g *Gateway) logEvacuations(term uint64, s *evacuation.Set) {
	g.log.Info().Str("event", "evacuationsInForce").Strs("dataCentres", s.Names()).Uint64("revision", s.Revision()).Uint64("term", term).
		Dur("confirmedFor", g.subscription.confirmationAge()).Msg("the evacuated data centres have changed")
}

// isEvacuationUnconfirmed reports whether a data centre may have been evacuated for longer than may pass until no request is sent there.
// Unlike what is checked as a request arrives, this holds for each of its attempts.
func (g *Gateway) isEvacuationUnconfirmed() bool {
	bound := instance.Milliseconds(g.settings().EvacuationMs)
	return bound > 0 && g.subscription.confirmationAge() > bound
}

// evacuationUnconfirmed is the decision for a request that is rejected for that reason.
func evacuationUnconfirmed() placement.Decision {
	return placement.Decision{Reason: placement.ReasonUnconfirmed, RetryAfter: jitteredRetryAfter()}
}

package gateway

import "savorywing.example/savorywing/process/reach"

// handBackWay is how a request of another host is handed back to it, which may ask a further host.
type handBackWay int

const (
	// handBackNone means that this host goes on.
	handBackNone handBackWay = iota
	// handBackNotRun states that no attempt was made here.
	handBackNotRun
	// handBackLost ends the connection, by which the other host counts a single attempt that may have run.
	handBackLost
)

// handBack returns how a request of another host is handed back, as this one is cut off as well. Its next attempt would be lost like
// the first. The other host can't learn of more than one attempt, so that after two this one goes on.
func (r *callerRequest) handBack() handBackWay {
	if !r.forwarded || r.gateway.pathState() == reach.Direct {
		return handBackNone
	}
	switch made := r.sends - r.sendsBefore; {
	case made == 0:
		return handBackNotRun
	case made <= 1 && r.canResume():
		return handBackLost
	}
	return handBackNone
}

func (r *callerRequest) endHandedBack(way handBackWay) {
	g := r.gateway
	g.telemetry.Count("requests", "result", "handedBack")
	g.logProblem("handedBack").Str("request", r.caller.AttemptID).Str("route", r.routeName()).Int("sends", r.sends).Stringer("paths", g.pathState()).
		Dur("after", g.clock.Now().Sub(r.exchange.Arrival())).Msg("handed a request back, since this host is cut off as well")
	if x, ok := r.exchange.(*forwardedExchange); ok && way == handBackNotRun {
		x.decline(refusedCutOff)
		return
	}
	r.exchange.Abort()
}

package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"savorywing.example/savorywing/process/placement"
)

// errSuperseded means that the caller gets the response of another attempt.
var errSuperseded = errors.New("another attempt has responded")

// attempt is one try to get a response from a server. It runs in a goroutine of its own: while its server makes no
// progress, another attempt may be made beside it, and the caller gets the response of the one that goes on first. A
// server that falls silent for a moment so costs its callers nothing, and one that hangs for good doesn't keep them.
type attempt struct {
	request     *callerRequest
	decision    placement.Decision
	reservation *placement.Reservation
	// number counts the attempts of the request, from 1.
	number int
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *stallWatch
	// lastEventID is the id of the last event that precedes what the server is to send; negative before the first.
	lastEventID int64
	// firstEventAt is when the attempt got its first event, or the header of a response without events; zero before.
	// survived reports whether its server is known to have survived the request.
	firstEventAt time.Time
	survived     bool
	// begunAt is when the server began the request, as far as known: when the first event arrived, or else when the request
	// was sent. A response without events may arrive long after its server began.
	begunAt time.Time
	// mayHaveRun reports whether the request was sent before the attempt was cancelled.
	mayHaveRun bool
	// end and result are how the attempt has ended.
	end    outcome
	result placement.Result
}

// race is the part of a request that its attempts share.
type race struct {
	// mu is held while something is sent to the caller.
	mu sync.Mutex
	// owner is the attempt whose response the caller gets; nil while it is open which one that is.
	owner *attempt
	// open are the attempts under way. Only the goroutine of the request changes it.
	open []*attempt
	// ended receives each attempt that has ended, and stalled those whose servers make no progress, again and again.
	ended, stalled chan *attempt
}

// begun returns the number of attempts that have ended or are under way.
func (r *callerRequest) begun() int { return r.sends + len(r.race.open) }

// begin begins an attempt. From then on it is open which attempt's response the caller gets.
func (r *callerRequest) begin(ctx context.Context, d placement.Decision, reservation *placement.Reservation) {
	q := &r.race
	if q.ended == nil {
		q.ended, q.stalled = make(chan *attempt, r.route.MaxAttempts+maxUnreachable), make(chan *attempt, 1)
	}
	r.excluded = append(r.excluded, d.ID)
	a := &attempt{request: r, decision: d, reservation: reservation, number: r.begun() + 1, begunAt: reservation.SentAt()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	q.mu.Lock()
	q.owner, q.open, a.lastEventID = nil, append(q.open, a), r.lastEventID
	q.mu.Unlock()
	if a.number > 1 {
		g := r.gateway
		g.telemetry.Count("requests", "result", "resent")
		g.logProblem("resent").Str("request", r.caller.AttemptID).Str("server", d.ID).Int("sends", a.number-1).Int("open", len(q.open)-1).
			Int64("delivered", a.lastEventID).Bool("mayHaveRun", r.mayHaveRun).Msg("sending a request again")
	}
	a.startWatch()
	go func() {
		a.end, a.result = a.run()
		a.watch.stop()
		a.cancel(nil)
		q.ended <- a
	}()
}

// awaitAttempts waits until the attempts under way have ended, makes others beside them, and reports whether another one is to
// follow.
func (r *callerRequest) awaitAttempts(ctx context.Context) bool {
	for {
		select {
		case a := <-r.race.ended:
			r.remove(a)
			switch {
			case a.end == outcomeDone || a.end == outcomeCallerGone:
				r.endOthers()
			case len(r.race.open) > 0:
				r.count(a)
				continue
			}
			return r.conclude(ctx, a)
		case a := <-r.race.stalled:
			r.hedge(ctx, a)
		}
	}
}

// hedge makes another attempt beside one whose server makes no progress, if there is another server and a retry budget for
// it. While no server at all is heard, another attempt would only wait as well, and take the place of another request.
func (r *callerRequest) hedge(ctx context.Context, a *attempt) {
	g := r.gateway
	if !a.isStalled() {
		return
	}
	g.doubtPaths()
	switch {
	case r.isCutOff() || (r.handBack() != handBackNone && r.begun() == r.sendsBefore+1):
		for _, a := range r.race.open {
			a.cancel(errStalled)
		}
		return
	case g.isInDoubt() && (r.forwarded || r.mayAskOthers()), r.begun() >= r.route.MaxAttempts, !g.hasHeard(g.clock.Now(), a.watch.timeout/2):
		return
	}
	if d, reservation := r.reserve(g.clock.Now()); reservation != nil {
		r.begin(ctx, d, reservation)
	}
}

// isStalled reports whether the attempt is under way without progress. Waiting for a slow caller is none of its server's.
func (a *attempt) isStalled() bool {
	q := &a.request.race
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.open, a) && a.watch.stalledFor(a.request.gateway.clock.Now()) >= a.watch.timeout
}

// remove removes an attempt that has ended.
func (r *callerRequest) remove(a *attempt) {
	g, q := r.gateway, &r.race
	q.mu.Lock()
	q.open = slices.DeleteFunc(q.open, func(other *attempt) bool { return other == a })
	q.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Finish(g.clock.Now(), a.reservation, a.result)
}

// endOthers ends the attempts that are still under way, and waits for that.
func (r *callerRequest) endOthers() {
	for _, a := range r.race.open {
		a.cancel(errSuperseded)
	}
	for len(r.race.open) > 0 {
		a := <-r.race.ended
		r.remove(a)
		r.count(a)
	}
}

// deliver calls send, which passes a part of the response on to the caller, unless the caller gets that of another attempt. The
// first part of a response ends all other attempts.
func (a *attempt) deliver(send func() error) error {
	q := &a.request.race
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.owner != nil && q.owner != a {
		return errSuperseded
	}
	q.owner = a
	for _, other := range q.open {
		if other != a {
			other.cancel(errSuperseded)
		}
	}
	return send()
}

// deliverFailed returns how an attempt ends of which a part could not be passed on.
func (a *attempt) deliverFailed(err error) (outcome, placement.Result) {
	if errors.Is(err, errSuperseded) {
		return a.supersede(true)
	}
	return outcomeCallerGone, placement.CallerGone
}

// supersede returns how an attempt ends while the caller gets another one's response. Its server has failed only if it
// made no progress.
func (a *attempt) supersede(isSent bool) (outcome, placement.Result) {
	switch {
	case !isSent:
		return outcomeUnsent, placement.CallerGone
	case a.watch.hasStalled.Load():
		return outcomeSuperseded, placement.Failed
	}
	return outcomeSuperseded, placement.CallerGone
}

// hasStarted reports whether the caller has got the beginning of a response.
func (r *callerRequest) hasStarted() bool {
	r.race.mu.Lock()
	defer r.race.mu.Unlock()
	return r.exchange.Started()
}

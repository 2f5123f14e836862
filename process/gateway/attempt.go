package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/version/catalogue"
)

const (
	// maxIdleNotRetryable is how long a pooled connection may have been idle to carry a request that can't be
	// retried: a connection that the server is about to close would leave the outcome unknown.
	maxIdleNotRetryable = 500 * time.Millisecond
	// maxIdleRetryable is the limit for retryable requests. It rarely applies, because servers usually state a
	// shorter idle timeout.
	maxIdleRetryable = 60 * time.Second
	// stallRecheckInterval is the time between two checks of an engine that makes no progress.
	stallRecheckInterval = 80 * time.Millisecond
	// plainStallFactor is the multiple of the route's objective after which a retryable request to a silent plain
	// server is sent elsewhere.
	plainStallFactor = 2.5
	// minAttemptTime is the minimum remaining time for another attempt.
	minAttemptTime = 60 * time.Millisecond
	// maxUnreachable bounds how many unreachable servers are tried for one request.
	maxUnreachable = 3
	// unsentRetryAfter is the Retry-After of a request that reached no server.
	unsentRetryAfter = 300 * time.Millisecond
)

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeDone means that the caller has its response, or that nothing more can be sent to it.
	outcomeDone outcome = iota
	// outcomeCallerGone means that the caller disconnected.
	outcomeCallerGone
	// outcomeNotRun means that the server has not run the request and never will.
	outcomeNotRun
	// outcomeUnsent means that no byte reached a server.
	outcomeUnsent
	// outcomeFailed means that the request may have run, without a complete response.
	outcomeFailed
	// outcomeSuperseded means that the caller gets the response of another attempt.
	outcomeSuperseded
)

// run makes attempts until the caller has a response or no further attempt is possible.
func (r *callerRequest) run(ctx context.Context) {
	for r.tryOnce(ctx) {
		continue
	}
}

// tryOnce makes the next attempt, while none is under way, and reports whether another one is to follow.
func (r *callerRequest) tryOnce(ctx context.Context) bool {
	if r.sends > 0 || r.unreachable > 0 {
		r.awaitDoubt(ctx)
	}
	if r.isCutOff() {
		return r.runForwarded(ctx)
	}
	if way := r.handBack(); way != handBackNone {
		r.endHandedBack(way)
		return false
	}
	now := r.gateway.clock.Now()
	d, reservation := r.reserve(now)
	if reservation == nil {
		if r.waitForCapacity(ctx, d) || r.awaitDoubt(ctx) {
			return true
		}
		if ctx.Err() != nil {
			r.endCancelled(ctx, "")
			return false
		}
		r.endUnplaced(ctx, now, d)
		return false
	}
	r.begin(ctx, d, reservation)
	return r.awaitAttempts(ctx)
}

// conclude handles the end of the only attempt under way, and reports whether another one is to follow.
func (r *callerRequest) conclude(ctx context.Context, a *attempt) bool {
	g := r.gateway
	r.count(a)
	switch a.end {
	case outcomeDone:
		return false
	case outcomeCallerGone:
		r.endCancelled(ctx, a.decision.ID)
		return false
	case outcomeUnsent:
		if r.unreachable >= maxUnreachable {
			r.endUnplaced(ctx, g.clock.Now(), placement.Decision{Reason: placement.ReasonNoEndpoint, RetryAfter: unsentRetryAfter})
			return false
		}
	case outcomeFailed:
		if !r.route.Retryable() {
			r.endUnserved(g.clock.Now(), placement.Decision{})
			return false
		}
	case outcomeNotRun, outcomeSuperseded:
	}
	if ctx.Err() != nil {
		r.endCancelled(ctx, a.decision.ID)
		return false
	}
	return true
}

// count counts an attempt that has ended.
func (r *callerRequest) count(a *attempt) {
	r.mayHaveRun = r.mayHaveRun || a.mayHaveRun || a.end == outcomeFailed
	switch a.end {
	case outcomeUnsent:
		r.unreachable++
	case outcomeNotRun, outcomeFailed, outcomeSuperseded:
		r.sends++
	case outcomeDone, outcomeCallerGone:
	}
}

// endCancelled ends a request whose context was cancelled. It still gets a response if the host stops; otherwise its connection
// has ended. The server is empty if the request was at none.
func (r *callerRequest) endCancelled(ctx context.Context, server string) {
	g := r.gateway
	cause := context.Cause(ctx)
	if errors.Is(cause, ingress.ErrStopping) {
		r.endUnserved(g.clock.Now(), placement.Decision{Reason: placement.ReasonStopping, RetryAfter: jitteredStopRetryAfter()})
		return
	}
	event, message := "callerGone", "the caller disconnected"
	if errors.Is(cause, ingress.ErrServerClosed) {
		event, message = "connectionClosed", "this host closed the connection of a request"
	}
	g.telemetry.Count("requests", "result", event)
	g.logProblem(event).Str("request", r.caller.AttemptID).Str("server", server).Bool("stopping", g.stopping.Load()).
		Dur("after", g.clock.Now().Sub(r.exchange.Arrival())).Msg(message)
}

// endUnplaced ends a request that can't be sent to a server, unless another entry host serves it.
func (r *callerRequest) endUnplaced(ctx context.Context, now time.Time, d placement.Decision) {
	if d.Reason.IsTransient() && r.handOver(ctx) {
		return
	}
	r.endUnserved(now, d)
}

// reserve picks the next endpoint and counts the request there. Without a reservation no attempt is possible
// now. The decision's reason is set if the balancer rejected the request, which may be placed after a later update.
func (r *callerRequest) reserve(now time.Time) (placement.Decision, *placement.Reservation) {
	g := r.gateway
	if g.isEvacuationUnconfirmed() {
		return evacuationUnconfirmed(), nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if retryAfter, blocked := g.observer.Blocked(now, r.identity); blocked {
		return placement.Decision{Reason: placement.ReasonQuarantined, RetryAfter: retryAfter}, nil
	}
	budget := g.budget(r.service.Name)
	if !r.counted {
		r.counted = true
		r.priorWait = g.waitEstimator.PriorWait(r.route.Name, r.caller.Timeout)
		if r.priorWait == 0 {
			// Demand of retrying callers was already counted with their first request.
			g.countDemand(r)
		}
		budget.RecordFirstSend(now)
		g.balancer.RecordDemand(r.placementRequest(now))
	}
	if r.deadline.Sub(now) < minAttemptTime || r.begun() >= r.route.MaxAttempts {
		return placement.Decision{}, nil
	}
	request := r.placementRequest(now)
	d := g.balancer.Pick(now, request)
	r.recordOverload(d)
	if d.Reason != placement.ReasonNone {
		return d, nil
	}
	if r.begun() > 0 && !r.retryPaid && !budget.Spend(now, g.retryBurst()) {
		g.telemetry.Count("refused", "reason", "retryBudget")
		return placement.Decision{}, nil
	}
	r.retryPaid = false
	g.observer.RecordSend(r.identity)
	return d, g.balancer.Start(now, d, request)
}

// retryBudgetFraction is the fraction of the shared retry budget that all entry hosts together plan to use.
const retryBudgetFraction = 0.8

func (g *Gateway) budget(service string) *retry.Window {
	b := g.budgets[service]
	if b == nil {
		span := time.Duration(g.settings().RetryWindowSeconds * float64(time.Second))
		b = retry.NewWindow(span, retryBudgetFraction*g.settings().RetryRatio)
		g.budgets[service] = b
	}
	return b
}

// retryBurst is this host's part of the retry burst, which is allowed beyond the retry ratio.
func (g *Gateway) retryBurst() float64 {
	return retryBudgetFraction * g.settings().RetryBurst / float64(g.balancer.EntryHosts())
}

// endUnserved sends the final response to a request that can't be served: status 504 or 502 if the request may have
// run, and 503 if it is certain that it has not. A response that has started is aborted instead.
func (r *callerRequest) endUnserved(now time.Time, d placement.Decision) {
	g := r.gateway
	if r.exchange.Started() {
		g.telemetry.Count("requests", "result", "brokenOff")
		g.logProblem("brokenOff").Str("request", r.caller.AttemptID).Str("route", r.routeName()).Int64("delivered", r.lastEventID).
			Int("sends", r.sends).Dur("after", now.Sub(r.exchange.Arrival())).Msg("aborted a response that could not be completed")
		r.exchange.Abort()
		return
	}
	late := r.deadline.Sub(now) < minAttemptTime
	if x, ok := r.exchange.(*forwardedExchange); ok && !r.mayHaveRun && r.unreachable > 0 && g.pathsInDoubt() {
		x.decline(refusedCutOff)
		return
	}
	switch {
	case r.mayHaveRun && late:
		r.refuse(fasthttp.StatusGatewayTimeout, "noAnswerInTime", 0)
	case r.mayHaveRun:
		r.refuse(fasthttp.StatusBadGateway, "answerLost", 0)
	case late:
		r.refuse(fasthttp.StatusServiceUnavailable, "outOfTime", 0)
	case d.Reason != placement.ReasonNone:
		r.refuse(fasthttp.StatusServiceUnavailable, string(d.Reason), d.RetryAfter)
	default:
		r.refuse(fasthttp.StatusServiceUnavailable, "shed", unsentRetryAfter)
	}
}

// run sends the request to the server and relays its response.
func (a *attempt) run() (outcome, placement.Result) {
	r, g := a.request, a.request.gateway
	call, err := a.engineCall()
	if err != nil {
		return a.fail(fmt.Errorf("%w: %w", engine.ErrNotSent, err))
	}
	endWait := g.startWait(a.decision.ID)
	response, err := g.engines.Do(a.ctx, call)
	endWait()
	if err != nil {
		return a.fail(err)
	}
	defer response.Close()
	g.recordAnswer(a.decision.ID)
	r.recordNotice(a.decision, response.Metadata)
	r.recordLimit(a.decision, a.reservation, response)
	switch {
	case response.Metadata.NotRun && response.Header.StatusCode() >= fasthttp.StatusBadRequest:
		return outcomeNotRun, r.handleNotRun(response, a.decision)
	case r.isStream(response):
		return a.relayEvents(response)
	}
	return a.relayBuffered(response)
}

// isStream reports whether a response is a stream of events that a server has made.
func (r *callerRequest) isStream(response *engine.Response) bool {
	return r.route.Kind == catalogue.Streaming && response.Metadata.Signed && !response.Metadata.NotRun && r.statesStream(&response.Header)
}

// statesStream reports whether a header is that of a stream of events. Servers may leave out the content type.
func (r *callerRequest) statesStream(h *fasthttp.ResponseHeader) bool {
	isStreaming := r.route != nil && r.route.Kind == catalogue.Streaming
	return h.StatusCode() == fasthttp.StatusOK && (isEventStream(h) || (isStreaming && len(h.ContentType()) == 0))
}

// recordNotice applies what a response states about its server. The leader is told with the next usage report, which
// is sent at once.
func (r *callerRequest) recordNotice(d placement.Decision, m savorywing.ResponseMetadata) {
	if m.InvalidClosedFor != "" {
		r.gateway.logInvalid("closedForInvalid", d.ID, m.InvalidClosedFor).Str("request", r.caller.AttemptID).Dur("used", m.ClosedFor).Msg("a backend server states an invalid time for which it is closed")
	}
	g := r.gateway
	if !m.Leaving && m.ClosedFor == 0 {
		return
	}
	g.mu.Lock()
	isNew := g.balancer.RecordNotice(g.clock.Now(), d.ID, d.Born, placement.Notice{Leaving: m.Leaving, ClosedFor: m.ClosedFor})
	g.mu.Unlock()
	if !isNew {
		return
	}
	g.telemetry.Count("server_notices", "kind", map[bool]string{true: "leaving", false: "closed"}[m.Leaving])
	g.logProblem("serverNotice").Str("request", r.caller.AttemptID).Str("server", d.ID).Bool("leaving", m.Leaving).Dur("closedFor", m.ClosedFor).
		Msg("a backend server wants no more requests from this host")
	if m.Leaving {
		g.subscription.wakeUp()
	}
}

// recordLimit applies what a response states about the requests that its server takes from all hosts together. A value that
// is no rate changes nothing, and neither does a response that may be another server's.
func (r *callerRequest) recordLimit(d placement.Decision, reservation *placement.Reservation, response *engine.Response) {
	m, g := response.Metadata, r.gateway
	if m.InvalidRequestLimit != "" {
		g.telemetry.Count("server_notices", "kind", "invalidLimit")
		g.logInvalid("serverLimitInvalid", d.ID, m.InvalidRequestLimit).Str("request", r.caller.AttemptID).
			Msg("a backend server states a request limit that is no rate")
		return
	}
	isServers := m.Limited || m.Signed || m.NotRun
	if !isServers || response.Header.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	g.mu.Lock()
	urgent := g.balancer.RecordResponse(g.clock.Now(), quota.Response{
		Server: d.ID, Born: d.Born, SentAt: reservation.SentAt(), Limited: m.Limited, PerSecond: m.RequestLimit,
	})
	g.mu.Unlock()
	if !urgent {
		return
	}
	g.telemetry.Count("server_notices", "kind", "limit")
	g.logProblem("serverLimit").Str("request", r.caller.AttemptID).Str("server", d.ID).Bool("limited", m.Limited).Float64("perSecond", m.RequestLimit).
		Int("load", d.Load).Msg("a backend server's request limit has begun, ended or decreased")
	g.subscription.wakeUp()
}

// mayStillSend reports whether the server of a reservation still accepts requests from this host, and a permit that it needs is
// still valid.
func (g *Gateway) mayStillSend(reservation *placement.Reservation) bool {
	if g.isEvacuationUnconfirmed() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.MaySend(g.clock.Now(), reservation)
}

func (a *attempt) engineCall() (engine.Call, error) {
	r, d, g := a.request, a.decision, a.request.gateway
	now := g.clock.Now()
	h := &fasthttp.RequestHeader{}
	httpRequest(r).Header.CopyTo(h)
	h.SetNoDefaultContentType(true)
	err := g.dialect.WriteBackendMetadata(h, savorywing.BackendMetadata{
		RemainingTime: r.deadline.Sub(now), Server: d.ID, Organisation: r.organisation, LastEventID: a.lastEventID, Priority: r.priority,
	})
	if err != nil {
		return engine.Call{}, fmt.Errorf("attempt.engineCall: %w", err)
	}
	body := httpRequest(r).Body()
	if len(body) > 0 || !h.IsGet() {
		h.SetContentLength(len(body))
	}
	idle := maxIdleRetryable
	if !r.route.Retryable() {
		idle = maxIdleNotRetryable
	}
	return engine.Call{Address: d.Address, Header: h, Body: body, AttemptID: r.caller.AttemptID, MaxIdle: idle, HeaderDeadline: r.deadline,
		MaxPooled: maxPooled(r.service.MaxConnections, int(g.subscription.entryHosts.Load())),
		Confirm:   func() bool { return g.mayStillSend(a.reservation) }}, nil
}

// maxPooled returns this host's part of the connections that a server accepts from all hosts together; 0 if it states no
// number.
func maxPooled(maxConnections, entryHosts int) int {
	if maxConnections <= 0 {
		return 0
	}
	return max(1, maxConnections/max(1, entryHosts))
}

// fail returns how an attempt ends after an error.
func (a *attempt) fail(err error) (outcome, placement.Result) {
	r, d, g := a.request, a.decision, a.request.gateway
	cause := context.Cause(a.ctx)
	stalled := errors.Is(cause, errStalled)
	isSent := !errors.Is(err, engine.ErrNotSent)
	switch {
	case errors.Is(cause, errSuperseded) || errors.Is(err, errSuperseded):
		return a.supersede(isSent)
	case a.ctx.Err() != nil && !stalled:
		a.mayHaveRun = isSent
		return outcomeCallerGone, placement.CallerGone
	}
	g.telemetry.Count("requests", "result", "attemptFailed")
	g.logProblem("attemptFailed").Str("request", r.caller.AttemptID).Str("server", d.ID).Bool("stalled", stalled).
		Str("organisation", r.organisation).Strs("parts", partNames(r.caller.SharedParts)).Str("digest", strconv.FormatUint(r.identity.Digest, 16)).Int64("delivered", a.lastEventID).
		Int("load", d.Load).Int("slots", d.Slots).Dur("after", g.clock.Now().Sub(r.exchange.Arrival())).Err(err).Msg("an attempt failed")
	if errors.Is(err, engine.ErrWithheld) {
		return outcomeUnsent, placement.Shed
	}
	if stalled || isPathFailure(err) {
		g.doubtPaths()
	}
	if !isSent {
		// This is proof that the request hasn't run, also if the attempt was cancelled while it dialled.
		g.engines.CloseIdle(d.Address)
		return outcomeUnsent, placement.Unreachable
	}
	if !stalled {
		a.recordLoss(err)
	}
	return outcomeFailed, placement.Failed
}

// handleNotRun handles a server's proof that it has not run the request.
func (r *callerRequest) handleNotRun(response *engine.Response, d placement.Decision) placement.Result {
	err := response.Drain()
	g := r.gateway
	g.telemetry.Count("requests", "result", "notRun")
	g.logProblem("notRun").Str("request", r.caller.AttemptID).Str("server", d.ID).Int("status", response.Header.StatusCode()).
		Str("culprit", response.Metadata.FaultyServer).Int("load", d.Load).Int("slots", d.Slots).AnErr("body", err).Msg("the backend server did not run the request")
	if response.Header.StatusCode() == fasthttp.StatusMisdirectedRequest || (response.Metadata.FaultyServer != "" && response.Metadata.FaultyServer != d.Address) {
		return placement.WrongServer
	}
	return placement.Shed
}

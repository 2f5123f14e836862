package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/quarantine"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/version/residency"
)

// updateRetryAfter is the minimum Retry-After from a host that lacks the leader's latest update. An election and a
// new connection take about as long. Jitter keeps callers from retrying at the same moment.
const updateRetryAfter = 1 * time.Second

// stopRetryAfter is the mean Retry-After from a host that stops. Other hosts can serve the request at once; jitter keeps callers
// from reaching them at the same moment.
const stopRetryAfter = 100 * time.Millisecond

func jitteredStopRetryAfter() time.Duration { return rand.N(2 * stopRetryAfter) }

func jitteredRetryAfter() time.Duration { return updateRetryAfter + rand.N(updateRetryAfter) }

// callerRequest is one caller's request while it is served.
type callerRequest struct {
	gateway  *Gateway
	exchange savorywing.Exchange
	caller   savorywing.CallerMetadata
	route    *catalogue.Route
	service  *catalogue.Service
	// organisation is empty for public routes.
	organisation string
	priority     int
	// area is where the request may be handled.
	area residency.Area
	// deadline is the end of the caller's timeout or of the route's, whichever is first.
	deadline time.Time
	// waitUntil is until when the request may wait for updates from the leader.
	waitUntil time.Time
	// permitUntil is until when the request may wait for a permit; zero until it first waits for one.
	permitUntil time.Time
	prefillTime time.Duration
	// priorWait is how long the caller waited before this request, as far as known.
	priorWait time.Duration
	excluded  []string
	// forwarded reports whether another entry host has received the request, and receivedBy its peer address.
	forwarded bool
	// sendsBefore is the number of attempts that other hosts had made when this one got the request.
	sendsBefore int
	receivedBy  string
	// unreachable counts the servers to which the request could not be sent.
	unreachable int
	sends       int
	// counted is set at the first reserve, which counts the request in the retry budget and, unless the caller is
	// retrying, as demand.
	counted bool
	// retryPaid is set once a retry budget has been spent for the next attempt, which the host that makes it then doesn't do.
	retryPaid bool
	// lastEventID is the id of the last event that the caller has, also from an earlier request that it resumes; negative before
	// the first.
	lastEventID int64
	// firstEvent is the time to the first event, and longestGap the longest pause between two events; 0 without
	// events.
	firstEvent, longestGap time.Duration
	// identity is what the request may have in common with others.
	identity quarantine.Identity
	// mayHaveRun is set once an attempt may have run and its response was lost.
	mayHaveRun bool
	// race has the attempts that are under way.
	race race
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, x savorywing.Exchange) {
	g.serve(ctx, g.newRequest(x))
}

// Reject implements ingress.Handler.
func (g *Gateway) Reject(x savorywing.Exchange) {
	g.newRequest(x).refuse(fasthttp.StatusServiceUnavailable, string(placement.ReasonStopping), jitteredStopRetryAfter())
}

func (g *Gateway) newRequest(x savorywing.Exchange) *callerRequest {
	r := &callerRequest{gateway: g, exchange: x, caller: g.dialect.ReadCallerMetadata(&x.HTTPRequest().Header), lastEventID: -1}
	timeout := fallbackTimeout
	r.waitUntil = x.Arrival().Add(maxUpdateWait)
	if r.caller.Timeout > 0 {
		timeout = r.caller.Timeout
		r.waitUntil = x.Arrival().Add(min(maxUpdateWait, time.Duration(updateWaitFraction*float64(r.caller.Timeout))))
	}
	r.deadline = x.Arrival().Add(timeout)
	return r
}

func (g *Gateway) serve(ctx context.Context, r *callerRequest) {
	for g.lacksUpdate() && r.waitForChange(ctx) {
		continue
	}
	if ctx.Err() != nil {
		r.endCancelled(ctx, "")
		return
	}
	if g.lacksUpdate() && r.mayAskOthers() {
		// The other host finds the route and checks the key, with a document that it can confirm.
		if err := r.forward(ctx); !errors.Is(err, errNoForwarder) {
			r.endForwarded(ctx, err)
			return
		}
	}
	if r.admit() {
		r.run(ctx)
	}
}

const (
	// maxUpdateWait bounds how long a request waits for state that a host lacks when it has just started or found
	// a new leader. A leader is found within about a second.
	maxUpdateWait = 1500 * time.Millisecond
	// updateWaitFraction is the fraction of the caller's timeout for which the request may wait for such state.
	updateWaitFraction = 0.2
)

// waitForChange waits for the next update of the leader, as long as the request may wait for one and one is
// likely. It reports whether an update was applied; the request is then tried again.
func (r *callerRequest) waitForChange(ctx context.Context) bool {
	l := r.gateway.subscription
	now := r.gateway.clock.Now()
	remaining := r.waitUntil.Sub(now)
	if remaining <= 0 || !l.isSettling(now) {
		return false
	}
	return awaitUpdate(ctx, l.changes(), remaining)
}

// awaitUpdate waits until updated is closed, and reports whether it was in time.
func awaitUpdate(ctx context.Context, updated <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-updated:
		return true
	}
}

// waitForCapacity waits for what may let a rejected request be placed after all, and reports whether it is to be tried again.
func (r *callerRequest) waitForCapacity(ctx context.Context, d placement.Decision) bool {
	return (d.AwaitPermit && r.waitForPermit(ctx)) || (d.Reason.IsTransient() && r.waitForChange(ctx))
}

// permitWaitFraction is the fraction of the objective for which a request may wait for a permit, and maxPermitWait bounds that
// time.
const (
	permitWaitFraction = 0.25
	maxPermitWait      = 150 * time.Millisecond
)

// waitForPermit asks the leader for a permit and waits for its next update. It reports whether one was applied in time.
func (r *callerRequest) waitForPermit(ctx context.Context) bool {
	g := r.gateway
	now := g.clock.Now()
	if r.permitUntil.IsZero() {
		r.permitUntil = now.Add(min(maxPermitWait, time.Duration(permitWaitFraction*float64(r.route.Objective))))
	}
	request := r.placementRequest(now)
	changed := g.subscription.changes()
	g.mu.Lock()
	g.balancer.Await(request, 1)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.balancer.Await(request, -1)
		g.mu.Unlock()
	}()
	g.subscription.wakeUp()
	return awaitUpdate(ctx, changed, r.permitUntil.Sub(now))
}

// lacksUpdate reports whether the host lacks an update of the leader without which it handles no request.
func (g *Gateway) lacksUpdate() bool {
	c := g.catalogue.Load()
	return c == nil || g.unconfirmed(c, g.subscription.confirmationAge()) != ""
}

// logProblem begins a log line about a rejected, retried or failed request. It returns nil if there were too many
// such lines in this second.
func (g *Gateway) logProblem(event string) *zerolog.Event {
	if !g.problemLines.allow(g.clock.Now()) {
		g.telemetry.Count("log_lines_omitted", "event", event)
		return nil
	}
	return g.log.Info().Str("event", event)
}

// logInvalid is logProblem for a value that a server states with each response: it is logged once for each server.
func (g *Gateway) logInvalid(event, server, value string) *zerolog.Event {
	allowed, omitted := g.invalidValues.Allow(event + " " + server)
	if !allowed {
		return nil
	}
	return g.logProblem(event).Str("server", server).Str("value", fmt.Sprintf("%.100s", value)).Uint64("omitted", omitted)
}

// refuse responds to the caller with an error, and counts and logs it.
func (r *callerRequest) refuse(status int, reason string, retryAfter time.Duration) {
	g := r.gateway
	g.telemetry.Count("refused", "reason", reason)
	e := g.logProblem("refused").Str("request", r.caller.AttemptID).Int("status", status).Str("reason", reason).
		Dur("after", g.clock.Now().Sub(r.exchange.Arrival())).Dur("retryAfter", retryAfter).Int("sends", r.sends).
		Dur("viewAge", g.subscription.confirmationAge()).Dur("priorWait", r.priorWait)
	if r.route != nil {
		e = e.Str("route", r.route.Name).Str("model", r.caller.Model)
	}
	e.Msg("rejected a request")
	r.exchange.WriteError(savorywing.ErrorResponse{Status: status, Reason: reason, RetryAfter: retryAfter, SetHeaders: func(h *fasthttp.ResponseHeader) {
		g.dialect.WriteErrorHeaders(h, r.caller.AttemptID)
	}})
}

// recordOverload counts the requests of callers that have returned and those that others come before, and logs the beginning of an overload.
func (r *callerRequest) recordOverload(d placement.Decision) {
	g := r.gateway
	if r.priorWait > 0 && r.begun() == 0 {
		g.telemetry.Count("returned", "result", map[bool]string{true: "placed", false: "notPlaced"}[d.Reason == placement.ReasonNone])
	}
	if d.Yielded {
		g.telemetry.Count("yielded", "priority", strconv.Itoa(r.priority))
	}
	if d.OverloadBegan {
		g.log.Info().Str("event", "poolOverloaded").Str("service", r.service.Name).Str("model", r.caller.Model).Int("load", d.Load).Int("slots", d.Slots).
			Int("hosts", g.balancer.EntryHosts()).Dur("viewAge", g.subscription.confirmationAge()).Msg("requests that could be in time are rejected for want of free slots")
	}
}

// unconfirmed returns the reason for which requests can't be handled by a document that was last confirmed as the newest
// an age ago, or an empty string. A newer one may have changed any route or key since.
func (g *Gateway) unconfirmed(c *catalogue.Catalogue, age time.Duration) string {
	s := g.settings()
	switch {
	case c.RequiresKey() && age > instance.Milliseconds(s.KeyRevocationMs):
		return "keysUnconfirmed"
	case age > instance.Milliseconds(s.ConfigPropagationMs):
		return "documentUnconfirmed"
	case s.EvacuationMs > 0 && age > instance.Milliseconds(s.EvacuationMs):
		return "evacuationUnconfirmed"
	}
	return ""
}

// admit finds the request's route and organisation, and rejects the request if there is none.
func (r *callerRequest) admit() bool {
	if rejected := r.resolve(); rejected != nil {
		r.refuse(rejected.status, rejected.reason, rejected.retryAfter)
		return false
	}
	return true
}

// refusal is the final response to a request for which there is no route, key or document.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// resolve finds the request's route and organisation, and what follows from them. It returns why the request must be rejected, or nil.
func (r *callerRequest) resolve() *refusal {
	g := r.gateway
	c := g.catalogue.Load()
	age := g.subscription.confirmationAge()
	if c == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, "noDocument", jitteredRetryAfter()}
	}
	if reason := g.unconfirmed(c, age); reason != "" {
		return &refusal{fasthttp.StatusServiceUnavailable, reason, jitteredRetryAfter()}
	}
	uri := httpRequest(r).URI()
	r.route = c.Route(string(httpRequest(r).Header.Host()), string(uri.PathOriginal()))
	if r.route == nil {
		return &refusal{fasthttp.StatusNotFound, "noRoute", 0}
	}
	if c.RequiresKey() && !r.route.Public {
		o := c.Organisation(r.caller.APIKey)
		if o == nil {
			return &refusal{fasthttp.StatusUnauthorized, "unknownKey", 0}
		}
		r.organisation = o.Name
		r.priority = priority(o, r.route)
		r.area = g.settings().Regions.Within(r.route.Regions, o.Regions)
	} else {
		r.priority = priority(nil, r.route)
		r.area = g.settings().Regions.Within(r.route.Regions)
	}
	r.service = c.Service(r.route.PickService(rand.Float64()))
	if r.lastEventID < 0 && r.route.Kind == catalogue.Streaming && r.route.Resumable {
		r.lastEventID = r.caller.LastEventID
	}
	h := &httpRequest(r).Header
	r.identity = quarantine.Identity{
		Service: r.service.Name, Organisation: r.organisation, Digest: quarantine.Digest(h.Method(), h.RequestURI(), httpRequest(r).Body()),
	}
	timeout := r.route.Timeout
	if r.caller.Timeout > 0 {
		timeout = min(timeout, r.caller.Timeout)
	}
	r.deadline = r.exchange.Arrival().Add(timeout)
	if e := r.service.Engine; e != nil {
		r.caller.PromptTokens = boundTokens(r.caller.PromptTokens, e)
		r.caller.MaxOutputTokens = boundTokens(r.caller.MaxOutputTokens, e)
		r.caller.ExpectedOutputTokens = boundTokens(r.caller.ExpectedOutputTokens, e)
		r.identity.Parts = partIDs(r.caller.SharedParts)
	}
	if e := r.service.Engine; e != nil && e.PrefillRate > 0 {
		r.prefillTime = time.Duration(float64(r.caller.PromptTokens)/e.PrefillRate*float64(time.Second)) + e.StepTime
	}
	return nil
}

// boundTokens bounds a stated number of tokens by what a group can hold, so that no caller can raise the demand that is
// planned for without limit.
func boundTokens(n int, e *catalogue.Engine) int {
	if e.KVTokens <= 0 {
		return n
	}
	return min(n, e.KVTokens)
}

func httpRequest(r *callerRequest) *fasthttp.Request { return r.exchange.HTTPRequest() }

const (
	// priorityLevels is the number of priorities that backend servers distinguish.
	priorityLevels = 10
	// levelsPerOrganisationPriority is how many of them each priority of an organisation has, for the priorities of
	// routes.
	levelsPerOrganisationPriority = 3
	// defaultOrganisationPriority applies to organisations without a priority.
	defaultOrganisationPriority = 1
)

// priority orders requests by their organisation first and their route second; 0 is the highest.
func priority(o *catalogue.Organisation, r *catalogue.Route) int {
	organisationPriority := defaultOrganisationPriority
	if o != nil && o.HasPriority {
		organisationPriority = o.Priority
	}
	return min(priorityLevels-1, max(0, organisationPriority)*levelsPerOrganisationPriority+min(max(0, r.Priority), levelsPerOrganisationPriority-1))
}

func (r *callerRequest) placementRequest(now time.Time) placement.Request {
	request := placement.Request{
		Service: r.service.Name, PromptTokens: r.caller.PromptTokens, Objective: r.route.Objective, MaxEventGap: r.route.GapObjective,
		Elapsed: now.Sub(r.exchange.Arrival()) + r.priorWait, Remaining: r.deadline.Sub(now), Area: r.area, Excluded: r.excluded, Retry: r.begun() > 0,
		Priority: r.priority, Organisation: r.organisation,
	}
	if e := r.service.Engine; e != nil {
		request.Model = r.caller.Model
		request.MemoryTokens, request.GroupTokens = r.memoryTokens(e), e.KVTokens
		request.Engine = &placement.EngineProfile{ChunkTokens: e.PrefillChunk, PrefillRate: e.PrefillRate, StepsPerPass: e.StepsPerPass, StepTime: e.StepTime, StepTimePerRequest: e.TimePerRequest, TimeFactor: 1}
		if m := e.Model(request.Model); m != nil {
			request.Engine.TimeFactor = m.TimeFactor
		}
	}
	return request
}

// memoryTokens returns the most that the request needs of a group's memory. Without a stated bound on its output, that is the usual one.
func (r *callerRequest) memoryTokens(e *catalogue.Engine) int {
	output := r.caller.MaxOutputTokens
	if output <= 0 {
		output = int(e.MeanOutputTokens)
	}
	return boundTokens(r.caller.PromptTokens+output, e)
}

// workMs estimates how long the request occupies a slot of a group at time factor 1, in milliseconds. While a
// prompt is prefilled, the requests in all slots wait.
func (r *callerRequest) workMs() uint64 {
	e := r.service.Engine
	outputTokens := r.caller.MaxOutputTokens
	if r.caller.ExpectedOutputTokens > 0 {
		outputTokens = r.caller.ExpectedOutputTokens
	}
	stepTime := e.StepTime + e.TimePerRequest*time.Duration(e.Slots)
	return uint64((r.prefillTime*time.Duration(e.Slots) + stepTime*time.Duration(outputTokens)).Milliseconds())
}

func (g *Gateway) countDemand(r *callerRequest) {
	if r.service.Engine == nil || r.caller.Model == "" {
		return
	}
	d := g.demand[r.caller.Model]
	if d == nil {
		d = &demand{}
		g.demand[r.caller.Model] = d
	}
	d.requests++
	d.workMs += r.workMs()
}

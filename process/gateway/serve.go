package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
)

// returnSoon is when a caller is asked to come back to a host that lacks the leader's word: an election and
// a connection take about as long. It is spread, so that callers don't come back together.
const returnSoon = 1 * time.Second

func soon() time.Duration { return returnSoon + rand.N(returnSoon) }

// job is one caller's request on its way.
type job struct {
	gateway *Gateway
	x       *ingress.Exchange
	caller  savorywing.CallerMetadata
	route   *catalogue.Route
	service *catalogue.Service
	// organisation is empty for public routes.
	organisation string
	urgency      int
	// deadline ends the caller's patience or the route's timeout, whichever is first.
	deadline time.Time
	// holdUntil is until when the request may wait for the host to learn what there is.
	holdUntil time.Time
	reading   time.Duration
	// waited is how long the caller has waited before this request, as far as it is known.
	waited time.Duration
	tried  []string
	sends  int
	// counted tells that the request was counted as work asked for.
	counted bool
	// delivered is the id of the last event sent to the caller; negative before the first.
	delivered int64
	// first is the time to the first event, and longestGap the longest pause between two; 0 without events.
	first, longestGap time.Duration
	// lost tells that an attempt may have run without its answer coming back.
	lost bool
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(ctx context.Context, x *ingress.Exchange) {
	if g.dialect.IsReadyCheck(&x.Request.Header) {
		g.answerReady(x)
		return
	}
	j := &job{gateway: g, x: x, caller: g.dialect.ReadCallerMetadata(&x.Request.Header), delivered: -1}
	j.holdUntil = x.Arrival().Add(longestHold)
	if j.caller.Timeout > 0 {
		j.holdUntil = x.Arrival().Add(min(longestHold, time.Duration(holdPart*float64(j.caller.Timeout))))
	}
	for g.lacksWord(j) && j.hold(ctx) {
		continue
	}
	if ctx.Err() != nil || !j.admit() {
		return
	}
	j.run(ctx)
}

const (
	// longestHold bounds how long a request waits for what a host that has just started, or has just found a
	// new leader, does not know yet; a leader is there within about a second.
	longestHold = 1500 * time.Millisecond
	// holdPart of the caller's patience is the most that it waits so.
	holdPart = 0.2
)

// hold waits for the next change of the view, as long as the request may wait for one and one is likely. It
// tells whether it is worth looking again.
func (j *job) hold(ctx context.Context) bool {
	v := j.gateway.view
	now := j.gateway.clock.Now()
	left := j.holdUntil.Sub(now)
	if left <= 0 || !v.isSettling(now) {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-v.changes():
		return true
	}
}

// lacksWord tells whether the host lacks the leader's word that a request needs.
func (g *Gateway) lacksWord(j *job) bool {
	c := g.catalog.Load()
	if c == nil {
		return true
	}
	return c.RequiresKey() && j.caller.APIKey != "" && g.view.age() > instance.Milliseconds(g.settings().KeyRevocationMs)
}

func (g *Gateway) answerReady(x *ingress.Exchange) {
	if g.isReady() {
		x.WriteError(ingress.ErrorResponse{Status: fasthttp.StatusOK, Reason: "ready"})
		return
	}
	x.WriteError(ingress.ErrorResponse{Status: fasthttp.StatusServiceUnavailable, Reason: "not ready"})
}

// trouble begins a log line about a request that did not go smoothly, unless there are too many of them.
func (g *Gateway) trouble(event string) *zerolog.Event {
	if !g.troubled.allow(g.clock.Now()) {
		g.telemetry.Count("log_lines_omitted", "event", event)
		return nil
	}
	return g.log.Info().Str("event", event)
}

// refuse answers a request that has not run and never will.
func (j *job) refuse(status int, reason string, retryAfter time.Duration) {
	g := j.gateway
	g.telemetry.Count("refused", "reason", reason)
	e := g.trouble("refused").Str("request", j.caller.AttemptID).Int("status", status).Str("reason", reason).
		Dur("after", g.clock.Now().Sub(j.x.Arrival())).Dur("retryAfter", retryAfter).Int("sends", j.sends).
		Dur("viewAge", g.view.age())
	if j.route != nil {
		e = e.Str("route", j.route.Name).Str("model", j.caller.Model)
	}
	e.Msg("")
	j.x.WriteError(ingress.ErrorResponse{Status: status, Reason: reason, RetryAfter: retryAfter, SetHeaders: func(h *fasthttp.ResponseHeader) {
		g.dialect.WriteErrorHeaders(h, j.caller.AttemptID)
	}})
}

// admit finds the request's route and organisation, and refuses it if that can't be done.
func (j *job) admit() bool {
	g := j.gateway
	c := g.catalog.Load()
	age := g.view.age()
	if c == nil {
		j.refuse(fasthttp.StatusServiceUnavailable, "noDocument", soon())
		return false
	}
	// A refusal for good is only true while the document is known to be the newest.
	unsure := age > instance.Milliseconds(g.settings().ConfigPropagationMs)
	uri := x(j).URI()
	j.route = c.Route(string(x(j).Header.Host()), string(uri.PathOriginal()))
	if j.route == nil {
		j.refuseForGood(unsure, fasthttp.StatusNotFound, "noRoute")
		return false
	}
	if c.RequiresKey() && !j.route.Public {
		if age > instance.Milliseconds(g.settings().KeyRevocationMs) {
			j.refuse(fasthttp.StatusServiceUnavailable, "keysUnconfirmed", soon())
			return false
		}
		o := c.Organisation(j.caller.APIKey)
		if o == nil {
			j.refuseForGood(unsure, fasthttp.StatusUnauthorized, "unknownKey")
			return false
		}
		j.organisation = o.Name
		j.urgency = urgency(o, j.route)
	} else {
		j.urgency = urgency(nil, j.route)
	}
	j.service = c.Service(j.route.PickService(rand.Float64()))
	patience := j.route.Timeout
	if j.caller.Timeout > 0 {
		patience = min(patience, j.caller.Timeout)
	}
	j.deadline = j.x.Arrival().Add(patience)
	if e := j.service.Engine; e != nil && e.PrefillRate > 0 {
		j.reading = time.Duration(float64(j.caller.PromptTokens)/e.PrefillRate*float64(time.Second)) + e.StepTime
	}
	return true
}

func x(j *job) *fasthttp.Request { return &j.x.Request }

func (j *job) refuseForGood(unsure bool, status int, reason string) {
	if unsure {
		j.refuse(fasthttp.StatusServiceUnavailable, reason+"Unconfirmed", soon())
		return
	}
	j.refuse(status, reason, 0)
}

const (
	// urgencySteps is the number of urgencies that backend servers tell apart.
	urgencySteps = 10
	// routeSteps is how many of them lie within one rank of organisations.
	routeSteps = 3
	// middleRank stands for organisations without a rank.
	middleRank = 1
)

// urgency ranks a request by its organisation first and its route second; 0 is the most urgent.
func urgency(o *catalogue.Organisation, r *catalogue.Route) int {
	rank := middleRank
	if o != nil && o.HasPriority {
		rank = o.Priority
	}
	return min(urgencySteps-1, max(0, rank)*routeSteps+min(max(0, r.Priority), routeSteps-1))
}

func (j *job) want(now time.Time) placement.Request {
	w := placement.Request{
		Service: j.service.Name, PromptTokens: j.caller.PromptTokens, Objective: j.route.Objective, MaxEventGap: j.route.GapObjective,
		Elapsed: now.Sub(j.x.Arrival()) + j.waited, Remaining: j.deadline.Sub(now), Excluded: j.tried, Retry: j.sends > 0,
	}
	if e := j.service.Engine; e != nil {
		w.Model = j.caller.Model
		w.Engine = &placement.EngineProfile{ChunkTokens: e.PrefillChunk, PrefillRate: e.PrefillRate, StepsPerPass: e.StepsPerPass, StepTime: e.StepTime, StepTimePerRequest: e.TimePerRequest, TimeFactor: 1}
		if m := e.Model(w.Model); m != nil {
			w.Engine.TimeFactor = m.TimeFactor
		}
	}
	return w
}

// workMs estimates how long the request keeps a slot of a group at pace 1. While a prompt is read, the
// requests in all slots wait.
func (j *job) workMs() uint64 {
	e := j.service.Engine
	answer := j.caller.MaxOutputTokens
	if j.caller.ExpectedOutputTokens > 0 {
		answer = j.caller.ExpectedOutputTokens
	}
	step := e.StepTime + e.TimePerRequest*time.Duration(e.Slots)
	return uint64((j.reading*time.Duration(e.Slots) + step*time.Duration(answer)).Milliseconds())
}

func (g *Gateway) countDemand(j *job) {
	if j.service.Engine == nil || j.caller.Model == "" {
		return
	}
	d := g.demand[j.caller.Model]
	if d == nil {
		d = &demand{}
		g.demand[j.caller.Model] = d
	}
	d.requests++
	d.workMs += j.workMs()
}

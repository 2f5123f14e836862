package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
)

// handleWhere answers an operator's question where a request would go.
func (g *Gateway) handleWhere(ctx *fasthttp.RequestCtx) {
	if token, found := operator.BearerToken(ctx); !found || !g.mesh.AcceptsDigest(token) {
		operator.Reply(ctx, fasthttp.StatusUnauthorized, operator.ErrorBody{Error: "the token between daemons is missing or wrong"})
		return
	}
	var q operator.WhereQuery
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
		operator.Reply(ctx, fasthttp.StatusBadRequest, operator.ErrorBody{Error: err.Error()})
		return
	}
	a, err := g.where(q)
	if err != nil {
		operator.Reply(ctx, fasthttp.StatusBadRequest, operator.ErrorBody{Error: err.Error()})
		return
	}
	operator.Reply(ctx, fasthttp.StatusOK, a)
}

// where returns what would happen to a request now. It takes the steps of one, up to the reservation, without sending, counting or
// changing anything. It returns an error for a question that doesn't describe a request.
func (g *Gateway) where(q operator.WhereQuery) (operator.WhereAnswer, error) {
	now := g.clock.Now()
	a := operator.WhereAnswer{
		EntryHost: g.settings().Name, DocumentVersion: g.subscription.documentVersion(), ConfirmedMsAgo: -1, Candidates: []operator.WhereCandidate{},
	}
	if a.DocumentVersion > 0 {
		a.ConfirmedMsAgo = g.subscription.confirmationAge().Milliseconds()
	}
	r, err := g.describe(now, q)
	if err != nil {
		return a, err
	}
	if g.lacksUpdate() && g.subscription.isSettling(now) {
		a.Verdict, a.Reason = operator.VerdictWaits, "the host awaits the leader's first update"
		return a, nil
	}
	if g.lacksUpdate() && r.hasForwarders() {
		a.Verdict, a.Reason = operator.VerdictForwarded, "this host lacks a confirmed document"
		return a, nil
	}
	if rejected := r.resolve(); rejected != nil {
		reject(&a, rejected.status, rejected.reason, rejected.retryAfter)
		return a, nil
	}
	a.Route, a.Organisation, a.Service, a.Priority = r.route.Name, r.organisation, r.service.Name, r.priority
	if r.deadline.Sub(now) < minAttemptTime {
		reject(&a, fasthttp.StatusServiceUnavailable, "outOfTime", 0)
		return a, nil
	}
	if r.isCutOff() && !r.hasForwarders() {
		reject(&a, fasthttp.StatusServiceUnavailable, string(placement.ReasonCutOff), jitteredForwardRetryAfter())
		return a, nil
	}
	if r.isCutOff() {
		a.Verdict, a.Reason = operator.VerdictForwarded, "this host reaches no servers"
		return a, nil
	}
	g.explain(now, r, &a)
	return a, nil
}

func reject(a *operator.WhereAnswer, status int, reason string, retryAfter time.Duration) {
	a.Verdict, a.Status, a.Reason, a.RetryAfterMs = operator.VerdictRejected, status, reason, retryAfter.Milliseconds()
}

// hasForwarders reports whether the request would be offered to other entry hosts if this one can't handle it.
func (r *callerRequest) hasForwarders() bool {
	return r.mayAskOthers() && r.gateway.pathState() != reach.Isolated
}

// describe returns the request that a question is about.
func (g *Gateway) describe(now time.Time, q operator.WhereQuery) (*callerRequest, error) {
	caller := savorywing.CallerMetadata{
		APIKey: q.Key, Model: q.Model, PromptTokens: max(0, q.PromptTokens), Timeout: time.Duration(q.TimeoutMs) * time.Millisecond, LastEventID: -1,
	}
	for _, part := range q.Parts {
		id, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("parts: %w", err)
		}
		caller.SharedParts = append(caller.SharedParts, savorywing.PromptPart(id))
	}
	x := &describedExchange{arrival: now}
	host, path := q.Host, q.Path
	if c := g.catalogue.Load(); c != nil {
		if q.Route != "" {
			route := c.RouteNamed(q.Route)
			if route == nil {
				return nil, fmt.Errorf("the document has no route %q", q.Route)
			}
			host, path = route.Host, route.Prefix
		}
		if q.Organisation != "" {
			o := c.OrganisationNamed(q.Organisation)
			if o == nil || len(o.Keys) == 0 {
				return nil, fmt.Errorf("the document has no organisation %q with a key", q.Organisation)
			}
			caller.APIKey = o.Keys[0]
		}
	}
	x.request.Header.SetMethod(fasthttp.MethodPost)
	x.request.Header.SetHost(host)
	x.request.Header.SetRequestURI(path)
	return &callerRequest{gateway: g, exchange: x, caller: caller, lastEventID: -1, deadline: now.Add(fallbackTimeout)}, nil
}

// explain fills in where a request with a route would be placed.
func (g *Gateway) explain(now time.Time, r *callerRequest, a *operator.WhereAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.priorWait = g.waitEstimator.Estimate(r.route.Name, r.caller.Timeout)
	d, candidates := g.balancer.Explain(now, r.placementRequest(now))
	for _, c := range candidates {
		w := operator.WhereCandidate{
			Server: c.ID, Address: c.Address, DataCentre: c.DataCentre, Load: c.Load, Slots: c.Slots, WaitingTokens: c.WaitingTokens,
			LoadAgeMs: loadAgeMs(c.LoadAge), PredictedMs: c.Predicted.Milliseconds(),
		}
		if c.Excluded != "" {
			w.Excluded = []string{c.Excluded}
		}
		a.Candidates = append(a.Candidates, w)
	}
	if g.isEvacuationUnconfirmed() {
		d = evacuationUnconfirmed()
	} else if retryAfter, blocked := g.observer.IsBlocked(now, r.identity); blocked {
		d = placement.Decision{Reason: placement.ReasonQuarantined, RetryAfter: retryAfter}
	}
	switch {
	case d.Reason == placement.ReasonNone:
		a.Verdict, a.Server, a.PredictedMs = operator.VerdictSent, d.ID, d.Predicted.Milliseconds()
	case d.AwaitPermit:
		a.Verdict, a.Reason = operator.VerdictWaits, "for a permit of the leader"
	default:
		reject(a, fasthttp.StatusServiceUnavailable, string(d.Reason), d.RetryAfter)
	}
}

// loadAgeMs returns an age in milliseconds; -1 if no loads have been received.
func loadAgeMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// describedExchange is the exchange of a request that isn't sent. Nothing is written to it.
type describedExchange struct {
	savorywing.Exchange

	request fasthttp.Request
	arrival time.Time
}

func (x *describedExchange) HTTPRequest() *fasthttp.Request { return &x.request }
func (x *describedExchange) Arrival() time.Time             { return x.arrival }
func (x *describedExchange) Started() bool                  { return false }

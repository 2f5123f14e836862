package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/version/catalogue"
)

const (
	// freshIdle is how long a connection may have been idle to carry what can't be repeated: one that the
	// server is about to close would leave the outcome unknown.
	freshIdle = 500 * time.Millisecond
	// keptIdle is the same for what may be repeated; the server's own word is shorter.
	keptIdle = 60 * time.Second
	// stallAgain is how often an engine that shows nothing is looked at again.
	stallAgain = 80 * time.Millisecond
	// plainSwitch is the number of objectives after which a plain server's silence sends a repeatable
	// request elsewhere.
	plainSwitch = 2.5
	// shortestTry is the least time left for which a request is sent once more.
	shortestTry = 60 * time.Millisecond
	// maxUnreached bounds the servers that are found unreachable for one request.
	maxUnreached = 3
	// maxHeld is the largest answer that is read whole before any of it is passed on, in bytes.
	maxHeld = 256 << 10
	// unsentReturn is when a caller comes back whose request reached no server.
	unsentReturn = 300 * time.Millisecond
)

// ending is how one attempt ended.
type ending int

const (
	// endAnswered says that the caller has its answer, or that there is nothing more to give it.
	endAnswered ending = iota
	// endGone says that the caller has left.
	endGone
	// endNotRun says that the server has not run the request and never will.
	endNotRun
	// endUnsent says that no byte reached a server.
	endUnsent
	// endFailed says that the request may have run, without a whole answer.
	endFailed
)

// run sends the request until it is answered or nothing more can be done.
func (j *job) run(ctx context.Context) {
	g := j.gateway
	unreached := 0
	for {
		now := g.clock.Now()
		d, ticket := j.place(now)
		if ticket == nil {
			if d.Reason != placement.ReasonNone && j.hold(ctx) {
				continue
			}
			if ctx.Err() == nil {
				j.giveUp(now, d)
			}
			return
		}
		if j.sends > 0 {
			g.telemetry.Count("requests", "result", "resent")
			g.trouble("resent").Str("request", j.caller.AttemptID).Str("server", d.ID).Int("sends", j.sends).
				Int64("delivered", j.delivered).Bool("mayHaveRun", j.lost).Msg("")
		}
		end, result := j.attempt(ctx, d, ticket)
		g.mu.Lock()
		g.ledger.Finish(g.clock.Now(), ticket, result)
		g.mu.Unlock()
		switch end {
		case endAnswered:
			return
		case endGone:
			g.telemetry.Count("requests", "result", "callerGone")
			g.trouble("callerGone").Str("request", j.caller.AttemptID).Str("server", d.ID).Dur("after", g.clock.Now().Sub(j.x.Arrival())).Msg("")
			return
		case endUnsent:
			unreached++
			if unreached >= maxUnreached {
				j.giveUp(g.clock.Now(), placement.Decision{Reason: placement.ReasonNoEndpoint, RetryAfter: unsentReturn})
				return
			}
		case endNotRun:
			j.sends++
		case endFailed:
			j.lost = true
			j.sends++
			if !j.route.Retryable() {
				j.giveUp(g.clock.Now(), placement.Decision{})
				return
			}
		}
		j.tried = append(j.tried, d.ID)
		if ctx.Err() != nil {
			return
		}
	}
}

// place picks where the request goes next; without a ticket it must be given up, for the reason if there is one.
func (j *job) place(now time.Time) (placement.Decision, *placement.Reservation) {
	g := j.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.budget(j.service.Name)
	if !j.counted {
		j.counted = true
		j.waited = g.patience.PriorWait(j.route.Name, j.caller.Timeout)
		if j.waited == 0 {
			// The work of those who come back has been counted where they first asked.
			g.countDemand(j)
		}
		budget.RecordFirstSend(now)
	}
	if j.deadline.Sub(now) < shortestTry || j.sends >= j.route.MaxAttempts {
		return placement.Decision{}, nil
	}
	w := j.want(now)
	d := g.ledger.Pick(now, w)
	if d.Reason != placement.ReasonNone {
		return d, nil
	}
	if j.sends > 0 && !budget.Spend(now, g.retrySlack()) {
		g.telemetry.Count("refused", "reason", "retryBudget")
		return placement.Decision{}, nil
	}
	return d, g.ledger.Start(now, d, w)
}

// budgetPart is the part of the shared retry budget that all entry hosts together plan to use.
const budgetPart = 0.8

func (g *Gateway) budget(service string) *retry.Window {
	b := g.budgets[service]
	if b == nil {
		span := time.Duration(g.settings().RetryWindowSeconds * float64(time.Second))
		b = retry.NewWindow(span, budgetPart*g.settings().RetryRatio)
		g.budgets[service] = b
	}
	return b
}

// retrySlack is this host's part of the retries that are allowed beside the share.
func (g *Gateway) retrySlack() float64 {
	return budgetPart * g.settings().RetryBurst / float64(g.ledger.EntryHosts())
}

// giveUp gives the final answer to a request that can't be served: a promise that it has not run only where
// that is proven.
func (j *job) giveUp(now time.Time, d placement.Decision) {
	g := j.gateway
	if j.x.Started() {
		g.telemetry.Count("requests", "result", "brokenOff")
		g.trouble("brokenOff").Str("request", j.caller.AttemptID).Str("route", j.route.Name).Int64("delivered", j.delivered).
			Int("sends", j.sends).Dur("after", now.Sub(j.x.Arrival())).Msg("")
		j.x.Abort()
		return
	}
	late := j.deadline.Sub(now) < shortestTry
	switch {
	case j.lost && late:
		j.refuse(fasthttp.StatusGatewayTimeout, "noAnswerInTime", 0)
	case j.lost:
		j.refuse(fasthttp.StatusBadGateway, "answerLost", 0)
	case late:
		j.refuse(fasthttp.StatusServiceUnavailable, "outOfTime", 0)
	case d.Reason != placement.ReasonNone:
		j.refuse(fasthttp.StatusServiceUnavailable, string(d.Reason), d.RetryAfter)
	default:
		j.refuse(fasthttp.StatusServiceUnavailable, "shed", unsentReturn)
	}
}

// attempt sends the request to one server and passes its answer on.
func (j *job) attempt(ctx context.Context, d placement.Decision, ticket *placement.Reservation) (ending, placement.Result) {
	g := j.gateway
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := j.watch(d, cancel)
	defer w.stop()
	a, err := g.engines.Do(ctx, j.call(d))
	if err != nil {
		return j.sendFailed(ctx, d, err)
	}
	defer a.Close()
	switch {
	case a.Metadata.NotRun:
		return endNotRun, j.notRun(a, d)
	case j.route.Kind == catalogue.Streaming && a.Header.StatusCode() == fasthttp.StatusOK && a.Metadata.Signed:
		return j.relayEvents(ctx, a, d, ticket, w)
	}
	return j.relayWhole(ctx, a, d)
}

func (j *job) call(d placement.Decision) engine.Call {
	g := j.gateway
	now := g.clock.Now()
	h := &fasthttp.RequestHeader{}
	j.x.Request.Header.CopyTo(h)
	h.SetNoDefaultContentType(true)
	g.dialect.WriteBackendMetadata(h, savorywing.BackendMetadata{
		RemainingTime: j.deadline.Sub(now), Server: d.ID, Organisation: j.organisation, LastEventID: j.delivered, Priority: j.urgency,
	})
	body := j.x.Request.Body()
	if len(body) > 0 || !h.IsGet() {
		h.SetContentLength(len(body))
	}
	idle := keptIdle
	if !j.route.Retryable() {
		idle = freshIdle
	}
	return engine.Call{Address: d.Address, Header: h, Body: body, AttemptID: j.caller.AttemptID, MaxIdle: idle, HeaderDeadline: j.deadline}
}

func (j *job) sendFailed(ctx context.Context, d placement.Decision, err error) (ending, placement.Result) {
	g := j.gateway
	stalled := errors.Is(context.Cause(ctx), errStalled)
	if ctx.Err() != nil && !stalled {
		return endGone, placement.CallerGone
	}
	g.telemetry.Count("requests", "result", "attemptFailed")
	g.trouble("attemptFailed").Str("request", j.caller.AttemptID).Str("server", d.ID).Bool("stalled", stalled).
		Int("load", d.Load).Int("slots", d.Slots).Dur("after", g.clock.Now().Sub(j.x.Arrival())).Err(err).Msg("")
	if errors.Is(err, engine.ErrNotSent) && !stalled {
		g.engines.CloseIdle(d.Address)
		return endUnsent, placement.Unreachable
	}
	return endFailed, placement.Failed
}

// notRun takes a server's proof that it has not run the request.
func (j *job) notRun(a *engine.Response, d placement.Decision) placement.Result {
	_, err := io.Copy(io.Discard, io.LimitReader(a, maxHeld))
	g := j.gateway
	g.telemetry.Count("requests", "result", "notRun")
	g.trouble("notRun").Str("request", j.caller.AttemptID).Str("server", d.ID).Int("status", a.Header.StatusCode()).
		Str("culprit", a.Metadata.FaultyServer).Int("load", d.Load).Int("slots", d.Slots).AnErr("body", err).Msg("")
	if a.Header.StatusCode() == fasthttp.StatusMisdirectedRequest || (a.Metadata.FaultyServer != "" && a.Metadata.FaultyServer != d.Address) {
		return placement.WrongServer
	}
	return placement.Shed
}

// relayWhole reads an answer to its end and passes it on unchanged.
func (j *job) relayWhole(ctx context.Context, a *engine.Response, d placement.Decision) (ending, placement.Result) {
	g := j.gateway
	body, err := io.ReadAll(io.LimitReader(a, maxHeld))
	if err == nil && len(body) == maxHeld {
		return j.relayLong(ctx, a, body)
	}
	if err != nil || !a.Complete() {
		return j.sendFailed(ctx, d, fmt.Errorf("job.relayWhole: status %d: %w", a.Header.StatusCode(), errors.Join(engine.ErrTruncated, err)))
	}
	status := a.Header.StatusCode()
	failed := status >= fasthttp.StatusInternalServerError || !a.Metadata.Signed
	if failed && (j.x.Started() || j.mayRepeat()) {
		return j.sendFailed(ctx, d, fmt.Errorf("job.relayWhole: status %d", status))
	}
	if status < fasthttp.StatusMultipleChoices && !a.Metadata.Signed {
		// Bytes without a signature are no server's answer.
		return j.sendFailed(ctx, d, errors.New("job.relayWhole: the answer has no signature"))
	}
	if j.x.Started() {
		return j.sendFailed(ctx, d, fmt.Errorf("job.relayWhole: status %d after events", status))
	}
	g.dialect.StripConnectionHeaders(&a.Header)
	if err := j.x.Start(&a.Header, len(body), body); err != nil {
		return endGone, placement.CallerGone
	}
	j.served(d, status)
	if failed {
		return endAnswered, placement.Failed
	}
	return endAnswered, placement.Served
}

// mayRepeat tells whether another attempt is worth more than passing a server's failure on.
func (j *job) mayRepeat() bool {
	return j.route.Retryable() && j.sends+1 < j.route.MaxAttempts && j.deadline.Sub(j.gateway.clock.Now()) > shortestTry
}

// relayLong passes an answer on as it comes.
func (j *job) relayLong(ctx context.Context, a *engine.Response, first []byte) (ending, placement.Result) {
	length := a.Length()
	j.gateway.dialect.StripConnectionHeaders(&a.Header)
	if err := j.x.Start(&a.Header, length, first); err != nil {
		return endGone, placement.CallerGone
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if werr := j.x.Write(buf[:n]); werr != nil {
				return endGone, placement.CallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			if err := j.x.Finish(nil); err != nil {
				return endGone, placement.CallerGone
			}
			return endAnswered, placement.Served
		}
		if err != nil {
			j.x.Abort()
			if ctx.Err() != nil {
				return endGone, placement.CallerGone
			}
			return endAnswered, placement.Failed
		}
	}
}

// served counts a request that got a server's answer.
func (j *job) served(d placement.Decision, status int) {
	g := j.gateway
	now := g.clock.Now()
	g.telemetry.Count("requests", "result", "served")
	if j.first > 0 {
		g.telemetry.Observe("first_event", "route", j.route.Name, j.first)
	}
	g.telemetry.Observe("answer", "route", j.route.Name, now.Sub(j.x.Arrival()))
	g.telemetry.Observe("answer", "organisation", j.organisation, now.Sub(j.x.Arrival()))
	if !g.healthy.allow(now) {
		return
	}
	g.log.Info().Str("event", "served").Str("request", j.caller.AttemptID).Str("route", j.route.Name).Str("server", d.ID).
		Int("status", status).Int("sends", j.sends+1).
		Dur("first", j.first).Dur("longestGap", j.longestGap).Dur("predicted", d.Predicted).Int("load", d.Load).Int("slots", d.Slots).Dur("after", now.Sub(j.x.Arrival())).Msg("")
}

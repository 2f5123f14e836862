package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
)

// maxBufferedResponse is the largest response that is read completely before any of it is passed on, in bytes.
const maxBufferedResponse = 256 << 10

// relayBuffered reads a response to its end before passing it on without its connection headers. relayLarge takes
// over if the body reaches maxBufferedResponse.
func (r *callerRequest) relayBuffered(ctx context.Context, response *engine.Response, d placement.Decision, w *stallWatch) (outcome, placement.Result) {
	g := r.gateway
	status, signed := response.Header.StatusCode(), response.Metadata.Signed
	failed := status >= fasthttp.StatusInternalServerError || !signed
	// An unsigned success can't be trusted to come from running the request.
	untrusted := status < fasthttp.StatusMultipleChoices && !signed
	if untrusted || lacksProof(response) || r.exchange.Started() || (failed && r.mayRetry()) {
		err := response.Drain()
		return r.sendFailed(ctx, d, errors.Join(fmt.Errorf("callerRequest.relayBuffered: status %d, signed %t, event %d delivered", status, signed, r.lastEventID), err))
	}
	r.firstEventAt = g.clock.Now()
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedResponse))
	if err == nil && len(body) == maxBufferedResponse && signed {
		// From here on no other server can take over.
		w.stop()
		return r.relayLarge(ctx, response, d, body)
	}
	if err != nil || !response.Complete() {
		return r.sendFailed(ctx, d, fmt.Errorf("callerRequest.relayBuffered: status %d: %w", status, errors.Join(engine.ErrTruncated, err)))
	}
	if err := g.dialect.StripConnectionHeaders(&response.Header); err != nil {
		return r.sendFailed(ctx, d, err)
	}
	if err := r.exchange.Start(&response.Header, len(body), body); err != nil {
		return outcomeCallerGone, placement.CallerGone
	}
	r.recordSurvival(g.clock.Now())
	r.recordServed(d, response)
	if failed {
		return outcomeDone, placement.Failed
	}
	return outcomeDone, placement.Served
}

// lacksProof reports whether a response contradicts itself, or has a status that callers take for the promise that the request
// has not run without being a server's proof of it. Such a response isn't passed on.
func lacksProof(response *engine.Response) bool {
	switch response.Header.StatusCode() {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return response.Metadata.NotRun
}

// mayRetry reports whether another attempt may be made instead of passing a server's failure on to the caller.
func (r *callerRequest) mayRetry() bool {
	return r.route.Retryable() && r.sends+1 < r.route.MaxAttempts && r.deadline.Sub(r.gateway.clock.Now()) > minAttemptTime
}

// relayLarge passes on a response as it arrives; first is the part that has been read already.
func (r *callerRequest) relayLarge(ctx context.Context, response *engine.Response, d placement.Decision, first []byte) (outcome, placement.Result) {
	length := response.Length()
	if err := r.gateway.dialect.StripConnectionHeaders(&response.Header); err != nil {
		return r.sendFailed(ctx, d, err)
	}
	if err := r.exchange.Start(&response.Header, length, first); err != nil {
		return outcomeCallerGone, placement.CallerGone
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buf)
		if n > 0 {
			if werr := r.exchange.Write(buf[:n]); werr != nil {
				return outcomeCallerGone, placement.CallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			r.recordSurvival(r.gateway.clock.Now())
			if err := r.exchange.Finish(nil); err != nil {
				return outcomeCallerGone, placement.CallerGone
			}
			r.recordServed(d, response)
			return outcomeDone, placement.Served
		}
		if err != nil {
			r.exchange.Abort()
			if ctx.Err() != nil {
				return outcomeCallerGone, placement.CallerGone
			}
			r.recordLoss(d, err)
			return outcomeDone, placement.Failed
		}
	}
}

// recordServed counts and logs a request that got a server's response.
func (r *callerRequest) recordServed(d placement.Decision, response *engine.Response) {
	g := r.gateway
	now := g.clock.Now()
	g.telemetry.Count("requests", "result", "served")
	if r.firstEvent > 0 {
		g.telemetry.Observe("first_event", "route", r.route.Name, r.firstEvent)
	}
	g.telemetry.Observe("answer", "route", r.route.Name, now.Sub(r.exchange.Arrival()))
	g.telemetry.Observe("answer", "organisation", r.organisation, now.Sub(r.exchange.Arrival()))
	if !g.servedLines.allow(now) {
		return
	}
	e := g.log.Info().Str("event", "served")
	if r.forwarded {
		e = e.Str("receivedBy", r.receivedBy)
	}
	e.Str("request", r.caller.AttemptID).Str("route", r.route.Name).Str("server", d.ID).
		Int("status", response.Header.StatusCode()).Str("framing", string(response.Framing())).Int("sends", r.sends+1).
		Dur("first", r.firstEvent).Dur("longestGap", r.longestGap).Dur("predicted", d.Predicted).Int("load", d.Load).Int("slots", d.Slots).Dur("after", now.Sub(r.exchange.Arrival())).Msg("served a request")
}

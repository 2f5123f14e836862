package gateway

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
)

// maxBufferedResponse is the largest response that is read completely before any of it is passed on, in bytes.
const maxBufferedResponse = 256 << 10

// errNoRoom means that a response is larger than what may be held of it.
var errNoRoom = errors.New("the response is too large to be held")

// minBufferedBytes is the size of the first buffer of a response without a stated length.
const minBufferedBytes = 1 << 10

// holder is an exchange that bounds what its request holds.
type holder interface {
	// Hold lets the request hold n bytes more until it ends, and reports whether there is room. It takes back -n bytes if n is negative.
	Hold(n int) bool
}

// readBuffered reads a response, and reports whether there may be more of it: it is larger than maxBufferedResponse, or the host
// has no room for it. Only a signed one may be passed on before it is complete.
func (r *callerRequest) readBuffered(response *engine.Response) (body []byte, hasMore bool, err error) {
	body, hasMore, err = r.readHeld(response)
	if err == nil && hasMore && !response.Metadata.Signed {
		err = errNoRoom
	}
	return body, hasMore, err
}

// readHeld reads as much of a response as may be held.
func (r *callerRequest) readHeld(response *engine.Response) (body []byte, hasMore bool, err error) {
	h, hasBound := r.exchange.(holder)
	size := minBufferedBytes
	if n := response.Length(); n >= 0 {
		size = n + 1 // the byte more is for the read that returns the end
	}
	for len(body) < maxBufferedResponse {
		if len(body) == cap(body) {
			size = min(max(size, 2*cap(body)), maxBufferedResponse)
			if hasBound && !h.Hold(size) {
				return body, true, nil
			}
			replaced := cap(body)
			body = append(make([]byte, 0, size), body...)
			if hasBound {
				h.Hold(-replaced)
			}
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, !response.Complete(), nil
}

// relayBuffered reads a response to its end before passing it on without its connection headers. relayLarge takes
// over if the body reaches maxBufferedResponse.
func (a *attempt) relayBuffered(response *engine.Response) (outcome, placement.Result) {
	r, g := a.request, a.request.gateway
	status, signed := response.Header.StatusCode(), response.Metadata.Signed
	failed := status >= fasthttp.StatusInternalServerError || !signed
	if !isTrusted(response) || r.hasStarted() || (failed && a.mayRetry()) {
		err := response.Drain()
		return a.fail(errors.Join(fmt.Errorf("attempt.relayBuffered: status %d, signed %t, event %d delivered", status, signed, a.lastEventID), err))
	}
	a.firstEventAt = g.clock.Now()
	body, hasMore, err := r.readBuffered(response)
	if err == nil && hasMore {
		// From here on no other server can take over.
		a.watch.stop()
		return a.relayLarge(response, body)
	}
	if err != nil || !response.Complete() {
		return a.fail(fmt.Errorf("attempt.relayBuffered: status %d: %w", status, errors.Join(engine.ErrTruncated, err)))
	}
	if err := g.dialect.StripConnectionHeaders(&response.Header); err != nil {
		return a.fail(err)
	}
	if err := a.deliver(func() error { return r.exchange.Start(&response.Header, len(body), body) }); err != nil {
		return a.deliverFailed(err)
	}
	a.recordSurvival(g.clock.Now())
	a.recordServed(response)
	if failed {
		return outcomeDone, placement.Failed
	}
	return outcomeDone, placement.Served
}

// isTrusted reports whether a response may be passed on. An unsigned success can't be trusted to come from running the request.
func isTrusted(response *engine.Response) bool {
	isSuccess := response.Header.StatusCode() < fasthttp.StatusMultipleChoices
	return (response.Metadata.Signed || !isSuccess) && !lacksProof(response)
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

// mayRetry reports whether another attempt is under way, or may be made, instead of passing a server's failure on to the caller.
func (a *attempt) mayRetry() bool {
	r := a.request
	r.race.mu.Lock()
	hasOthers := len(r.race.open) > 1
	r.race.mu.Unlock()
	return r.route.Retryable() && (hasOthers || a.number < r.route.MaxAttempts) && r.deadline.Sub(r.gateway.clock.Now()) > minAttemptTime
}

// relayLarge passes on a response as it arrives; first is the part that has been read already.
func (a *attempt) relayLarge(response *engine.Response, first []byte) (outcome, placement.Result) {
	r := a.request
	length := response.Length()
	if err := r.gateway.dialect.StripConnectionHeaders(&response.Header); err != nil {
		return a.fail(err)
	}
	if err := a.deliver(func() error { return r.exchange.Start(&response.Header, length, first) }); err != nil {
		return a.deliverFailed(err)
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buf)
		if n > 0 {
			if werr := a.deliver(func() error { return r.exchange.Write(buf[:n]) }); werr != nil {
				return a.deliverFailed(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			a.recordSurvival(r.gateway.clock.Now())
			if err := a.deliver(func() error { return r.exchange.Finish(nil) }); err != nil {
				return a.deliverFailed(err)
			}
			a.recordServed(response)
			return outcomeDone, placement.Served
		}
		if err != nil {
			r.exchange.Abort()
			if a.ctx.Err() != nil {
				return outcomeCallerGone, placement.CallerGone
			}
			a.recordLoss(err)
			return outcomeDone, placement.Failed
		}
	}
}

// recordServed counts and logs a request that got a server's response.
func (a *attempt) recordServed(response *engine.Response) {
	r, d, g := a.request, a.decision, a.request.gateway
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
		Int("status", response.Header.StatusCode()).Str("framing", string(response.Framing())).Int("sends", a.number).
		Dur("first", r.firstEvent).Dur("longestGap", r.longestGap).Dur("predicted", d.Predicted).Int("load", d.Load).Int("slots", d.Slots).Dur("after", now.Sub(r.exchange.Arrival())).Msg("served a request")
}

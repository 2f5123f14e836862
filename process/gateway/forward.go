package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

const (
	// offerTimeout bounds the time to connect to another entry host and to get its answer.
	offerTimeout = 300 * time.Millisecond
	// maxOffers and maxOfferTime bound the hosts that are asked in turn for one request, and the time for that.
	maxOffers    = 4
	maxOfferTime = 2 * offerTimeout
	// forwardSilence is how long a host may send nothing for a request that can be sent again: several times the interval at
	// which it shows that it is at work.
	forwardSilence = 1500 * time.Millisecond
	// fallbackTimeout is the timeout of a request whose route isn't known and that states none.
	fallbackTimeout = 8 * time.Second
	// forwardRetryAfter is the least Retry-After of a request that no host takes: the time in which a host's capacity, or a
	// path, is looked at again. Jitter keeps callers from returning at the same moment.
	forwardRetryAfter = reach.RoundInterval
)

func jitteredForwardRetryAfter() time.Duration {
	return forwardRetryAfter + rand.N(2*forwardRetryAfter)
}

// Errors of requests that were handed to another entry host.
var (
	// errNoForwarder means that no host takes the request, which hasn't been sent to any.
	errNoForwarder = errors.New("no other entry host takes the request")
	// errForwardLost means that the request may have run and its response was lost.
	errForwardLost = errors.New("the response of the other entry host was lost")
)

// isCutOff reports whether this host can't serve requests itself. Requests of other hosts are never handed on.
func (r *callerRequest) isCutOff() bool {
	return !r.forwarded && r.gateway.pathState() != reach.Direct
}

// mayAskOthers reports whether other entry hosts are known that may take the request.
func (r *callerRequest) mayAskOthers() bool {
	return !r.forwarded && r.gateway.hasPeers()
}

func (g *Gateway) hasPeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.Len() > 0
}

// handOver lets another host serve a request that this one can't place, and reports whether it did. It does so only while it
// is open whether this host's paths have failed, or the servers.
func (r *callerRequest) handOver(ctx context.Context) bool {
	g := r.gateway
	isInDoubt := !g.hasSoundPaths() || (r.unreachable > 0 && g.pathsInDoubt())
	if !isInDoubt || !r.mayAskOthers() {
		return false
	}
	for r.runForwarded(ctx) {
		continue
	}
	return true
}

func (r *callerRequest) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// runForwarded lets another entry host serve the request, and reports whether it must be tried again.
func (r *callerRequest) runForwarded(ctx context.Context) bool {
	g := r.gateway
	now := g.clock.Now()
	if r.deadline.Sub(now) < minAttemptTime || (r.route != nil && r.sends >= r.route.MaxAttempts) {
		r.endUnserved(now, placement.Decision{})
		return false
	}
	r.payRetry(now)
	return r.endForwarded(ctx, r.forward(ctx))
}

// payRetry spends this host's retry budget for a request that another host is to send again. Hosts that take many such
// requests would run out of theirs, while those that are cut off need none.
func (r *callerRequest) payRetry(now time.Time) {
	if r.sends == 0 || r.retryPaid || r.service == nil {
		return
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	r.retryPaid = g.budget(r.service.Name).Spend(now, g.retryBurst())
}

// endForwarded ends a request unless another entry host has served it or may still do so, and reports whether it must be
// tried again.
func (r *callerRequest) endForwarded(ctx context.Context, err error) bool {
	g := r.gateway
	switch {
	case err == nil:
		return false
	case ctx.Err() != nil || errors.Is(err, ingress.ErrCallerGone):
		r.mayHaveRun = r.mayHaveRun || !errors.Is(err, errNoForwarder)
		r.endCancelled(ctx, "")
		return false
	case errors.Is(err, errForwardLost):
		r.mayHaveRun, r.retryPaid = true, false
		r.sends++
		if r.canResume() {
			return true
		}
	}
	r.endUnserved(g.clock.Now(), placement.Decision{Reason: placement.ReasonCutOff, RetryAfter: jitteredForwardRetryAfter()})
	return false
}

// canResume reports whether a request whose response was lost may be sent again: only the rest of a stream can follow what the
// caller has got.
func (r *callerRequest) canResume() bool {
	return r.isRetryable() && (!r.exchange.Started() || r.route.Kind == catalogue.Streaming)
}

func (r *callerRequest) isRetryable() bool { return r.route != nil && r.route.Retryable() }

// forward offers the request to other entry hosts until one takes it, and relays its response. It returns nil if the caller
// has a response, or if nothing more can be sent to it.
func (r *callerRequest) forward(ctx context.Context) error {
	g := r.gateway
	if g.pathState() == reach.Isolated {
		return errNoForwarder
	}
	request := httpRequest(r)
	offer := wire.ForwardOffer{Host: g.settings().PeerAddress(), Version: g.subscription.documentVersion(), Bytes: len(request.Body()) + len(request.Header.RawHeaders())}
	var tried []string
	start := g.clock.Now()
	for len(tried) < maxOffers && g.clock.Now().Sub(start) < maxOfferTime {
		g.mu.Lock()
		host, found := g.peers.Pick(g.clock.Now(), tried, r.forwardArea())
		g.mu.Unlock()
		if !found {
			break
		}
		tried = append(tried, host)
		s, err := g.forwardClient.Offer(ctx, host, offerTimeout, offer)
		if ctx.Err() != nil {
			if err == nil {
				s.Close()
			}
			return errNoForwarder
		}
		if err != nil {
			reason := g.avoidPeer(host, err)
			g.telemetry.Count("forward_refused", "reason", reason)
			g.logProblem("forwardRefused").Str("request", r.caller.AttemptID).Str("peer", host).Str("reason", reason).Err(err).
				Msg("another entry host doesn't take a request")
			continue
		}
		err = r.relayForwarded(ctx, s, host)
		if !errors.Is(err, errDeclined) {
			return err
		}
	}
	return errNoForwarder
}

// forwardArea returns where the request may be sent to another entry host. While its route isn't known, that is the region in which
// the caller has reached this host.
func (r *callerRequest) forwardArea() residency.Area {
	if r.route == nil {
		s := r.gateway.settings()
		return s.Regions.Around(s.DataCentre)
	}
	return r.area
}

// avoidPeer makes later requests avoid a host for a time that has refused one or didn't answer, and returns the reason.
func (g *Gateway) avoidPeer(host string, err error) (reason string) {
	pause := forwarding.UnreachablePause
	reason = "unreachable"
	var refused forward.RefusedError
	if errors.As(err, &refused) {
		reason = refused.Reason
		if reason == refusedBusy || reason == refusedTooLarge {
			pause = forwarding.BusyPause
		}
	}
	g.mu.Lock()
	g.peers.Avoid(g.clock.Now(), host, pause)
	g.mu.Unlock()
	return reason
}

// errDeclined means that the other host hasn't run the request, since it couldn't either.
var errDeclined = errors.New("the other entry host could not serve the request")

// relayForwarded hands the request to a host that takes it and relays the response.
func (r *callerRequest) relayForwarded(ctx context.Context, s *forward.Session, host string) error {
	g := r.gateway
	g.mu.Lock()
	g.peers.Start(host)
	g.mu.Unlock()
	stop := context.AfterFunc(ctx, s.Close)
	status, err := r.exchangeForwarded(s)
	alive := stop()
	g.mu.Lock()
	g.peers.End(host)
	if alive && (errors.Is(err, errDeclined) || errors.Is(err, errForwardLost)) {
		// It may be cut off as well, and know it or not.
		g.peers.Avoid(g.clock.Now(), host, forwarding.UnreachablePause)
	}
	g.mu.Unlock()
	result := "served"
	switch {
	case (err == nil || errors.Is(err, errDeclined)) && alive:
		s.Release()
	default:
		s.Close()
	}
	if err != nil {
		result = err.Error()
	}
	g.telemetry.Count("requests", "result", "forwarded")
	g.logProblem("forwarded").Str("request", r.caller.AttemptID).Str("peer", host).Str("result", result).Int("status", status).Int("sends", r.sends).
		Int64("delivered", r.lastEventID).Stringer("paths", g.pathState()).Dur("after", g.clock.Now().Sub(r.exchange.Arrival())).Msg("another entry host served a request")
	return err
}

// exchangeForwarded sends the request and passes on the parts of the response. It returns the status of the response.
func (r *callerRequest) exchangeForwarded(s *forward.Session) (int, error) {
	g := r.gateway
	var h fasthttp.RequestHeader
	httpRequest(r).Header.CopyTo(&h)
	h.SetNoDefaultContentType(true)
	err := s.Send(wire.ForwardedRequest{
		Header: h.Header(), Body: httpRequest(r).Body(), ElapsedMs: g.clock.Now().Sub(r.exchange.Arrival()).Milliseconds(), LastEventID: r.lastEventID,
		Resumed: r.exchange.Started(), Sends: r.sends, MayHaveRun: r.mayHaveRun, Counted: r.counted,
		RetryPaid: r.retryPaid,
	})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errDeclined, err)
	}
	response := forwardedResponse{request: r, isStream: r.exchange.Started()}
	for {
		silence := max(minAttemptTime, r.deadline.Sub(g.clock.Now())+forwardSilence)
		if r.isRetryable() {
			silence = min(silence, forwardSilence)
		}
		part, err := s.Next(silence)
		if err != nil {
			return response.status, fmt.Errorf("%w: %w", errForwardLost, err)
		}
		if part.Declined != "" {
			return response.status, fmt.Errorf("%w: %s", errDeclined, part.Declined)
		}
		if err := response.pass(part); err != nil {
			return response.status, err
		}
		if part.End {
			return response.status, nil
		}
	}
}

// forwardedResponse is the response of another host, of which the caller is sent one part after the other.
type forwardedResponse struct {
	request *callerRequest
	status  int
	// bounded reports whether the body has a length, of which left bytes are to come. left is never negative.
	bounded bool
	left    int
	// isStream reports whether the response is a stream of events.
	isStream bool
}

var errUnexpectedPart = errors.New("a part that isn't expected")

// pass passes on a part. Of a part that can't follow the parts before it, nothing is sent to the caller.
func (f *forwardedResponse) pass(part wire.ForwardedPart) error {
	if len(part.Header) > 0 {
		return f.start(part)
	}
	x := f.request.exchange
	if !x.Started() && (part.End || len(part.Body) > 0) {
		return fmt.Errorf("%w: %w: it has no header", errForwardLost, errUnexpectedPart)
	}
	if err := f.count(part); err != nil {
		return err
	}
	if err := f.recordEvents(part); err != nil {
		return err
	}
	if part.End {
		return x.Finish(part.Body)
	}
	if len(part.Body) == 0 {
		return nil
	}
	return x.Write(part.Body)
}

// start starts the response to the caller with its first part.
func (f *forwardedResponse) start(part wire.ForwardedPart) error {
	r := f.request
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	err := httpheader.ReadResponse(&h, bufio.NewReaderSize(bytes.NewReader(part.Header), len(part.Header)))
	if err != nil || r.exchange.Started() || h.StatusCode() < fasthttp.StatusOK {
		return fmt.Errorf("%w: %w", errForwardLost, errors.Join(errors.New("an unexpected header"), err))
	}
	h.SetNoDefaultContentType(true)
	f.status, f.isStream = h.StatusCode(), r.statesStream(&h)
	// A response to HEAD has the length of a body that it doesn't have.
	f.bounded, f.left = part.Length >= 0 && !httpRequest(r).Header.IsHead(), max(part.Length, 0)
	if err := f.count(part); err != nil {
		return err
	}
	if err := f.recordEvents(part); err != nil {
		return err
	}
	if err := r.exchange.Start(&h, part.Length, part.Body); err != nil {
		return err
	}
	if part.End && part.Length < 0 {
		return r.exchange.Finish(nil)
	}
	return nil
}

// recordEvents records the events of a part of a stream.
func (f *forwardedResponse) recordEvents(part wire.ForwardedPart) error {
	if !f.isStream {
		return nil
	}
	return f.request.recordForwardedEvents(part.Body)
}

// count counts a part's bytes. A body with a length must have neither more nor fewer bytes.
func (f *forwardedResponse) count(part wire.ForwardedPart) error {
	if !f.bounded {
		return nil
	}
	if len(part.Body) > f.left || (part.End && len(part.Body) < f.left) {
		return fmt.Errorf("%w: %w: %d bytes of %d that remain, end %v", errForwardLost, errUnexpectedPart, len(part.Body), f.left, part.End)
	}
	f.left -= len(part.Body)
	return nil
}

// recordForwardedEvents records which events are passed on, so that another host can resume the stream after them. Each part
// of a stream consists of complete events that continue it.
func (r *callerRequest) recordForwardedEvents(body []byte) error {
	scan, err := scanEvents(body, r.lastEventID)
	if err == nil && scan.complete < len(body) {
		err = errNoEventEnd
	}
	if err != nil {
		return fmt.Errorf("%w: callerRequest.recordForwardedEvents: %w", errForwardLost, err)
	}
	r.lastEventID = scan.lastID
	return nil
}

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
)

// Reasons for which a host takes no request of another one.
const (
	refusedStopping = "stopping"
	refusedCutOff   = "cutOff"
	refusedDocument = "olderDocument"
	refusedBusy     = "busy"
)

const (
	// requestTimeout bounds the time between the acceptance of an offer and the request.
	requestTimeout = 1 * time.Second
	// workInterval is the interval at which a host shows that it is at work on a request for which it has nothing to send.
	workInterval = 500 * time.Millisecond
)

// forwardProtocol returns the version of the protocol by which this host takes requests of others; 0 if it takes none now.
func (g *Gateway) forwardProtocol() uint64 {
	if g.stopping.Load() || g.missesServers() || g.lacksUpdate() {
		return 0
	}
	return forwarding.Protocol
}

// serveForwarded serves a connection on which another entry host hands over requests.
func (g *Gateway) serveForwarded(ctx context.Context, c *forward.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan wire.Frame)
	go func() {
		// The other host closes the connection when its caller is gone.
		defer cancel()
		for {
			f, err := c.Receive(0)
			if err != nil {
				return
			}
			select {
			case frames <- f:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-frames:
			if err := g.handleForward(ctx, c, f, frames); err != nil {
				g.logProblem("forwardBroken").Err(err).Msg("ended a connection of another entry host")
				return
			}
		}
	}
}

func (g *Gateway) handleForward(ctx context.Context, c *forward.Conn, f wire.Frame, frames <-chan wire.Frame) error {
	switch {
	case f.ReachQuery != nil:
		return c.Send(wire.Frame{ForwardReply: g.answerReach(*f.ReachQuery)})
	case f.ForwardOffer != nil:
		return g.handleOffer(ctx, c, *f.ForwardOffer, frames)
	}
	return errors.New("Gateway.handleForward: an unexpected frame")
}

// handleOffer answers an offer and serves the request that follows if it is accepted.
func (g *Gateway) handleOffer(ctx context.Context, c *forward.Conn, offer wire.ForwardOffer, frames <-chan wire.Frame) error {
	reason := g.admitOffer(offer)
	if reason != "" {
		g.telemetry.Count("forward_offers", "result", reason)
		return c.Send(wire.Frame{ForwardReply: &wire.ForwardReply{Reason: reason}})
	}
	defer g.releaseOffer(offer)
	g.telemetry.Count("forward_offers", "result", "accepted")
	if err := c.Send(wire.Frame{ForwardReply: &wire.ForwardReply{}}); err != nil {
		return err
	}
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return errors.New("Gateway.handleOffer: no request followed an accepted offer")
	case f := <-frames:
		if f.ForwardedRequest == nil {
			return errors.New("Gateway.handleOffer: an unexpected frame")
		}
		return g.serveRequest(ctx, c, offer.Host, *f.ForwardedRequest)
	}
}

// admitOffer returns why this host doesn't take a request, or an empty string. The document must not be older than that of
// the host that asks, by which an earlier request of the same caller may have been handled.
func (g *Gateway) admitOffer(offer wire.ForwardOffer) string {
	switch {
	case g.stopping.Load():
		return refusedStopping
	case g.missesServers():
		return refusedCutOff
	case g.lacksUpdate() || g.subscription.documentVersion() < offer.Version:
		return refusedDocument
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.intake.Admit(g.clock.Now(), offer.Bytes) {
		return refusedBusy
	}
	return ""
}

func (g *Gateway) releaseOffer(offer wire.ForwardOffer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.intake.Release(offer.Bytes)
}

// forwardedInFlight returns the number of requests of other hosts that are being served.
func (g *Gateway) forwardedInFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intake.InFlight()
}

// serveRequest serves a request of another host. An error means that the connection can't be used any more.
func (g *Gateway) serveRequest(ctx context.Context, c *forward.Conn, from string, f wire.ForwardedRequest) error {
	x := &forwardedExchange{conn: c, arrival: g.clock.Now().Add(-time.Duration(f.ElapsedMs) * time.Millisecond), started: f.Resumed, chunked: f.Resumed}
	if err := x.request.Header.Read(bufio.NewReaderSize(bytes.NewReader(f.Header), len(f.Header))); err != nil {
		return fmt.Errorf("Gateway.serveRequest: %w", err)
	}
	x.request.SetBodyRaw(f.Body)
	r := g.newRequest(x)
	r.forwarded, r.receivedBy, r.sends, r.mayHaveRun, r.counted, r.lastEventID = true, from, f.Sends, f.MayHaveRun, f.Counted, f.LastEventID
	stop := x.showWork()
	g.serve(ctx, r)
	stop()
	if x.failed || !x.ended {
		return errors.New("Gateway.serveRequest: the response is not complete")
	}
	return nil
}

// answerReach dials servers for another host and returns which of them this one reaches.
func (g *Gateway) answerReach(q wire.ReachQuery) *wire.ForwardReply {
	if g.stopping.Load() || g.missesServers() {
		return &wire.ForwardReply{Reason: refusedCutOff}
	}
	targets := g.knownTargets(q.Servers)
	missed := g.dialAll(targets)
	reply := &wire.ForwardReply{Reached: []string{}}
	for _, t := range targets {
		if !slices.Contains(missed, t) {
			reply.Reached = append(reply.Reached, t.ID)
		}
	}
	return reply
}

// knownTargets returns those of the servers that are endpoints here; no other address is dialled.
func (g *Gateway) knownTargets(servers []wire.ServerAddress) []placement.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []placement.Target
	for _, s := range servers {
		if t := (placement.Target{ID: s.ID, Address: s.Address}); g.balancer.Knows(t) {
			known = append(known, t)
		}
	}
	return known
}

// forwardedExchange is the exchange with another entry host for its caller. It implements savorywing.Exchange.
type forwardedExchange struct {
	request fasthttp.Request
	conn    *forward.Conn
	arrival time.Time
	started bool
	// chunked reports whether Finish marks the end of the body; otherwise remaining is the number of body bytes to come.
	chunked   bool
	remaining int
	// ended reports whether the last part was sent, and failed whether the response was aborted or could not be sent.
	ended, failed bool
}

// HTTPRequest implements savorywing.Exchange.
func (x *forwardedExchange) HTTPRequest() *fasthttp.Request { return &x.request }

// Arrival implements savorywing.Exchange. It is the time at which the other host received the request.
func (x *forwardedExchange) Arrival() time.Time { return x.arrival }

// Started implements savorywing.Exchange.
func (x *forwardedExchange) Started() bool { return x.started }

// WriteError implements savorywing.Exchange.
func (x *forwardedExchange) WriteError(e savorywing.ErrorResponse) {
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(e.Status)
	h.SetContentType("text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if e.SetHeaders != nil {
		e.SetHeaders(&h)
	}
	body := e.Reason + "\n"
	if err := x.Start(&h, len(body), []byte(body)); err != nil {
		x.failed = true
	}
}

// Start implements savorywing.Exchange.
func (x *forwardedExchange) Start(h *fasthttp.ResponseHeader, length int, first []byte) error {
	if x.started {
		return errors.New("forwardedExchange.Start: a response was already started")
	}
	x.started, x.chunked, x.remaining = true, length < 0, length-len(first)
	h.SetContentLength(max(length, -1))
	return x.send(wire.ForwardedPart{Header: h.Header(), Length: length, Body: first, End: !x.chunked && (x.remaining == 0 || x.request.Header.IsHead())})
}

// Write implements savorywing.Exchange.
func (x *forwardedExchange) Write(p []byte) error {
	x.remaining -= len(p)
	return x.send(wire.ForwardedPart{Body: p, End: !x.chunked && x.remaining == 0})
}

// Finish implements savorywing.Exchange.
func (x *forwardedExchange) Finish(last []byte) error {
	if x.ended {
		return nil
	}
	return x.send(wire.ForwardedPart{Body: last, End: true})
}

// Abort implements savorywing.Exchange.
func (x *forwardedExchange) Abort() { x.failed = true }

// decline hands the request back, which has not run.
func (x *forwardedExchange) decline(reason string) {
	if err := x.send(wire.ForwardedPart{Declined: reason, End: true}); err != nil {
		x.failed = true
	}
}

func (x *forwardedExchange) send(p wire.ForwardedPart) error {
	if err := x.conn.Send(wire.Frame{ForwardedPart: &p}); err != nil {
		x.failed = true
		return fmt.Errorf("forwardedExchange.send: %w", err)
	}
	x.ended = x.ended || p.End
	return nil
}

// showWork sends parts without content until the returned function is called.
func (x *forwardedExchange) showWork() (stop func()) {
	done := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		ticker := time.NewTicker(workInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if x.conn.Send(wire.Frame{ForwardedPart: &wire.ForwardedPart{}}) != nil {
					return
				}
			}
		}
	})
	return func() {
		close(done)
		sender.Wait()
	}
}

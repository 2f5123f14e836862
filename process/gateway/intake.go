package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// Reasons for which a host takes no request of another one.
const (
	refusedStopping = "stopping"
	refusedCutOff   = "cutOff"
	refusedDocument = "olderDocument"
	refusedBusy     = "busy"
	refusedLate     = "late"
	refusedTooLarge = "tooLarge"
)

// requestTimeout bounds the time between the acceptance of an offer and the request.
const requestTimeout = 1 * time.Second

const (
	// frameOverhead is how many bytes the frame of a request may have beyond its body and its header: its encoding and trailers.
	frameOverhead = 16 << 10
	// frameCopies is how often the frame of a request is held while it is decoded, or moved to a larger buffer.
	frameCopies = 2
	// frameDiscardTime is how long the rest of a frame is read that is refused.
	frameDiscardTime = 300 * time.Millisecond
)

// maxForwardedBytes returns the largest body and header that a caller may send, and what a header has of it.
func (g *Gateway) maxForwardedBytes() (whole, header int) {
	l := g.limits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = fallbackHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = codec.MaxFrame
	}
	return min(codec.MaxFrame-frameOverhead, l.MaxBodyBytes+l.MaxHeaderBytes), l.MaxHeaderBytes
}

// maxFrame returns the largest frame of a request whose offer states some bytes. The request line isn't stated.
func (g *Gateway) maxFrame(stated int) int {
	whole, header := g.maxForwardedBytes()
	return min(whole, stated+header) + frameOverhead
}

// forwardProtocol returns the version of the protocol by which this host takes requests of others; 0 if it takes none now.
func (g *Gateway) forwardProtocol() uint64 {
	if g.stopping.Load() || !g.hasSoundPaths() || g.lacksUpdate() {
		return 0
	}
	return forwarding.Protocol
}

// serveForwarded serves a connection on which another entry host hands over requests.
func (g *Gateway) serveForwarded(ctx context.Context, c *forward.Conn) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.expiring, func() { cancel(context.Cause(g.expiring)) })()
	frames := make(chan wire.Frame)
	go func() {
		// The other host closes the connection when its caller is gone.
		defer cancel(ingress.ErrCallerGone)
		for {
			f, err := c.Receive(0)
			if errors.Is(err, forward.ErrTooLarge) {
				cancel(forward.ErrTooLarge)
			}
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
			if errors.Is(context.Cause(ctx), forward.ErrTooLarge) {
				g.logProblem("forwardBroken").Err(forward.ErrTooLarge).Msg("ended a connection of another entry host")
				c.Discard(frameDiscardTime)
			}
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
		return g.refuseOffer(c, reason)
	}
	defer g.releaseOffer(offer)
	size := g.maxFrame(offer.Bytes)
	room := g.memory.Announce(frameCopies * size)
	if room == nil {
		return g.refuseOffer(c, refusedBusy)
	}
	defer room.End()
	g.telemetry.Count("forward_offers", "result", "accepted")
	c.Expect(size)
	if err := c.Send(wire.Frame{ForwardReply: &wire.ForwardReply{}}); err != nil {
		return err
	}
	return g.awaitRequest(ctx, c, offer, room, frames)
}

func (g *Gateway) refuseOffer(c *forward.Conn, reason string) error {
	g.telemetry.Count("forward_offers", "result", reason)
	return c.Send(wire.Frame{ForwardReply: &wire.ForwardReply{Reason: reason}})
}

// awaitRequest waits for the request of an accepted offer, for which there is room, and serves it.
func (g *Gateway) awaitRequest(ctx context.Context, c *forward.Conn, offer wire.ForwardOffer, room *ingress.Announcement, frames <-chan wire.Frame) error {
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), forward.ErrTooLarge) {
			return decline(c, refusedTooLarge)
		}
		if err := decline(c, refusedLate); err != nil && !errors.Is(context.Cause(ctx), ingress.ErrCallerGone) {
			return err
		}
		return nil
	case <-timer.C:
		return errors.Join(errNoRequest, decline(c, refusedLate))
	case f := <-frames:
		if f.ForwardedRequest == nil {
			return errors.New("Gateway.awaitRequest: an unexpected frame")
		}
		room.Keep(len(f.ForwardedRequest.Body) + len(f.ForwardedRequest.Header))
		return g.serveRequest(ctx, c, offer.Host, *f.ForwardedRequest)
	}
}

// errNoRequest means that no request followed an accepted offer in time.
var errNoRequest = errors.New("no request followed an accepted offer")

// decline hands back the request of an accepted offer that may still arrive, since the connection ends before it is read.
func decline(c *forward.Conn, reason string) error {
	return c.Send(wire.Frame{ForwardedPart: &wire.ForwardedPart{Declined: reason, End: true}})
}

// admitOffer returns why this host doesn't take a request, or an empty string. The document must not be older than that of
// the host that asks, by which an earlier request of the same caller may have been handled.
func (g *Gateway) admitOffer(offer wire.ForwardOffer) string {
	switch {
	case g.stopping.Load():
		return refusedStopping
	case !g.hasSoundPaths() || g.isInDoubt():
		return refusedCutOff
	case g.lacksUpdate() || g.subscription.documentVersion() < offer.Version:
		return refusedDocument
	}
	if whole, _ := g.maxForwardedBytes(); offer.Bytes > whole {
		return refusedTooLarge
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
	r.retryPaid, r.sendsBefore = f.RetryPaid, f.Sends
	stop := x.showWork()
	g.serve(ctx, r)
	stop()
	if x.failed || !x.ended {
		return errors.New("Gateway.serveRequest: the response is not complete")
	}
	return nil
}

// answerReach returns which servers answer this host. It asks those of which it knows nothing recent enough.
func (g *Gateway) answerReach(q wire.ReachQuery) *wire.ForwardReply {
	if g.stopping.Load() || g.pathState() != reach.Direct {
		return &wire.ForwardReply{Reason: refusedCutOff}
	}
	reached, open := g.evidence(q)
	answering := g.answering(open)
	if q.WithinMs == 0 && len(answering) < len(open) {
		// Paths may have been lost between an answer and a miss; the servers that were missed haven't ended then.
		answering = g.answering(answering)
	}
	for _, t := range answering {
		reached = append(reached, t.ID)
	}
	return &wire.ForwardReply{Reached: reached}
}

// answering asks servers for their status and returns those that answer.
func (g *Gateway) answering(targets []placement.Target) []placement.Target {
	missed := g.askServers(targets, func() {})
	return slices.DeleteFunc(slices.Clone(targets), func(t placement.Target) bool {
		return slices.ContainsFunc(missed, func(s wire.ServerAddress) bool { return s.ID == t.ID })
	})
}

// evidence returns which servers of a query are known to have answered this host, and which must be asked. Those that are no
// endpoints here are neither; no other address is dialled.
func (g *Gateway) evidence(q wire.ReachQuery) (reached []string, open []placement.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, within := g.clock.Now(), time.Duration(min(max(0, q.WithinMs), queryTimeout.Milliseconds()))*time.Millisecond
	reached = []string{}
	seen := map[placement.Target]bool{}
	for _, s := range q.Servers {
		t := placement.Target{ID: s.ID, Address: s.Address}
		if seen[t] || !g.balancer.Knows(t) {
			continue
		}
		seen[t] = true
		switch g.answers.Evidence(now, s.ID, within, s.Refused) {
		case reach.Answered:
			reached = append(reached, s.ID)
		case reach.Unknown:
			open = append(open, t)
		case reach.Missed:
		}
	}
	return reached, open
}

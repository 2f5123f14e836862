package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var errEventOrder = errors.New("events don't continue after the last one delivered")

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// relayEvents relays a stream in complete events as they arrive, so that another server can continue after the
// last one delivered.
func (r *callerRequest) relayEvents(ctx context.Context, a *engine.Response, d placement.Decision, reservation *placement.Reservation, w *stallWatch) (outcome, placement.Result) {
	g := r.gateway
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	last := time.Time{}
	for {
		n, err := a.Read(buf)
		if n > 0 {
			now := g.clock.Now()
			w.progressed(now)
			r.recordEventTimes(now, last)
			g.recordProgress(reservation, now, last)
			last = now
			pending = append(pending, buf[:n]...)
		}
		complete, rest := splitEvents(pending)
		if errors.Is(err, io.EOF) {
			complete, rest = pending, nil
		}
		if len(rest) > maxEventBytes {
			return r.sendFailed(ctx, d, errEventOrder)
		}
		if oerr := r.checkSequence(complete); oerr != nil {
			return r.sendFailed(ctx, d, oerr)
		}
		if werr := r.deliver(a, complete, errors.Is(err, io.EOF)); werr != nil {
			return outcomeCallerGone, placement.CallerGone
		}
		pending = append(pending[:0], rest...)
		if errors.Is(err, io.EOF) {
			r.recordServed(d, a.Header.StatusCode())
			return outcomeDone, placement.Served
		}
		if err != nil {
			return r.sendFailed(ctx, d, fmt.Errorf("callerRequest.relayEvents: %w", err))
		}
	}
}

// recordEventTimes records the times that decide whether a stream is on time.
func (r *callerRequest) recordEventTimes(now, last time.Time) {
	if r.firstEvent == 0 {
		r.firstEvent = now.Sub(r.exchange.Arrival())
	} else if !last.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(last))
	}
}

// splitEvents returns the complete events in p and the beginning of the next one.
func splitEvents(p []byte) (complete, rest []byte) {
	end := bytes.LastIndex(p, eventEnd)
	if end < 0 {
		return nil, p
	}
	return p[:end+len(eventEnd)], p[end+len(eventEnd):]
}

// checkSequence checks that events continue after the last one delivered, and records the id of the last of them.
func (r *callerRequest) checkSequence(events []byte) error {
	next := r.lastEventID
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("callerRequest.checkSequence: %w", err)
		}
		if next >= 0 && id != next+1 {
			return fmt.Errorf("callerRequest.checkSequence: got event %d after event %d: %w", id, next, errEventOrder)
		}
		next = id
	}
	r.lastEventID = next
	return nil
}

func (r *callerRequest) deliver(a *engine.Response, events []byte, end bool) error {
	if !r.exchange.Started() && (len(events) > 0 || end) {
		r.gateway.dialect.StripConnectionHeaders(&a.Header)
		if err := r.exchange.Start(&a.Header, -1, events); err != nil {
			return err
		}
		events = nil
	}
	if end {
		return r.exchange.Finish(events)
	}
	if len(events) == 0 {
		return nil
	}
	return r.exchange.Write(events)
}

func (g *Gateway) recordProgress(t *placement.Reservation, now, last time.Time) {
	gap := time.Duration(0)
	if !last.IsZero() {
		gap = now.Sub(last)
	}
	g.mu.Lock()
	g.balancer.RecordProgress(now, t, gap)
	g.mu.Unlock()
}

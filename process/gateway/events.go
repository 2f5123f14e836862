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

// errEventOrder means that a stream's event ids don't continue after the last event delivered, or that an unfinished
// event is larger than maxEventBytes.
var errEventOrder = errors.New("events don't continue after the last one delivered")

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// relayEvents relays a stream in complete events as they arrive, so that another server can continue after the
// last one delivered.
func (r *callerRequest) relayEvents(ctx context.Context, response *engine.Response, d placement.Decision, reservation *placement.Reservation, w *stallWatch) (outcome, placement.Result) {
	g := r.gateway
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	last := time.Time{}
	for {
		n, err := response.Read(buf)
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
		if orderErr := r.checkSequence(complete); orderErr != nil {
			return r.sendFailed(ctx, d, orderErr)
		}
		if werr := r.deliver(response, complete, errors.Is(err, io.EOF)); werr != nil {
			return outcomeCallerGone, placement.CallerGone
		}
		pending = append(pending[:0], rest...)
		if errors.Is(err, io.EOF) {
			r.recordServed(d, response)
			return outcomeDone, placement.Served
		}
		if err != nil {
			return r.sendFailed(ctx, d, fmt.Errorf("callerRequest.relayEvents: %w", err))
		}
	}
}

// recordEventTimes records the time to the first event and the longest gap, which decide whether a stream is on time.
// It is called for each read that returned data, which may hold a part of an event or several events.
func (r *callerRequest) recordEventTimes(now, last time.Time) {
	if r.firstEvent == 0 {
		r.firstEvent = now.Sub(r.exchange.Arrival())
	} else if !last.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(last))
	}
}

// splitEvents splits p into complete events and the beginning of the next one.
func splitEvents(p []byte) (complete, rest []byte) {
	end := bytes.LastIndex(p, eventEnd)
	if end < 0 {
		return nil, p
	}
	return p[:end+len(eventEnd)], p[end+len(eventEnd):]
}

// checkSequence checks that events continue after the last one delivered, and records the id of the last of them.
func (r *callerRequest) checkSequence(events []byte) error {
	lastID := r.lastEventID
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("callerRequest.checkSequence: %w", err)
		}
		if lastID >= 0 && id != lastID+1 {
			return fmt.Errorf("callerRequest.checkSequence: got event %d after event %d: %w", id, lastID, errEventOrder)
		}
		lastID = id
	}
	r.lastEventID = lastID
	return nil
}

func (r *callerRequest) deliver(response *engine.Response, events []byte, end bool) error {
	if !r.exchange.Started() && (len(events) > 0 || end) {
		r.gateway.dialect.StripConnectionHeaders(&response.Header)
		if err := r.exchange.Start(&response.Header, -1, events); err != nil {
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

func (g *Gateway) recordProgress(reservation *placement.Reservation, now, last time.Time) {
	gap := time.Duration(0)
	if !last.IsZero() {
		gap = now.Sub(last)
	}
	g.mu.Lock()
	g.balancer.RecordProgress(now, reservation, gap)
	g.mu.Unlock()
}

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

// Errors of streams, after which another server can continue.
var (
	// errEventOrder means that a stream's event ids don't continue after the last event delivered, or that an unfinished
	// event is larger than maxEventBytes.
	errEventOrder = errors.New("events don't continue after the last one delivered")
	// errNoEventEnd means that a stream ended inside an event, or before its first one without stating its end.
	errNoEventEnd = errors.New("the stream ended inside an event")
)

var idField = []byte("id:")

// relayEvents relays a stream in complete events as they arrive, so that another server can continue after the
// last one delivered.
func (r *callerRequest) relayEvents(ctx context.Context, response *engine.Response, d placement.Decision, reservation *placement.Reservation, w *stallWatch) (outcome, placement.Result) {
	g := r.gateway
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	last := time.Time{}
	hasEvents := false
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
		end, lastID, orderErr := scanEvents(pending, r.lastEventID)
		if orderErr == nil && len(pending)-end > maxEventBytes {
			orderErr = errEventOrder
		}
		if orderErr != nil {
			return r.sendFailed(ctx, d, fmt.Errorf("callerRequest.relayEvents: %w", orderErr))
		}
		hasEvents = hasEvents || end > 0
		ended := errors.Is(err, io.EOF)
		if ended && !isStreamEnd(pending[end:], hasEvents, response.Framing()) {
			ended, err = false, fmt.Errorf("%w after %d bytes of it, framing %s", errNoEventEnd, len(pending)-end, response.Framing())
		}
		if werr := r.deliver(response, pending[:end], ended); werr != nil {
			return outcomeCallerGone, placement.CallerGone
		}
		r.lastEventID = lastID
		pending = append(pending[:0], pending[end:]...)
		if ended {
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

// scanEvents returns the length of the complete events at the beginning of p, and the id of the last of them, or lastID
// if none has an id. An empty line ends an event; lines end with LF or CRLF. The first id must follow lastID, unless that
// is negative, and each further one its predecessor.
func scanEvents(p []byte, lastID int64) (end int, newLastID int64, err error) {
	newLastID = lastID
	var idValue []byte
	for pos := 0; ; {
		length := bytes.IndexByte(p[pos:], '\n')
		if length < 0 {
			return end, newLastID, nil
		}
		line := bytes.TrimSuffix(p[pos:pos+length], []byte("\r"))
		pos += length + 1
		if value, found := bytes.CutPrefix(line, idField); found {
			idValue = value
		}
		if len(line) > 0 {
			continue
		}
		if idValue != nil {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(idValue)), 10, 64)
			if err != nil {
				return end, newLastID, fmt.Errorf("scanEvents: %w", err)
			}
			if newLastID >= 0 && id != newLastID+1 {
				return end, newLastID, fmt.Errorf("scanEvents: got event %d after event %d: %w", id, newLastID, errEventOrder)
			}
			newLastID, idValue = id, nil
		}
		end = pos
	}
}

// isStreamEnd reports whether a stream whose input has ended may be complete. rest is what follows its last complete
// event. A stream that ends with its connection can't state that it has no events, as a server does that resumes after
// the last one.
func isStreamEnd(rest []byte, hasEvents bool, framing engine.Framing) bool {
	return len(rest) == 0 && (hasEvents || framing != engine.FramingUntilClose)
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

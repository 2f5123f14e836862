package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/process/placement"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds the bytes that are held back until an event with an id is complete.
	maxEventBytes = 256 << 10
)

// Errors of streams, after which another server can continue.
var (
	// errEventOrder means that a stream's event ids don't continue after the last event delivered.
	errEventOrder = errors.New("events don't continue after the last one delivered")
	// errNoEvent means that maxEventBytes hold no complete event with an id.
	errNoEvent = errors.New("got no event")
	// errEventField means that a line is no field of an event, as of a response that was written into the stream.
	errEventField = errors.New("got a line that is no field of an event")
	// errNotContinued means that a response to a request to resume a stream is none that continues it.
	errNotContinued = errors.New("the response doesn't continue the stream")
	// errNoEventEnd means that a stream ended inside an event, or before its first one without stating its end.
	errNoEventEnd = errors.New("the stream ended inside an event")
)

// relayEvents relays a stream in complete events as they arrive, so that another server can continue after the
// last one delivered. Bytes without an id are held back until an event with one follows, or the stream ends: they may
// be no events at all.
func (a *attempt) relayEvents(response *engine.Response) (outcome, placement.Result) {
	r, g := a.request, a.request.gateway
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	previous, last := time.Time{}, time.Time{}
	hasEvents := false
	for {
		n, err := response.Read(buf)
		pending = append(pending, buf[:n]...)
		scan, scanErr := scanEvents(pending, a.lastEventID)
		if scanErr == nil && len(pending)-scan.numbered > maxEventBytes {
			scanErr = errNoEvent
		}
		if scan.numbered > 0 {
			now := g.clock.Now()
			a.watch.progressed(now)
			a.recordEvent(now)
			g.recordProgress(a.reservation, now, last)
			previous, last, hasEvents = last, now, true
		}
		end, ended := scan.numbered, errors.Is(err, io.EOF) && scanErr == nil
		if ended {
			if err = a.checkStreamEnd(response, pending, scan, hasEvents); err == nil {
				end = scan.complete
			}
			ended = err == nil
		}
		werr := a.deliverEvents(response, pending[:end], ended, func() {
			if scan.numbered > 0 {
				r.recordEventTimes(last, previous)
			}
			r.lastEventID = scan.lastID
		})
		if werr != nil {
			return a.deliverFailed(werr)
		}
		a.lastEventID = scan.lastID
		pending = append(pending[:0], pending[end:]...)
		if scanErr != nil {
			return a.fail(fmt.Errorf("attempt.relayEvents: %w", scanErr))
		}
		if ended {
			a.recordSurvival(g.clock.Now())
			a.recordServed(response)
			return outcomeDone, placement.Served
		}
		if err != nil {
			return a.fail(fmt.Errorf("attempt.relayEvents: %w", err))
		}
	}
}

// checkStreamEnd returns why a stream whose input has ended is not complete, or nil. pending is what isn't passed on yet.
func (a *attempt) checkStreamEnd(response *engine.Response, pending []byte, scan eventScan, hasEvents bool) error {
	rest := pending[scan.complete:]
	switch {
	case !isStreamEnd(rest, hasEvents, response.Framing()):
		return fmt.Errorf("%w after %d bytes of it, framing %s", errNoEventEnd, len(rest), response.Framing())
	case a.request.hasStarted() && !hasEvents && !isEmptyStream(response, pending):
		return errNotContinued
	}
	return nil
}

// deliverEvents passes events on to the caller, after record was called, if there are any or the stream has ended.
func (a *attempt) deliverEvents(response *engine.Response, events []byte, ended bool, record func()) error {
	if len(events) == 0 && !ended {
		return nil
	}
	err := a.deliver(func() error {
		record()
		return a.request.passEvents(response, events, ended)
	})
	// Waiting for the caller isn't the server's silence.
	a.watch.progressed(a.request.gateway.clock.Now())
	return err
}

// recordEventTimes records the time to the first event and the longest gap, which decide whether a stream is on time.
// It is called for each read that completed an event or several.
func (r *callerRequest) recordEventTimes(now, last time.Time) {
	if r.firstEvent == 0 {
		r.firstEvent = now.Sub(r.exchange.Arrival())
	} else if !last.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(last))
	}
}

// eventScan is what scanEvents finds in the bytes of a stream.
type eventScan struct {
	// complete is the length of the complete events, and numbered that of the part up to the last one with an id.
	numbered, complete int
	// lastID is the id of the last complete event that has one.
	lastID int64
}

// scanEvents finds the complete events at the beginning of p. An empty line ends an event; lines end with LF or CRLF. The
// first id must follow lastID, unless that is negative, and each further one its predecessor. After an error, the events
// before it are found.
func scanEvents(p []byte, lastID int64) (eventScan, error) {
	s := eventScan{lastID: lastID}
	var event eventFields
	for pos := 0; ; {
		length := bytes.IndexByte(p[pos:], '\n')
		if length < 0 {
			return s, nil
		}
		line := bytes.TrimSuffix(p[pos:pos+length], []byte("\r"))
		pos += length + 1
		if len(line) > 0 {
			if err := event.add(line); err != nil {
				return s, fmt.Errorf("scanEvents: %w", err)
			}
			continue
		}
		if err := event.end(&s, pos); err != nil {
			return s, fmt.Errorf("scanEvents: %w", err)
		}
		event = eventFields{}
	}
}

// eventFields is what the lines of one event state.
type eventFields struct {
	// id is the value of the last field of that name; nil without one. It is a part of the bytes that are scanned.
	id []byte
	// isExtended reports whether the event has a field that the standard of event streams doesn't define.
	isExtended bool
}

// add adds a line. Fields that the standard of event streams doesn't define have names in lower case and precede the id, so
// that the header of a response that is written into an event can't be taken for fields of it.
func (e *eventFields) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.id = value
		return nil
	case "", "data", "event", "retry":
		return nil
	}
	if !found || e.id != nil || bytes.IndexFunc(name, isNoNameRune) >= 0 {
		return fmt.Errorf("%w: %.40q", errEventField, line)
	}
	e.isExtended = true
	return nil
}

func isNoNameRune(c rune) bool {
	return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_'
}

// end adds the event, which ends at a position, to a scan. Without an id, it may only have fields that the standard defines.
func (e *eventFields) end(s *eventScan, pos int) error {
	switch {
	case e.id != nil:
		id, err := strconv.ParseInt(string(bytes.TrimSpace(e.id)), 10, 64)
		if err != nil {
			return err
		}
		if s.lastID >= 0 && id != s.lastID+1 {
			return fmt.Errorf("got event %d after event %d: %w", id, s.lastID, errEventOrder)
		}
		s.lastID, s.numbered = id, pos
	case e.isExtended:
		return errEventField
	}
	s.complete = pos
	return nil
}

// isStreamEnd reports whether a stream whose input has ended may be complete. rest is what follows its last complete
// event. A stream that ends with its connection can't state that it has no events, as a server does that resumes after
// the last one.
func isStreamEnd(rest []byte, hasEvents bool, framing engine.Framing) bool {
	return len(rest) == 0 && (hasEvents || framing != engine.FramingUntilClose)
}

// isEmptyStream reports whether a response states that no event of a stream is left.
func isEmptyStream(response *engine.Response, body []byte) bool {
	return len(body) == 0 && isEventStream(&response.Header)
}

// isEventStream reports whether a header states the content type of streams of events.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	mediaType, _, err := mime.ParseMediaType(string(h.ContentType()))
	return err == nil && mediaType == "text/event-stream"
}

func (r *callerRequest) passEvents(response *engine.Response, events []byte, end bool) error {
	if !r.exchange.Started() && (len(events) > 0 || end) {
		if err := r.gateway.dialect.StripConnectionHeaders(&response.Header); err != nil {
			return err
		}
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
	g.heardAt.Store(now.UnixNano())
	gap := time.Duration(0)
	if !last.IsZero() {
		gap = now.Sub(last)
	}
	g.mu.Lock()
	g.balancer.RecordProgress(now, reservation, gap)
	g.reach.RecordResponse(now)
	g.answers.Record(now, reservation.ID)
	g.mu.Unlock()
}

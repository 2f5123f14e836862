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
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var errOrder = errors.New("the events don't follow the ones delivered")

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// relayEvents passes a stream on as it comes, whole events only, so that another server can go on behind
// the last one.
func (j *job) relayEvents(ctx context.Context, a *engine.Response, d placement.Decision, ticket *placement.Reservation, w *watch) (ending, placement.Result) {
	g := j.gateway
	var pending []byte
	buf := make([]byte, streamBuffer)
	last := time.Time{}
	for {
		n, err := a.Read(buf)
		if n > 0 {
			now := g.clock.Now()
			w.moved(now)
			j.note(now, last)
			g.noteProgress(ticket, now, last)
			last = now
			pending = append(pending, buf[:n]...)
		}
		whole, rest := splitEvents(pending)
		if errors.Is(err, io.EOF) {
			whole, rest = pending, nil
		}
		if len(rest) > maxEvent {
			return j.sendFailed(ctx, d, errOrder)
		}
		if oerr := j.follow(whole); oerr != nil {
			return j.sendFailed(ctx, d, oerr)
		}
		if werr := j.deliver(a, whole, errors.Is(err, io.EOF)); werr != nil {
			return endGone, placement.CallerGone
		}
		pending = append(pending[:0], rest...)
		if errors.Is(err, io.EOF) {
			j.served(d, a.Header.StatusCode())
			return endAnswered, placement.Served
		}
		if err != nil {
			return j.sendFailed(ctx, d, fmt.Errorf("job.relayEvents: %w", err))
		}
	}
}

// note keeps the times that decide whether a stream is on time.
func (j *job) note(now, last time.Time) {
	if j.first == 0 {
		j.first = now.Sub(j.x.Arrival())
	} else if !last.IsZero() {
		j.longestGap = max(j.longestGap, now.Sub(last))
	}
}

// splitEvents returns the whole events and the beginning of the next one.
func splitEvents(p []byte) (whole, rest []byte) {
	end := bytes.LastIndex(p, eventEnd)
	if end < 0 {
		return nil, p
	}
	return p[:end+len(eventEnd)], p[end+len(eventEnd):]
}

// follow checks that events carry on behind the last one delivered, and remembers the last of them.
func (j *job) follow(events []byte) error {
	next := j.delivered
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return fmt.Errorf("job.follow: %w", err)
		}
		if next >= 0 && id != next+1 {
			return fmt.Errorf("job.follow: event %d after %d: %w", id, next, errOrder)
		}
		next = id
	}
	j.delivered = next
	return nil
}

func (j *job) deliver(a *engine.Response, events []byte, end bool) error {
	if !j.x.Started() && (len(events) > 0 || end) {
		j.gateway.dialect.StripConnectionHeaders(&a.Header)
		if err := j.x.Start(&a.Header, -1, events); err != nil {
			return err
		}
		events = nil
	}
	if end {
		return j.x.Finish(events)
	}
	if len(events) == 0 {
		return nil
	}
	return j.x.Write(events)
}

func (g *Gateway) noteProgress(t *placement.Reservation, now, last time.Time) {
	gap := time.Duration(0)
	if !last.IsZero() {
		gap = now.Sub(last)
	}
	g.mu.Lock()
	g.ledger.RecordProgress(now, t, gap)
	g.mu.Unlock()
}

package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const (
	// tokensPerEvent sets the pause before each event: the time in which an engine decodes this many tokens.
	tokensPerEvent  = 5
	signaturePrefix = "emulated."
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.fleet.mu.Lock()
	unresponsive, dead := s.faults.Unresponsive, s.dead
	s.fleet.mu.Unlock()
	if unresponsive || dead {
		<-s.ctx.Done()
		_ = ctx.Conn().Close()
		return
	}
	if s.dialect().IsStatusQuery(&ctx.Request.Header) {
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
		return
	}
	if s.dialect().IsOrder(&ctx.Request.Header) {
		s.handleOrder(ctx)
		return
	}
	attemptID := string(ctx.Request.Header.Peek(attemptIDHeader(s.dialect())))
	metadata := s.dialect().ReadBackendMetadata(&ctx.Request.Header)
	if metadata.Server != "" && metadata.Server != s.id {
		s.dialect().MarkNotRun(&ctx.Response.Header, attemptID, s.id)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	s.recordColdArrival(time.Now())
	if s.isClosed(ctx, attemptID) || s.hasStatusLine(ctx, attemptID) || s.isEndless(ctx, attemptID) || s.isRefused(ctx, attemptID) || s.isNotResumed(ctx, attemptID, metadata) {
		return
	}
	if s.Engine {
		s.serveStream(ctx, attemptID, metadata)
		return
	}
	s.servePlain(ctx, attemptID)
}

// isClosed adds the notices that faults make the server state, counts the requests that arrive although it has stated
// that it is leaving or closed, and rejects the request if the server is closed.
func (s *Server) isClosed(ctx *fasthttp.RequestCtx, attemptID string) bool {
	f := s.fleet
	now := time.Now()
	f.mu.Lock()
	faults := s.faults
	s.arrivals = append(s.arrivals, now)
	if since := f.evacuated[s.DataCentre]; !since.IsZero() && now.After(since) {
		f.recordViolation("request %s arrived at %s %v after no more may arrive in the evacuated data centre %s", attemptID, s.id, now.Sub(since), s.DataCentre)
	}
	if !s.noticeSince.IsZero() && now.Sub(s.noticeSince) > noticeGrace {
		s.unwanted++
	}
	if s.noticeSince.IsZero() && (faults.StateLeaving || faults.RejectFor > 0) {
		s.noticeSince = now
	}
	f.mu.Unlock()
	s.dialect().WriteServerNotice(&ctx.Response.Header, faults.StateLeaving, faults.RejectFor)
	s.dialect().WriteRequestLimit(&ctx.Response.Header, faults.RequestLimit)
	if faults.RejectFor <= 0 {
		return false
	}
	s.dialect().MarkNotRun(&ctx.Response.Header, attemptID, "")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	return true
}

// isRefused refuses every other request if the server's faults demand it, and repeats the refusal on its connection before the
// response to the next one.
func (s *Server) isRefused(ctx *fasthttp.RequestCtx, attemptID string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.faults.RepeatRefusals {
		return false
	}
	if refusal := s.refusals[ctx.ConnID()]; refusal != nil {
		delete(s.refusals, ctx.ConnID())
		_, err := ctx.Conn().Write(refusal)
		return err != nil
	}
	if s.hasRefused = !s.hasRefused; !s.hasRefused {
		return false
	}
	s.dialect().MarkNotRun(&ctx.Response.Header, attemptID, "")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.SetContentLength(0)
	s.refusals[ctx.ConnID()] = append([]byte{}, ctx.Response.Header.Header()...)
	return true
}

// isNotResumed answers a request to resume a stream with an error if the server's faults demand it.
func (s *Server) isNotResumed(ctx *fasthttp.RequestCtx, attemptID string, metadata savorywing.BackendMetadata) bool {
	s.fleet.mu.Lock()
	status := s.faults.ResumeStatus
	s.fleet.mu.Unlock()
	if status == 0 || metadata.LastEventID < 0 {
		return false
	}
	s.dialect().SignResponse(&ctx.Response.Header, attemptID, signaturePrefix+s.id)
	ctx.SetStatusCode(status)
	ctx.SetBodyString(ErrorText + "\n\n")
	return true
}

// ErrorText is the text of responses that don't resume a stream.
const ErrorText = "busy: come back later"

// hasStatusLine runs a request and responds with the status line that the server's faults demand, if they do.
func (s *Server) hasStatusLine(ctx *fasthttp.RequestCtx, attemptID string) bool {
	s.fleet.mu.Lock()
	line := s.faults.StatusLine
	if line != "" {
		s.fleet.runCounts[attemptID]++
	}
	s.fleet.mu.Unlock()
	if line == "" {
		return false
	}
	h := &ctx.Response.Header
	s.dialect().SignResponse(h, attemptID, signaturePrefix+s.id)
	if s.Engine {
		h.SetContentType("text/event-stream")
	}
	body := "id: 0\ndata: x\n\n"
	text := fmt.Appendf(nil, "%s\r\nContent-Length: %d\r\n%s%s", line, len(body), headerFields(h), body)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write(text) })
	return true
}

// isEndless starts an endless response if the server's faults demand one.
func (s *Server) isEndless(ctx *fasthttp.RequestCtx, attemptID string) bool {
	s.fleet.mu.Lock()
	kind := s.faults.Endless
	if kind != NotEndless && kind != EndlessRejection {
		s.fleet.runCounts[attemptID]++
	}
	s.fleet.mu.Unlock()
	if kind == NotEndless {
		return false
	}
	start, repeated := s.endlessResponse(kind, &ctx.Response.Header, attemptID)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		began := time.Now()
		_, err := c.Write(start)
		for err == nil && s.ctx.Err() == nil {
			_, err = c.Write(repeated)
			time.Sleep(endlessInterval)
		}
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.longestEndless = max(s.longestEndless, time.Since(began))
	})
	return true
}

// endlessInterval is the pause between two pieces of an endless response.
const endlessInterval = 2 * time.Millisecond

// endlessResponse returns the beginning of an endless response, and the piece that is then sent again and again.
func (s *Server) endlessResponse(kind Endless, h *fasthttp.ResponseHeader, attemptID string) (start, repeated []byte) {
	noise := bytes.Repeat([]byte("0123456789abcde\n"), endlessPieceBytes/16)
	h.SetContentType("text/event-stream")
	switch kind {
	case EndlessNoise:
		return nil, noise
	case EndlessHeader:
		return []byte("HTTP/1.1 200 OK\r\n"), []byte("X-Filler: 0123456789\r\n")
	case EndlessInformational:
		return nil, []byte("HTTP/1.1 100 Continue\r\n\r\n")
	case EndlessRejection:
		s.dialect().MarkNotRun(h, attemptID, "")
		return append([]byte("HTTP/1.1 503 Service Unavailable\r\n"), headerFields(h)...), noise
	}
	s.dialect().SignResponse(h, attemptID, signaturePrefix+s.id)
	switch kind {
	case EndlessUnsignedBody:
		for k, v := range h.All() {
			if bytes.HasPrefix(v, []byte(signaturePrefix)) {
				h.Del(string(k))
			}
		}
	case EndlessEvents:
		noise = bytes.ReplaceAll(noise, []byte("\n"), []byte("\n\n"))
	}
	return append([]byte("HTTP/1.1 200 OK\r\n"), headerFields(h)...), noise
}

// endlessPieceBytes is the size of one piece of an endless body.
const endlessPieceBytes = 4 << 10

// noticeGrace is how long after a server's first notice requests may still arrive.
const noticeGrace = 500 * time.Millisecond

// attemptIDHeader returns the name of the header that carries the ID of the caller's attempt. It finds the name by
// writing such a header.
func attemptIDHeader(d savorywing.EmulatorDialect) string {
	var h fasthttp.RequestHeader
	d.WriteCallerMetadata(&h, savorywing.CallerMetadata{AttemptID: "n", LastEventID: -1})
	name := ""
	for k, v := range h.All() {
		if string(v) == "n" {
			name = string(k)
		}
	}
	return name
}

func (s *Server) servePlain(ctx *fasthttp.RequestCtx, attemptID string) {
	f := s.fleet
	f.mu.Lock()
	f.runCounts[attemptID]++
	loseResponse, bodyBytes, lethal := s.faults.LoseResponse, s.faults.BodyBytes, f.isLethal(nil, ctx.PostBody())
	f.mu.Unlock()
	time.Sleep(f.cfg.PlainServiceTime)
	if lethal {
		s.crash()
	}
	f.mu.Lock()
	dead := s.dead
	f.mu.Unlock()
	if dead {
		_ = ctx.Conn().Close()
		return
	}
	if loseResponse {
		_ = ctx.Conn().Close()
		return
	}
	s.dialect().SignResponse(&ctx.Response.Header, attemptID, signaturePrefix+s.id)
	if bodyBytes > 0 {
		ctx.SetBody(make([]byte, bodyBytes))
		return
	}
	ctx.SetBodyString("done by " + s.id)
}

// closeIdle closes an idle connection some time later if the server's faults demand it, whatever has arrived meanwhile.
func (s *Server) closeIdle(c net.Conn, state fasthttp.ConnState) {
	s.fleet.mu.Lock()
	after := s.faults.CloseAfter
	s.fleet.mu.Unlock()
	if state == fasthttp.StateIdle && after > 0 {
		time.AfterFunc(after, func() { _ = c.Close() })
	}
}

// serveStream responds with a stream of events, each after the time of tokensPerEvent steps. The group's requests run
// concurrently.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, attemptID string, metadata savorywing.BackendMetadata) {
	f := s.fleet
	f.mu.Lock()
	full := int(s.inFlight.Load()) >= s.Slots
	if s.rank != 0 || s.state != stateOpen || full {
		f.mu.Unlock()
		s.dialect().MarkNotRun(&ctx.Response.Header, attemptID, "")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	f.checkRun(s, attemptID)
	lethal := f.isLethal(s.dialect().ReadSharedParts(&ctx.Request.Header), ctx.PostBody())
	faults := s.faults
	epoch, model := s.epoch, f.model(s.model)
	f.mu.Unlock()
	s.inFlight.Add(1)
	s.dialect().SignResponse(&ctx.Response.Header, attemptID, signaturePrefix+s.id)
	ctx.SetContentType("text/event-stream")
	pause := time.Duration(model.TimeFactor * float64(tokensPerEvent*f.cfg.Engine.StepTime))
	write := func(w *bufio.Writer) (complete bool) {
		defer s.inFlight.Add(-1)
		if lethal {
			faults.TruncateAfter, faults.PartialEvent = int(metadata.LastEventID)+2, true
		}
		complete = s.writeEvents(w, metadata.LastEventID+1, pause, epoch, faults)
		if lethal {
			s.crash()
		}
		return complete
	}
	if faults.Framing == UntilClose {
		header := append([]byte("HTTP/1.1 200 OK\r\n"), headerFields(&ctx.Response.Header)...)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			w := bufio.NewWriter(c)
			if _, err := w.Write(header); err == nil {
				write(w)
			}
		})
		return
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if !write(w) && faults.Framing != ChunkedToTheEnd {
			_ = conn.Close()
		}
	})
}

// headerFields returns the fields of a header, and the empty line after it, without those that state how the body ends.
func headerFields(h *fasthttp.ResponseHeader) []byte {
	var b []byte
	for k, v := range h.All() {
		if string(k) != fasthttp.HeaderContentLength && string(k) != fasthttp.HeaderTransferEncoding {
			b = fmt.Appendf(b, "%s: %s\r\n", k, v)
		}
	}
	return append(b, "\r\n"...)
}

// writeEvents writes the events of a stream and reports whether it wrote all of them.
func (s *Server) writeEvents(w *bufio.Writer, first int64, pause time.Duration, epoch uint64, faults Faults) bool {
	for id := first; id < eventsPerStream; id++ {
		time.Sleep(pause)
		if !s.waitWhileStalled(epoch) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		if faults.TruncateAfter > 0 && int(id) >= faults.TruncateAfter {
			if faults.PartialEvent {
				_, _ = w.WriteString(event[:len(event)-partialEventCut])
				_ = w.Flush()
			}
			return false
		}
		if _, err := w.WriteString(event); err != nil {
			return false
		}
		if err := w.Flush(); err != nil {
			return false
		}
	}
	return true
}

// partialEventCut is the number of bytes that an event lacks in which a stream breaks off: the id and the field name of
// its data are complete.
const partialEventCut = 4

// eventsPerStream is the number of events in a complete stream.
const eventsPerStream = 12

// waitWhileStalled waits while the head is unresponsive or has lost a member, and reports whether the group still
// serves.
func (s *Server) waitWhileStalled(epoch uint64) bool {
	for s.ctx.Err() == nil {
		s.fleet.mu.Lock()
		open := s.epoch == epoch && (s.state == stateOpen || s.state == stateClosing) && !s.dead
		stalled := s.faults.Unresponsive || s.fleet.hasLostMember(s)
		s.fleet.mu.Unlock()
		if !open {
			return false
		}
		if !stalled {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// hasLostMember reports whether a head has lost a member of its group. The caller holds mu.
func (f *Fleet) hasLostMember(head *Server) bool {
	for _, id := range head.members {
		m := f.servers[id]
		if m == nil || m.dead || m.faults.Unresponsive || m.group != head.group || m.epoch != head.epoch {
			return true
		}
	}
	return false
}

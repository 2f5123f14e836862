package fleet

import (
	"bufio"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const (
	// eventTokens is the number of tokens in an event.
	eventTokens = 5
	signature   = "emulated."
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.fleet.mu.Lock()
	dark, dead := s.faults.Unresponsive, s.dead
	s.fleet.mu.Unlock()
	if dark || dead {
		<-s.ctx.Done()
		return
	}
	if s.dialect().IsOrder(&ctx.Request.Header) {
		s.order(ctx)
		return
	}
	number := string(ctx.Request.Header.Peek(numberHeader(s.dialect())))
	head := s.dialect().ReadBackendMetadata(&ctx.Request.Header)
	if head.Server != "" && head.Server != s.id {
		s.dialect().MarkNotRun(&ctx.Response.Header, number, s.id)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if s.Engine {
		s.stream(ctx, number, head)
		return
	}
	s.plain(ctx, number)
}

// numberHeader finds the header that carries the caller's number by writing one.
func numberHeader(d savorywing.EmulatorDialect) string {
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

func (s *Server) plain(ctx *fasthttp.RequestCtx, number string) {
	f := s.fleet
	f.mu.Lock()
	f.ran[number]++
	lose := s.faults.LoseAnswer
	f.mu.Unlock()
	time.Sleep(f.cfg.PlainServiceTime)
	if lose {
		_ = ctx.Conn().Close()
		return
	}
	s.dialect().SignResponse(&ctx.Response.Header, number, signature+s.id)
	ctx.SetBodyString("done by " + s.id)
}

// stream answers with events, one every few steps, beside the other requests of the group.
func (s *Server) stream(ctx *fasthttp.RequestCtx, number string, head savorywing.BackendMetadata) {
	f := s.fleet
	f.mu.Lock()
	full := int(s.inFlight.Load()) >= s.Slots
	if s.rank != 0 || s.state != stateOpen || full {
		f.mu.Unlock()
		s.dialect().MarkNotRun(&ctx.Response.Header, number, "")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	f.checkRun(s, number)
	cut := s.faults.TruncateAfter
	epoch, model := s.epoch, f.model(s.model)
	f.mu.Unlock()
	s.inFlight.Add(1)
	s.dialect().SignResponse(&ctx.Response.Header, number, signature+s.id)
	ctx.SetContentType("text/event-stream")
	pause := time.Duration(model.TimeFactor * float64(eventTokens*f.cfg.Engine.StepTime))
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inFlight.Add(-1)
		for id := head.LastEventID + 1; id < streamEvents; id++ {
			time.Sleep(pause)
			if !s.serves(epoch) || (cut > 0 && int(id) >= cut) {
				_ = conn.Close()
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id); err != nil {
				return
			}
			if err := w.Flush(); err != nil {
				return
			}
		}
	})
}

// streamEvents is the number of events of every answer.
const streamEvents = 12

// serves waits while the group stands still, and tells whether it goes on.
func (s *Server) serves(epoch uint64) bool {
	for s.ctx.Err() == nil {
		s.fleet.mu.Lock()
		open := s.epoch == epoch && (s.state == stateOpen || s.state == stateClosing) && !s.dead
		still := s.faults.Unresponsive || s.fleet.lacksMember(s)
		s.fleet.mu.Unlock()
		if !open {
			return false
		}
		if !still {
			return true
		}
		time.Sleep(closePoll)
	}
	return false
}

// lacksMember tells whether a head has lost a member; mu is held.
func (f *Fleet) lacksMember(head *Server) bool {
	for _, id := range head.members {
		m := f.servers[id]
		if m == nil || m.dead || m.faults.Unresponsive || m.group != head.group || m.epoch != head.epoch {
			return true
		}
	}
	return false
}

package gateway

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/wire"
)

// workInterval is the interval at which a host shows that it is at work on a request for which it has nothing to send.
const workInterval = 500 * time.Millisecond

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
	body := e.Encode(&h)
	if err := x.Start(&h, len(body), body); err != nil {
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

package ingress

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// writeTimeout ends an answer of which a caller takes nothing.
const writeTimeout = 5 * time.Second

// ErrCallerGone says that the caller takes no more.
var ErrCallerGone = errors.New("the caller has left")

// ErrorResponse is an answer that the system makes itself.
type ErrorResponse struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
	// SetHeaders adds headers of the dialect.
	SetHeaders func(*fasthttp.ResponseHeader)
}

// Exchange is one request and its answer. Its methods are called by one thread.
type Exchange struct {
	Request fasthttp.Request

	conn    *conn
	server  *Server
	arrival time.Time
	began   bool
	// chunked tells that the body is written in chunks; remaining is what is left of a stated length.
	chunked   bool
	remaining int
	ended     bool
	broken    bool
}

// Arrival returns when the first byte of the request was there.
func (x *Exchange) Arrival() time.Time { return x.arrival }

// Started tells whether an answer was begun.
func (x *Exchange) Started() bool { return x.began }

// WriteError sends a whole answer that the system makes itself.
func (x *Exchange) WriteError(r ErrorResponse) {
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(r.Status)
	h.SetContentType("text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if r.SetHeaders != nil {
		r.SetHeaders(&h)
	}
	body := r.Reason + "\n"
	if err := x.Start(&h, len(body), []byte(body)); err != nil {
		x.broken = true
	}
}

// Start sends the head of an answer and the first bytes of its body in one write. A negative length sends
// the body in chunks.
func (x *Exchange) Start(h *fasthttp.ResponseHeader, length int, first []byte) error {
	if x.began {
		return errors.New("Exchange.Start: an answer was begun already")
	}
	x.began = true
	if x.conn.close || x.server.draining.Load() {
		x.conn.close = true
		h.SetConnectionClose()
	} else {
		h.Del("Connection")
	}
	x.chunked, x.remaining = length < 0, length
	if x.chunked {
		h.SetContentLength(-1)
	} else {
		h.SetContentLength(length)
	}
	b := h.AppendBytes(make([]byte, 0, headRoom+len(first)))
	if x.Request.Header.IsHead() {
		x.ended = true
		return x.write(b)
	}
	return x.write(x.frame(b, first))
}

// headRoom is the usual size of a head, in bytes.
const headRoom = 512

// frame appends body bytes as they go over the connection.
func (x *Exchange) frame(b, p []byte) []byte {
	if !x.chunked {
		x.remaining -= len(p)
		x.ended = x.remaining == 0
		return append(b, p...)
	}
	if len(p) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}

// Write sends the next bytes of the body.
func (x *Exchange) Write(p []byte) error {
	if x.chunked {
		return x.write(x.frame(make([]byte, 0, len(p)+chunkRoom), p))
	}
	x.remaining -= len(p)
	x.ended = x.remaining == 0
	return x.write(p)
}

// chunkRoom is the most that a chunk's frame adds, in bytes.
const chunkRoom = 16

// Finish marks the body as whole, with its last bytes.
func (x *Exchange) Finish(last []byte) error {
	if !x.chunked {
		if len(last) > 0 {
			return x.Write(last)
		}
		return nil
	}
	x.ended = true
	b := x.frame(make([]byte, 0, len(last)+2*chunkRoom), last)
	return x.write(append(b, "0\r\n\r\n"...))
}

// Abort ends the connection, so that the answer can't look whole.
func (x *Exchange) Abort() {
	x.broken = true
	if t, ok := x.conn.conn.(*net.TCPConn); ok {
		// A reset, so that a body without a length can't be taken for whole.
		_ = t.SetLinger(0)
	}
	_ = x.conn.conn.Close()
}

func (x *Exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := x.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		x.broken = true
		return fmt.Errorf("Exchange.write: %w: %w", ErrCallerGone, err)
	}
	if _, err := x.conn.conn.Write(b); err != nil {
		x.broken = true
		return fmt.Errorf("Exchange.write: %w: %w", ErrCallerGone, err)
	}
	return nil
}

// end tells whether the answer is whole, so that the connection can go on.
func (x *Exchange) end() bool {
	if x.broken || !x.began || !x.ended {
		return false
	}
	return true
}

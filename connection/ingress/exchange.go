package ingress

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// writeTimeout ends a response when a write to the caller doesn't complete within this time.
const writeTimeout = 5 * time.Second

// Causes for which a request ends without a response; the context of Handler.Serve is cancelled with one of them.
var (
	// ErrCallerGone means that the caller disconnected. It is also returned when a write to the caller's connection fails.
	ErrCallerGone = errors.New("the caller disconnected")
	// ErrServerClosed means that this server closed the connection.
	ErrServerClosed = errors.New("the server closed the connection")
	// ErrStopping means that the request must end since the server stops. A response can still be sent.
	ErrStopping = errors.New("the server stops")
)

// Exchange implements savorywing.Exchange on a caller's connection.
type Exchange struct {
	request fasthttp.Request

	conn    *conn
	server  *Server
	arrival time.Time
	started bool
	// chunked reports whether the body uses chunked transfer encoding, and untilClose whether it ends with the connection; otherwise
	// remaining is the number of body bytes of the stated length that are not written yet.
	chunked, untilClose bool
	remaining           int
	// bodyDone reports whether the whole body was written.
	bodyDone bool
	// failed reports whether a write failed or the response was aborted.
	failed bool
}

// HTTPRequest implements savorywing.Exchange.
func (x *Exchange) HTTPRequest() *fasthttp.Request { return &x.request }

// Arrival implements savorywing.Exchange.
func (x *Exchange) Arrival() time.Time { return x.arrival }

// Started implements savorywing.Exchange.
func (x *Exchange) Started() bool { return x.started }

// WriteError implements savorywing.Exchange.
func (x *Exchange) WriteError(r savorywing.ErrorResponse) {
	var h fasthttp.ResponseHeader
	body := x.server.errorFormat(&h, r)
	if err := x.Start(&h, len(body), body); err != nil {
		x.failed = true
	}
}

// Hold lets the request hold n bytes more until it ends, such as for a response, and reports whether the host has room. It takes back -n
// bytes if n is negative.
func (x *Exchange) Hold(n int) bool {
	if n < 0 {
		x.conn.shrinkBody(-n)
		return true
	}
	if !x.conn.memory.tryGrow(x.conn, n) {
		return false
	}
	x.conn.bodyBytes.Add(int64(n))
	return true
}

// roomTimeout bounds the wait until other connections that are turned away hold less.
const roomTimeout = time.Second

// Require is Hold, but if need be others are turned away whose requests are still received.
func (x *Exchange) Require(n int) bool {
	if n < 0 {
		return x.Hold(n)
	}
	if x.conn.memory.grow(x.conn, n, time.Now().Add(roomTimeout)) != nil {
		return false
	}
	x.conn.bodyBytes.Add(int64(n))
	return true
}

// Start implements savorywing.Exchange. It makes one write unless the first bytes of a body are many. With a negative length the
// body is sent with chunked transfer encoding, or, to a caller of HTTP/1.0, until the connection closes.
func (x *Exchange) Start(h *fasthttp.ResponseHeader, length int, first []byte) error {
	if x.started {
		return errors.New("Exchange.Start: a response was already started")
	}
	x.started = true
	x.untilClose = length < 0 && !x.request.Header.IsHTTP11()
	x.conn.closeAfter = x.conn.closeAfter || x.untilClose
	if x.conn.closeAfter || x.server.draining.Load() {
		x.conn.closeAfter = true
		h.SetConnectionClose()
	} else {
		h.Del("Connection")
	}
	x.chunked, x.remaining = length < 0 && !x.untilClose, length
	x.conn.raiseSendBuffer(length)
	switch {
	case x.untilClose:
		// However the connection ends before Finish, the caller must not take it for the end of the body.
		x.setLinger(0)
		h.Del(fasthttp.HeaderContentLength)
		h.Del(fasthttp.HeaderTransferEncoding)
	case x.chunked:
		h.SetContentLength(-1)
	default:
		h.SetContentLength(length)
	}
	rest := []byte(nil)
	if !x.chunked && len(first) > maxCopiedBytes {
		first, rest = first[:maxCopiedBytes], first[maxCopiedBytes:]
	}
	b := h.AppendBytes(make([]byte, 0, headerSizeHint+len(first)))
	if x.request.Header.IsHead() {
		x.bodyDone = true
		return x.write(b)
	}
	if err := x.write(x.appendBody(b, first)); err != nil || len(rest) == 0 {
		return err
	}
	return x.Write(rest)
}

// maxCopiedBytes bounds the bytes of a body that are copied so that they can be written with the header.
const maxCopiedBytes = 16 << 10

// headerSizeHint is the usual size of a response header, in bytes.
const headerSizeHint = 512

// appendBody appends body bytes in their encoding on the connection.
func (x *Exchange) appendBody(b, p []byte) []byte {
	if !x.chunked {
		x.count(p)
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

// count counts body bytes that aren't sent in chunks.
func (x *Exchange) count(p []byte) {
	if x.untilClose {
		return
	}
	x.remaining -= len(p)
	x.bodyDone = x.remaining == 0
}

// Write implements savorywing.Exchange.
func (x *Exchange) Write(p []byte) error {
	if x.chunked {
		return x.write(x.appendBody(make([]byte, 0, len(p)+maxChunkOverhead), p))
	}
	x.count(p)
	return x.write(p)
}

// maxChunkOverhead is the most that chunked transfer encoding adds to a chunk, in bytes.
const maxChunkOverhead = 16

// Finish implements savorywing.Exchange.
func (x *Exchange) Finish(last []byte) error {
	if !x.chunked {
		if len(last) > 0 {
			if err := x.Write(last); err != nil {
				return err
			}
		}
		if x.untilClose {
			x.bodyDone = true
			x.setLinger(-1)
		}
		return nil
	}
	x.bodyDone = true
	b := x.appendBody(make([]byte, 0, len(last)+2*maxChunkOverhead), last)
	return x.write(append(b, "0\r\n\r\n"...))
}

// Abort implements savorywing.Exchange. It closes the connection.
func (x *Exchange) Abort() {
	x.failed = true
	x.setLinger(0)
	_ = x.conn.conn.Close()
}

// setLinger sets how long unsent bytes are kept when the connection is closed, in seconds. 0 sends a reset, so that a body without a
// length can't be taken for complete; a negative value is the default.
func (x *Exchange) setLinger(seconds int) {
	if t, ok := x.conn.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(seconds)
	}
}

func (x *Exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := x.conn.write(b); err != nil {
		x.failed = true
		return fmt.Errorf("Exchange.write: %w: %w", ErrCallerGone, err)
	}
	return nil
}

// isReusable reports whether the response is complete, so that the connection can carry another request.
func (x *Exchange) isReusable() bool {
	if x.failed || !x.started || !x.bodyDone {
		return false
	}
	return true
}

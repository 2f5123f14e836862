package ingress

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const (
	// fullRetryAfter is the Retry-After of connections for which there is no room.
	fullRetryAfter = time.Second
	// lingerTimeout is how long a connection is still read after its last response, so that a reset doesn't destroy it.
	lingerTimeout = 300 * time.Millisecond
	// lingerBytes is how much is discarded then before a pause between reads, which costs the other callers less time than what a crowd
	// sends without being read.
	lingerBytes = 256 << 10
	lingerPause = 20 * time.Millisecond
)

// refuse ends a connection without reading from it.
func (c *conn) refuse() {
	defer c.server.removeConn(c)
	defer func() { _ = c.conn.Close() }()
	c.endWith(c.newExchange(), savorywing.ErrorResponse{
		Status: fasthttp.StatusServiceUnavailable, Reason: "too many connections: notRun", RetryAfter: fullRetryAfter,
	})
}

// endWith sends the last response on the connection and returns the number of bytes that are received after it.
func (c *conn) endWith(x *Exchange, r savorywing.ErrorResponse) int64 {
	c.closeAfter = true
	x.WriteError(r)
	return c.linger()
}

// endIdle ends a connection without a request. Its caller may have sent one that hasn't arrived yet: status 408 then tells that
// it won't run. Callers without one take it for the end of an idle connection (RFC 9110, section 15.5.9).
func (c *conn) endIdle() {
	r := savorywing.ErrorResponse{Status: fasthttp.StatusRequestTimeout, Reason: "the connection is closed: notRun"}
	if n := c.endWith(c.newExchange(), r); n > 0 {
		c.server.afterClose.Add(1)
	}
}

// rejectUnreadable sends an error response for a request that could not be read. It sends nothing if the caller
// disconnected. Errors of the parser quote the request, and with it the caller's key, so they are not logged.
func (c *conn) rejectUnreadable(x *Exchange, err error) {
	c.closeAfter = true
	status, reason := fasthttp.StatusBadRequest, "the request is malformed"
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET):
		return
	case errors.Is(err, errTurnedAway) || (isTimeout(err) && c.isTurnedAway()):
		c.endWith(x, savorywing.ErrorResponse{Status: fasthttp.StatusServiceUnavailable, Reason: errTurnedAway.Error() + ": notRun", RetryAfter: fullRetryAfter})
		return
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, "the request body exceeds the limit"
	case errors.Is(err, errHeaderTooLarge):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, errHeaderTooLarge.Error()
	case isTimeout(err):
		status, reason = fasthttp.StatusRequestTimeout, "the request was not received in time: notRun"
	}
	c.server.log.Info().Str("event", "requestUnreadable").Int("status", status).Str("reason", reason).Msg("a caller's request could not be read")
	c.endWith(x, savorywing.ErrorResponse{Status: status, Reason: reason})
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// linger closes the sending side, keeps reading for up to lingerTimeout, slowly once it has read lingerBytes, and returns the number of
// bytes read. Closing a connection with unread bytes would reset it and could destroy the response in transit.
func (c *conn) linger() int64 {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	if t, ok := c.conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return 0
		}
	}
	c.setReadDeadline(time.Now().Add(lingerTimeout))
	if err := c.awaitByte(); err != nil {
		return 0
	}
	n := 0 // nothing received from now on is served
	for {
		discarded, _ := c.reader.Discard(c.reader.Buffered())
		n += discarded
		if n >= lingerBytes {
			time.Sleep(lingerPause)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return int64(n)
		}
	}
}

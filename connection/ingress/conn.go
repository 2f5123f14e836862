package ingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/budget"
)

const (
	// firstRequestTime is how long a new connection may wait for its first request while the server stops.
	firstRequestTime = 200 * time.Millisecond
	// noTimeout stands for no timeout where a time is needed.
	noTimeout = time.Hour
)

// epoch is before all writes, on the steady clock.
var epoch = time.Now().Add(-time.Second)

// conn is a caller's connection. It carries one request at a time. Only the goroutine that reads from it decides whether it is
// idle, and ends it then: any other might close it while a request is received. Close is the exception.
type conn struct {
	server  *Server
	handler Handler
	// memory is that of the connection's listener.
	memory *Memory
	conn   net.Conn
	// reader buffers what input reads from conn.
	reader     *bufio.Reader
	input      *yieldingReader
	acceptedAt time.Time
	// share is what the connection holds of the server's memory, and bodyBytes the part of it that ends with the request.
	share     *budget.Share
	bodyBytes atomic.Int64
	// receiveRaised and sendRaised report whether the buffers are raised.
	receiveRaised, sendRaised bool
	// writingSince is when the write that goes on began, as a time since epoch; 0 without one.
	writingSince atomic.Int64
	// receiveBy is when the current request must have been received, by the system's clock.
	receiveBy time.Time
	// interrupted is closed when the connection must end, also if it waits for room.
	interrupted   chan struct{}
	interruptOnce sync.Once
	// roomChanged receives a value when the connection may have the room that it waits for.
	roomChanged chan struct{}
	// used reports whether the connection has carried a request.
	used bool
	// tooLate reports whether the current request is rejected. It is late as of the beginning of the request.
	tooLate bool
	// closeAfter reports whether the connection is closed after the current response.
	closeAfter bool
	// peeked receives the outcome of the peek for the next byte that runs beside a request; nil if none was started.
	peeked chan error

	mu sync.Mutex
	// waiting reports whether the connection waits for the first byte of a request.
	waiting bool
	// late reports whether the connection had a request when the server began to close connections, so that requests that begin
	// afterwards are rejected.
	late bool
	// expired reports whether requests must end now, and cancel cancels the one that is served; nil without one.
	expired bool
	cancel  context.CancelCauseFunc
	// lingering reports whether the last response has been sent.
	lingering bool
	// closed reports whether the server has closed the connection.
	closed bool
	// turnedAway reports whether the connection ends since there is no room for it.
	turnedAway bool
}

func newConn(s *Server, nc net.Conn, h Handler, m *Memory) *conn {
	input := &yieldingReader{Conn: nc}
	return &conn{
		server: s, handler: h, memory: m, conn: nc, reader: bufio.NewReaderSize(input, readBufferBytes), input: input, acceptedAt: time.Now(), waiting: true,
		share: &budget.Share{}, interrupted: make(chan struct{}), roomChanged: make(chan struct{}, 1),
	}
}

// requestDeadline returns when a connection ends by itself that may take a time for its request; 0 for any time.
func (c *conn) requestDeadline(timeout time.Duration) time.Time {
	return c.server.clock.Now().Add(orNoTimeout(timeout))
}

func orNoTimeout(d time.Duration) time.Duration {
	if d <= 0 {
		return noTimeout
	}
	return d
}

// close closes the connection from any goroutine.
func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.interrupt()
	c.mu.Unlock()
	_ = c.conn.Close()
}

// endCause returns why the connection has ended.
func (c *conn) endCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrServerClosed
	}
	return ErrCallerGone
}

// stopWaiting wakes the connection up if it waits for a request, so that it ends.
func (c *conn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		c.late = true
		return
	}
	c.setReadDeadline(c.stopDeadline())
}

// stopDeadline returns how long a request may be waited for while the server stops. The caller of a new connection is about
// to send its first one.
func (c *conn) stopDeadline() time.Time {
	if c.used {
		return time.Now()
	}
	return c.acceptedAt.Add(firstRequestTime)
}

// expire cancels a request that is being read or served, and reports whether there is one.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	if c.cancel != nil {
		c.cancel(ErrStopping)
		return true
	}
	c.interrupt()
	c.setReadDeadline(time.Now())
	return !c.waiting && !c.lingering
}

// setReadDeadline sets the deadline for all reads. A connection on which it fails has been closed, so that they fail as well.
func (c *conn) setReadDeadline(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// setReadTimeout bounds the time of the reads that follow; 0 for no bound. A connection that is expired or turned away has no time left.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	switch {
	case c.expired || c.turnedAway:
		deadline = time.Now()
	case d > 0:
		deadline = time.Now().Add(d)
	}
	c.setReadDeadline(deadline)
}

// write writes to the connection, each piece within writeTimeout.
func (c *conn) write(b []byte) error {
	defer c.writingSince.Store(0)
	_, err := socket.WritePieces(pieceWriter{c}, b)
	return err
}

// pieceWriter writes to a connection within writeTimeout.
type pieceWriter struct{ *conn }

// Write implements io.Writer.
func (w pieceWriter) Write(p []byte) (int, error) {
	now := time.Now()
	if err := w.conn.conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	w.writingSince.Store(int64(now.Sub(epoch)))
	return w.conn.conn.Write(p)
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer func() { _ = c.conn.Close() }()
	for c.awaitRequest() {
		c.server.inFlight.Add(1)
		ok := c.serveOne()
		c.server.inFlight.Add(-1)
		if !ok {
			return
		}
		if c.closeAfter {
			c.linger()
			return
		}
	}
}

func (c *conn) newExchange() *Exchange {
	return &Exchange{conn: c, server: c.server, arrival: c.server.clock.Now()}
}

// awaitRequest waits for the first byte of the next request and reports whether there is one. Otherwise the connection has
// ended.
func (c *conn) awaitRequest() bool {
	timeout := c.server.limits().IdleTimeout
	if !c.used {
		timeout = c.server.limits().HeaderTimeout
	}
	c.memory.wait(c, c.requestDeadline(timeout))
	c.startWaiting(timeout)
	err := c.awaitByte()
	if isTimeout(err) && !c.isTurnedAway() {
		err = c.lookAgain()
	}
	c.endWaiting()
	switch {
	case err == nil:
		c.used = true
		return true
	case isTimeout(err):
		c.endIdle()
	}
	return false
}

// startWaiting makes the connection wait for a request until a timeout, or, if the server stops, as long as stopDeadline
// allows.
func (c *conn) startWaiting(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if c.server.closing.Load() {
		deadline = c.stopDeadline()
	}
	if c.turnedAway {
		deadline = time.Now()
	}
	c.setReadDeadline(deadline)
}

// endWaiting marks the connection as one that doesn't wait for a request.
func (c *conn) endWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.waiting, c.tooLate = false, c.late
	}
}

// awaitByte returns nil once the first byte of the next request is in the reader's buffer.
func (c *conn) awaitByte() error {
	if c.peeked != nil {
		err := <-c.peeked
		c.peeked = nil
		if err != nil {
			return err
		}
	}
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		if c.skipEmptyLines() {
			return nil
		}
	}
}

// skipEmptyLines discards empty lines from the reader's buffer and reports whether other bytes follow. Some callers send one
// after a body, and it begins no request (RFC 9112, section 2.2).
func (c *conn) skipEmptyLines() bool {
	for c.reader.Buffered() > 0 {
		b, err := c.reader.Peek(1)
		if err != nil || (b[0] != '\r' && b[0] != '\n') {
			return err == nil
		}
		if _, err := c.reader.Discard(1); err != nil {
			return false
		}
	}
	return false
}

// lookAgain finds out, after the deadline of awaitByte, whether bytes have been received that no read has returned. It returns
// the error of the deadline if there are none.
func (c *conn) lookAgain() error {
	input, err := socket.Peek(c.conn)
	if err != nil || input == socket.InputNone {
		return errors.Join(os.ErrDeadlineExceeded, err)
	}
	c.endWaiting()
	c.setReadTimeout(c.server.limits().HeaderTimeout)
	if _, err = c.reader.Peek(1); err == nil && !c.skipEmptyLines() {
		return os.ErrDeadlineExceeded
	}
	return err
}

// serveOne reads and serves one request and reports whether the response is complete, so that the connection can be used
// further. When it returns true, a peek for the next byte is running.
func (c *conn) serveOne() bool {
	limits := c.server.limits()
	x := c.newExchange()
	read := c.readRequest
	if c.tooLate {
		read = c.readHeader
	}
	defer c.releaseBody()
	c.receiveBy = time.Now().Add(orNoTimeout(limits.HeaderTimeout))
	c.memory.receive(c, c.requestDeadline(limits.HeaderTimeout))
	c.setReadTimeout(limits.HeaderTimeout)
	err := read(x, limits)
	if err == nil && !c.memory.serve(c) {
		err = errTurnedAway
	}
	if err != nil {
		c.releaseBody()
		c.rejectUnreadable(x, err)
		return false
	}
	if c.tooLate {
		c.closeAfter = true
		c.handler.Reject(x)
		return x.isReusable()
	}
	c.setReadDeadline(time.Time{})
	if x.request.ConnectionClose() || c.server.draining.Load() {
		c.closeAfter = true
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	c.setCancel(cancel)
	defer c.setCancel(nil)
	peeked := make(chan error, 1)
	c.peeked = peeked
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil {
			cancel(c.endCause())
		}
		peeked <- err
	}()
	c.handler.Serve(ctx, x)
	return x.isReusable() && (ctx.Err() == nil || errors.Is(context.Cause(ctx), ErrStopping))
}

// growBody lets the request hold n bytes more until it ends, or until shrinkBody.
func (c *conn) growBody(n int) error {
	if err := c.memory.grow(c, n, c.receiveBy); err != nil {
		return err
	}
	c.bodyBytes.Add(int64(n))
	return nil
}

// growBodyCalm is growBody for bytes that haven't arrived yet, and reports whether there is plenty of room.
func (c *conn) growBodyCalm(n int) bool {
	if !c.memory.growCalm(c, n) {
		return false
	}
	c.bodyBytes.Add(int64(n))
	return true
}

func (c *conn) shrinkBody(n int) {
	c.memory.shrink(c, n)
	c.bodyBytes.Add(-int64(n))
}

// releaseBody gives back what the request holds of the server's memory. Its body isn't needed any more.
func (c *conn) releaseBody() { c.shrinkBody(int(c.bodyBytes.Load())) }

// setCancel sets what cancels the request that is served.
func (c *conn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.expired && cancel != nil {
		cancel(ErrStopping)
	}
}

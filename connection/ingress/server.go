package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds the buffer of a header, whatever the limit.
	maxHeaderBytes = 1 << 20
	// userTimeout closes a connection whose peer leaves sent data unacknowledged for this long.
	userTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is still read before it is closed, so that a reset doesn't
	// destroy the last response.
	lingerTimeout = 300 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, such as one for too many open files.
	acceptRetryDelay = 20 * time.Millisecond
)

// errHeaderTooLarge replaces the parser's error, which quotes the header and so the caller's key.
var errHeaderTooLarge = errors.New("the request header exceeds the limit")

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Handler serves requests.
type Handler interface {
	// Serve responds to one request. ctx is cancelled when the connection ends, with ErrCallerGone or ErrServerClosed as
	// its cause.
	Serve(ctx context.Context, x savorywing.Exchange)
}

// Limits bound the size of a request, the time to receive it, and the idle time before the next one.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Server serves callers' connections.
type Server struct {
	clock   savorywing.Clock
	handler Handler
	log     zerolog.Logger
	limits  func() Limits

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
	// inFlight counts the requests that are being read or served.
	inFlight atomic.Int64
	draining atomic.Bool
	closing  atomic.Bool
	done     sync.WaitGroup
}

// New returns a server without listeners. limits is called for each request.
func New(clock savorywing.Clock, handler Handler, limits func() Limits, log zerolog.Logger) *Server {
	return &Server{clock: clock, handler: handler, limits: limits, log: log, conns: map[*conn]bool{}}
}

// Start listens at an address and accepts connections in the background.
func (s *Server) Start(address string) error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: socket.UserTimeout(userTimeout)}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("Server.Start: %w", err)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.accept(l)
	}()
	return nil
}

func (s *Server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Str("event", "acceptFailed").Err(err).Msg("accepting a caller's connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{server: s, conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if s.closing.Load() {
			// The connection was accepted while CloseIdle closed the others.
			c.close()
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			c.serve()
		}()
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// InFlight returns the number of requests that are being read or served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain makes every response that starts from now on the last one on its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the listeners and every connection without a request. Every other connection is closed after its
// current request, since a response that started before Drain doesn't carry "Connection: close".
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		if !c.busy.Load() {
			c.close()
		}
	}
}

// Close closes all listeners and connections at once and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// conn is a caller's connection. It carries one request at a time.
type conn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// busy reports whether a request is being read or served.
	busy atomic.Bool
	// closed reports whether this server has closed the connection.
	closed atomic.Bool
	// closeAfter reports whether the connection is closed after the current response.
	closeAfter bool
}

// close closes the connection from any goroutine.
func (c *conn) close() {
	c.closed.Store(true)
	_ = c.conn.Close()
}

// endCause returns why the connection has ended.
func (c *conn) endCause() error {
	if c.closed.Load() {
		return ErrServerClosed
	}
	return ErrCallerGone
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer func() { _ = c.conn.Close() }()
	peeked := make(chan error, 1)
	for first := true; !c.closeAfter; first = false {
		limits := c.server.limits()
		if first {
			c.setReadDeadline(limits.HeaderTimeout)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		c.busy.Store(true)
		c.server.inFlight.Add(1)
		ok := c.serveOne(limits, peeked)
		c.server.inFlight.Add(-1)
		c.busy.Store(false)
		if !ok {
			return
		}
		if c.closeAfter || c.server.closing.Load() {
			c.linger(peeked)
			return
		}
		// The peek returns at the first byte of the next request, or when the connection ends.
		c.setReadDeadline(limits.IdleTimeout)
		if err := <-peeked; err != nil {
			return
		}
	}
}

func (c *conn) setReadDeadline(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		c.closeAfter = true
	}
}

// serveOne reads and serves one request and reports whether the connection can carry another. When it returns
// true, a goroutine is peeking for the next byte and will send the outcome to peeked.
func (c *conn) serveOne(limits Limits, peeked chan error) bool {
	x := &Exchange{conn: c, server: c.server, arrival: c.server.clock.Now()}
	if err := c.readRequest(x, limits); err != nil {
		c.rejectUnreadable(x, err)
		return false
	}
	c.setReadDeadline(0)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil {
			cancel(c.endCause())
		}
		peeked <- err
	}()
	if x.request.ConnectionClose() || c.server.draining.Load() {
		c.closeAfter = true
	}
	c.server.handler.Serve(ctx, x)
	return x.isReusable() && ctx.Err() == nil
}

func (c *conn) readRequest(x *Exchange, limits Limits) error {
	c.setReadDeadline(limits.HeaderTimeout)
	if err := c.readHeader(x, limits.MaxHeaderBytes); err != nil {
		return err
	}
	if x.request.MayContinue() {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	return x.request.ContinueReadBody(c.reader, limits.MaxBodyBytes)
}

// readHeader reads a header of at most limit bytes, or readBufferBytes if there is no limit. The parser leaves one that
// doesn't fit into the buffer unread.
func (c *conn) readHeader(x *Exchange, limit int) error {
	if limit = min(limit, maxHeaderBytes); limit <= 0 {
		limit = readBufferBytes
	}
	err := x.request.Header.Read(c.reader)
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.As(err, &smallBuffer) && limit > c.reader.Size() {
		if err := c.growBuffer(limit); err != nil {
			return err
		}
		err = x.request.Header.Read(c.reader)
	}
	if errors.As(err, &smallBuffer) || len(x.request.Header.RawHeaders()) > limit {
		return errHeaderTooLarge
	}
	return err
}

// growBuffer replaces the reader by one with a larger buffer. What the old one holds is read first. Most callers' headers
// fit into the small buffer that a connection begins with.
func (c *conn) growBuffer(size int) error {
	b, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(b), c.conn), size)
	return nil
}

// rejectUnreadable sends an error response for a request that could not be read. It sends nothing if the caller
// disconnected or timed out.
func (c *conn) rejectUnreadable(x *Exchange, err error) {
	c.closeAfter = true
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET):
		return
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errHeaderTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return
	}
	c.server.log.Info().Str("event", "requestUnreadable").Int("status", status).Err(err).Msg("a caller's request could not be read")
	x.WriteError(savorywing.ErrorResponse{Status: status, Reason: err.Error()})
	peeked := make(chan error, 1)
	go func() { peeked <- io.EOF }()
	c.linger(peeked)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// linger closes the sending side and keeps reading for up to lingerTimeout. Closing a connection with unread bytes
// would reset it and could destroy the response in transit.
func (c *conn) linger(peeked <-chan error) {
	if t, ok := c.conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	c.setReadDeadline(lingerTimeout)
	if err := <-peeked; err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.conn) // nothing received from now on is served
}

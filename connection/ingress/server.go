package ingress

import (
	"bufio"
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
	readBuffer = 4 << 10
	// userTimeout ends a connection whose peer acknowledges nothing.
	userTimeout = 10 * time.Second
	// lingerTime is how long a connection that is to be closed is read on, so that the last answer isn't
	// lost to a reset.
	lingerTime = 300 * time.Millisecond
	// acceptPause is waited after a failure to accept, such as too many open files.
	acceptPause = 20 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Handler answers requests.
type Handler interface {
	// Serve answers one request. ctx ends when the caller has left.
	Serve(ctx context.Context, x *Exchange)
}

// Limits bound what a caller may send.
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
	// busy counts requests that are read but not answered.
	busy     atomic.Int64
	draining atomic.Bool
	closing  atomic.Bool
	done     sync.WaitGroup
}

// New returns a server without listeners; limits is asked for each request.
func New(clock savorywing.Clock, handler Handler, limits func() Limits, log zerolog.Logger) *Server {
	return &Server{clock: clock, handler: handler, limits: limits, log: log, conns: map[*conn]bool{}}
}

// Start accepts connections at an address.
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
			s.log.Warn().Str("event", "acceptFailed").Err(err).Msg("")
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{server: s, conn: nc, reader: bufio.NewReaderSize(nc, readBuffer)}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if s.closing.Load() {
			// It was accepted while CloseIdle went through the others.
			_ = nc.Close()
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			c.serve()
		}()
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// InFlight returns the number of requests that are read but not answered.
func (s *Server) InFlight() int { return int(s.busy.Load()) }

// Drain makes every answer from now on the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the listeners and every connection without a request, and from now on each other one after its
// request: an answer that began before Drain has not told its caller that it is the last.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		if !c.busy.Load() {
			_ = c.conn.Close()
		}
	}
}

// Close ends everything at once.
func (s *Server) Close() {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// conn is one caller's connection; it carries one request at a time.
type conn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	busy   atomic.Bool
	close  bool
}

func (c *conn) serve() {
	defer c.server.forget(c)
	defer func() { _ = c.conn.Close() }()
	watched := make(chan error, 1)
	for first := true; !c.close; first = false {
		limits := c.server.limits()
		if first {
			c.setReadDeadline(limits.HeaderTimeout)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		c.busy.Store(true)
		c.server.busy.Add(1)
		ok := c.serveOne(limits, watched)
		c.server.busy.Add(-1)
		c.busy.Store(false)
		if !ok {
			return
		}
		if c.close || c.server.closing.Load() {
			c.linger(watched)
			return
		}
		// The watch ends with the first byte of the next request, or with the connection.
		c.setReadDeadline(limits.IdleTimeout)
		if err := <-watched; err != nil {
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
		c.close = true
	}
}

// serveOne reads and answers one request and tells whether the connection can go on. When it returns true
// the watch is under way.
func (c *conn) serveOne(limits Limits, watched chan error) bool {
	x := &Exchange{conn: c, server: c.server, arrival: c.server.clock.Now()}
	if err := c.readRequest(x, limits); err != nil {
		c.refuseUnread(x, err)
		return false
	}
	c.setReadDeadline(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil {
			cancel()
		}
		watched <- err
	}()
	if x.Request.ConnectionClose() || c.server.draining.Load() {
		c.close = true
	}
	c.server.handler.Serve(ctx, x)
	return x.end() && ctx.Err() == nil
}

func (c *conn) readRequest(x *Exchange, limits Limits) error {
	c.setReadDeadline(limits.HeaderTimeout)
	if err := x.Request.ReadLimitBody(c.reader, limits.MaxBodyBytes); err != nil {
		return err
	}
	if x.Request.MayContinue() {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
		return x.Request.ContinueReadBody(c.reader, limits.MaxBodyBytes)
	}
	return nil
}

// refuseUnread answers a request that could not be read, as far as that makes sense.
func (c *conn) refuseUnread(x *Exchange, err error) {
	c.close = true
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET):
		return
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return
	}
	c.server.log.Info().Str("event", "requestUnreadable").Int("status", status).Err(err).Msg("")
	x.WriteError(ErrorResponse{Status: status, Reason: err.Error()})
	watched := make(chan error, 1)
	go func() { watched <- io.EOF }()
	c.linger(watched)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// linger closes the writing side and reads on for a moment, since closing a connection with unread bytes
// would reset it and could destroy the answer.
func (c *conn) linger(watched <-chan error) {
	if t, ok := c.conn.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	c.setReadDeadline(lingerTime)
	if err := <-watched; err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.conn) // whatever comes is for nobody
}

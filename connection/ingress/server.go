package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/budget"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds the buffer of a header, whatever the limit.
	maxHeaderBytes = 1 << 20
	// userTimeout closes a connection whose peer leaves sent data unacknowledged for this long.
	userTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a failed accept, such as one for too many open files.
	acceptRetryDelay = 20 * time.Millisecond
	// handshakeTime is how long a listener that is being closed still waits for handshakes that have begun.
	handshakeTime = 20 * time.Millisecond
	// turnedAwayLines is the number of log lines in turnedAwayPeriod about connections for which there is no room.
	turnedAwayLines  = 10
	turnedAwayPeriod = 10 * time.Second
)

// ExpireTime is how long requests that are cancelled at the end of a stop have for their response.
const ExpireTime = 250 * time.Millisecond

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Handler serves requests.
type Handler interface {
	// Serve responds to one request. ctx is cancelled when the connection ends, with ErrCallerGone or ErrServerClosed as
	// its cause, and with ErrStopping when the request must end since the server stops.
	Serve(ctx context.Context, x savorywing.Exchange)
	// Reject responds to a request that comes too late to be served, since the server stops. The request has no body.
	Reject(x savorywing.Exchange)
}

// Limits bound the size of a request, the time to receive it, and the idle time before the next one.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// ErrorFormat sets the header of an error response that the server itself generates, since it could not read a request, and
// returns the body.
type ErrorFormat func(h *fasthttp.ResponseHeader, r savorywing.ErrorResponse) []byte

// Option sets an optional part of a Server.
type Option func(*Server)

// WithErrorFormat sets the format of the server's own error responses. The default is that of savorywing.ErrorResponse.
func WithErrorFormat(f ErrorFormat) Option { return func(s *Server) { s.errorFormat = f } }

// WithMemory bounds what the server's connections hold, together with those of the other servers that have m. The default has
// no bounds.
func WithMemory(m *Memory) Option { return func(s *Server) { s.memory = m } }

// Server serves callers' connections. Each listener has one handler, to which the requests of its connections are passed.
type Server struct {
	clock savorywing.Clock
	// handler is that of listeners without one of their own.
	handler     Handler
	log         zerolog.Logger
	limits      func() Limits
	errorFormat ErrorFormat
	memory      *Memory
	// turnedAwayLog limits the log lines about connections for which there is no room.
	turnedAwayLog zerolog.Logger

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
	// closed reports whether Close was called, so that connections that are accepted afterwards are closed at once.
	closed bool
	// expired reports whether expire was called, also for connections that are accepted afterwards.
	expired bool
	// inFlight counts the requests that are being read or served.
	inFlight atomic.Int64
	draining atomic.Bool
	closing  atomic.Bool
	// afterClose counts the requests that were received after their connection had been closed.
	afterClose atomic.Int64
	done       sync.WaitGroup
}

// New returns a server without listeners. limits is called for each request.
func New(clock savorywing.Clock, handler Handler, limits func() Limits, log zerolog.Logger, opts ...Option) *Server {
	s := &Server{
		clock: clock, handler: handler, limits: limits, log: log, errorFormat: encodeError, conns: map[*conn]bool{}, memory: NewMemory(clock, budget.Limits{}),
		turnedAwayLog: log.Sample(&zerolog.BurstSampler{Burst: turnedAwayLines, Period: turnedAwayPeriod}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func encodeError(h *fasthttp.ResponseHeader, r savorywing.ErrorResponse) []byte {
	return r.Encode(h)
}

// Start listens at an address and accepts connections in the background.
func (s *Server) Start(address string) error { return s.start(address, s.handler, s.memory) }

// StartHandler is Start with a handler and a memory of the address's own.
func (s *Server) StartHandler(address string, h Handler, m *Memory) error {
	return s.start(address, h, m)
}

func (s *Server) start(address string, h Handler, m *Memory) error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: socket.Controls(socket.UserTimeout(userTimeout), socket.Buffers(m.limits().Buffer))}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("Server.Start: %w", err)
	}
	if n := m.limits().Backlog; n > 0 {
		if err := socket.SetBacklog(l, n); err != nil {
			s.log.Debug().Err(err).Msg("the connections that wait to be accepted have the system's bound")
		}
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	s.done.Go(func() { s.accept(l, h, m) })
	return nil
}

// accept accepts connections until the listener is closed, or, after BeginClose, until none is left in its queue.
func (s *Server) accept(l net.Listener, h Handler, m *Memory) {
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.add(nc, h, m)
		case errors.Is(err, net.ErrClosed):
			return
		case isTimeout(err) && s.closing.Load():
			if s.closeEmpty(l) {
				return
			}
		default:
			s.log.Warn().Str("event", "acceptFailed").Err(err).Msg("accepting a caller's connection failed")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// closeEmpty closes a listener without connections in its queue, which would be reset, and reports whether it did. Otherwise
// accept has more time for them.
func (s *Server) closeEmpty(l net.Listener) bool {
	waiting, err := socket.HasConnection(l)
	if err == nil && waiting {
		if err = setAcceptDeadline(l, time.Now().Add(handshakeTime)); err == nil {
			return false
		}
	}
	if err != nil {
		s.log.Warn().Str("event", "closeFailed").Err(err).Msg("a listener is closed without knowing whether connections wait")
	}
	_ = l.Close()
	return true
}

func setAcceptDeadline(l net.Listener, t time.Time) error {
	d, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.New("the listener has no deadlines")
	}
	return d.SetDeadline(t)
}

// add serves a connection, or ends it if there are too many.
func (s *Server) add(nc net.Conn, h Handler, m *Memory) {
	c := newConn(s, nc, h, m)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	c.expired = s.expired
	admission := m.open(c, c.requestDeadline(s.limits().HeaderTimeout))
	if admission == budget.Dropped {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	if admission == budget.Refused {
		s.done.Go(c.refuse)
		return
	}
	s.done.Go(c.serve)
}

func (s *Server) removeConn(c *conn) {
	c.memory.close(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// InFlight returns the number of requests that are being read or served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ReceivedAfterClose returns the number of requests that were received after their connection had been closed, so that
// their callers got the response with which it was.
func (s *Server) ReceivedAfterClose() int { return int(s.afterClose.Load()) }

// Drain makes every response that starts from now on the last one on its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// BeginClose begins to close the listeners and the connections without a request. Connections in the queues of the listeners
// are still accepted, and requests that have been received are served. All other connections end after their current
// response; a request that is received on one after a response without "Connection: close" is passed to Handler.Reject.
func (s *Server) BeginClose() {
	s.draining.Store(true)
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if err := socket.RefuseHandshakes(l); err != nil {
			s.log.Debug().Err(err).Msg("handshakes can't be refused before the listener is closed")
		}
		if err := setAcceptDeadline(l, time.Now().Add(handshakeTime)); err != nil {
			s.log.Warn().Str("event", "closeFailed").Err(err).Msg("a listener is closed at once")
			_ = l.Close()
		}
	}
	for c := range s.conns {
		c.stopWaiting()
	}
}

// Shutdown calls BeginClose and waits until all connections have ended. When ctx ends, the requests that are left are
// cancelled with ErrStopping and have a moment for their last response. It returns the number of those.
func (s *Server) Shutdown(ctx context.Context) int {
	s.BeginClose()
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return 0
	case <-ctx.Done():
	}
	left := s.expire()
	select {
	case <-ended:
	case <-time.After(ExpireTime):
	}
	return left
}

// expire cancels all requests that are being read or served and returns their number.
func (s *Server) expire() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	left := 0
	for c := range s.conns {
		if c.expire() {
			left++
		}
	}
	return left
}

// Close closes all listeners and connections at once and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

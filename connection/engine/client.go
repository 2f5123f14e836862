package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/connection/socket"
)

const (
	dialTimeout = 700 * time.Millisecond
	// userTimeout closes a connection whose peer leaves sent data, or keep-alive probes, unacknowledged for this long. It is
	// the time that keepAlive allows, which it would cut short otherwise.
	userTimeout     = 4 * time.Second
	readBufferBytes = 8 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the response is read. A longer one is
	// written concurrently, since a backend server may respond before it has read the whole body.
	maxInlineBody = 8 << 10
	// maxStaleResponses bounds the headers read for one request: informational responses and late responses to
	// earlier requests on the connection are skipped.
	maxStaleResponses = 4
)

// keepAlive detects unresponsive peers within 4 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 1 * time.Second, Interval: 1 * time.Second, Count: 3}

// Errors of requests.
var (
	// ErrNotSent means that no byte of the request was handed to a connection.
	ErrNotSent = errors.New("no byte of the request was sent")
	// ErrWithheld means that Call.Confirm held the request back. The error also wraps ErrNotSent.
	ErrWithheld = errors.New("the request was held back")
	// ErrWrongAttempt means that the response carries another attempt ID, or none.
	ErrWrongAttempt = httpheader.NewRefusal("wrongAttempt", "the response carries the wrong attempt ID")
	// ErrClosedAtOnce means that a connection was closed by the peer before anything was sent on it.
	ErrClosedAtOnce = errors.New("the connection was closed at once")
	// errUnusable means that the peer has closed the connection, or has sent something, before the request.
	errUnusable = errors.New("the connection was closed, or bytes came before the request")
	// errUnexpectedSwitch means that the server switches to another protocol, which no request asks for.
	errUnexpectedSwitch = httpheader.NewRefusal("switch", "the server switches to another protocol")
	// ErrTruncated means that the response ended before its body was complete, as Response.Read defines it.
	ErrTruncated = httpheader.NewRefusal("truncated", "the response was truncated")
	// errReset means that the connection was reset, and not closed, at the end of a body that has no other end.
	errReset = httpheader.NewRefusal("reset", "the connection was reset")
)

// Client sends requests to backend servers and pools its connections. It is safe for concurrent use.
type Client struct {
	clock   savorywing.Clock
	dialect savorywing.Dialect
	dialer  savorywing.Dialer
	pool    *pool
	// refused is called for each response that is refused.
	refused func(r httpheader.Refused)
	// opened counts the connections opened since the client was created.
	opened atomic.Uint64
}

// Option changes a client.
type Option func(c *Client)

// WithDialer makes a client open its connections, which must be sockets, with d.
func WithDialer(d savorywing.Dialer) Option { return func(c *Client) { c.dialer = d } }

// WithBuffers sets the sizes of the buffers of the client's sockets, in bytes; 0 for the system's.
func WithBuffers(size int) Option { return func(c *Client) { c.dialer = newDialer(size) } }

func newDialer(buffers int) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socket.Controls(socket.UserTimeout(userTimeout), socket.Buffers(buffers))}
}

// New returns a client without connections.
func New(clock savorywing.Clock, dialect savorywing.Dialect, opts ...Option) *Client {
	c := &Client{
		clock: clock, dialect: dialect, pool: newPool(clock),
		dialer: newDialer(0), refused: func(httpheader.Refused) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithRefused makes a client call f for each response that it refuses, also for one of which a part has been returned.
func WithRefused(f func(r httpheader.Refused)) Option { return func(c *Client) { c.refused = f } }

// WithMaxIdle bounds the idle connections that are kept for later requests, to all addresses together; 0 for no bound.
func WithMaxIdle(n int) Option { return func(c *Client) { c.pool.maxIdle = n } }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() uint64 { return c.opened.Load() }

// Call is one request to one backend server.
type Call struct {
	Address string
	Header  *fasthttp.RequestHeader
	Body    []byte
	// AttemptID must be echoed in the response. A connection carries each ID once. If it is empty, the request is the only one
	// on its connection, and any response is accepted.
	AttemptID string
	// MaxIdle is the longest time that a pooled connection may have been idle; 0 requires a new one.
	MaxIdle time.Duration
	// MaxPooled bounds the idle connections to the address that are kept for later requests; 0 for no bound but the pool's.
	MaxPooled int
	// Confirm, unless it is nil, is called once a connection is open and reports whether the request is still to be
	// sent: what is known of the server may have changed while it was dialled.
	Confirm func() bool
	// HeaderDeadline is when the header of the response must have been received; zero for no deadline.
	HeaderDeadline time.Time
}

// Do sends a request and returns once the header of its response was received. The connection is closed if ctx is
// cancelled before the response is closed. An error for a request of which no byte was sent wraps ErrNotSent.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	l, err := c.connect(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotSent, err)
	}
	if call.Confirm != nil && !call.Confirm() {
		_ = l.conn.Close()
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotSent, ErrWithheld)
	}
	if len(l.attempts) == 0 && !l.isUsable() {
		_ = l.conn.Close()
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotSent, errUnusable)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	r, err := c.exchange(l, call)
	if err != nil {
		stop()
		_ = l.conn.Close()
		c.report(call.Address, call.AttemptID, err)
		return nil, fmt.Errorf("Client.Do: %w", err)
	}
	r.stop = stop
	return r, nil
}

// report reports a response if its error means that it was refused.
func (c *Client) report(address, attemptID string, err error) {
	if r, ok := httpheader.AsRefused(address, attemptID, err); ok {
		c.refused(r)
	}
}

func (c *Client) connect(ctx context.Context, call Call) (*link, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if call.MaxIdle > 0 {
		if l := c.pool.take(call.Address, call.AttemptID, call.MaxIdle); l != nil {
			l.maxPooled = call.MaxPooled
			return l, nil
		}
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	return &link{conn: conn, address: call.Address, maxPooled: call.MaxPooled, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// closeWait is how long Probe waits for a connection to be closed by its peer: longer than a proxy takes to find that
// nothing listens behind it.
const closeWait = 100 * time.Millisecond

// Probe opens a connection to an address and returns the error, which wraps ErrClosedAtOnce if the peer accepts and closes
// it. Otherwise the connection is kept for a later request, unless there is one already.
func (c *Client) Probe(ctx context.Context, address string) error {
	l, err := c.connect(ctx, Call{Address: address, MaxPooled: 1})
	if err != nil {
		return fmt.Errorf("Client.Probe: %w", err)
	}
	if err := l.awaitClose(closeWait); err != nil {
		_ = l.conn.Close()
		return fmt.Errorf("Client.Probe: %w", err)
	}
	c.pool.put(l, 0)
	return nil
}

// exchange writes the request and reads response headers until the one with the attempt ID of the call.
func (c *Client) exchange(l *link, call Call) (*Response, error) {
	if !call.HeaderDeadline.IsZero() {
		if err := l.conn.SetDeadline(time.Now().Add(call.HeaderDeadline.Sub(c.clock.Now()))); err != nil {
			return nil, notSentError{err}
		}
	}
	l.begin(call.AttemptID)
	upload, err := l.write(call)
	if err != nil {
		return nil, err
	}
	for range maxStaleResponses {
		r := &Response{client: c, link: l, attemptID: call.AttemptID, upload: upload}
		if err := httpheader.ReadResponse(&r.Header, l.reader); err != nil {
			return nil, fmt.Errorf("reading the response header: %w", err)
		}
		// A type that the server doesn't state isn't made up.
		r.Header.SetNoDefaultContentType(true)
		status := r.Header.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return nil, errUnexpectedSwitch
		}
		if status < fasthttp.StatusOK {
			continue
		}
		r.closes = r.Header.ConnectionClose()
		// The version holds for this connection only, and not for one on which the response is passed on.
		r.Header.SetProtocol([]byte("HTTP/1.1"))
		r.Metadata = c.dialect.ReadResponseMetadata(&r.Header)
		r.initBody(string(call.Header.Method()) == fasthttp.MethodHead)
		if call.AttemptID == "" || r.Metadata.AttemptID == call.AttemptID {
			return r, nil
		}
		l.isLast = true
		if r.Metadata.AttemptID == "" || !r.discard() {
			return nil, ErrWrongAttempt
		}
	}
	return nil, ErrWrongAttempt
}

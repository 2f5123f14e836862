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
	"savorywing.example/savorywing/connection/socket"
)

const (
	dialTimeout = 700 * time.Millisecond
	// userTimeout ends a connection whose peer acknowledges nothing.
	userTimeout = 2 * time.Second
	readBuffer  = 8 << 10
	// inlineBody is the largest body written before the answer is read, in bytes; a longer one is written
	// beside the reading, since a backend server may answer before it has taken it all.
	inlineBody = 8 << 10
	// maxLate is the number of late answers to earlier requests that are skipped on one connection.
	maxLate = 4
)

// keepAlive finds connections that have gone silent within 4 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 1 * time.Second, Interval: 1 * time.Second, Count: 3}

// Errors of exchanges.
var (
	// ErrNotSent says that no byte of the request was given to a connection.
	ErrNotSent = errors.New("nothing was sent")
	// ErrWrongAttempt says that the answer belongs to another request.
	ErrWrongAttempt = errors.New("the answer carries another number")
	// ErrTruncated says that the answer ended before its end.
	ErrTruncated = errors.New("the answer was cut off")
)

// Client keeps connections to backend servers. It is safe for concurrent use.
type Client struct {
	clock   savorywing.Clock
	dialect savorywing.Dialect
	pool    *pool
	// opened counts connections; it only grows.
	opened atomic.Uint64
}

// New returns a client without connections.
func New(clock savorywing.Clock, dialect savorywing.Dialect) *Client {
	return &Client{clock: clock, dialect: dialect, pool: newPool(clock)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() uint64 { return c.opened.Load() }

// Call is one request to one backend server.
type Call struct {
	Address string
	Header  *fasthttp.RequestHeader
	Body    []byte
	// AttemptID must come back in the answer unless it is empty.
	AttemptID string
	// MaxIdle bounds how long a kept connection may have been idle; 0 demands a new one.
	MaxIdle time.Duration
	// HeaderDeadline is when the head of the answer must be there.
	HeaderDeadline time.Time
}

// Do sends a request and returns once the head of its answer is there. The connection is closed when ctx
// ends before the answer does.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	l, err := c.connect(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	a, err := c.exchange(l, call)
	if err != nil {
		stop()
		_ = l.conn.Close()
		return nil, fmt.Errorf("Client.Do: %w", err)
	}
	a.stop = stop
	return a, nil
}

func (c *Client) connect(ctx context.Context, call Call) (*link, error) {
	if call.MaxIdle > 0 {
		if l := c.pool.take(call.Address, call.MaxIdle); l != nil {
			return l, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socket.UserTimeout(userTimeout)}
	conn, err := d.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	return &link{conn: conn, address: call.Address, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// exchange writes the request and reads heads until the one that belongs to it.
func (c *Client) exchange(l *link, call Call) (*Response, error) {
	if !call.HeaderDeadline.IsZero() {
		if err := l.conn.SetDeadline(time.Now().Add(call.HeaderDeadline.Sub(c.clock.Now()))); err != nil {
			return nil, notSentError{err}
		}
	}
	wrote, err := l.write(call)
	if err != nil {
		return nil, err
	}
	for range maxLate {
		a := &Response{client: c, link: l, wrote: wrote}
		if err := a.Header.Read(l.reader); err != nil {
			return nil, fmt.Errorf("reading the head: %w", err)
		}
		if a.Header.StatusCode() == fasthttp.StatusContinue {
			continue
		}
		a.Metadata = c.dialect.ReadResponseMetadata(&a.Header)
		a.begin(string(call.Header.Method()) == fasthttp.MethodHead)
		if call.AttemptID == "" || a.Metadata.AttemptID == call.AttemptID {
			return a, nil
		}
		if a.Metadata.AttemptID == "" || !a.discard() {
			return nil, ErrWrongAttempt
		}
	}
	return nil, ErrWrongAttempt
}

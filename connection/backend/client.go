package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// Headers between the system and backend servers.
const (
	// HeaderAttempt carries the attempt's number; the backend server echoes it.
	HeaderAttempt = "X-Request-Id"
	// HeaderOffset asks to resume the attempt's stream behind that many frames.
	HeaderOffset = "X-Resume-Offset"
	// HeaderKey names a non-idempotent request across its attempts.
	HeaderKey = "Idempotency-Key"
	// HeaderNotRun marks a refusal that was made before running the request.
	HeaderNotRun = "X-Not-Run"
)

const (
	dialTimeout = 1 * time.Second
	maxAnswer   = 16 << 20
)

var errForeignAnswer = errors.New("the answer carries another attempt's number")

// Client sends requests to backend servers. It never repeats a request by itself.
type Client struct {
	pool *pool
	// sent and received count bytes; they only grow.
	sent, received atomic.Uint64
}

// Traffic returns the bytes sent to and received from backend servers.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// New returns a client.
func New(clock savorywing.Clock) *Client { return &Client{pool: newPool(clock)} }

var _ savorywing.Backend = (*Client)(nil)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Client) link(ctx context.Context, address string, fresh bool) (*link, bool, error) {
	if !fresh {
		if l := c.pool.take(address); l != nil {
			l.wrote = false
			return l, true, nil
		}
	}
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, false, err
	}
	l := &link{Conn: StrictConn{Conn: conn}, client: c}
	l.reader = newReader(l)
	return l, false, nil
}

// Send sends one request. The context ends the connection when it is cancelled before the stream is closed.
func (c *Client) Send(ctx context.Context, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	l, pooled, err := c.link(ctx, t.Address, call.NewConnection)
	if err != nil {
		return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeNotRun, fasthttp.StatusBadGateway,
			"the backend server can't be reached", savorywing.WithCause(err))
	}
	answer, err := c.exchange(ctx, l, t, call)
	if err == nil {
		return answer, nil
	}
	_ = l.Close()
	if pooled {
		c.pool.drop(t.Address)
	}
	if !l.wrote {
		return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeNotRun, fasthttp.StatusBadGateway,
			"nothing was sent to the backend server", savorywing.WithCause(err))
	}
	return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeUnknown, fasthttp.StatusBadGateway,
		"the backend server's answer was lost", savorywing.WithCause(err))
}

func (c *Client) exchange(ctx context.Context, l *link, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	answer, err := c.roundTrip(l, t, call)
	if err != nil {
		stop()
		return answer, err
	}
	s, ok := answer.Stream.(*stream)
	if !ok {
		stop()
		return answer, errors.New("backend.Client: unexpected stream type")
	}
	s.stop = stop
	return answer, nil
}

func (c *Client) roundTrip(l *link, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	if err := writeRequest(l, t, call); err != nil {
		return savorywing.BackendResponse{}, fmt.Errorf("writing the request: %w", err)
	}
	l.gap = call.FirstByteTimeout
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.ReadLimitBody(l.reader, maxAnswer); err != nil {
		return savorywing.BackendResponse{}, fmt.Errorf("reading the answer: %w", err)
	}
	if got := string(resp.Header.Peek(HeaderAttempt)); got != string(call.AttemptID) {
		return savorywing.BackendResponse{}, errForeignAnswer
	}
	return savorywing.BackendResponse{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		NotRun:      len(resp.Header.Peek(HeaderNotRun)) > 0,
		Stream:      &stream{pool: c.pool, link: l, address: t.Address, resp: resp},
	}, nil
}

func writeRequest(l *link, t savorywing.Target, call savorywing.Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Address + call.Path)
	req.Header.SetMethod(call.Method)
	req.Header.Set(HeaderAttempt, string(call.AttemptID))
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderKey, call.IdempotencyKey)
	}
	if call.ResumeOffset > 0 {
		req.Header.Set(HeaderOffset, strconv.Itoa(call.ResumeOffset))
	}
	req.SetBodyRaw(call.Body)
	if err := l.SetWriteDeadline(time.Now().Add(call.FirstByteTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriter(l)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// stream is the body of one answer.
type stream struct {
	pool    *pool
	link    *link
	address string
	resp    *fasthttp.Response
	stop    func() bool
	ended   bool
}

// Read returns io.EOF only at an end that the backend server stated by length or final chunk.
func (s *stream) Read(p []byte) (int, error) {
	if s.resp.Header.ContentLength() < -1 {
		return 0, errors.New("the answer states neither a length nor chunks")
	}
	n, err := s.resp.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		s.ended = true
	}
	return n, err
}

// SetIdleTimeout bounds the silence between bytes from now on.
func (s *stream) SetIdleTimeout(d time.Duration) { s.link.gap = d }

// Close keeps the connection if the answer was read to its end, and closes it otherwise.
func (s *stream) Close() error {
	stopped := s.stop()
	if s.ended && stopped && !s.resp.ConnectionClose() {
		s.pool.put(s.address, s.link)
		return nil
	}
	return s.link.Close()
}

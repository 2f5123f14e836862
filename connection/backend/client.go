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
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/connection/socket"
)

// Headers between the system and backend servers.
const (
	// HeaderAttemptID carries the attempt ID; the backend server echoes it.
	HeaderAttemptID = "X-Request-Id"
	// HeaderOffset asks the backend server to resume the attempt's stream after that many frames.
	HeaderOffset = "X-Resume-Offset"
	// HeaderIdempotencyKey carries the idempotency key, which is the same in all attempts of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun marks the rejection of a request that was not run.
	HeaderNotRun = "X-Not-Run"
)

const (
	dialTimeout = 1 * time.Second
	// maxResponseBytes bounds the body of a response, also of a stream.
	maxResponseBytes = 16 << 20
)

var (
	errWrongAttempt = httpheader.NewRefusal("wrongAttempt", "the response carries another attempt ID")
	errTooLong      = httpheader.NewRefusal("tooLong", "the response is too long")
	errNoResponse   = httpheader.NewRefusal("informational", "got informational responses only")
	errNoEnd        = httpheader.NewRefusal("noEnd", "the response has neither a content length nor chunked encoding")
	errTruncated    = httpheader.NewRefusal("truncated", "the response was truncated")
	// errUnexpectedSwitch means that the server switches to another protocol, which no request asks for.
	errUnexpectedSwitch = httpheader.NewRefusal("switch", "the server switches to another protocol")
	// errContradiction means that a response reports success and that the request has not run.
	errContradiction = httpheader.NewRefusal("contradiction", "the response contradicts itself")
)

// Client sends requests to backend servers. It never retries a request by itself.
type Client struct {
	pool *pool
	// buffers is the size of the buffers of the sockets, in bytes; 0 for the system's.
	buffers int
	// refused is called for each response that is refused.
	refused func(r httpheader.Refused)
	// sent and received count bytes since the client was created.
	sent, received atomic.Uint64
}

// Traffic returns the bytes sent to and received from backend servers.
func (c *Client) Traffic() (sent, received uint64) { return c.sent.Load(), c.received.Load() }

// Option changes a client.
type Option func(c *Client)

// WithBuffers sets the sizes of the buffers of the client's sockets, in bytes; 0 for the system's.
func WithBuffers(size int) Option { return func(c *Client) { c.buffers = size } }

// WithMaxIdle bounds the idle connections that are kept for later requests, to all addresses together; 0 for no bound.
func WithMaxIdle(n int) Option { return func(c *Client) { c.pool.maxIdle = n } }

// WithRefused makes a client call f for each response that it refuses, also for one of which a part has been returned.
func WithRefused(f func(r httpheader.Refused)) Option { return func(c *Client) { c.refused = f } }

// New returns a client.
func New(clock savorywing.Clock, opts ...Option) *Client {
	c := &Client{pool: newPool(clock), refused: func(httpheader.Refused) {}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

var _ savorywing.Backend = (*Client)(nil)

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: socket.Buffers(c.buffers)}
	return d.DialContext(ctx, "tcp", address)
}

// connect returns a connection to an address, and whether it comes from the pool.
func (c *Client) connect(ctx context.Context, address string, newConnection bool) (*link, bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	for !newConnection {
		l := c.pool.take(address)
		if l == nil {
			break
		}
		if l.isUsable() {
			l.hasWritten = false
			return l, true, nil
		}
		_ = l.Close()
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	l := &link{Conn: StrictConn{Conn: conn}, socket: conn, client: c}
	l.reader = newReader(l)
	return l, false, nil
}

// Send sends one request and returns once the header of its response was received. If ctx is cancelled before the
// stream of the response is closed, the connection is closed. The error is a RequestError: CodeNotRun if nothing was
// sent, CodeUnknown otherwise.
func (c *Client) Send(ctx context.Context, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	l, pooled, err := c.connect(ctx, t.Address, call.NewConnection)
	if err != nil {
		return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeNotRun, fasthttp.StatusBadGateway,
			"the backend server can't be reached", savorywing.WithCause(err))
	}
	response, err := c.exchange(ctx, l, t, call)
	if err == nil {
		return response, nil
	}
	_ = l.Close()
	c.report(t.Address, call.AttemptID, err)
	if pooled {
		c.pool.closeIdle(t.Address)
	}
	if !l.hasWritten {
		return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeNotRun, fasthttp.StatusBadGateway,
			"nothing was sent to the backend server", savorywing.WithCause(err))
	}
	return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeUnknown, fasthttp.StatusBadGateway,
		"the backend server's answer was lost", savorywing.WithCause(err))
}

// report reports a response if its error means that it was refused.
func (c *Client) report(address string, id savorywing.ID, err error) {
	if r, ok := httpheader.AsRefused(address, string(id), err); ok {
		c.refused(r)
	}
}

func (c *Client) exchange(ctx context.Context, l *link, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	response, err := c.roundTrip(l, t, call)
	if err != nil {
		stop()
		return response, err
	}
	s, ok := response.Stream.(*stream)
	if !ok {
		stop()
		return response, errors.New("Client.exchange: unexpected type of response stream")
	}
	s.stop = stop
	return response, nil
}

func (c *Client) roundTrip(l *link, t savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	if err := writeRequest(l, t, call); err != nil {
		return savorywing.BackendResponse{}, fmt.Errorf("writing the request: %w", err)
	}
	l.idleTimeout = call.FirstByteTimeout
	resp := &fasthttp.Response{StreamBody: true}
	if err := readResponse(l, resp); err != nil {
		return savorywing.BackendResponse{}, fmt.Errorf("reading the response: %w", err)
	}
	if got := string(resp.Header.Peek(HeaderAttemptID)); got != string(call.AttemptID) {
		return savorywing.BackendResponse{}, errWrongAttempt
	}
	notRun := len(resp.Header.Peek(HeaderNotRun)) > 0
	if notRun && resp.StatusCode() < fasthttp.StatusBadRequest {
		return savorywing.BackendResponse{}, errContradiction
	}
	return savorywing.BackendResponse{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		NotRun:      notRun,
		Stream:      &stream{client: c, link: l, address: t.Address, attemptID: call.AttemptID, resp: resp},
	}, nil
}

// maxInformational bounds the informational responses that are skipped before one response.
const maxInformational = 4

// maxReadAhead is the size in bytes from which the body of a response is left to its stream. fasthttp reads smaller ones with the header,
// before the caller can tell whether there is room for them.
const maxReadAhead = 1

// readResponse reads the header of a response after those of informational responses.
func readResponse(l *link, resp *fasthttp.Response) error {
	for range maxInformational {
		if err := httpheader.ReadResponse(&resp.Header, l.reader); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errUnexpectedSwitch
		case hasNoBody(status):
			return nil
		case status >= fasthttp.StatusOK:
			return resp.ReadBody(l.reader, maxReadAhead)
		}
	}
	return errNoResponse
}

// hasNoBody reports whether responses with a status never have a body, whatever their header states.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func writeRequest(l *link, t savorywing.Target, call savorywing.Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	// A target that is parsed would be written in another form.
	req.Header.SetRequestURI(call.Path)
	req.Header.SetHost(t.Address)
	req.Header.SetMethod(call.Method)
	req.Header.Set(HeaderAttemptID, string(call.AttemptID))
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
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

// stream is the body of one response.
type stream struct {
	client    *Client
	link      *link
	address   string
	attemptID savorywing.ID
	resp      *fasthttp.Response
	stop      func() bool
	ended     bool
	// bytesRead is the size of the body so far.
	bytesRead int
	// failed is the error of the body, which is returned again.
	failed error
}

// Read returns io.EOF only at the end of the body as stated by its length or by the final chunk. A body of more than
// maxResponseBytes is an error.
func (s *stream) Read(p []byte) (int, error) {
	if s.failed != nil {
		return 0, s.failed
	}
	n, err := s.read(p)
	if errors.Is(err, io.EOF) {
		s.ended = true
		return n, io.EOF
	}
	if err != nil {
		s.failed = fmt.Errorf("stream.Read: %w", err)
		s.client.report(s.address, s.attemptID, err)
	}
	return n, s.failed
}

func (s *stream) read(p []byte) (int, error) {
	if hasNoBody(s.resp.StatusCode()) {
		return 0, io.EOF
	}
	if s.resp.Header.ContentLength() < -1 {
		return 0, errNoEnd
	}
	n, err := s.resp.BodyStream().Read(p)
	if s.bytesRead += n; s.bytesRead > maxResponseBytes {
		return 0, errTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", errTruncated, err)
	}
	return n, err
}

// SetIdleTimeout bounds the wait for bytes in each read from now on.
func (s *stream) SetIdleTimeout(d time.Duration) { s.link.idleTimeout = d }

// Close returns the connection to the pool if the response was read to its end, and closes it otherwise.
func (s *stream) Close() error {
	stopped := s.stop()
	if s.ended && stopped && !s.resp.ConnectionClose() {
		s.client.pool.put(s.address, s.link)
		return nil
	}
	return s.link.Close()
}

package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
)

// TestContinueAfterIdleTime checks that a request with "Expect: 100-continue" is served although the time limit of the
// connection's last write is over.
func TestContinueAfterIdleTime(t *testing.T) {
	_, address := serve(t, func(ctx context.Context, x savorywing.Exchange) {
		echo(ctx, x)
		if err := x.(*Exchange).conn.conn.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Error(err)
		}
	})
	c, r := dial(t, address)
	if _, err := io.WriteString(c, firstRequest); err != nil {
		t.Fatal(err)
	}
	if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v, want 200", status, err)
	}
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var h fasthttp.ResponseHeader
	if err := h.Read(r); err != nil || h.StatusCode() != fasthttp.StatusContinue {
		t.Fatalf("status %d, error %v, want 100", h.StatusCode(), err)
	}
	if _, err := io.WriteString(c, "hi"); err != nil {
		t.Fatal(err)
	}
	if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
		t.Errorf("status %d, error %v, want 200", status, err)
	}
}

// TestEmptyLineBeforeRequest checks that an empty line after a request, as some callers send it, isn't taken for the beginning
// of the next request, which would end the connection.
func TestEmptyLineBeforeRequest(t *testing.T) {
	tests := []struct {
		name string
		// pause is the time between the empty line and the next request, or the close if there is none.
		pause   time.Duration
		request string
		want    int
	}{
		{"request at once", 0, firstRequest, fasthttp.StatusOK},
		{"request later", 1200 * time.Millisecond, firstRequest, fasthttp.StatusOK},
		{"no request", 0, "", fasthttp.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
			s := newServer(t, echo, limits)
			c, r := dial(t, s.listeners[0].Addr().String())
			if _, err := io.WriteString(c, firstRequest+"\r\n"); err != nil {
				t.Fatal(err)
			}
			if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
				t.Fatalf("status %d, error %v, want 200", status, err)
			}
			time.Sleep(tt.pause)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			if tt.request == "" {
				s.BeginClose()
			}
			start := time.Now()
			if status, err := readResponse(c, r); err != nil || status != tt.want {
				t.Errorf("status %d, error %v, want %d", status, err, tt.want)
			}
			if took := time.Since(start); took > limits.HeaderTimeout {
				t.Errorf("the response took %s", took)
			}
		})
	}
}

// deadlineConn calls before and after, which may be nil, around the next change of its read deadline. last is the deadline that was
// set last, and client the other side.
type deadlineConn struct {
	*net.TCPConn
	before, after func()
	client        net.Conn

	mu   sync.Mutex
	last time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	before, after := c.before, c.after
	c.before, c.after = nil, nil
	if before != nil {
		before()
	}
	c.mu.Lock()
	c.last = t
	err := c.TCPConn.SetReadDeadline(t)
	c.mu.Unlock()
	if after != nil {
		after()
	}
	return err
}

// newTestConn returns the server's side of a connection on which a request has been received and not been read.
func newTestConn(t *testing.T, s *Server) (*conn, *deadlineConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, _ := dial(t, l.Addr().String())
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if _, err := io.WriteString(client, firstRequest); err != nil {
		t.Fatal(err)
	}
	input := socket.InputNone
	for input != socket.InputBytes {
		time.Sleep(time.Millisecond)
		if input, err = socket.Peek(nc); err != nil {
			t.Fatal(err)
		}
	}
	d := &deadlineConn{TCPConn: nc.(*net.TCPConn), client: client}
	return newConn(s, d, s.handler, s.memory), d
}

// TestRequestReceivedAtTheCloseServed checks that a request that has begun when the server begins to close connections, and
// that hasn't been read yet, is served and not rejected.
func TestRequestReceivedAtTheCloseServed(t *testing.T) {
	served := false
	s := newServer(t, func(ctx context.Context, x savorywing.Exchange) {
		served = true
		echo(ctx, x)
	}, Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	c, _ := newTestConn(t, s)
	if !c.awaitRequest() {
		t.Fatal("no request")
	}
	c.stopWaiting()
	c.serveOne()
	if !served {
		t.Error("the request was rejected")
	}
}

// beside runs f in a goroutine and waits a moment for it, since it may have to wait for its caller. The channel is closed once f
// has returned.
func beside(f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(50 * time.Millisecond):
	}
	return done
}

// TestReceivedRequestNotMissedAtTheClose checks that a request that is found at the end of the idle time is read although the
// server begins to close connections at the same moment.
func TestReceivedRequestNotMissedAtTheClose(t *testing.T) {
	s, _ := serveForever(t)
	c, d := newTestConn(t, s)
	c.used = true
	d.after = func() { beside(c.stopWaiting) }
	if err := c.lookAgain(); err != nil {
		t.Errorf("the request was missed: %v", err)
	}
}

// TestExpireWhileTimeoutIsSet checks that a connection doesn't read on for a whole time limit if the stop ends as it sets
// that limit.
func TestExpireWhileTimeoutIsSet(t *testing.T) {
	s, _ := serveForever(t)
	c, d := newTestConn(t, s)
	c.waiting = false
	var expired <-chan struct{}
	d.before = func() { expired = beside(func() { c.expire() }) }
	c.setReadTimeout(time.Minute)
	<-expired
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := time.Until(d.last); left > 0 {
		t.Errorf("the connection reads for another %s", left)
	}
}

// TestConnectionAcceptedWhileClosed checks that a connection that is accepted as the server is closed at once ends.
func TestConnectionAcceptedWhileClosed(t *testing.T) {
	s, _ := serveForever(t)
	c, _ := newTestConn(t, s)
	s.Close()
	s.add(c.conn, s.handler, s.memory)
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection is still served")
	}
}

// TestConnectionAcceptedAfterExpiry checks that a request on a connection that is accepted after the requests that were left have
// been cancelled is answered as well, before the process ends.
func TestConnectionAcceptedAfterExpiry(t *testing.T) {
	s, _ := serveForever(t)
	c, d := newTestConn(t, s)
	s.BeginClose()
	s.expire()
	s.add(c.conn, s.handler, s.memory)
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	client := d.client
	if status, err := readResponse(client, bufio.NewReader(client)); err != nil || status != fasthttp.StatusBadGateway {
		t.Errorf("status %d, error %v, want 502", status, err)
	}
	_ = client.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection is still served")
	}
}

// TestAnsweredRequestsNotLeft checks that connections whose last response has been sent don't count as requests that are
// left at the end of a stop.
func TestAnsweredRequestsNotLeft(t *testing.T) {
	tests := []struct {
		name, request string
		want          int
	}{
		{"after a response", firstRequest, fasthttp.StatusOK},
		{"without a request", "", fasthttp.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := serve(t, echo)
			c, r := dial(t, address)
			s.Drain()
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			if status, err := readResponse(c, r); err != nil || status != tt.want {
				t.Fatalf("status %d, error %v, want %d", status, err, tt.want)
			}
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Fatalf("error %v, want the end of the connection", err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if left := s.Shutdown(ctx); left != 0 {
				t.Errorf("got %d requests that were left, want 0", left)
			}
		})
	}
}

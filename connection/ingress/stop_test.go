package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/clock"
)

const (
	// stopRounds and stopCallers are the number of stops, and of connections during each.
	stopRounds  = 40
	stopCallers = 60
	// closeSpread is how long before or after the close callers send their requests.
	closeSpread = 2 * time.Millisecond
)

// stopCounts counts what callers saw of requests around the close.
type stopCounts struct {
	mu sync.Mutex
	// closed counts callers that saw the close before they sent, or could not connect.
	served, rejected, closed int
	unanswered               []string
	// handled counts the requests around the close that reached the handler.
	handled int
}

func (n *stopCounts) record(status int, err error, what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err != nil:
		n.unanswered = append(n.unanswered, fmt.Sprintf("%s: %v", what, err))
	case status == fasthttp.StatusOK:
		n.served++
	default:
		n.rejected++
	}
}

func (n *stopCounts) handle(ctx context.Context, x savorywing.Exchange) {
	if string(x.HTTPRequest().URI().Path()) == stopPath {
		n.mu.Lock()
		n.handled++
		n.mu.Unlock()
	}
	echo(ctx, x)
}

func (n *stopCounts) recordClosed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed++
}

// readResponse returns the status of the next response.
func readResponse(c net.Conn, r *bufio.Reader) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		return 0, err
	}
	return resp.StatusCode(), nil
}

// TestRequestsAroundTheClose stops a server while callers send requests on kept connections, on which nothing had been sent
// before the stop, and on new ones. A request that was sent before its caller could see the close must be answered.
func TestRequestsAroundTheClose(t *testing.T) {
	tests := []struct {
		name string
		load stopLoad
	}{
		{"kept connections", stopLoad{connected: true, used: true}},
		{"kept connections, requests in two parts", stopLoad{connected: true, used: true, split: true}},
		{"connections without a request before", stopLoad{connected: true}},
		{"new connections", stopLoad{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var n stopCounts
			for range stopRounds {
				stopUnderLoad(t, &n, tt.load)
			}
			t.Logf("served %d, rejected %d, saw the close first %d, unanswered %d", n.served, n.rejected, n.closed, len(n.unanswered))
			if len(n.unanswered) > 0 {
				t.Errorf("%d requests got no answer, want 0; the first: %s", len(n.unanswered), n.unanswered[0])
			}
			if n.handled != n.served {
				t.Errorf("%d requests reached the handler and %d were served, want as many", n.handled, n.served)
			}
			if n.served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// stopLoad is what callers do around the close. They have opened their connections before the stop if connected is set, and
// sent a first request on them if used is set. With split, the last request comes in two parts.
type stopLoad struct{ connected, used, split bool }

// firstRequest is sent before the stop, and stopRequest around the close.
const (
	stopPath     = "/b"
	firstRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	stopRequest  = "POST " + stopPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
)

func stopUnderLoad(t *testing.T, n *stopCounts, load stopLoad) {
	t.Helper()
	s, address := serve(t, n.handle)
	var ready, callers sync.WaitGroup
	var closeAt time.Time
	stopping := make(chan struct{})
	ready.Add(stopCallers)
	for range stopCallers {
		callers.Go(func() {
			c, r, err := openBeforeStop(address, load)
			ready.Done()
			if err != nil {
				t.Error(err)
				return
			}
			<-stopping
			time.Sleep(time.Until(closeAt) + rand.N(2*closeSpread) - closeSpread)
			callOnce(n, c, r, address, load)
		})
	}
	ready.Wait()
	closeAt = time.Now().Add(10 * time.Millisecond)
	s.Drain()
	close(stopping)
	time.Sleep(time.Until(closeAt))
	s.CloseIdle()
	callers.Wait()
	s.Close()
}

// openBeforeStop returns the connection that a caller has when the stop begins, or nil.
func openBeforeStop(address string, load stopLoad) (net.Conn, *bufio.Reader, error) {
	if !load.connected {
		return nil, nil, nil
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	r := bufio.NewReader(c)
	if load.used {
		if _, err := io.WriteString(c, firstRequest); err != nil {
			return nil, nil, err
		}
		if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
			return nil, nil, fmt.Errorf("status %d before the stop, error %w", status, err)
		}
	}
	return c, r, nil
}

// callOnce sends one request, on a new connection if c is nil.
func callOnce(n *stopCounts, c net.Conn, r *bufio.Reader, address string, load stopLoad) {
	if c == nil {
		var err error
		if c, err = net.DialTimeout("tcp", address, 50*time.Millisecond); err != nil {
			n.recordClosed()
			return
		}
		r = bufio.NewReader(c)
	} else if input, err := socket.Peek(c); err != nil || input != socket.InputNone {
		_ = c.Close()
		n.recordClosed()
		return
	}
	defer func() { _ = c.Close() }()
	rest := stopRequest
	if load.split {
		if _, err := io.WriteString(c, rest[:20]); err != nil {
			n.record(0, err, "sending the first part")
			return
		}
		time.Sleep(3 * time.Millisecond)
		rest = rest[20:]
	}
	// What has been sent may have an answer even if the rest can't be sent any more.
	_, sendErr := io.WriteString(c, rest)
	status, err := readResponse(c, r)
	n.record(status, err, fmt.Sprintf("send error %v, reading the response", sendErr))
}

// TestShutdownAnswersWhatIsLeft checks that requests that are still being received or served at the end of a stop are
// answered, and that the stop doesn't wait longer for them.
func TestShutdownAnswersWhatIsLeft(t *testing.T) {
	tests := []struct {
		name, request string
		want          int
	}{
		{"half a header", "POST /a HTTP/1.1\r\nHo", fasthttp.StatusRequestTimeout},
		{"half a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nhi", fasthttp.StatusRequestTimeout},
		{"being served", firstRequest, fasthttp.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := serveForever(t)
			c, r := dial(t, address)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			start := time.Now()
			done := make(chan int, 1)
			go func() { done <- s.Shutdown(ctx) }()
			if status, err := readResponse(c, r); err != nil || status != tt.want {
				t.Errorf("status %d, error %v, want %d", status, err, tt.want)
			}
			_ = c.Close()
			if left := <-done; left != 1 {
				t.Errorf("got %d requests that were left, want 1", left)
			}
			if took := time.Since(start); took > 100*time.Millisecond+2*ExpireTime {
				t.Errorf("the stop took %s", took)
			}
		})
	}
}

// serveForever returns a server with generous time limits whose handler responds only when its request is cancelled.
func serveForever(t *testing.T) (*Server, string) {
	t.Helper()
	handler := handlerFunc(func(ctx context.Context, x savorywing.Exchange) {
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), ErrStopping) {
			x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusBadGateway, Reason: "stopping"})
		}
	})
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := New(clock.Boottime{}, handler, func() Limits { return limits }, zerolog.Nop())
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, s.listeners[0].Addr().String()
}

// TestShutdownDoesNotWaitForIdleCallers checks that callers that send nothing, and never close their connections, hardly
// delay a stop.
func TestShutdownDoesNotWaitForIdleCallers(t *testing.T) {
	s, address := serveForever(t)
	for range 20 {
		dial(t, address)
	}
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	s.Shutdown(ctx)
	if took, limit := time.Since(start), time.Second; took > limit {
		t.Errorf("the stop took %s, want at most %s", took, limit)
	}
}

// TestReceivedRequestNotMissed checks that a request that has been received when the time to wait for it ends is found.
func TestReceivedRequestNotMissed(t *testing.T) {
	s, _ := serveForever(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, firstRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	s.closing.Store(true)
	c := newConn(s, server)
	defer c.close()
	c.used = true
	if !c.awaitRequest() {
		t.Error("the request was taken for none")
	}
}

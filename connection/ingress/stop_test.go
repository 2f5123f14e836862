package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/standin/closing"
)

// stopRounds is the number of stops of one test, and stopCallers that of callers during each.
const (
	stopRounds  = 40
	stopCallers = 60
)

// firstRequest is sent before the stop, and stopRequest around the close.
const (
	stopPath     = "/b"
	firstRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	stopRequest  = "POST " + stopPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
)

// TestRequestsAroundTheClose stops a server while callers send requests on kept connections, on which nothing had been sent
// before the stop, and on new ones. A request that was sent before its caller could see the close must be answered.
func TestRequestsAroundTheClose(t *testing.T) {
	tests := []struct {
		name string
		load closing.Load
	}{
		{"kept connections", closing.Load{Connected: true, First: firstRequest}},
		{"kept connections, requests in two parts", closing.Load{Connected: true, First: firstRequest, Split: true}},
		{"connections without a request before", closing.Load{Connected: true}},
		{"new connections", closing.Load{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var counts closing.Counts
			// handled counts the requests around the close that reached the handler.
			var handled atomic.Int64
			tt.load.Callers, tt.load.Request = stopCallers, func(int) string { return stopRequest }
			for range stopRounds {
				s := newServer(t, func(ctx context.Context, x savorywing.Exchange) {
					if string(x.HTTPRequest().URI().Path()) == stopPath {
						handled.Add(1)
					}
					echo(ctx, x)
				}, patientLimits)
				if err := tt.load.Run(&counts, closing.Server{Address: s.listeners[0].Addr().String(), Drain: s.Drain, Close: s.BeginClose}); err != nil {
					t.Fatal(err)
				}
				s.Close()
			}
			t.Log(counts.String())
			if err := counts.Err(); err != nil {
				t.Error(err)
			}
			if got := int(handled.Load()); got != counts.Served() {
				t.Errorf("%d requests reached the handler and %d were served, want as many", got, counts.Served())
			}
		})
	}
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
	c := newConn(s, server, s.handler, s.memory)
	defer c.close()
	c.used = true
	if !c.awaitRequest() {
		t.Error("the request was taken for none")
	}
}

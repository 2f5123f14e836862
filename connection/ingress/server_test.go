package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
)

type handlerFunc func(ctx context.Context, x savorywing.Exchange)

func (f handlerFunc) Serve(ctx context.Context, x savorywing.Exchange) { f(ctx, x) }

func (f handlerFunc) Reject(x savorywing.Exchange) {
	x.WriteError(savorywing.ErrorResponse{Status: fasthttp.StatusServiceUnavailable, Reason: "stopping"})
}

func serve(t *testing.T, h handlerFunc) (*Server, string) {
	t.Helper()
	return serveWithHeaderLimit(t, h, 4096)
}

func serveWithHeaderLimit(t *testing.T, h handlerFunc, maxHeaderBytes int) (*Server, string) {
	t.Helper()
	s := newServer(t, h, Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
	return s, s.listeners[0].Addr().String()
}

func newServer(t *testing.T, h handlerFunc, limits Limits) *Server {
	t.Helper()
	s := New(clock.Boottime{}, h, func() Limits { return limits }, zerolog.Nop())
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func echo(_ context.Context, x savorywing.Exchange) {
	x.WriteError(savorywing.ErrorResponse{Status: 200, Reason: string(x.HTTPRequest().Body())})
}

// TestHeaderLimit guards against a limit of headers other than the configured one.
func TestHeaderLimit(t *testing.T) {
	tests := []struct {
		name                     string
		maxHeaderBytes, fieldLen int
		status                   int
	}{
		{"larger than the first buffer", 16 << 10, 9000, 200},
		{"just below a large limit", 16 << 10, 16<<10 - 100, 200},
		{"above a large limit", 16 << 10, 16 << 10, 431},
		{"just below a small limit", 1000, 900, 200},
		{"above a small limit", 1000, 1000, 431},
		{"no limit stated", 0, 900, 200},
		{"above the first buffer, no limit stated", 0, 9000, 431},
		{"above the largest buffer, a huge limit", 1 << 50, 2 << 20, 431},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serveWithHeaderLimit(t, echo, tt.maxHeaderBytes)
			c, r := dial(t, address)
			large := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: " + strings.Repeat("x", tt.fieldLen) + "\r\n\r\nhi"
			small := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nyou"
			if _, err := io.WriteString(c, large+small); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := resp.Read(r); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode() != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode(), tt.status)
			}
			if tt.status != 200 {
				return
			}
			if got := string(resp.Body()); got != "hi\n" {
				t.Errorf("body %q, want %q", got, "hi\n")
			}
			if err := resp.Read(r); err != nil || string(resp.Body()) != "you\n" {
				t.Errorf("the next request on the connection got body %q, error %v, want %q", resp.Body(), err, "you\n")
			}
		})
	}
}

func TestRequests(t *testing.T) {
	tests := []struct {
		name, text string
		status     int
		body       string
		closes     bool
	}{
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "hi\n", false},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi\n", false},
		{"close", "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", 200, "hi\n", true},
		{"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200, "\n", false},
		{"body too large", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200), 413, "", true},
		{"header too large", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431, "", true},
		{"malformed request", "what is this\r\n\r\n", 400, "", true},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400, "", true},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 400, "", true},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400, "", true},
		{"a length that is a list", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2, 2\r\n\r\nhi", 400, "", true},
		{"a negative length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -2\r\n\r\nhi", 400, "", true},
		{"a space before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nhi", 400, "", true},
		{"a space in a name", "GET /a HTTP/1.1\r\nHost: h\r\nX Own: 1\r\n\r\n", 400, "", true},
		{"two encodings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "", true},
		{"an unknown encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, "", true},
		{"length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi\n", true},
		{"chunks and length", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 40\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, echo)
			c, r := dial(t, address)
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := resp.Read(r); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode() != tt.status || (tt.body != "" && string(resp.Body()) != tt.body) {
				t.Errorf("status %d, body %q", resp.StatusCode(), resp.Body())
			}
			if tt.closes != resp.ConnectionClose() && tt.status == 200 {
				t.Errorf("response has Connection: close: %v", resp.ConnectionClose())
			}
			if tt.closes {
				if _, err := r.ReadByte(); err != io.EOF {
					t.Errorf("the connection was not closed: %v", err)
				}
				return
			}
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			if err := resp.Read(r); err != nil || resp.StatusCode() != tt.status {
				t.Errorf("second request: status %d, error %v", resp.StatusCode(), err)
			}
		})
	}
}

// TestPipelined checks that a pipelined request waits for the response before it, and that its bytes aren't taken
// for a disconnect.
func TestPipelined(t *testing.T) {
	_, address := serve(t, func(ctx context.Context, x savorywing.Exchange) {
		time.Sleep(50 * time.Millisecond)
		if ctx.Err() != nil {
			t.Error("the bytes of the next request were taken for a disconnect")
		}
		echo(ctx, x)
	})
	c, r := dial(t, address)
	if _, err := io.WriteString(c, strings.Repeat("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 3)); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		var resp fasthttp.Response
		if err := resp.Read(r); err != nil || string(resp.Body()) != "hi\n" {
			t.Fatalf("response %d: body %q, error %v", i, resp.Body(), err)
		}
	}
}

// TestCallerDisconnects checks that the context of a request is cancelled soon after the caller closes the connection.
func TestCallerDisconnects(t *testing.T) {
	disconnected := make(chan time.Time, 1)
	_, address := serve(t, func(ctx context.Context, _ savorywing.Exchange) {
		<-ctx.Done()
		disconnected <- time.Now()
	})
	c, _ := dial(t, address)
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	closed := time.Now()
	_ = c.Close()
	select {
	case at := <-disconnected:
		if d := at.Sub(closed); d > 200*time.Millisecond {
			t.Errorf("disconnect noticed after %v, want at most 200 ms", d)
		}
	case <-time.After(3 * time.Second):
		t.Error("disconnect not noticed within 3 s")
	}
}

// TestStreams checks that a caller can tell an aborted or unfinished response from a complete one.
func TestStreams(t *testing.T) {
	tests := []struct {
		name     string
		length   int
		end      func(x savorywing.Exchange) error
		complete bool
	}{
		{"chunks, finished", -1, func(x savorywing.Exchange) error { return x.Finish([]byte("end")) }, true},
		{"chunks, aborted", -1, func(x savorywing.Exchange) error { x.Abort(); return nil }, false},
		{"chunks, never finished", -1, func(savorywing.Exchange) error { return nil }, false},
		{"length, finished", 5, func(x savorywing.Exchange) error { return x.Finish([]byte("end")) }, true},
		{"length, short", 9, func(x savorywing.Exchange) error { return x.Finish([]byte("end")) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, func(_ context.Context, x savorywing.Exchange) {
				var h fasthttp.ResponseHeader
				h.SetStatusCode(200)
				if err := x.Start(&h, tt.length, []byte("ab")); err != nil {
					t.Error(err)
				}
				if err := tt.end(x); err != nil {
					t.Error(err)
				}
			})
			c, r := dial(t, address)
			if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			err := resp.Read(r)
			if (err == nil) != tt.complete {
				t.Errorf("body %q, error %v", resp.Body(), err)
			}
		})
	}
}

// TestDrain checks that a planned stop completes the requests in flight and closes idle connections, with a response for a
// request that may be on its way.
func TestDrain(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(ctx context.Context, x savorywing.Exchange) {
		close(began)
		<-release
		echo(ctx, x)
	})
	busy, r := dial(t, address)
	idle, ir := dial(t, address)
	_ = idle
	if _, err := io.WriteString(busy, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	<-began
	s.Drain()
	s.BeginClose()
	var resp fasthttp.Response
	if err := resp.Read(ir); err != nil || resp.StatusCode() != fasthttp.StatusRequestTimeout || !resp.ConnectionClose() {
		t.Errorf("idle connection: status %d, error %v, Connection: close %v, want 408 and the end", resp.StatusCode(), err, resp.ConnectionClose())
	}
	if _, err := ir.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got error %v, want its end", err)
	}
	close(release)
	if err := resp.Read(r); err != nil || string(resp.Body()) != "hi\n" || !resp.ConnectionClose() {
		t.Errorf("body %q, error %v, Connection: close %v", resp.Body(), err, resp.ConnectionClose())
	}
	// The response is sent shortly before the request leaves the in-flight count.
	for end := time.Now().Add(time.Second); s.InFlight() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests in flight, want 0", s.InFlight())
		}
	}
}

// TestDrainEndsStreams checks that a connection whose stream started before the stop, and ended after idle connections
// were closed, accepts no further request. Such a request would start so late that the end of the grace period could
// truncate its response.
func TestDrainEndsStreams(t *testing.T) {
	finish := make(chan struct{})
	served := make(chan string, 2)
	s, address := serve(t, func(_ context.Context, x savorywing.Exchange) {
		served <- string(x.HTTPRequest().URI().Path())
		var h fasthttp.ResponseHeader
		h.SetStatusCode(200)
		if err := x.Start(&h, -1, []byte("ab")); err != nil {
			t.Error(err)
		}
		<-finish
		if err := x.Finish([]byte("end")); err != nil {
			t.Error(err)
		}
	})
	c, r := dial(t, address)
	if _, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-served
	s.Drain()
	s.BeginClose()
	close(finish)
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil || string(resp.Body()) != "abend" {
		t.Fatalf("body %q, error %v", resp.Body(), err)
	}
	if _, err := io.WriteString(c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Logf("the connection was closed: %v", err)
	}
	select {
	case path := <-served:
		t.Errorf("%s was served after idle connections were closed", path)
	case <-time.After(200 * time.Millisecond):
	}
}

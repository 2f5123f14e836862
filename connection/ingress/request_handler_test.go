package ingress

import (
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
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/clock"
)

// partsReader is a stream of parts that ends with an error.
type partsReader struct {
	parts  []string
	err    error
	closed bool
}

func (p *partsReader) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, p.err
	}
	n := copy(b, p.parts[0])
	p.parts = p.parts[1:]
	return n, nil
}

func (p *partsReader) Close() error {
	p.closed = true
	return nil
}

var errBroken = errors.New("the stream broke")

// serveByPath is a RequestHandler whose paths are the kinds of response.
func serveByPath(_ context.Context, r *fasthttp.RequestCtx) {
	r.Response.Header.Set("X-Test", "yes")
	switch string(r.Path()) {
	case "/echo":
		r.SetBody(r.PostBody())
	case "/large":
		r.SetBodyString(strings.Repeat("x", 3*maxWriteBytes+1))
	case "/empty":
		r.SetStatusCode(fasthttp.StatusNoContent)
		r.SetBodyString("ignored")
	case "/stream":
		r.SetBodyStream(&partsReader{parts: []string{"ab", "cd"}, err: io.EOF}, -1)
	case "/sized":
		r.SetBodyStream(&partsReader{parts: []string{"ab", "cd"}, err: io.EOF}, 4)
	case "/broken":
		r.SetBodyStream(&partsReader{parts: []string{"ab"}, err: errBroken}, -1)
	case "/brokenSized":
		r.SetBodyStream(&partsReader{parts: []string{"ab"}, err: errBroken}, 4)
	case "/brokenAtOnce":
		r.SetBodyStream(&partsReader{err: errBroken}, -1)
	}
}

func rejectBusy(_ context.Context, r *fasthttp.RequestCtx) {
	r.Error("rejected "+string(r.Path()), fasthttp.StatusServiceUnavailable)
}

func serveRequests(t *testing.T, opts ...Option) (*Server, string) {
	t.Helper()
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	s := New(clock.Boottime{}, NewRequestHandler(serveByPath, rejectBusy), func() Limits { return limits }, zerolog.Nop(), opts...)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, s.listeners[0].Addr().String()
}

// TestRequestHandler checks the responses of a RequestHandler, and that the connection carries another request after them
// unless they are incomplete.
func TestRequestHandler(t *testing.T) {
	tests := []struct {
		name, request string
		status        int
		body          string
		incomplete    bool
	}{
		{"body", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", false},
		{"chunked body", "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "hi", false},
		{"no body", "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n", 200, "", false},
		{"large body", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n", 200, strings.Repeat("x", 3*maxWriteBytes+1), false},
		{"status without a body", "GET /empty HTTP/1.1\r\nHost: h\r\n\r\n", 204, "", false},
		{"stream", "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", 200, "abcd", false},
		{"stream of a known length", "GET /sized HTTP/1.1\r\nHost: h\r\n\r\n", 200, "abcd", false},
		{"broken stream", "GET /broken HTTP/1.1\r\nHost: h\r\n\r\n", 200, "", true},
		{"broken stream of a known length", "GET /brokenSized HTTP/1.1\r\nHost: h\r\n\r\n", 200, "", true},
		{"stream that breaks at once", "GET /brokenAtOnce HTTP/1.1\r\nHost: h\r\n\r\n", 200, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serveRequests(t)
			c, r := dial(t, address)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			err := resp.Read(r)
			if tt.incomplete {
				if err == nil {
					t.Errorf("status %d with body %q, want an incomplete response", resp.StatusCode(), resp.Body())
				}
				return
			}
			if err != nil || resp.StatusCode() != tt.status || string(resp.Body()) != tt.body || string(resp.Header.Peek("X-Test")) != "yes" {
				t.Fatalf("status %d, %d bytes %.20q, header %q, error %v, want %d, %.20q", resp.StatusCode(), len(resp.Body()), resp.Body(), &resp.Header, err, tt.status, tt.body)
			}
			if _, err := io.WriteString(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nyou"); err != nil {
				t.Fatal(err)
			}
			if err := resp.Read(r); err != nil || string(resp.Body()) != "you" {
				t.Errorf("the next request got %q, error %v", resp.Body(), err)
			}
		})
	}
}

// TestRequestHandlerHead checks that responses to HEAD have the header of those to GET and no body.
func TestRequestHandlerHead(t *testing.T) {
	for _, path := range []string{"/large", "/stream", "/sized", "/empty"} {
		t.Run(path, func(t *testing.T) {
			_, address := serveRequests(t)
			c, r := dial(t, address)
			if _, err := io.WriteString(c, "HEAD "+path+" HTTP/1.1\r\nHost: h\r\n\r\nPOST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nyou"); err != nil {
				t.Fatal(err)
			}
			resp := fasthttp.Response{SkipBody: true}
			if err := resp.Read(r); err != nil || string(resp.Header.Peek("X-Test")) != "yes" {
				t.Fatalf("header %q, error %v", &resp.Header, err)
			}
			var next fasthttp.Response
			if err := next.Read(r); err != nil || string(next.Body()) != "you" {
				t.Errorf("the next request got %q, error %v", next.Body(), err)
			}
		})
	}
}

// TestRequestHandlerReject checks that a request that comes too late, behind a response that began before the stop, is rejected
// without its body being waited for.
func TestRequestHandlerReject(t *testing.T) {
	body, end := io.Pipe()
	serve := func(_ context.Context, r *fasthttp.RequestCtx) { r.SetBodyStream(body, -1) }
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	s := New(clock.Boottime{}, NewRequestHandler(serve, rejectBusy), func() Limits { return limits }, zerolog.Nop())
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, r := dial(t, s.listeners[0].Addr().String())
	if _, err := io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\nPOST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := end.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	s.BeginClose()
	_ = end.Close()
	for _, want := range []string{"ab", "rejected /late"} {
		var resp fasthttp.Response
		if err := resp.Read(r); err != nil || string(resp.Body()) != want {
			t.Fatalf("got %q, error %v, want %q", resp.Body(), err, want)
		}
	}
}

// echoOnce sends a request on a new connection and returns the response to it.
func echoOnce(t *testing.T, address string) (net.Conn, *fasthttp.Response) {
	t.Helper()
	c, r := dial(t, address)
	if _, err := io.WriteString(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	resp := &fasthttp.Response{}
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	return c, resp
}

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestMaxConns checks that of connections above the bound one without a request ends, that a new one gets a response if all
// are served, and that others take their place once some have ended, also while more are refused.
func TestMaxConns(t *testing.T) {
	format := func(h *fasthttp.ResponseHeader, r savorywing.ErrorResponse) []byte {
		h.SetStatusCode(r.Status)
		return []byte("formatted: " + r.Reason)
	}
	memory := NewMemory(clock.System{}, budget.Limits{MaxConns: 2})
	release := make(chan struct{})
	blocked := NewRequestHandler(func(ctx context.Context, r *fasthttp.RequestCtx) {
		select {
		case <-release:
		case <-ctx.Done():
		}
	}, nil)
	s, address := serveRequests(t, WithMemory(memory), WithErrorFormat(format))
	if err := s.StartHandler("127.0.0.1:0", blocked, memory); err != nil {
		t.Fatal(err)
	}
	busy := s.listeners[1].Addr().String()
	for range 2 {
		if _, resp := echoOnce(t, address); resp.StatusCode() != fasthttp.StatusOK {
			t.Fatalf("status %d, want 200", resp.StatusCode())
		}
	}
	var served []net.Conn
	for range 2 {
		c, _ := dial(t, busy)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		served = append(served, c)
		eventually(t, "the request is served instead of an idle connection", func() bool { return s.InFlight() == len(served) })
	}
	const want = "formatted: too many connections: notRun"
	if _, resp := echoOnce(t, address); resp.StatusCode() != fasthttp.StatusServiceUnavailable || string(resp.Body()) != want || !resp.ConnectionClose() {
		t.Errorf("got status %d, %q, want 503, %q", resp.StatusCode(), resp.Body(), want)
	}
	_ = served[0].Close()
	eventually(t, "a connection is accepted after one has ended", func() bool {
		_, resp := echoOnce(t, address)
		return resp.StatusCode() == fasthttp.StatusOK
	})
	close(release)
}

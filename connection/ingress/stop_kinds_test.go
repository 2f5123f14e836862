package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// stopStep is one step of a caller, or of the server that stops.
type stopStep struct {
	// send is written to the connection.
	send string
	// stop begins the stop, and release lets the handlers that wait end.
	drain, closeIdle, release bool
	// status is that of the response that must arrive next; 0 for none. With last, it must say that the connection closes.
	status int
	last   bool
	// end requires that the connection ends without anything further.
	end bool
}

// patientLimits leave requests so much time that a slow machine doesn't end them.
var patientLimits = Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}

// TestStopByKindOfRequest checks what callers get for each kind of request around a stop. Requests to /wait begin their
// response at once and complete it when they are released.
func TestStopByKindOfRequest(t *testing.T) {
	const (
		simple   = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
		wait     = "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
		expect   = "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
		chunked  = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		lastPart = "2\r\nhi\r\n0\r\n\r\n"
	)
	impatientLimits := patientLimits
	impatientLimits.HeaderTimeout = 300 * time.Millisecond
	tests := []struct {
		name   string
		steps  []stopStep
		limits *Limits
	}{
		{"body after the close", []stopStep{{send: simple[:len(simple)-2]}, {drain: true, closeIdle: true}, {send: "hi"}, {status: 200, last: true}, {end: true}}, nil},
		{"header after the close", []stopStep{{send: simple[:9]}, {drain: true, closeIdle: true}, {send: simple[9:]}, {status: 200, last: true}, {end: true}}, nil},
		{"chunks after the close", []stopStep{{send: chunked}, {drain: true, closeIdle: true}, {send: lastPart}, {status: 200, last: true}, {end: true}}, nil},
		{"Expect: 100-continue", []stopStep{{send: expect}, {status: 100}, {drain: true, closeIdle: true}, {send: "hi"}, {status: 200, last: true}, {end: true}}, nil},
		{"caller too slow after the close", []stopStep{{send: simple[:9]}, {drain: true, closeIdle: true}, {status: 408, last: true}, {end: true}}, &impatientLimits},
		{"later request while draining", []stopStep{{send: simple}, {status: 200}, {drain: true}, {send: simple}, {status: 200, last: true}, {end: true}}, nil},
		{"later request at the close", []stopStep{{send: simple}, {status: 200}, {drain: true}, {closeIdle: true}, {status: 408, last: true}, {end: true}}, nil},
		{"pipelined behind a response that began before the stop", []stopStep{{send: wait + simple}, {status: 200}, {drain: true, closeIdle: true},
			{release: true}, {status: 503, last: true}, {end: true}}, nil},
		{"Expect: 100-continue behind a response that began before the stop", []stopStep{{send: wait + expect}, {status: 200}, {drain: true, closeIdle: true},
			{release: true}, {status: 503, last: true}, {end: true}}, nil},
		{"pipelined behind a response that is the last", []stopStep{{drain: true}, {send: wait + simple}, {status: 200, last: true}, {closeIdle: true},
			{release: true}, {end: true}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			limits := patientLimits
			if tt.limits != nil {
				limits = *tt.limits
			}
			s := newServer(t, func(ctx context.Context, x savorywing.Exchange) { serveOrWait(ctx, t, x, release) }, limits)
			c, r := dial(t, s.listeners[0].Addr().String())
			for i, step := range tt.steps {
				runStopStep(t, i, step, s, c, r, release)
			}
		})
	}
}

func serveOrWait(ctx context.Context, t *testing.T, x savorywing.Exchange, release <-chan struct{}) {
	if string(x.HTTPRequest().URI().Path()) != "/wait" {
		echo(ctx, x)
		return
	}
	var h fasthttp.ResponseHeader
	h.SetStatusCode(fasthttp.StatusOK)
	if err := x.Start(&h, 2, []byte("a")); err != nil {
		t.Error(err)
	}
	<-release
	if err := x.Finish([]byte("b")); err != nil {
		t.Error(err)
	}
}

func runStopStep(t *testing.T, i int, step stopStep, s *Server, c net.Conn, r *bufio.Reader, release chan struct{}) {
	t.Helper()
	if step.send != "" {
		if _, err := io.WriteString(c, step.send); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if step.drain {
		s.Drain()
	}
	if step.closeIdle {
		s.BeginClose()
		time.Sleep(20 * time.Millisecond)
	}
	if step.release {
		close(release)
		skipBody(t, r, 2)
	}
	if step.status != 0 {
		readStopResponse(t, i, step, r)
	}
	if step.end {
		if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
			t.Errorf("step %d: got %q, error %v, want the end of the connection", i, b, err)
		}
	}
}

func skipBody(t *testing.T, r *bufio.Reader, n int) {
	t.Helper()
	if _, err := r.Discard(n); err != nil {
		t.Fatalf("the body of the first response: %v", err)
	}
}

// readStopResponse reads a response. The body of one that waits for its release is read by that step.
func readStopResponse(t *testing.T, i int, step stopStep, r *bufio.Reader) {
	t.Helper()
	var h fasthttp.ResponseHeader
	if err := h.Read(r); err != nil || h.StatusCode() != step.status || (step.last && !h.ConnectionClose()) {
		t.Fatalf("step %d: status %d, error %v, Connection: close %t, want %d, %t", i, h.StatusCode(), err, h.ConnectionClose(), step.status, step.last)
	}
	if h.StatusCode() != fasthttp.StatusContinue && h.ContentLength() != 2 {
		skipBody(t, r, h.ContentLength())
	}
}

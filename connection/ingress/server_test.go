package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/clock"
)

type handlerFunc func(ctx context.Context, x *Exchange)

func (f handlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

func serve(t *testing.T, h handlerFunc) (*Server, string) {
	t.Helper()
	limits := func() Limits {
		return Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	}
	s := New(clock.Boottime{}, h, limits, zerolog.Nop())
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, s.listeners[0].Addr().String()
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

func echo(_ context.Context, x *Exchange) {
	x.WriteError(ErrorResponse{Status: 200, Reason: string(x.Request.Body())})
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
		{"head too large", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431, "", true},
		{"no request", "what is this\r\n\r\n", 400, "", true},
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
				t.Errorf("the answer says close: %v", resp.ConnectionClose())
			}
			if tt.closes {
				if _, err := r.ReadByte(); err != io.EOF {
					t.Errorf("the connection goes on: %v", err)
				}
				return
			}
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			if err := resp.Read(r); err != nil || resp.StatusCode() != tt.status {
				t.Errorf("the second request: %d, %v", resp.StatusCode(), err)
			}
		})
	}
}

// TestPipelined shows that a request that is sent early waits for the answer before it.
func TestPipelined(t *testing.T) {
	_, address := serve(t, func(ctx context.Context, x *Exchange) {
		time.Sleep(50 * time.Millisecond)
		if ctx.Err() != nil {
			t.Error("bytes of the next request count as leaving")
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
			t.Fatalf("answer %d: %q, %v", i, resp.Body(), err)
		}
	}
}

func TestCallerLeaves(t *testing.T) {
	left := make(chan time.Time, 1)
	_, address := serve(t, func(ctx context.Context, _ *Exchange) {
		<-ctx.Done()
		left <- time.Now()
	})
	c, _ := dial(t, address)
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	closed := time.Now()
	_ = c.Close()
	select {
	case at := <-left:
		if d := at.Sub(closed); d > 200*time.Millisecond {
			t.Errorf("noticed after %v", d)
		}
	case <-time.After(3 * time.Second):
		t.Error("not noticed")
	}
}

// TestStreams shows that an answer that is broken off can't be taken for whole, and one that is finished can.
func TestStreams(t *testing.T) {
	tests := []struct {
		name   string
		length int
		end    func(x *Exchange) error
		whole  bool
	}{
		{"chunks, finished", -1, func(x *Exchange) error { return x.Finish([]byte("end")) }, true},
		{"chunks, broken off", -1, func(x *Exchange) error { x.Abort(); return nil }, false},
		{"chunks, forgotten", -1, func(*Exchange) error { return nil }, false},
		{"length, finished", 5, func(x *Exchange) error { return x.Finish([]byte("end")) }, true},
		{"length, short", 9, func(x *Exchange) error { return x.Finish([]byte("end")) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, func(_ context.Context, x *Exchange) {
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
			if (err == nil) != tt.whole {
				t.Errorf("%q, %v", resp.Body(), err)
			}
		})
	}
}

// TestDrain shows that a planned stop answers what is in flight and closes what is idle.
func TestDrain(t *testing.T) {
	s, address := serve(t, func(ctx context.Context, x *Exchange) {
		time.Sleep(100 * time.Millisecond)
		echo(ctx, x)
	})
	busy, r := dial(t, address)
	idle, ir := dial(t, address)
	_ = idle
	if _, err := io.WriteString(busy, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(30 * time.Millisecond)
	s.Drain()
	s.CloseIdle()
	if _, err := ir.ReadByte(); err == nil {
		t.Error("the idle connection goes on")
	}
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil || string(resp.Body()) != "hi\n" || !resp.ConnectionClose() {
		t.Errorf("%q, %v, close %v", resp.Body(), err, resp.ConnectionClose())
	}
	// The answer is out a moment before it is counted out.
	for end := time.Now().Add(time.Second); s.InFlight() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d busy", s.InFlight())
		}
	}
}

// TestDrainEndsStreams shows that a connection whose stream began before the stop, and ends after idle connections were
// closed, takes no further request: it would begin so late that the grace time could cut it off.
func TestDrainEndsStreams(t *testing.T) {
	finish := make(chan struct{})
	served := make(chan string, 2)
	s, address := serve(t, func(_ context.Context, x *Exchange) {
		served <- string(x.Request.URI().Path())
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
	s.CloseIdle()
	close(finish)
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil || string(resp.Body()) != "abend" {
		t.Fatalf("%q, %v", resp.Body(), err)
	}
	if _, err := io.WriteString(c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Logf("the connection is closed: %v", err)
	}
	select {
	case path := <-served:
		t.Errorf("%s is served after idle connections were closed", path)
	case <-time.After(200 * time.Millisecond):
	}
}

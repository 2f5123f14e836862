package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/standin/closing"
	"savorywing.example/savorywing/wire"
)

const testToken = "token"

// slowOperations accepts commands after a delay, unless they are cancelled.
type slowOperations struct {
	Operations
	delay time.Duration
}

func (slowOperations) Status() Status { return Status{} }

func (o slowOperations) Apply(ctx context.Context, _ wire.ChangeConfiguration) (wire.Result, error) {
	select {
	case <-ctx.Done():
		return wire.Result{}, ctx.Err()
	case <-time.After(o.delay):
		return wire.Result{Accepted: true}, nil
	}
}

func start(t *testing.T, ops Operations) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = l.Addr().String()
	_ = l.Close()
	s = New(clock.System{}, testToken, ops, zerolog.Nop())
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, address
}

func call(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testToken, len(body), body)
}

func readResponse(c net.Conn, r *bufio.Reader) (*fasthttp.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	return resp, resp.Read(r)
}

func openBeforeStop(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return nil, nil
	}
	r := bufio.NewReader(c)
	if _, err := io.WriteString(c, call(fasthttp.MethodGet, PathStatus, "")); err != nil {
		t.Error(err)
	}
	if resp, err := readResponse(c, r); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("before the stop: status %d, error %v", resp.StatusCode(), err)
	}
	return c, r
}

// TestCallsAroundTheClose stops the server while operators call it on kept connections. Each call that was sent before its caller
// could see the close must be answered.
func TestCallsAroundTheClose(t *testing.T) {
	const rounds, callers = 30, 60
	var counts closing.Counts
	load := closing.Load{
		Callers: callers, Connected: true, First: call(fasthttp.MethodGet, PathStatus, ""),
		Request: func(int) string { return call(fasthttp.MethodPost, PathConfiguration, "{}") },
	}
	for range rounds {
		s, address := start(t, slowOperations{delay: time.Millisecond})
		if err := load.Run(&counts, closing.Server{Address: address, Close: s.Stop}); err != nil {
			t.Fatal(err)
		}
	}
	t.Log(counts.String())
	if err := counts.Err(); err != nil {
		t.Error(err)
	}
}

// TestStopAnswersCommands checks what an operator learns of a change that is being applied when the daemon stops.
func TestStopAnswersCommands(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		want  int
	}{
		{"accepted during the stop", 200 * time.Millisecond, fasthttp.StatusOK},
		{"slower than the stop", time.Minute, fasthttp.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := start(t, slowOperations{delay: tt.delay})
			c, r := openBeforeStop(t, address)
			if _, err := io.WriteString(c, call(fasthttp.MethodPost, PathConfiguration, "{}")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			began := time.Now()
			stopped := make(chan struct{})
			go func() {
				s.Stop()
				close(stopped)
			}()
			resp, err := readResponse(c, r)
			if err != nil || resp.StatusCode() != tt.want {
				t.Errorf("status %d, error %v, want %d", resp.StatusCode(), err, tt.want)
			}
			_ = c.Close()
			<-stopped
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the stop took %s", took)
			}
		})
	}
}

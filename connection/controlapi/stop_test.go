package controlapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/standin/closing"
	"savorywing.example/savorywing/wire"
)

// pathDialect is a dialect whose calls are /report, /withdraw and /document.
type pathDialect struct{ savorywing.ControlDialect }

func (pathDialect) ReadControlRequest(method, path []byte) savorywing.ControlRequest {
	switch {
	case string(path) == "/report":
		return savorywing.ControlRequest{Operation: savorywing.ControlReport, Server: "s"}
	case string(path) == "/withdraw":
		return savorywing.ControlRequest{Operation: savorywing.ControlWithdraw, Server: "s"}
	case string(path) == "/document" && string(method) == fasthttp.MethodPut:
		return savorywing.ControlRequest{Operation: savorywing.ControlPublish}
	case string(path) == "/document":
		return savorywing.ControlRequest{Operation: savorywing.ControlRead}
	}
	return savorywing.ControlRequest{}
}

func (pathDialect) ReadReport(id string, _ []byte) (wire.Report, error) {
	return wire.Report{ID: id}, nil
}

func (pathDialect) WriteReportReply(string) []byte { return []byte("{}") }

// countingHandler commits documents after a delay, unless the call is cancelled.
type countingHandler struct {
	Handler
	delay time.Duration

	mu        sync.Mutex
	committed map[string]bool
}

func (h *countingHandler) HandleReport(context.Context, wire.Report) (string, error) { return "", nil }

func (h *countingHandler) HandleWithdrawal(context.Context, string) error { return nil }

func (h *countingHandler) PublishDocument(ctx context.Context, document []byte) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoQuorum, ctx.Err())
	case <-time.After(h.delay):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.committed[string(document)] = true
	return nil
}

func (h *countingHandler) ReadDocument(context.Context) ([]byte, error) { return []byte("{}"), nil }

func (h *countingHandler) isCommitted(document string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.committed[document]
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func start(t *testing.T, h Handler) (s *Server, address string) {
	t.Helper()
	s, address = New(clock.Boottime{}, pathDialect{}, h, zerolog.Nop()), freeAddress(t)
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, address
}

func call(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func readResponse(c net.Conn, r *bufio.Reader) (*fasthttp.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	return resp, resp.Read(r)
}

// stopRounds is the number of stops of one test, and stopCallers that of callers during each.
const (
	stopRounds  = 30
	stopCallers = 60
)

// TestCallsAroundTheClose stops the server while backend servers and operators call it. Each call that was sent before its
// caller could see the close must be answered, and each acknowledged document be committed.
func TestCallsAroundTheClose(t *testing.T) {
	tests := []struct {
		name, method, path string
		kept               bool
	}{
		{"reports on kept connections", fasthttp.MethodPost, "/report", true},
		{"reports on new connections", fasthttp.MethodPost, "/report", false},
		{"documents on kept connections", fasthttp.MethodPut, "/document", true},
		{"withdrawals on new connections", fasthttp.MethodPost, "/withdraw", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var counts closing.Counts
			for range stopRounds {
				h := &countingHandler{delay: time.Millisecond, committed: map[string]bool{}}
				s, address := start(t, h)
				load := closing.Load{Callers: stopCallers, Connected: tt.kept, Request: func(n int) string { return call(tt.method, tt.path, fmt.Sprint(n)) }}
				if tt.kept {
					load.First = call(fasthttp.MethodPost, "/report", "{}")
				}
				if tt.method == fasthttp.MethodPut {
					load.Check = h.checkCommitted
				}
				if err := load.Run(&counts, closing.Server{Address: address, Close: s.Stop}); err != nil {
					t.Fatal(err)
				}
			}
			t.Log(counts.String())
			if err := counts.Err(); err != nil {
				t.Error(err)
			}
		})
	}
}

// checkCommitted returns an error for a document that was acknowledged and isn't committed.
func (h *countingHandler) checkCommitted(n int, resp *fasthttp.Response) error {
	if resp.StatusCode() == fasthttp.StatusOK && !h.isCommitted(fmt.Sprint(n)) {
		return fmt.Errorf("document %d was acknowledged, but not committed", n)
	}
	return nil
}

func openBeforeStop(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return nil, nil
	}
	r := bufio.NewReader(c)
	if _, err := io.WriteString(c, call(fasthttp.MethodPost, "/report", "{}")); err != nil {
		t.Error(err)
	}
	if resp, err := readResponse(c, r); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("before the stop: status %d, error %v", resp.StatusCode(), err)
	}
	return c, r
}

// TestStopAnswersSlowCalls guards against calls that end without an answer since they take longer than the stop.
func TestStopAnswersSlowCalls(t *testing.T) {
	s, address := start(t, &countingHandler{delay: time.Minute, committed: map[string]bool{}})
	c, r := openBeforeStop(t, address)
	if _, err := io.WriteString(c, call(fasthttp.MethodPut, "/document", "slow")); err != nil {
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
	if err != nil || resp.StatusCode() != fasthttp.StatusServiceUnavailable || !strings.Contains(string(resp.Body()), ErrNoQuorum.Error()) {
		t.Errorf("status %d, body %q, error %v, want 503", resp.StatusCode(), resp.Body(), err)
	}
	_ = c.Close()
	<-stopped
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the stop took %s", took)
	}
}

// TestCallOutlivesItsCaller guards against a withdrawal that is dropped since the backend server that ends doesn't wait for the
// acknowledgement.
func TestCallOutlivesItsCaller(t *testing.T) {
	h := &countingHandler{delay: 50 * time.Millisecond, committed: map[string]bool{}}
	_, address := start(t, h)
	c, _ := openBeforeStop(t, address)
	if _, err := io.WriteString(c, call(fasthttp.MethodPut, "/document", "last")); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	time.Sleep(200 * time.Millisecond)
	if !h.isCommitted("last") {
		t.Error("the call was cancelled when its caller disconnected")
	}
}

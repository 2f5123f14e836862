package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/entry"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/standin/closing"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const settingsText = `
daemon: {host: one, callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3", keysFile: k, operatorsFile: t, dataFolder: d}
dataCentres: {centre: {region: here}}
hosts: {one: {dataCentre: centre, peers: "127.0.0.1:2", roles: [entry, control]}}
organisations: {college: {share: 1}}
classes: {desk: {timeZone: UTC, windows: {always: {from: "00:00", to: "24:00", firstToken: 10s, betweenTokens: 1s, wholeAnswer: 30s}}}}
services: {booking: {prefix: /booking, idempotent: ["GET /booking/*", "POST /booking/*"]}}
`

const apiKey = "caller-key"

// backendFunc is a backend that responds with a text, and with an error if ctx ends first.
type backendFunc func(ctx context.Context, call savorywing.Call) (string, error)

func (f backendFunc) Send(ctx context.Context, _ savorywing.Target, call savorywing.Call) (savorywing.BackendResponse, error) {
	text, err := f(ctx, call)
	if err != nil {
		return savorywing.BackendResponse{}, savorywing.NewRequestError(savorywing.CodeUnknown, fasthttp.StatusBadGateway, "the answer was lost", savorywing.WithCause(err))
	}
	return savorywing.BackendResponse{Status: fasthttp.StatusOK, ContentType: "text/plain", Stream: &body{strings.NewReader(text)}}, nil
}

type body struct{ *strings.Reader }

func (*body) SetIdleTimeout(time.Duration) {}
func (*body) Close() error                 { return nil }

func echo(_ context.Context, call savorywing.Call) (string, error) { return string(call.Body), nil }

// host is an entry host with one server of the service booking.
type host struct {
	server  *Server
	address string
}

func newHost(t *testing.T, backend savorywing.Backend) *host {
	t.Helper()
	s, err := settings.ParseWithDaemon("test", []byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	r, err := registry.New(clock.System{}, s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	keepFresh(ctx, t, r)
	pool, err := ants.NewPool(256, ants.WithNonblocking(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	e := entry.New(clock.System{}, r, backend, nil, metrics.New(), pool, zerolog.Nop())
	go e.Run(ctx)
	keys := settings.Keys{apiKey: {Organisation: "college", Class: "desk"}}
	h := &host{server: New(clock.System{}, r, e, keys, nil, zerolog.Nop()), address: freeAddress(t)}
	if err := h.server.Start(h.address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.server.Close)
	return h
}

// keepFresh confirms the configuration and the service's server to the registry, until ctx ends.
func keepFresh(ctx context.Context, t *testing.T, r *registry.Registry) {
	t.Helper()
	sequence := uint64(0)
	confirm := func() {
		sequence++
		if err := r.RecordConfirmation(time.Now(), wire.Confirmed{}); err != nil {
			t.Error(err)
		}
		r.RecordPollResponse(time.Now(), wire.Announcement{
			Host: "booking-1", Boot: 1, Sequence: sequence, Kind: savorywing.KindService, Service: "booking", Load: &wire.Load{Slots: 1000},
		})
	}
	confirm()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			confirm()
		}
	}()
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

func (h *host) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// post returns a request to the service with further header lines, each with its end.
func post(path, header, body string) string {
	return fmt.Sprintf("POST /booking%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, apiKey, header, len(body), body)
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

// TestRequestsAroundTheClose stops the server while callers send requests. One that was sent before its caller could see the close
// must be answered.
func TestRequestsAroundTheClose(t *testing.T) {
	first := post("/a", "", "hi")
	tests := []struct {
		name string
		load closing.Load
	}{
		{"kept connections", closing.Load{Connected: true, First: first}},
		{"kept connections, requests in two parts", closing.Load{Connected: true, First: first, Split: true}},
		{"connections without a request before", closing.Load{Connected: true}},
		{"new connections", closing.Load{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var counts closing.Counts
			tt.load.Callers, tt.load.Request = stopCallers, func(int) string { return post("/b", "", "hi") }
			for range stopRounds {
				h := newHost(t, backendFunc(echo))
				if err := tt.load.Run(&counts, closing.Server{Address: h.address, Close: func() { h.stop(t) }}); err != nil {
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

// stop stops the server and checks that no request is left.
func (h *host) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if left := h.server.Stop(ctx); left > 0 {
		t.Errorf("%d requests were left", left)
	}
}

// errorCode returns the code and the message of an error response.
func errorCode(t *testing.T, resp *fasthttp.Response) (code, message string) {
	t.Helper()
	var b entry.ErrorBody
	if err := json.Unmarshal(resp.Body(), &b); err != nil {
		t.Errorf("the body %q isn't an error in JSON: %v", resp.Body(), err)
	}
	return b.Error.Code, b.Error.Message
}

// TestUnreadableRequests checks the error responses to requests that can't be read or parsed.
func TestUnreadableRequests(t *testing.T) {
	h := newHost(t, backendFunc(echo))
	maxBody := int(h.server.registry.Settings().Limits.MaxBody)
	tests := []struct {
		name, request string
		status        int
	}{
		{"no HTTP", "hello\r\n\r\n", fasthttp.StatusBadRequest},
		{"large header", post("/a", "X-Large: "+strings.Repeat("x", maxHeaderBytes)+"\r\n", ""), fasthttp.StatusRequestHeaderFieldsTooLarge},
		{"large body", post("/a", "", strings.Repeat("x", maxBody+1)), fasthttp.StatusRequestEntityTooLarge},
		{"huge body", "POST /booking/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n", fasthttp.StatusRequestEntityTooLarge},
		{"unknown key", "GET /booking/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer other\r\n\r\n", fasthttp.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, r := h.dial(t)
			go func() { _, _ = io.WriteString(c, tt.request) }() // the server may close the connection before it has read everything
			resp, err := readResponse(c, r)
			if err != nil || resp.StatusCode() != tt.status || string(resp.Header.Server()) != serverName {
				t.Fatalf("status %d, server %q, error %v, want %d", resp.StatusCode(), resp.Header.Server(), err, tt.status)
			}
			if code, message := errorCode(t, resp); code != string(savorywing.CodeNotRun) || strings.Contains(message, apiKey) {
				t.Errorf("code %q, message %q, want notRun without the API key", code, message)
			}
		})
	}
}

// TestStopAnswersWhatIsLeft checks that requests that are left at the end of a stop are answered, and that notRun is true: it also
// means that no earlier request with the same idempotency key has run.
func TestStopAnswersWhatIsLeft(t *testing.T) {
	silent := func(ctx context.Context, _ savorywing.Call) (string, error) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	whole, keyed := post("/a", "", "hi"), post("/a", "Idempotency-Key: k\r\n", "hi")
	tests := []struct {
		name, request string
		status        int
		code          savorywing.ErrorCode
	}{
		{"half a header", whole[:20], fasthttp.StatusRequestTimeout, savorywing.CodeUnknown},
		{"half a body", whole[:len(whole)-1], fasthttp.StatusRequestTimeout, savorywing.CodeUnknown},
		{"half a body, with a key", keyed[:len(keyed)-1], fasthttp.StatusRequestTimeout, savorywing.CodeUnknown},
		{"being served", whole, fasthttp.StatusServiceUnavailable, savorywing.CodeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(t, backendFunc(silent))
			c, r := h.dial(t)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			left := make(chan int, 1)
			start := time.Now()
			go func() { left <- h.server.Stop(ctx) }()
			resp, err := readResponse(c, r)
			if err != nil || resp.StatusCode() != tt.status || !resp.ConnectionClose() {
				t.Fatalf("status %d, error %v, want %d on the last response", resp.StatusCode(), err, tt.status)
			}
			if code, message := errorCode(t, resp); code != string(tt.code) {
				t.Errorf("code %q, message %q, want %q", code, message, tt.code)
			}
			_ = c.Close()
			if n := <-left; n != 1 {
				t.Errorf("%d requests were left, want 1", n)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("the stop took %s", took)
			}
		})
	}
}

// TestRequestsPastTheClose checks requests that are sent, in whole or in part, before the close and end after it.
func TestRequestsPastTheClose(t *testing.T) {
	whole := post("/a", "", "hi")
	expect := post("/a", "Expect: 100-continue\r\n", "hi")
	chunked := fmt.Sprintf("POST /booking/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", apiKey)
	tests := []struct {
		name, before, after string
		interim             bool
		want                int
	}{
		{"header in two parts", whole[:20], whole[20:], false, 1},
		{"body after the close", whole[:len(whole)-2], "hi", false, 1},
		{"chunks after the close", chunked[:len(chunked)-12], chunked[len(chunked)-12:], false, 1},
		{"Expect: 100-continue", expect[:len(expect)-2], "hi", true, 1},
		{"a whole request", whole, "", false, 1},
		{"pipelined", whole + whole + whole, "", false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(t, backendFunc(func(ctx context.Context, call savorywing.Call) (string, error) {
				time.Sleep(50 * time.Millisecond)
				return echo(ctx, call)
			}))
			c, r := h.dial(t)
			if _, err := io.WriteString(c, tt.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			left := make(chan int, 1)
			go func() { left <- h.server.Stop(context.Background()) }()
			time.Sleep(10 * time.Millisecond)
			if tt.interim {
				if resp, err := readHeader(c, r); err != nil || resp.StatusCode() != fasthttp.StatusContinue {
					t.Fatalf("status %d, error %v, want 100", resp.StatusCode(), err)
				}
			}
			if _, err := io.WriteString(c, tt.after); err != nil {
				t.Fatal(err)
			}
			for i := range tt.want {
				resp, err := readResponse(c, r)
				if err != nil || resp.StatusCode() != fasthttp.StatusOK || string(resp.Body()) != "hi" {
					t.Fatalf("response %d: status %d, body %q, error %v, want 200 and hi", i, resp.StatusCode(), resp.Body(), err)
				}
				if resp.ConnectionClose() {
					break // nothing behind it was promised an answer
				}
			}
			_ = c.Close()
			if n := <-left; n != 0 {
				t.Errorf("%d requests were left, want 0", n)
			}
		})
	}
}

func readHeader(c net.Conn, r *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	h := &fasthttp.ResponseHeader{}
	return h, h.Read(r)
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/connection/operator"
)

// bookingPath is a call of the plain service that may be retried.
const bookingPath = "/booking/slots"

// serviceReady starts a server of the plain service and waits until each daemon sends requests to it.
func (s *system) serviceReady(responseTime time.Duration) {
	s.t.Helper()
	s.service("booking-1", responseTime)
	s.waitReady()
	s.eventually("the service is known everywhere", func() bool {
		for i := range s.daemons {
			if s.send(i, "GET", bookingPath, "", "").status != 200 {
				return false
			}
		}
		return true
	})
}

// TestServeSignals sends signals in series while requests are in flight. None but the first SIGTERM may change anything.
func TestServeSignals(t *testing.T) {
	tests := []struct {
		name    string
		signals []syscall.Signal
	}{
		{"SIGHUP before a stop", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}},
		{"a second SIGTERM", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}},
		{"SIGHUP and SIGINT during a stop", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1)
			s.serviceReady(2 * time.Second)
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					if r := s.send(0, "GET", bookingPath, "", ""); r.err != nil || r.status != 200 {
						t.Errorf("status %d, error %v, want 200: %s", r.status, r.err, r.body)
					}
				})
			}
			s.eventually("the requests are in flight", func() bool { return s.status(0).InFlight == 4 })
			for _, signal := range tt.signals {
				s.daemons[0].signal(signal)
				time.Sleep(200 * time.Millisecond)
			}
			callers.Wait()
			if code := s.daemons[0].wait(); code != 0 {
				t.Errorf("the daemon exited with code %d, want 0: %s", code, tail(s.daemons[0].logText()))
			}
		})
	}
}

// TestServeStopWhileStarting sends SIGTERM at several moments of the start. The daemon must end, and exit with code 0 once it
// handles signals.
func TestServeStopWhileStarting(t *testing.T) {
	s := newSystem(t, 1)
	s.waitReady()
	p := s.daemons[0]
	p.kill()
	for _, delay := range []time.Duration{0, 10, 20, 40, 80, 160, 320} {
		before := len(p.logText())
		p.start()
		time.Sleep(delay * time.Millisecond)
		p.signal(syscall.SIGTERM)
		code, log := p.wait(), p.logText()[before:]
		if code == -1 && log == "" {
			continue // a signal ended the process before the program had begun
		}
		if code != 0 || !strings.Contains(log, `"message":"stopped"`) {
			t.Errorf("SIGTERM after %d ms: exit code %d, want 0 and a stop: %s", delay, code, tail(log))
		}
	}
}

// TestServeStopWithin stops a daemon whose requests take longer than the stop may. Each must be answered, and its key must not stay
// claimed.
func TestServeStopWithin(t *testing.T) {
	s := newServingSystem(t)
	s.service("booking-1", 8*time.Second)
	p := s.daemons[0]
	p.kill()
	p.args = append(p.args, "--stop-within", "1500ms")
	p.start()
	s.waitReady()
	s.waitGroup(0)
	s.eventually("the service is known", func() bool { return s.knowsService(0) && s.knowsService(1) })
	completion := func(stream bool) string {
		return fmt.Sprintf(`{"model":"ledger","prompt":"p","max_tokens":1600,"stream":%t}`, stream)
	}
	tests := []struct {
		name, method, path, key, body string
		status                        int
		want                          string
	}{
		{"plain", "GET", bookingPath, "", "", 503, `"unknown"`},
		{"with a key", "POST", "/booking/confirm", "key", "b", 503, `"unknown"`},
		{"complete response", "POST", "/v1/completions", "", completion(false), 503, `"unknown"`},
		{"stream", "POST", "/v1/completions", "", completion(true), 200, "event: error"},
	}
	var callers sync.WaitGroup
	for _, tt := range tests {
		callers.Go(func() {
			r := s.readToEnd(0, tt.method, tt.path, tt.key, tt.body)
			if r.status != tt.status || !strings.Contains(r.body, tt.want) || !strings.Contains(r.body, "the server stops") {
				t.Errorf("%s: status %d, error %v, %q, want %d, %s and the reason", tt.name, r.status, r.err, tail(r.body), tt.status, tt.want)
			}
			if tt.status == 200 && r.err == nil {
				t.Errorf("%s: the response has a clean end", tt.name)
			}
		})
	}
	s.eventually("the requests are in flight", func() bool { return s.status(0).InFlight == len(tests)+1 })
	began := time.Now()
	p.signal(syscall.SIGTERM)
	callers.Wait()
	if code := p.wait(); code != 1 {
		t.Errorf("the daemon exited with code %d, want 1", code)
	}
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the stop took %s", took)
	}
	r := s.readToEnd(1, "POST", "/booking/confirm", "key", "b")
	if r.status != 409 || !strings.Contains(r.body, "outcome of an earlier request with this key is unknown") {
		t.Errorf("the key afterwards: status %d, %s, want 409 and an unknown outcome", r.status, r.body)
	}
}

// knowsService reports whether daemon i has heard of a server of the plain service lately.
func (s *system) knowsService(i int) bool {
	var hosts []operator.HostStatus
	_ = s.operator(i).Get(operator.PathHosts, &hosts)
	for _, h := range hosts {
		if h.Service != "" && h.AgeSeconds >= 0 && h.AgeSeconds < 1 {
			return true
		}
	}
	return false
}

// servedCaller is a caller with a connection of its own to a daemon.
type servedCaller struct {
	conn net.Conn
	r    *bufio.Reader
}

func (s *system) newCaller(i int) (*servedCaller, error) {
	c, err := net.DialTimeout("tcp", s.callers[i], time.Second)
	if err != nil {
		return nil, err
	}
	return &servedCaller{conn: c, r: bufio.NewReader(backend.StrictConn{Conn: c})}, nil
}

// send sends a request and returns the response, with what could be read of the body of an incomplete one.
func (c *servedCaller) send(method, path, key, body string) (response, bool) {
	if err := c.conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return response{err: err}, true
	}
	keyLine := ""
	if key != "" {
		keyLine = "Idempotency-Key: " + key + "\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, testKey, keyLine, len(body), body)
	_, sendErr := c.conn.Write([]byte(text))
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Read(c.r); err != nil {
		return response{err: errors.Join(sendErr, err)}, true
	}
	var b strings.Builder
	err := resp.BodyWriteTo(&b)
	return response{status: resp.StatusCode(), body: b.String(), err: err}, resp.ConnectionClose() || err != nil
}

// readToEnd sends a request on a new connection.
func (s *system) readToEnd(i int, method, path, key, body string) response {
	c, err := s.newCaller(i)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	r, _ := c.send(method, path, key, body)
	return r
}

// callCounts counts the responses to callers by status.
type callCounts struct {
	mu       sync.Mutex
	byStatus map[int]int
}

// keepCalling sends requests to daemon i until stop is closed, on one connection until the daemon ends it, and counts them. It
// connects again when it can't. Each request must be answered.
func (s *system) keepCalling(stop <-chan struct{}, i int, path, body string, n *callCounts) {
	method := "GET"
	if body != "" {
		method = "POST"
	}
	var c *servedCaller
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = s.newCaller(i); err != nil {
				continue
			}
		}
		r, ends := c.send(method, path, "", body)
		if r.err != nil {
			s.t.Errorf("daemon %d, %s: status %d, %v after %q, want an answer", i, path, r.status, r.err, tail(r.body))
		}
		n.mu.Lock()
		n.byStatus[r.status]++
		n.mu.Unlock()
		if ends {
			_ = c.conn.Close()
			c = nil
		}
	}
}

// TestServeStopsInSeries stops daemons under load, one after another and two at once. Their callers use open connections until the
// daemon ends them, and every request must be answered.
func TestServeStopsInSeries(t *testing.T) {
	s := newServingSystem(t)
	s.serviceReady(5 * time.Millisecond)
	n := callCounts{byStatus: map[int]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	for i := range s.daemons {
		for range 6 {
			callers.Go(func() { s.keepCalling(stop, i, bookingPath, "", &n) })
			callers.Go(func() {
				s.keepCalling(stop, i, "/v1/completions", `{"model":"ledger","prompt":"p","max_tokens":8,"stream":true}`, &n)
			})
		}
	}
	for _, hosts := range [][]int{{0}, {1}, {2}, {0, 1}} {
		for _, i := range hosts {
			s.daemons[i].signal(syscall.SIGTERM)
		}
		for _, i := range hosts {
			if code := s.daemons[i].wait(); code != 0 {
				t.Errorf("daemon %d exited with code %d, want 0: %s", i, code, tail(s.daemons[i].logText()))
			}
			s.daemons[i].start()
		}
		s.waitReady()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	t.Logf("responses by status: %v", n.byStatus)
	if n.byStatus[200] == 0 {
		t.Error("no request was served")
	}
}

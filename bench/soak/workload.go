package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const (
	callerTimeout   = 6 * time.Second
	callInterval    = 15 * time.Millisecond
	publishInterval = 300 * time.Millisecond
	publishTimeout  = 2 * time.Second
	streamEvents    = 12
)

// request is a caller's request. Without a model it is a non-idempotent action, which may run at most once.
type request struct{ path, model string }

// outcome is the result of a request at its caller.
type outcome struct {
	ok     bool
	status int
	err    error
}

// send sends one request on a new connection and checks the response.
func (r *run) send(entry int, call request) outcome {
	c, err := net.DialTimeout("tcp", r.entryAddress(entry), time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	return r.exchange(c, bufio.NewReader(c), call)
}

func (r *run) exchange(c net.Conn, in *bufio.Reader, call request) outcome {
	attemptID := fmt.Sprintf("n%d", r.lastRequestID.Add(1))
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(call.path)
	req.Header.SetHost(callerHost)
	r.cfg.Dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{
		AttemptID: attemptID, APIKey: apiKey, Timeout: callerTimeout, Model: call.model, PromptTokens: 400, MaxOutputTokens: 60, LastEventID: -1,
	})
	req.SetBodyString("a prompt")
	if err := c.SetDeadline(time.Now().Add(callerTimeout + time.Second)); err != nil {
		return outcome{err: err}
	}
	if _, err := req.WriteTo(c); err != nil {
		return outcome{err: err}
	}
	var resp fasthttp.Response
	if err := resp.Read(in); err != nil {
		r.checkRunCount(attemptID, call, 0)
		return outcome{err: err}
	}
	o := outcome{status: resp.StatusCode(), ok: resp.StatusCode() == fasthttp.StatusOK}
	if o.ok && call.model != "" {
		if err := checkCompleteStream(resp.Body()); err != nil {
			r.recordViolation("%s: incorrect stream in a response that ended without an error: %v", attemptID, err)
		}
	}
	if !strings.Contains(resp.Header.String(), attemptID) {
		r.recordViolation("%s: a response without the request's attempt ID:\n%s", attemptID, resp.Header.String())
	}
	r.checkRunCount(attemptID, call, o.status)
	return o
}

// checkRunCount checks that an action ran at most once, and not at all if the response says so.
func (r *run) checkRunCount(attemptID string, call request, status int) {
	if call.model != "" {
		return
	}
	runs := r.fleet.RunCount(attemptID)
	if runs > 1 {
		r.recordViolation("%s ran %d times", attemptID, runs)
	}
	if runs > 0 && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests) {
		r.recordViolation("%s was answered with status %d but has run", attemptID, status)
	}
}

// checkCompleteStream returns an error unless a body holds all events once and in order.
func checkCompleteStream(body []byte) error {
	next := 0
	for line := range strings.Lines(string(body)) {
		id, found := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !found {
			continue
		}
		if id != fmt.Sprint(next) {
			return fmt.Errorf("got event %s, want %d", id, next)
		}
		next++
	}
	if next != streamEvents {
		return fmt.Errorf("got %d events, want %d", next, streamEvents)
	}
	return nil
}

// runCaller runs one caller, which keeps using a connection until it fails.
func (r *run) runCaller(n int) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-time.After(callInterval):
		}
		if c == nil {
			conn, err := net.DialTimeout("tcp", r.entryAddress((n+i)%r.cfg.Entry), time.Second)
			if err != nil {
				r.failedCalls.Add(1)
				continue
			}
			c, in = conn, bufio.NewReader(conn)
		}
		call := []request{{path: "/talk/x", model: largeModel}, {path: "/talk/x", model: smallModel}, {path: "/book/x"}}[(n+i)%3]
		o := r.exchange(c, in, call)
		switch {
		case o.ok:
			r.served.Add(1)
		case o.err == nil:
			r.rejected.Add(1)
		default:
			r.failedCalls.Add(1)
			_ = c.Close()
			c = nil
		}
	}
}

// runOperator publishes documents and reads them back.
func (r *run) runOperator() {
	for version := uint64(2); ; version++ {
		select {
		case <-r.stop:
			return
		case <-time.After(publishInterval):
		}
		if r.publish(document(version), publishTimeout) {
			r.acked.Store(version)
		}
		r.checkRead("during the run")
	}
}

func (r *run) publishOnce(i int, writeRequest func(h *fasthttp.RequestHeader) []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetBody(writeRequest(&req.Header))
	req.URI().SetScheme("http")
	req.URI().SetHost(r.controlAddress(i))
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

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

// calls are the requests of callers.
var calls = []request{{path: "/talk/x", model: largeModel}, {path: "/talk/x", model: smallModel}, {path: "/book/x"}}

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
	return r.exchange(&keptConnection{entry: entry, conn: c, in: bufio.NewReader(c)}, call)
}

// exchange sends a request on a connection whose close the caller can't see yet, and checks the response.
func (r *run) exchange(k *keptConnection, call request) outcome {
	host := r.entries()[k.entry]
	disruptions, sentAt := host.disruptions.Load(), time.Now()
	attemptID := fmt.Sprintf("n%d", r.lastRequestID.Add(1))
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(call.path)
	req.Header.SetHost(callerHost)
	r.cfg.Dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{
		AttemptID: attemptID, APIKey: apiKey, Timeout: callerTimeout, Model: call.model, PromptTokens: 400, MaxOutputTokens: 60, LastEventID: -1,
	})
	req.SetBodyString("a prompt")
	if err := k.conn.SetDeadline(time.Now().Add(callerTimeout + time.Second)); err != nil {
		return outcome{err: err}
	}
	if _, err := req.WriteTo(k.conn); err != nil {
		return outcome{err: err}
	}
	if _, err := k.in.Peek(1); err != nil {
		if host.disruptions.Load() == disruptions && !host.isFrozen() {
			r.recordViolation("%s to %s, sent at %.3f s, got no answer, without a fault of the host: %v", attemptID, host.name, sentAt.Sub(r.start).Seconds(), err)
		}
		r.checkRunCount(attemptID, call, 0)
		return outcome{err: err}
	}
	var resp fasthttp.Response
	if err := resp.Read(k.in); err != nil {
		r.checkRunCount(attemptID, call, 0)
		return outcome{err: err}
	}
	k.closing = resp.ConnectionClose()
	o := outcome{status: resp.StatusCode(), ok: resp.StatusCode() == fasthttp.StatusOK}
	if o.ok && call.model != "" {
		if err := checkCompleteStream(resp.Body()); err != nil {
			r.recordViolation("%s: incorrect stream in a response that ended without an error: %v", attemptID, err)
		}
	}
	// The host doesn't know the request yet to which it responds with 408.
	if o.status != fasthttp.StatusRequestTimeout && !strings.Contains(resp.Header.String(), attemptID) {
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
	if runs > 0 && isNotRun(status) {
		r.recordViolation("%s was answered with status %d but has run", attemptID, status)
	}
}

// isNotRun reports whether a status states that the request has not run.
func isNotRun(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusRequestTimeout
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

// runCaller runs one caller, which keeps using a connection until the host closes it or a request fails.
func (r *run) runCaller(n int) {
	var k *keptConnection
	defer func() {
		if k != nil {
			_ = k.conn.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-time.After(callInterval):
		}
		if k != nil && !k.isOpen() {
			_ = k.conn.Close()
			k = nil
		}
		if k == nil {
			entry := (n + i) % r.cfg.Entry
			conn, err := net.DialTimeout("tcp", r.entryAddress(entry), time.Second)
			if err != nil {
				r.failedCalls.Add(1)
				continue
			}
			k = &keptConnection{entry: entry, conn: conn, in: bufio.NewReader(conn)}
		}
		o := r.exchange(k, calls[(n+i)%len(calls)])
		r.count(o)
		if o.err != nil {
			_ = k.conn.Close()
			k = nil
		}
	}
}

// count counts the outcome of a caller's request.
func (r *run) count(o outcome) {
	switch {
	case o.ok:
		r.served.Add(1)
	case o.err == nil:
		r.rejected.Add(1)
	default:
		r.failedCalls.Add(1)
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

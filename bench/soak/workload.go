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

// protocol is what callers speak to a kind of daemon.
type protocol interface {
	// calls returns the requests of callers.
	calls() []request
	// writeRequest writes a request that can be told from others by the ID.
	writeRequest(req *fasthttp.Request, id string, call request)
	// check returns an error for a response that can't be the one to the request.
	check(id string, call request, resp *fasthttp.Response) error
	// statesNotRun reports whether a response states that the request has not run.
	statesNotRun(resp *fasthttp.Response) bool
	// runCount returns how often a request without a model has run.
	runCount(id string) int
}

// fleetProtocol is the protocol of savorywing run.
type fleetProtocol struct{ run *run }

func (fleetProtocol) calls() []request {
	return []request{{path: "/talk/x", model: largeModel}, {path: "/talk/x", model: smallModel}, {path: "/book/x"}, {path: "/return/x"}}
}

func (p fleetProtocol) writeRequest(req *fasthttp.Request, id string, call request) {
	req.Header.SetHost(callerHost)
	p.run.cfg.Dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{
		AttemptID: id, APIKey: apiKey, Timeout: callerTimeout, Model: call.model, PromptTokens: 400, MaxOutputTokens: 60, LastEventID: -1,
	})
	req.SetBodyString("a prompt")
}

func (fleetProtocol) check(id string, call request, resp *fasthttp.Response) error {
	if resp.StatusCode() == fasthttp.StatusOK && call.model != "" {
		if err := checkCompleteStream(resp.Body()); err != nil {
			return fmt.Errorf("incorrect stream in a response that ended without an error: %w", err)
		}
	}
	// The host doesn't know the request yet to which it responds with 408.
	if resp.StatusCode() != fasthttp.StatusRequestTimeout && !strings.Contains(resp.Header.String(), id) {
		return fmt.Errorf("a response without the request's attempt ID:\n%s", resp.Header.String())
	}
	return nil
}

func (fleetProtocol) statesNotRun(resp *fasthttp.Response) bool {
	s := resp.StatusCode()
	return s == fasthttp.StatusServiceUnavailable || s == fasthttp.StatusTooManyRequests || s == fasthttp.StatusRequestTimeout
}

func (p fleetProtocol) runCount(id string) int { return p.run.fleet.RunCount(id) }

// outcome is the result of a request at its caller.
type outcome struct {
	ok  bool
	err error
}

// dial connects to an entry host.
func (r *run) dial(entry int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", r.entryAddress(entry), time.Second)
	if err == nil {
		r.entries()[entry].reached.Store(true)
	}
	return c, err
}

// send sends one request on a new connection and checks the response.
func (r *run) send(entry int, call request) outcome {
	c, err := r.dial(entry)
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
	id := fmt.Sprintf("n%d", r.lastRequestID.Add(1))
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(call.path)
	r.protocol.writeRequest(&req, id, call)
	if err := k.conn.SetDeadline(time.Now().Add(callerTimeout + time.Second)); err != nil {
		return outcome{err: err}
	}
	if _, err := req.WriteTo(k.conn); err != nil {
		return outcome{err: err}
	}
	if _, err := k.in.Peek(1); err != nil {
		// The order matters: a kill that ends in between has counted as a disruption.
		isKilled := host.kills.Load() > 0
		if !isKilled && host.disruptions.Load() == disruptions && !host.isFrozen() {
			r.recordViolation("%s to %s, sent at %.3f s, got no answer, without a fault of the host: %v", id, host.name, sentAt.Sub(r.start).Seconds(), err)
		}
		r.checkRunCount(id, call, false)
		return outcome{err: err}
	}
	var resp fasthttp.Response
	if err := resp.Read(k.in); err != nil {
		r.checkRunCount(id, call, false)
		return outcome{err: err}
	}
	k.closing = resp.ConnectionClose()
	if err := r.protocol.check(id, call, &resp); err != nil {
		r.recordViolation("%s: %v", id, err)
	}
	r.checkRunCount(id, call, r.protocol.statesNotRun(&resp))
	return outcome{ok: resp.StatusCode() == fasthttp.StatusOK}
}

// checkRunCount checks that an action ran at most once, and not at all if the response says so.
func (r *run) checkRunCount(id string, call request, statedNotRun bool) {
	if call.model != "" {
		return
	}
	runs := r.protocol.runCount(id)
	if runs > 1 {
		r.recordViolation("%s ran %d times", id, runs)
	}
	if runs > 0 && statedNotRun {
		r.recordViolation("%s was answered as not run but has run", id)
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

// runCaller runs one caller, which keeps using a connection until the host closes it or a request fails.
func (r *run) runCaller(n int) {
	var k *keptConnection
	defer func() {
		if k != nil {
			_ = k.conn.Close()
		}
	}()
	calls := r.protocol.calls()
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
			conn, err := r.dial(entry)
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

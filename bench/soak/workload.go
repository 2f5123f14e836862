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
	callerPatience = 6 * time.Second
	callPause      = 15 * time.Millisecond
	operatorPause  = 300 * time.Millisecond
	operatorWait   = 2 * time.Second
	streamEvents   = 12
)

// request is what a caller asks for; no model means an action that may run once at most.
type request struct{ path, model string }

// outcome is what a caller got.
type outcome struct {
	ok     bool
	status int
	err    error
}

// ask sends one request on a connection of its own and checks the answer.
func (r *run) ask(entry int, q request) outcome {
	c, err := net.DialTimeout("tcp", r.entryAddress(entry), time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	return r.exchange(c, bufio.NewReader(c), q)
}

func (r *run) exchange(c net.Conn, in *bufio.Reader, q request) outcome {
	number := fmt.Sprintf("n%d", r.number.Add(1))
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(q.path)
	req.Header.SetHost(host)
	r.cfg.Dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{
		AttemptID: number, APIKey: key, Timeout: callerPatience, Model: q.model, PromptTokens: 400, MaxOutputTokens: 60, LastEventID: -1,
	})
	req.SetBodyString("a prompt")
	if err := c.SetDeadline(time.Now().Add(callerPatience + time.Second)); err != nil {
		return outcome{err: err}
	}
	if _, err := req.WriteTo(c); err != nil {
		return outcome{err: err}
	}
	var resp fasthttp.Response
	if err := resp.Read(in); err != nil {
		r.checkRuns(number, q, 0)
		return outcome{err: err}
	}
	o := outcome{status: resp.StatusCode(), ok: resp.StatusCode() == fasthttp.StatusOK}
	if o.ok && q.model != "" {
		if err := wholeStream(resp.Body()); err != nil {
			r.violate("%s: an answer that looks whole: %v", number, err)
		}
	}
	if !strings.Contains(resp.Header.String(), number) {
		r.violate("%s: an answer with another number:\n%s", number, resp.Header.String())
	}
	r.checkRuns(number, q, o.status)
	return o
}

// checkRuns demands that an action ran at most once, and not at all if the answer says so.
func (r *run) checkRuns(number string, q request, status int) {
	if q.model != "" {
		return
	}
	runs := r.fleet.RunCount(number)
	if runs > 1 {
		r.violate("%s ran %d times", number, runs)
	}
	if runs > 0 && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests) {
		r.violate("%s was answered %d and has run", number, status)
	}
}

// wholeStream tells whether a body holds all events once and in order.
func wholeStream(body []byte) error {
	next := 0
	for line := range strings.Lines(string(body)) {
		id, found := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !found {
			continue
		}
		if id != fmt.Sprint(next) {
			return fmt.Errorf("event %s where %d belongs", id, next)
		}
		next++
	}
	if next != streamEvents {
		return fmt.Errorf("%d events of %d", next, streamEvents)
	}
	return nil
}

// call is one caller: it keeps using a connection until it is gone.
func (r *run) call(n int) {
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
		case <-time.After(callPause):
		}
		if c == nil {
			fresh, err := net.DialTimeout("tcp", r.entryAddress((n+i)%r.cfg.Entry), time.Second)
			if err != nil {
				r.failedCalls.Add(1)
				continue
			}
			c, in = fresh, bufio.NewReader(fresh)
		}
		q := []request{{path: "/talk/x", model: largeModel}, {path: "/talk/x", model: smallModel}, {path: "/book/x"}}[(n+i)%3]
		o := r.exchange(c, in, q)
		switch {
		case o.ok:
			r.served.Add(1)
		case o.err == nil:
			r.refused.Add(1)
		default:
			r.failedCalls.Add(1)
			_ = c.Close()
			c = nil
		}
	}
}

// operate publishes documents and reads them back.
func (r *run) operate() {
	for version := uint64(2); ; version++ {
		select {
		case <-r.stop:
			return
		case <-time.After(operatorPause):
		}
		if r.publish(document(version), operatorWait) {
			r.acked.Store(version)
		}
		r.checkRead("during the run")
	}
}

func (r *run) publishOnce(i int, p func(h *fasthttp.RequestHeader) []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetBody(p(&req.Header))
	req.URI().SetScheme("http")
	req.URI().SetHost(r.controlAddress(i))
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

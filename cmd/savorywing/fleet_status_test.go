package main

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	standin "savorywing.example/savorywing/standin/fleet"
)

// brokenStatusLines begin no response that a caller may get. Whether the request has run isn't known.
var brokenStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
	"HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.0 200 OK",
}

// TestFleetStatusThatIsNone guards against callers who get as a success what a server has answered with a status that is none.
func TestFleetStatusThatIsNone(t *testing.T) {
	t.Parallel()
	f := newFleetEnv(t, 3, 2, 10, withPaths, func(f *fleetEnv) { f.retryBurst = 1000 })
	f.waitServing()
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			f.setAllFaults(standin.Faults{})
			f.cutOff(1, standin.CutReset)
			f.eventually("a booking through another host", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
		}
		for _, line := range brokenStatusLines {
			t.Run(fmt.Sprintf("%s, forwarded %t", line, forwarded), func(t *testing.T) {
				f.setAllFaults(standin.Faults{StatusLine: line})
				for _, path := range []string{"/book/x", "/book/look/x", "/talk/x"} {
					f.checkBrokenStatus(t, path, fmt.Sprint(path, line, forwarded))
				}
			})
		}
	}
	f.setAllFaults(standin.Faults{})
	servers := f.fleet.PlainServers()
	soundServer := servers[1].ServerConfig.ID
	servers[0].SetFaults(standin.Faults{StatusLine: brokenStatusLines[0]})
	for n := range 10 {
		if r := f.sendAs(1, "/book/look/x", "", fmt.Sprint("beside-", n), -1); r.err != nil || r.status != fasthttp.StatusOK || r.body != "done by "+soundServer {
			t.Errorf("status %d, %q, error %v beside a sound server, want its response", r.status, r.body, r.err)
		}
	}
}

// checkBrokenStatus sends a request to servers whose responses are broken, and checks what its caller is told.
func (f *fleetEnv) checkBrokenStatus(t *testing.T, path, id string) {
	t.Helper()
	model := ""
	if path == "/talk/x" {
		model = smallModel
	}
	r := f.sendAs(0, path, model, id, -1)
	runs := f.fleet.RunCount(id)
	if r.err == nil && (r.status < fasthttp.StatusBadRequest || r.status > 599) {
		t.Errorf("%s: status %d, %q", path, r.status, r.body)
	}
	switch r.status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		if runs > 0 {
			t.Errorf("%s: status %d promises that the request has not run, and it ran %d times", path, r.status, runs)
		}
	}
	if path == "/book/x" && runs > 1 {
		t.Errorf("%s ran %d times", path, runs)
	}
}

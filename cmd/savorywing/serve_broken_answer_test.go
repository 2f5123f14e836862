package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/wire"
)

// rawService is a service for savorywing serve that answers as a test wants.
type rawService struct {
	listener net.Listener
	host     string
	sequence atomic.Uint64
	answered atomic.Int64
	mu       sync.Mutex
	// answer answers requests, and poll the polls; nil for a sound answer.
	answer, poll standin.Answer
}

// startRawService starts a service and announces it until the test ends.
func (s *system) startRawService(host string) *rawService {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	w := &rawService{listener: listener, host: host}
	stop := make(chan struct{})
	s.t.Cleanup(func() {
		close(stop)
		_ = listener.Close()
	})
	go w.serve()
	go func() {
		for {
			_ = s.send(0, "POST", backend.PathAnnounce, "", string(w.announcement()))
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return w
}

func (w *rawService) announcement() []byte {
	// A struct of numbers and strings can be encoded.
	b, _ := json.Marshal(wire.Announcement{
		Host: w.host, Boot: 1, Sequence: w.sequence.Add(1), Address: w.listener.Addr().String(), DataCentre: "centre", Kind: savorywing.KindService, Service: "booking",
		Load: &wire.Load{Slots: 16, ReadAt: time.Now().UnixMilli()},
	})
	return b
}

func (w *rawService) set(answer, poll standin.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer, w.poll = answer, poll
}

func (w *rawService) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go w.serveConn(tcp)
		}
	}
}

// serveConn answers one request.
func (w *rawService) serveConn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	var h fasthttp.RequestHeader
	in := bufio.NewReader(c)
	if h.Read(in) != nil {
		return
	}
	w.mu.Lock()
	answer, text := w.answer, []byte("sound")
	if string(h.RequestURI()) == backend.PathAnnouncement {
		answer, text = w.poll, w.announcement()
	}
	w.mu.Unlock()
	r := standin.RequestStart{Fields: fmt.Appendf(nil, "%s: %s\r\n", backend.HeaderAttemptID, h.Peek(backend.HeaderAttemptID)), Unread: max(0, h.ContentLength()-in.Buffered())}
	if answer == nil {
		readBody(c, r.Unread)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", r.Fields, len(text), text)
		return
	}
	w.answered.Add(1)
	answer(c, r)
}

// newRawSystem starts a daemon with one service.
func newRawSystem(t *testing.T) (*system, *rawService) {
	t.Helper()
	s := newSystem(t, 1)
	w := s.startRawService("raw")
	s.waitReady()
	s.eventually("a sound answer", func() bool { return s.send(0, "GET", "/booking/x", "", "").body == "sound" })
	return s, w
}

// sendUntilAnswered sends requests until the service has answered one with an answer, and returns the last response.
func (s *system) sendUntilAnswered(w *rawService, method, body string, answer standin.Answer) response {
	s.t.Helper()
	w.set(answer, nil)
	defer w.set(nil, nil)
	before := w.answered.Load()
	var r response
	s.eventually("a request that the service has answered", func() bool {
		r = s.send(0, method, "/booking/x", "", body)
		return w.answered.Load() > before
	})
	return r
}

// TestServeBrokenNames is TestFleetBrokenNames for savorywing serve.
func TestServeBrokenNames(t *testing.T) {
	s, w := newRawSystem(t)
	s.checkBroken(w, brokenNames())
	s.checkRecorded("field")
}

// TestServeBrokenFramings is TestFleetBrokenFramings for savorywing serve.
func TestServeBrokenFramings(t *testing.T) {
	s, w := newRawSystem(t)
	s.checkBroken(w, brokenFramings())
	s.checkRecorded("framing", "header", "statusLine", "truncated")
}

// checkRecorded checks that the daemon has logged and counted responses that it refused for these reasons.
func (s *system) checkRecorded(reasons ...string) {
	s.t.Helper()
	refused := s.status(0).RefusedResponses
	for _, reason := range reasons {
		if refused[reason] == 0 || !strings.Contains(s.daemons[0].logText(), fmt.Sprintf(`"reason":%q`, reason)) {
			s.t.Errorf("no count or no log line for the reason %s: %v", reason, refused)
		}
	}
}

// checkBroken sends requests to a service that sends these answers, and checks that none reaches a caller as a success.
func (s *system) checkBroken(w *rawService, answers []string) {
	s.t.Helper()
	for i, text := range answers {
		method := []string{"GET", "POST"}[i%2]
		r := s.sendUntilAnswered(w, method, "", func(c *net.TCPConn, request standin.RequestStart) {
			_, _ = io.WriteString(c, strings.Replace(text, "SIGNED", string(request.Fields), 1))
		})
		if r.err == nil && r.status < fasthttp.StatusBadRequest {
			s.t.Errorf("%s: the answer %.120q reached the caller with status %d, %q", method, text, r.status, r.body)
		}
	}
}

// endlessServices is how many services answer without an end at the same time.
const endlessServices = 16

// TestServeAnswersNeverEnd is TestFleetAnswersNeverEnd for savorywing serve, with many servers at once, and for answers to its polls.
func TestServeAnswersNeverEnd(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "82MiB")
	s := newSystem(t, 1)
	t.Setenv("GOMEMLIMIT", "")
	var services []*rawService
	for n := range endlessServices {
		services = append(services, s.startRawService(fmt.Sprint("raw-", n)))
	}
	s.waitReady()
	isServing := func() bool { return s.send(0, "GET", "/booking/x", "", "").body == "sound" }
	s.eventually("a sound answer", isServing)
	for round := 0; round*endlessServices < len(endlessAnswers); round++ {
		for n, w := range services {
			a := endlessAnswers[(round*endlessServices+n)%len(endlessAnswers)]
			w.set(func(c *net.TCPConn, r standin.RequestStart) { a.write(c, r.Fields) }, nil)
		}
		s.callEndless()
		for _, w := range services {
			w.set(nil, nil)
		}
		s.eventually("a sound answer", isServing)
	}
	s.daemons[0].checkSize(crowdMemoryMB)
	for _, a := range endlessAnswers {
		for _, w := range services {
			w.set(nil, func(c *net.TCPConn, r standin.RequestStart) { a.write(c, r.Fields) })
		}
		time.Sleep(time.Second)
	}
	for _, w := range services {
		w.set(nil, nil)
	}
	s.daemons[0].checkSize(crowdMemoryMB)
	s.eventually("a sound answer", isServing)
}

// callEndless sends requests at once, with short and long bodies.
func (s *system) callEndless() {
	var callers sync.WaitGroup
	for n := range endlessCallersAtOnce / 2 {
		callers.Go(func() {
			s.send(0, []string{"GET", "POST"}[n%2], "/booking/x", "", strings.Repeat("u", n%2<<20))
		})
	}
	callers.Wait()
}

package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/connection/operator"
	standinserver "savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/version/catalogue"
)

// crowdControls is a fleet whose control hosts are processes with the limits of the crowds that return.
type crowdControls struct{ *fleetEnv }

func newCrowdControls(t *testing.T) crowdControls {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return crowdControls{newFleetEnv(t, 3, 1, 0, func(f *fleetEnv) {
		f.program, f.hasMetrics, f.memoryMB, f.maxDescriptors = program, true, returningMemoryMB, crowdMaxDescriptors
	})}
}

// follower returns a control process that doesn't lead.
func (f crowdControls) follower() *daemonProcess {
	leader := f.leadingProcess()
	for _, p := range f.controlProcesses {
		if p != leader {
			return p
		}
	}
	return nil
}

func (f crowdControls) address(p *daemonProcess) crowdTarget {
	return crowdTarget{
		callers: fmt.Sprintf("%s:%d", p.ip, f.port+1), peers: fmt.Sprintf("%s:%d", p.ip, f.port), metrics: fmt.Sprintf("%s:%d", p.ip, f.port+4),
	}
}

// read sends one ordinary call and returns its status.
func (f crowdControls) read(address string) int {
	status, _, err := f.callControl(address, func(h *fasthttp.RequestHeader) []byte { f.dialect.WriteRead(h); return nil })
	if err != nil {
		return 0
	}
	return status
}

// largeDocument returns a document with many routes.
func largeDocument(version uint64) catalogue.Document {
	doc := fleetDocument(version)
	for i := range 8000 {
		r := doc.Routes[2]
		r.Name, r.Prefix = fmt.Sprintf("crowd-%d", i), fmt.Sprintf("/crowd-%d-%s/", i, strings.Repeat("x", 64))
		doc.Routes = append(doc.Routes, r)
	}
	return doc
}

// request returns the bytes of a call of the control interface.
func request(write func(h *fasthttp.RequestHeader) []byte) []byte {
	var h fasthttp.RequestHeader
	body := write(&h)
	h.SetHost("x")
	h.SetContentLength(len(body))
	return append(h.AppendBytes(nil), body...)
}

// controlCallers are callers of the control interface.
func (f crowdControls) controlCallers() []caller {
	var publish, report fasthttp.RequestHeader
	f.dialect.WritePublish(&publish, fleetDocument(2))
	report.SetMethod(fasthttp.MethodPost)
	report.SetRequestURI("/v1/instances/crowd/heartbeat")
	parts := func(h *fasthttp.RequestHeader, framing string, parts [][]byte) func(string) [][]byte {
		head := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", h.Method(), h.RequestURI(), framing)
		return func(string) [][]byte { return append([][]byte{head}, parts...) }
	}
	read := request(func(h *fasthttp.RequestHeader) []byte { f.dialect.WriteRead(h); return nil })
	document := request(func(h *fasthttp.RequestHeader) []byte { return f.dialect.WritePublish(h, largeDocument(2)) })
	garbage := bytes.Repeat([]byte("["), crowdBodyBytes)
	return []caller{
		{name: "documents short of the end", parts: parts(&publish, lengthFraming, [][]byte{nearlyAll}), reads: true},
		{name: "documents in chunks of 64 KiB", parts: parts(&publish, chunkedFraming, repeated(60, chunk(64<<10, ""))), reads: true},
		{name: "documents in chunks of two bytes", parts: parts(&publish, chunkedFraming, repeated(8, bytes.Repeat(chunk(2, ""), 32<<10))), reads: true},
		{name: "reports short of the end", parts: parts(&report, lengthFraming, [][]byte{nearlyAll}), reads: true},
		{name: "reports that aren't any", parts: parts(&report, lengthFraming, [][]byte{garbage}), reads: true},
		{name: "whole documents", parts: func(string) [][]byte { return [][]byte{document} }, reads: true},
		{name: "documents that nobody reads", parts: func(string) [][]byte { return [][]byte{read} }, receiveBuffer: slowReaderBuffer},
	}
}

// withstand checks a control process during and after a crowd.
func (f crowdControls) withstand(t *testing.T, p *daemonProcess, address string, kinds ...caller) {
	t.Helper()
	p.process.t = t
	control := f.address(p).callers
	crowded{
		p: p.process, dataDir: p.dataDir, send: func() int { return f.read(control) },
		await: func() {
			f.eventually("a call is served", func() bool { return f.read(control) == fasthttp.StatusOK })
		},
	}.withstand(t, address, kinds...)
}

// TestCrowdAtControl is TestCrowdReturns for control hosts.
func TestCrowdAtControl(t *testing.T) {
	f := newCrowdControls(t)
	if status := f.publish(largeDocument(3)); status != fasthttp.StatusOK {
		t.Fatalf("status %d for the document", status)
	}
	for _, kind := range f.controlCallers() {
		t.Run(kind.name+", leader", func(t *testing.T) {
			p := f.leadingProcess()
			f.withstand(t, p, f.address(p).callers, kind)
		})
		t.Run(kind.name+", follower", func(t *testing.T) {
			p := f.follower()
			f.withstand(t, p, f.address(p).callers, kind)
		})
	}
	for _, kind := range []caller{
		nothingSent,
		{name: "half a head", parts: func(string) [][]byte { return [][]byte{longHead} }, reads: true},
	} {
		for _, listener := range []string{"callers", "peers", "metrics"} {
			t.Run(fmt.Sprintf("%s, %s", listener, kind.name), func(t *testing.T) {
				p := f.leadingProcess()
				a := f.address(p)
				f.withstand(t, p, map[string]string{"callers": a.callers, "peers": a.peers, "metrics": a.metrics}[listener], kind)
			})
		}
	}
}

// TestCrowdAtControlElsewhere is TestCrowdAtControl for a crowd that isn't where the ordinary callers are. It sends nothing, or reads
// nothing, so that it holds all connections.
func TestCrowdAtControlElsewhere(t *testing.T) {
	f := newCrowdControls(t)
	if status := f.publish(largeDocument(3)); status != fasthttp.StatusOK {
		t.Fatalf("status %d for the document", status)
	}
	callers := f.controlCallers()
	for _, kind := range fromElsewhere(callers[len(callers)-1], nothingSent) {
		for name, p := range map[string]*daemonProcess{"leader": f.leadingProcess(), "follower": f.follower()} {
			t.Run(kind.name+", "+name, func(t *testing.T) { f.withstand(t, p, f.address(p).callers, kind) })
		}
	}
}

// TestCrowdThroughElection checks that a leader with a crowd ends after a signal, that the others elect another one, who has a crowd
// as well, and that the fleet serves and takes documents.
func TestCrowdThroughElection(t *testing.T) {
	f := newCrowdControls(t)
	var crowds []*returning
	meters := map[*daemonProcess]*meter{}
	for _, p := range f.controlProcesses {
		meters[p] = startMeter(p.process, p.dataDir)
		crowds = append(crowds, startReturning(t, f.address(p).callers, returningCallers/3, f.controlCallers()...))
	}
	first := f.leadingProcess()
	first.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	first.signal(syscall.SIGTERM)
	if code := first.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	var next *daemonProcess
	f.eventually("another leader", func() bool {
		for i, address := range f.seeds {
			if s, err := controlapi.NewClient(f.dialect, []string{address}).Status(); err == nil && s.Leading && f.controlProcesses[i] != first {
				next = f.controlProcesses[i]
			}
		}
		return next != nil
	})
	for _, c := range crowds {
		c.end()
		c.tell(t)
	}
	// A connection of the crowd that is still in the backlog may take the place of the operator's, who is told so.
	f.eventually("a document is taken", func() bool { return f.publish(fleetDocument(9)) == fasthttp.StatusOK })
	f.eventually("an ordinary request", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	for p, m := range meters {
		if p == first {
			u := m.end()
			t.Logf("first leader: at the most %d MB, %d sockets, pipes and data files", u.total>>20, u.descriptors)
			continue
		}
		m.check(t, returningMemoryMB, crowdMaxDescriptors-reservedDescriptors)
	}
}

// crowdCollectorLimit is the GOMEMLIMIT from which savorywing serve and dev take their memory, returningMemoryMB.
const crowdCollectorLimit = "43MiB"

// setCrowdLimits sets the limits of the processes that are started until unset is called.
func setCrowdLimits(t *testing.T) (unset func()) {
	t.Helper()
	t.Setenv("GOMEMLIMIT", crowdCollectorLimit)
	t.Setenv(envDescriptors, fmt.Sprint(crowdMaxDescriptors))
	return func() {
		t.Setenv("GOMEMLIMIT", "")
		t.Setenv(envDescriptors, "")
	}
}

// crowdSystem is a process of savorywing serve or dev.
type crowdSystem struct {
	p *process
	// callers, operators and peers are its addresses.
	callers, operators, peers string
	key, token, target        string
}

// newCrowdedServe starts savorywing serve with the limits of crowds, and one service with responses of 1 MiB.
func newCrowdedServe(t *testing.T) crowdSystem {
	t.Helper()
	unset := setCrowdLimits(t)
	s := newSystem(t, 1)
	unset()
	s.standin(standinserver.Config{Host: "booking-1", Kind: savorywing.KindService, Service: "booking", BodyBytes: 1 << 20})
	s.waitReady()
	return crowdSystem{p: s.daemons[0], callers: s.callers[0], operators: s.operators[0], peers: s.peers[0], key: testKey, token: testToken, target: "/booking/x"}
}

// TestCrowdAtServe is TestCrowdReturns for the listeners of savorywing serve.
func TestCrowdAtServe(t *testing.T) {
	s := newCrowdedServe(t)
	s.withstandAll(t, true)
	// A planned stop ends whatever the crowd does.
	r := startReturning(t, s.callers, returningCallers, s.crowdCallers(s.target, s.key)...)
	time.Sleep(returningTime)
	s.p.signal(syscall.SIGTERM)
	if code := s.p.wait(); code != 0 {
		t.Errorf("exit code %d after a planned stop", code)
	}
	r.end()
}

// TestCrowdAtServeElsewhere is TestCrowdAtServe for a crowd that isn't where the ordinary callers are.
func TestCrowdAtServeElsewhere(t *testing.T) {
	s := newCrowdedServe(t)
	s.awaitAnswer(t)
	kinds := fromElsewhere(s.crowdCallers(s.target, s.key)...)
	t.Run("mixed", func(t *testing.T) { s.withstand(t, s.callers, kinds...) })
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) { s.withstand(t, s.callers, kind) })
	}
}

// TestCrowdAtDev is TestCrowdReturns for the listeners of savorywing dev.
func TestCrowdAtDev(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	unset := setCrowdLimits(t)
	p := &process{t: t, name: "dev", args: []string{"dev"}, env: envProgram + "=1"}
	p.start()
	t.Cleanup(p.kill)
	unset()
	crowdSystem{p: p, callers: "127.0.0.1:8080", operators: "127.0.0.1:9180", peers: "127.0.0.1:9080", key: "dev-key", token: strings.TrimSpace(devToken), target: "/register/x"}.withstandAll(t, false)
}

// send sends an ordinary request and returns the status of the response; 0 without one.
func (s crowdSystem) send() int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.callers + s.target)
	req.Header.Set("Authorization", "Bearer "+s.key)
	c := fasthttp.Client{ReadTimeout: answerTime, RetryIf: func(*fasthttp.Request) bool { return false }}
	defer c.CloseIdleConnections()
	if c.Do(req, resp) != nil {
		return 0
	}
	return resp.StatusCode()
}

// awaitAnswer waits until an ordinary request is served.
func (s crowdSystem) awaitAnswer(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.send() != fasthttp.StatusOK; time.Sleep(testPollInterval) {
		if time.Now().After(end) {
			t.Fatalf("no ordinary request was served:\n%s", tail(s.p.logText()))
		}
	}
}

// crowdCallers returns callers of a target.
func (s crowdSystem) crowdCallers(target, key string) []caller {
	parts := func(framing string, parts [][]byte) func(string) [][]byte {
		head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", target, key, framing)
		return func(string) [][]byte { return append([][]byte{head}, parts...) }
	}
	get := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", target, key)
	return []caller{
		{name: "short of the end", parts: parts(lengthFraming, [][]byte{nearlyAll}), reads: true},
		{name: "chunks of 64 KiB", parts: parts(chunkedFraming, repeated(60, chunk(64<<10, ""))), reads: true},
		{name: "chunks of two bytes", parts: parts(chunkedFraming, repeated(8, bytes.Repeat(chunk(2, ""), 32<<10))), reads: true},
		{name: "whole", parts: parts(lengthFraming, [][]byte{nearlyAll, []byte("x")}), reads: true},
		{name: "responses that nobody reads", parts: func(string) [][]byte { return [][]byte{get} }, receiveBuffer: slowReaderBuffer},
		nothingSent,
	}
}

// withstandAll checks the listeners of a process during and after crowds, of one kind at a time or of all.
func (s crowdSystem) withstandAll(t *testing.T, isEachKind bool) {
	t.Helper()
	s.awaitAnswer(t)
	for _, to := range []struct{ name, address, key, target string }{
		{"callers", s.callers, s.key, s.target},
		{"operators", s.operators, s.token, operator.PathHistory},
		{"operators without a token", s.operators, "none", operator.PathConfiguration},
		{"peers", s.peers, "none", "/savorywing/v1/peer"},
	} {
		kinds := s.crowdCallers(to.target, to.key)
		t.Run(to.name+", mixed", func(t *testing.T) { s.withstand(t, to.address, kinds...) })
		for _, kind := range kinds {
			if isEachKind {
				t.Run(to.name+", "+kind.name, func(t *testing.T) { s.withstand(t, to.address, kind) })
			}
		}
	}
}

func (s crowdSystem) withstand(t *testing.T, address string, kinds ...caller) {
	t.Helper()
	crowded{p: s.p, send: s.send, await: func() { s.awaitAnswer(t) }}.withstand(t, address, kinds...)
}

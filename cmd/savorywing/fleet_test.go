package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/controller"
	"savorywing.example/savorywing/process/gateway"
	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
)

const (
	fleetHost    = "fleet.example"
	fleetEngines = "engines"
	fleetPlain   = "bookings"
	largeModel   = "large"
	smallModel   = "small"
	fleetKey     = "key-of-one"
	otherKey     = "key-of-two"
	fleetPatient = 20 * time.Second
)

// fleetParts is the document that the tests begin with.
func fleetParts(version uint64) catalogue.Parts {
	engine := catalogue.Engine{
		Slots: 8, Tokens: 1 << 20, Stride: 5, Step: 4 * time.Millisecond, ReadRate: 50000, Chunk: 2048,
		LoadsPerSecond: 50, LoadsAtOnce: 20, Keep: 1, OpenTime: 30 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: largeModel, Size: 4, Share: 0.5, Pace: 1, Load: 300 * time.Millisecond, Warm: 60 * time.Millisecond},
			{Name: smallModel, Size: 2, Share: 0.5, Pace: 0.6, Load: 200 * time.Millisecond, Warm: 40 * time.Millisecond},
		},
	}
	return catalogue.Parts{
		Version: version,
		Routes: []catalogue.Route{
			{Name: "talk", Host: fleetHost, Prefix: "/talk/", Kind: catalogue.Streaming, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond,
				Gap: 300 * time.Millisecond, Shares: []catalogue.Share{{Service: fleetEngines, Weight: 1}}, MaxAttempts: 2, Resumable: true},
			{Name: "book", Host: fleetHost, Prefix: "/book/", Kind: catalogue.NonIdempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Shares: []catalogue.Share{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 2},
			{Name: "look", Host: fleetHost, Prefix: "/book/look/", Kind: catalogue.Idempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Shares: []catalogue.Share{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 2},
		},
		Services:      []catalogue.Service{{Name: fleetEngines, HealthPath: "/healthz", MaxConnections: 100, Engine: &engine}, {Name: fleetPlain, HealthPath: "/healthz", MaxConnections: 100}},
		Organisations: []catalogue.Organisation{{Name: "one", Keys: []string{fleetKey}}, {Name: "two", Keys: []string{otherKey}}},
		Limits:        catalogue.Limits{Header: 16 << 10, Body: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// fleetRig is a whole fleet on loopback: control hosts, entry hosts and emulated backend servers.
type fleetRig struct {
	t        *testing.T
	dialect  platform.Dialect
	port     int
	seeds    []string
	controls []*controller.Controller
	entries  []*gateway.Gateway
	fleet    *standin.Fleet
	mu       sync.Mutex
	number   int
	stopped  map[any]bool
}

var fleetNet struct {
	sync.Mutex
	n int
}

// newFleetRig starts control hosts, entry hosts and servers and publishes the first document.
func newFleetRig(t *testing.T, controls, entries, engines int) *fleetRig {
	t.Helper()
	fleetNet.Lock()
	fleetNet.n++
	subnet := fleetNet.n
	fleetNet.Unlock()
	f := &fleetRig{t: t, port: 21000 + subnet*10, stopped: map[any]bool{}}
	for i := range controls {
		f.seeds = append(f.seeds, fmt.Sprintf("127.0.%d.%d:%d", subnet, 10+i, f.port+1))
	}
	for i := range controls {
		f.controls = append(f.controls, f.startControl(fmt.Sprintf("127.0.%d.%d", subnet, 10+i), t.TempDir(), true))
	}
	for i := range entries {
		s := f.settings(savorywing.RoleEntry, fmt.Sprintf("127.0.%d.%d", subnet, 100+i), true)
		g, err := gateway.New(s, f.dialect, f.log(s.Name))
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		f.entries = append(f.entries, g)
	}
	parts := fleetParts(1)
	f.fleet = standin.New(standin.Config{
		Dialect: f.dialect, Control: f.seeds, ReportEvery: 200 * time.Millisecond, EngineService: fleetEngines,
		Engine: *parts.Services[0].Engine, Stall: 700 * time.Millisecond, PlainTime: 10 * time.Millisecond,
	})
	for i := range engines {
		f.addServer(standin.Place{ID: fmt.Sprintf("engine-%d", i), Service: fleetEngines, Engine: true, Slots: 8,
			Address: fmt.Sprintf("127.0.%d.%d:0", subnet, 150+i), DataCentre: "a", Domain: fmt.Sprintf("d%d", i/10)})
	}
	for i := range 2 {
		f.addServer(standin.Place{ID: fmt.Sprintf("plain-%d", i), Service: fleetPlain, Slots: 6,
			Address: fmt.Sprintf("127.0.%d.%d:0", subnet, 140+i), DataCentre: "a"})
	}
	t.Cleanup(f.close)
	f.publish(parts)
	return f
}

func (f *fleetRig) addServer(p standin.Place) *standin.Server {
	s, err := f.fleet.Add(p)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleetRig) log(name string) zerolog.Logger {
	return zerolog.New(zerolog.NewTestWriter(f.t)).Level(zerolog.WarnLevel).With().Str("host", name).Logger()
}

func (f *fleetRig) settings(role, ip string, first bool) *instance.Settings {
	s := &instance.Settings{
		Role: role, Name: role + "-" + ip, IP: ip, DataCentre: "a", PeerPorts: []int{f.port}, Seeds: f.seeds, FirstStart: first,
		Token: "test", LostDisks: (len(f.seeds) - 1) / 2,
	}
	if role == savorywing.RoleEntry {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("%s:%d", ip, f.port+2), fmt.Sprintf("%s:%d", ip, f.port+3)
	} else {
		s.ControlAddress = fmt.Sprintf("%s:%d", ip, f.port+1)
	}
	s.ReportEveryMs, s.StallMs, s.GraceSeconds = 200, 700, 5
	s.Defaults()
	return s
}

func (f *fleetRig) startControl(ip, dir string, first bool) *controller.Controller {
	s := f.settings(savorywing.RoleControl, ip, first)
	s.DataDir = dir
	if err := s.Validate(); err != nil {
		f.t.Fatal(err)
	}
	c, err := controller.New(s, f.dialect, f.log(s.Name))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *fleetRig) close() {
	f.fleet.Close()
	for _, g := range f.entries {
		if !f.stopped[g] {
			g.Kill()
		}
	}
	for _, c := range f.controls {
		if !f.stopped[c] {
			c.Kill()
		}
	}
	for _, v := range f.fleet.Violations() {
		f.t.Errorf("a promise was broken: %s", v)
	}
}

func (f *fleetRig) callControl(address string, write func(h *fasthttp.RequestHeader) []byte) (int, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetBody(write(&req.Header))
	req.URI().SetScheme("http")
	req.URI().SetHost(address)
	if err := fasthttp.DoTimeout(req, resp, 2*time.Second); err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), string(resp.Body()), nil
}

// publish sends a document to the control hosts in turn until it is acknowledged or refused.
func (f *fleetRig) publish(p catalogue.Parts) int {
	f.t.Helper()
	deadline := time.Now().Add(fleetPatient)
	for n := 0; time.Now().Before(deadline); n++ {
		status, _, err := f.callControl(f.seeds[n%len(f.seeds)], func(h *fasthttp.RequestHeader) []byte { return f.dialect.WritePublish(h, p) })
		if err == nil && status != fasthttp.StatusServiceUnavailable {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no control host took the document")
	return 0
}

// read returns the newest document from the first control host that is sure.
func (f *fleetRig) read() string {
	f.t.Helper()
	deadline := time.Now().Add(fleetPatient)
	for n := 0; time.Now().Before(deadline); n++ {
		status, body, err := f.callControl(f.seeds[n%len(f.seeds)], func(h *fasthttp.RequestHeader) []byte { f.dialect.WriteRead(h); return nil })
		if err == nil && status == fasthttp.StatusOK {
			return body
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no control host answered")
	return ""
}

// fleetAnswer is what a caller got.
type fleetAnswer struct {
	number string
	status int
	body   string
	err    error
}

// ask sends one request to an entry host; leave, if any, ends the caller's connection.
func (f *fleetRig) ask(entry int, path, model, key string, leave <-chan struct{}) fleetAnswer {
	f.mu.Lock()
	f.number++
	a := fleetAnswer{number: fmt.Sprintf("call-%d", f.number)}
	f.mu.Unlock()
	ip := strings.Replace(f.seeds[0], ".10:", fmt.Sprintf(".%d:", 100+entry), 1)
	host, _, _ := net.SplitHostPort(ip)
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, f.port+2), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	if leave != nil {
		go func() {
			<-leave
			_ = c.Close()
		}()
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(fleetHost)
	f.dialect.WriteCaller(&req.Header, savorywing.CallerHead{Number: a.number, Key: key, Patience: 8 * time.Second, Model: model, PromptTokens: 500, AnswerTokens: 60, After: -1})
	req.SetBodyString("what is to be done")
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := req.WriteTo(c); err != nil {
		a.err = err
		return a
	}
	var resp fasthttp.Response
	a.err = resp.Read(bufio.NewReader(c))
	a.status, a.body = resp.StatusCode(), string(resp.Body())
	return a
}

// until waits for a condition.
func (f *fleetRig) until(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(fleetPatient)
	for time.Now().Before(deadline) {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("not in time: %s", what)
}

// wholeStream tells whether a body holds all events once, in order.
func wholeStream(body string) error {
	next := 0
	for line := range strings.Lines(body) {
		id, found := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !found {
			continue
		}
		if id != fmt.Sprint(next) {
			return fmt.Errorf("event %s where %d belongs", id, next)
		}
		next++
	}
	if next != 12 {
		return fmt.Errorf("%d events of 12", next)
	}
	return nil
}

func (f *fleetRig) serveAll() {
	f.t.Helper()
	for entry := range f.entries {
		for _, model := range []string{largeModel, smallModel} {
			f.until("a stream of "+model, func() bool {
				a := f.ask(entry, "/talk/x", model, fleetKey, nil)
				return a.err == nil && a.status == fasthttp.StatusOK && wholeStream(a.body) == nil
			})
		}
		f.until("a booking", func() bool { return f.ask(entry, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	}
}

// TestFleetServes shows the whole path: streams of both models and plain calls through every entry host.
func TestFleetServes(t *testing.T) {
	f := newFleetRig(t, 3, 2, 10)
	f.serveAll()
	tests := []struct {
		name, path, key string
		want            int
	}{
		{"no such route", "/nothing/", fleetKey, fasthttp.StatusNotFound},
		{"unknown key", "/book/x", "nobody's", fasthttp.StatusUnauthorized},
		{"no key", "/book/x", "", fasthttp.StatusUnauthorized},
		{"longest prefix", "/book/look/x", fleetKey, fasthttp.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := f.ask(0, tt.path, "", tt.key, nil); got.status != tt.want {
				t.Errorf("status %d, want %d: %s", got.status, tt.want, got.body)
			}
		})
	}
}

// TestFleetMemberLost kills a member of a large group under streams: they go on elsewhere or fail without
// looking whole, and a host that stands by takes the member's place.
func TestFleetMemberLost(t *testing.T) {
	f := newFleetRig(t, 3, 2, 20)
	f.serveAll()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := f.ask(n%2, "/talk/x", []string{largeModel, smallModel}[n/2%2], fleetKey, nil)
				if a.err == nil && a.status == fasthttp.StatusOK {
					if err := wholeStream(a.body); err != nil {
						t.Errorf("%s: %v", a.number, err)
					}
				}
			}
		}()
	}
	for range 3 {
		before := len(f.fleet.Open())
		head := f.fleet.Open()[0]
		if m := f.fleet.Member(head); m != nil {
			m.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		f.until("as many groups as hosts allow", func() bool { return len(f.fleet.Open()) >= before-1 })
	}
	close(stop)
	callers.Wait()
	f.serveAll()
}

// TestFleetLateOrders carries orders out late, under two leaders, while heads are cut off from control.
func TestFleetLateOrders(t *testing.T) {
	f := newFleetRig(t, 3, 1, 20)
	f.serveAll()
	for i, head := range f.fleet.Open() {
		switch i % 3 {
		case 0:
			head.SetFaults(standin.Faults{LateOrders: 1500 * time.Millisecond})
		case 1:
			head.SetFaults(standin.Faults{CutFromControl: true})
		}
	}
	head := f.fleet.Open()[0]
	if m := f.fleet.Member(head); m != nil {
		m.Kill()
	}
	f.controls[0].Kill()
	f.stopped[f.controls[0]] = true
	time.Sleep(4 * time.Second)
	for _, s := range f.fleet.Open() {
		s.SetFaults(standin.Faults{})
	}
	f.serveAll()
}

// TestFleetAtMostOnce loses the answers of actions that may not be repeated.
func TestFleetAtMostOnce(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	for _, s := range f.fleet.Plain() {
		s.SetFaults(standin.Faults{LoseAnswer: true})
	}
	for range 20 {
		a := f.ask(0, "/book/x", "", fleetKey, nil)
		if a.status == fasthttp.StatusOK || a.status == fasthttp.StatusServiceUnavailable {
			t.Errorf("%s: status %d for an action whose answer was lost", a.number, a.status)
		}
		if got := f.fleet.Runs(a.number); got > 1 {
			t.Errorf("%s ran %d times", a.number, got)
		}
	}
	a := f.ask(0, "/book/look/x", "", fleetKey, nil)
	if got := f.fleet.Runs(a.number); got != 2 {
		t.Errorf("a call that may be repeated ran %d times, want 2 (max attempts)", got)
	}
}

// TestFleetCallerLeaves ends callers' connections in the middle of streams.
func TestFleetCallerLeaves(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	leave := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			f.ask(0, "/talk/x", largeModel, fleetKey, leave)
		}()
	}
	f.until("streams in flight", func() bool { return f.fleet.InFlight() == 4 })
	close(leave)
	left := time.Now()
	f.until("the engines' work ends", func() bool { return f.fleet.InFlight() == 0 })
	if d := time.Since(left); d > 500*time.Millisecond {
		t.Errorf("engines worked on for %v after their callers had left", d)
	}
	callers.Wait()
}

// TestFleetDocument publishes documents in and out of order, resends, races and refuses them.
func TestFleetDocument(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	five := fleetParts(5)
	five.Routes = append(five.Routes, catalogue.Route{Name: "more", Host: fleetHost, Prefix: "/more/", Kind: catalogue.Idempotent,
		Timeout: time.Second, Objective: time.Second, Shares: []catalogue.Share{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 1})
	noTimeout, shared, unknown, twice := fleetParts(9), fleetParts(9), fleetParts(9), fleetParts(9)
	noTimeout.Routes[0].Timeout = 0
	shared.Organisations[1].Keys = []string{fleetKey}
	unknown.Routes[0].Shares = []catalogue.Share{{Service: "nobody", Weight: 1}}
	twice.Routes[1].Prefix = "/talk/"
	tests := []struct {
		name  string
		parts catalogue.Parts
		want  int
		newer bool
	}{
		{"higher", five, 200, true},
		{"resent", five, 200, true},
		{"lower", fleetParts(3), 200, true},
		{"other content under the version held", fleetParts(5), 200, true},
		{"no timeout", noTimeout, 400, true},
		{"shared key", shared, 400, true},
		{"unknown service", unknown, 400, true},
		{"two routes in one place", twice, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := f.publish(tt.parts); got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
			if body := f.read(); !strings.Contains(body, "/more/") {
				t.Errorf("the document read back lacks what was accepted: %.200s", body)
			}
			f.until("the new route", func() bool { return f.ask(0, "/more/x", "", fleetKey, nil).status == 200 })
		})
	}
	t.Run("a key taken away", func(t *testing.T) {
		six := fleetParts(6)
		six.Organisations = six.Organisations[:1]
		f.publish(six)
		f.until("the key is refused", func() bool { return f.ask(0, "/book/x", "", otherKey, nil).status == 401 })
		if got := f.ask(0, "/book/x", "", fleetKey, nil).status; got != 200 {
			t.Errorf("the key that stays gets %d", got)
		}
	})
}

// TestFleetControlLost kills control hosts and restarts one with an empty disk: what was acknowledged stays,
// and an entry host that can't confirm keys refuses them.
func TestFleetControlLost(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	f.publish(fleetParts(7))
	f.controls[0].Kill()
	f.stopped[f.controls[0]] = true
	if body := f.read(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after the loss of a control host: %.100s", body)
	}
	host, _, _ := net.SplitHostPort(f.seeds[0])
	f.controls = append(f.controls, f.startControl(host, t.TempDir(), false))
	f.until("three voters again", func() bool {
		members := f.controls[1].Members()
		if len(members) != 3 {
			return false
		}
		for _, m := range members {
			if !m.Voter || strings.HasSuffix(m.ID, "/first") && strings.HasPrefix(m.ID, host) {
				return false
			}
		}
		return true
	})
	f.serveAll()
	f.controls[1].Kill()
	f.stopped[f.controls[1]] = true
	if body := f.read(); !strings.Contains(body, `"version":7`) {
		t.Errorf("after a second loss: %.100s", body)
	}
	f.controls[2].Kill()
	f.stopped[f.controls[2]] = true
	f.until("keys can't be confirmed", func() bool {
		a := f.ask(0, "/book/x", "", fleetKey, nil)
		return a.status == 503 && strings.Contains(a.body, "keysUnconfirmed")
	})
}

// TestFleetPlannedStop stops an entry host under streams; none is cut off.
func TestFleetPlannedStop(t *testing.T) {
	f := newFleetRig(t, 3, 1, 10)
	f.serveAll()
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if a := f.ask(0, "/talk/x", smallModel, fleetKey, nil); a.err != nil || a.status != 200 || wholeStream(a.body) != nil {
				t.Errorf("%s: status %d, %v", a.number, a.status, a.err)
			}
		}()
	}
	f.until("streams in flight", func() bool { return f.fleet.InFlight() > 0 })
	f.stopped[f.entries[0]] = true
	f.entries[0].Stop()
	callers.Wait()
}

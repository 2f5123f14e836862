package main

import (
	"bufio"
	"fmt"
	"io"
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
func fleetParts(version uint64) catalogue.Document {
	engine := catalogue.Engine{
		Slots: 8, KVTokens: 1 << 20, StepsPerPass: 5, StepTime: 4 * time.Millisecond, PrefillRate: 50000, PrefillChunk: 2048,
		LoadsPerSecond: 50, MaxConcurrentLoads: 20, MaxStagedModels: 1, OpenTime: 30 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: largeModel, HostsPerGroup: 4, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: 300 * time.Millisecond, WarmLoadTime: 60 * time.Millisecond},
			{Name: smallModel, HostsPerGroup: 2, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 200 * time.Millisecond, WarmLoadTime: 40 * time.Millisecond},
		},
	}
	return catalogue.Document{
		Version: version,
		Routes: []catalogue.Route{
			{Name: "talk", Host: fleetHost, Prefix: "/talk/", Kind: catalogue.Streaming, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond,
				GapObjective: 300 * time.Millisecond, Services: []catalogue.WeightedService{{Service: fleetEngines, Weight: 1}}, MaxAttempts: 2, Resumable: true},
			{Name: "book", Host: fleetHost, Prefix: "/book/", Kind: catalogue.NonIdempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: []catalogue.WeightedService{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 2},
			{Name: "look", Host: fleetHost, Prefix: "/book/look/", Kind: catalogue.Idempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: []catalogue.WeightedService{{Service: fleetPlain, Weight: 1}}, MaxAttempts: 2},
		},
		Services:      []catalogue.Service{{Name: fleetEngines, HealthPath: "/healthz", MaxConnections: 100, Engine: &engine}, {Name: fleetPlain, HealthPath: "/healthz", MaxConnections: 100}},
		Organisations: []catalogue.Organisation{{Name: "one", Keys: []string{fleetKey}}, {Name: "two", Keys: []string{otherKey}}},
		Limits:        catalogue.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
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
	// lines takes what the daemons log, if it is set.
	lines io.Writer
}

var fleetNet struct {
	sync.Mutex
	n int
}

// newFleetRig starts control hosts, entry hosts and servers and publishes the first document.
func newFleetRig(t *testing.T, controls, entries, engines int, opts ...func(f *fleetRig)) *fleetRig {
	t.Helper()
	fleetNet.Lock()
	fleetNet.n++
	subnet := fleetNet.n
	fleetNet.Unlock()
	f := &fleetRig{t: t, port: 21000 + subnet*10, stopped: map[any]bool{}}
	for _, opt := range opts {
		opt(f)
	}
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
		Dialect: f.dialect, ControlAddresses: f.seeds, ReportInterval: 200 * time.Millisecond, EngineService: fleetEngines,
		Engine: *parts.Services[0].Engine, MemberLossTimeout: 700 * time.Millisecond, PlainServiceTime: 10 * time.Millisecond,
	})
	for i := range engines {
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("engine-%d", i), Service: fleetEngines, Engine: true, Slots: 8,
			Address: fmt.Sprintf("127.0.%d.%d:0", subnet, 150+i), DataCentre: "a", FabricDomain: fmt.Sprintf("d%d", i/10)})
	}
	for i := range 2 {
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("plain-%d", i), Service: fleetPlain, Slots: 6,
			Address: fmt.Sprintf("127.0.%d.%d:0", subnet, 140+i), DataCentre: "a"})
	}
	t.Cleanup(f.close)
	f.publish(parts)
	return f
}

func (f *fleetRig) addServer(p standin.ServerConfig) *standin.Server {
	s, err := f.fleet.Add(p)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleetRig) log(name string) zerolog.Logger {
	if f.lines != nil {
		return zerolog.New(f.lines).With().Str("host", name).Logger()
	}
	return zerolog.New(zerolog.NewTestWriter(f.t)).Level(zerolog.WarnLevel).With().Str("host", name).Logger()
}

func (f *fleetRig) settings(role, ip string, first bool) *instance.Settings {
	s := &instance.Settings{
		Role: role, Name: role + "-" + ip, IP: ip, DataCentre: "a", PeerPorts: []int{f.port}, Seeds: f.seeds, FirstStart: first,
		Token: "test", ToleratedDiskLosses: (len(f.seeds) - 1) / 2,
	}
	if role == savorywing.RoleEntry {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("%s:%d", ip, f.port+2), fmt.Sprintf("%s:%d", ip, f.port+3)
	} else {
		s.ControlAddress = fmt.Sprintf("%s:%d", ip, f.port+1)
	}
	s.ReportIntervalMs, s.MemberLossTimeoutMs, s.GraceSeconds = 200, 700, 5
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
func (f *fleetRig) publish(p catalogue.Document) int {
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
	f.dialect.WriteCallerMetadata(&req.Header, savorywing.CallerMetadata{AttemptID: a.number, APIKey: key, Timeout: 8 * time.Second, Model: model, PromptTokens: 500, MaxOutputTokens: 60, LastEventID: -1})
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

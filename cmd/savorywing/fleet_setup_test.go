package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/controller"
	"savorywing.example/savorywing/process/gateway"
	standin "savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
)

const (
	fleetHost          = "fleet.example"
	fleetEngineService = "engines"
	fleetPlainService  = "bookings"
	largeModel         = "large"
	smallModel         = "small"
	fleetKey           = "key-of-one"
	otherKey           = "key-of-two"
	fleetTimeout       = 20 * time.Second
)

// fleetDocument returns the document with which the tests start.
func fleetDocument(version uint64) catalogue.Document {
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
				GapObjective: 300 * time.Millisecond, Services: []catalogue.WeightedService{{Service: fleetEngineService, Weight: 1}}, MaxAttempts: 2, Resumable: true},
			{Name: "book", Host: fleetHost, Prefix: "/book/", Kind: catalogue.NonIdempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: []catalogue.WeightedService{{Service: fleetPlainService, Weight: 1}}, MaxAttempts: 2},
			{Name: "look", Host: fleetHost, Prefix: "/book/look/", Kind: catalogue.Idempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: []catalogue.WeightedService{{Service: fleetPlainService, Weight: 1}}, MaxAttempts: 2},
		},
		Services:      []catalogue.Service{{Name: fleetEngineService, HealthPath: "/healthz", MaxConnections: 100, Engine: &engine}, {Name: fleetPlainService, HealthPath: "/healthz", MaxConnections: 100}},
		Organisations: []catalogue.Organisation{{Name: "one", Keys: []string{fleetKey}}, {Name: "two", Keys: []string{otherKey}}},
		Limits:        catalogue.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// fleetEnv is a test environment with a complete fleet on loopback: control hosts, entry hosts and emulated backend
// servers.
type fleetEnv struct {
	t        *testing.T
	dialect  platform.Dialect
	port     int
	seeds    []string
	controls []*controller.Controller
	entries  []*gateway.Gateway
	// program runs the daemons as processes; they run inside the test if it is empty.
	program                          string
	controlProcesses, entryProcesses []*daemonProcess
	fleet                            *standin.Fleet
	mu                               sync.Mutex
	lastCall                         int
	stopped                          map[any]bool
	// logOutput receives the daemons' log lines if it is not nil.
	logOutput io.Writer
	// retryBurst is the number of requests that may be sent again beyond the retry ratio; 0 for the default.
	retryBurst float64
	// restartTime is how long a server that has crashed takes to start again.
	restartTime time.Duration
	// tokens are the tokens between the daemons.
	tokens peer.Tokens
	// hasPaths makes each entry host dial backend servers, and other daemons, on paths of its own that can be cut.
	hasPaths         bool
	paths, peerPaths []*standin.Path
	// wrapDialer returns the dialer to backend servers of hosts that have paths; nil for the path itself.
	wrapDialer func(path savorywing.Dialer) savorywing.Dialer
	// evacuationMs is the bound on evacuations; 0 for none.
	evacuationMs int64
	// memoryMB and maxDescriptors are what each daemon may use; 0 for the default.
	memoryMB, maxDescriptors int
	// hasMetrics makes all daemons serve metrics at metricsAddress.
	hasMetrics bool
	// dataCentre returns the data centre of an entry host; nil for "a".
	dataCentre func(entry int) string
}

// subnetCounter gives each environment its own loopback subnet.
var subnetCounter struct {
	sync.Mutex
	n int
}

// processOctet returns the second octet of this process's loopback addresses. It differs between test binaries that run at
// the same time, so that one doesn't connect to the other's daemons.
func processOctet() int { return 1 + os.Getpid()%250 }

// newFleetEnv starts control hosts, entry hosts and backend servers and publishes the first document.
func newFleetEnv(t *testing.T, controls, entries, engines int, opts ...func(f *fleetEnv)) *fleetEnv {
	t.Helper()
	subnetCounter.Lock()
	subnetCounter.n++
	subnet := subnetCounter.n
	subnetCounter.Unlock()
	f := &fleetEnv{t: t, port: 21000 + subnet*10, stopped: map[any]bool{}, tokens: peer.Tokens{Sent: "test"}, restartTime: 1500 * time.Millisecond}
	for _, opt := range opts {
		opt(f)
	}
	for i := range controls {
		f.seeds = append(f.seeds, fmt.Sprintf("127.%d.%d.%d:%d", processOctet(), subnet, 10+i, f.port+1))
	}
	if f.program != "" {
		f.startProcesses(subnet, controls, entries)
		controls, entries = 0, 0
	}
	for i := range controls {
		f.controls = append(f.controls, f.startControl(fmt.Sprintf("127.%d.%d.%d", processOctet(), subnet, 10+i), t.TempDir(), true))
	}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(fmt.Sprintf("127.%d.%d.%d", processOctet(), subnet, 100+i)))
	}
	doc := fleetDocument(1)
	f.fleet = standin.New(standin.Config{
		Dialect: f.dialect, ControlAddresses: f.seeds, ReportInterval: 200 * time.Millisecond, EngineService: fleetEngineService,
		Engine: *doc.Services[0].Engine, MemberLossTimeout: 700 * time.Millisecond, PlainServiceTime: 10 * time.Millisecond, RestartTime: f.restartTime,
	})
	for i := range engines {
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("engine-%d", i), Service: fleetEngineService, Engine: true, Slots: 8,
			Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), subnet, 150+i), DataCentre: "a", FabricDomain: fmt.Sprintf("d%d", i/10)})
	}
	for i := range 2 {
		f.addServer(standin.ServerConfig{ID: fmt.Sprintf("plain-%d", i), Service: fleetPlainService, Slots: 6,
			Address: fmt.Sprintf("127.%d.%d.%d:0", processOctet(), subnet, 140+i), DataCentre: "a"})
	}
	t.Cleanup(f.close)
	f.publish(doc)
	return f
}

func (f *fleetEnv) addServer(cfg standin.ServerConfig) *standin.Server {
	s, err := f.fleet.Add(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleetEnv) log(name string) zerolog.Logger {
	if f.logOutput != nil {
		return zerolog.New(f.logOutput).With().Str("host", name).Logger()
	}
	return zerolog.New(zerolog.NewTestWriter(f.t)).Level(zerolog.WarnLevel).With().Str("host", name).Logger()
}

func (f *fleetEnv) settings(role, ip string, first bool) *instance.Settings {
	s := &instance.Settings{
		Role: role, Name: role + "-" + ip, IP: ip, DataCentre: "a", PeerPorts: []int{f.port}, Seeds: f.seeds, FirstStart: first,
		Token: f.tokens.Sent, AcceptedTokens: f.tokens.AlsoAccepted, ToleratedDiskLosses: (len(f.seeds) - 1) / 2,
	}
	if role == savorywing.RoleEntry {
		s.CallerAddress, s.ReadyAddress = fmt.Sprintf("%s:%d", ip, f.port+2), fmt.Sprintf("%s:%d", ip, f.port+3)
	} else {
		s.ControlAddress = fmt.Sprintf("%s:%d", ip, f.port+1)
	}
	s.ReportIntervalMs, s.MemberLossTimeoutMs, s.GraceSeconds = 200, 700, 5
	if f.evacuationMs > 0 {
		// The bound of documents must not hide that of evacuations.
		s.EvacuationMs, s.ConfigPropagationMs = f.evacuationMs, 3*f.evacuationMs
	}
	s.MemoryMB, s.MaxDescriptors = f.memoryMB, f.maxDescriptors
	if f.hasMetrics {
		s.MetricsPort = f.port + 4
	}
	if f.retryBurst > 0 {
		s.RetryBurst = f.retryBurst
	}
	s.Defaults()
	return s
}

func (f *fleetEnv) startEntry(ip string) *gateway.Gateway {
	s := f.settings(savorywing.RoleEntry, ip, true)
	if f.dataCentre != nil {
		s.DataCentre = f.dataCentre(len(f.entries))
	}
	var opts []gateway.Option
	if f.hasPaths {
		path, peerPath := standin.NewPath(), standin.NewPath()
		f.paths, f.peerPaths = append(f.paths, path), append(f.peerPaths, peerPath)
		var dialer savorywing.Dialer = path
		if f.wrapDialer != nil {
			dialer = f.wrapDialer(path)
		}
		opts = append(opts, gateway.WithDialer(dialer), gateway.WithPeerDialer(peerPath))
	}
	g, err := gateway.New(s, f.dialect, f.log(s.Name), opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := g.Start(); err != nil {
		f.t.Fatal(err)
	}
	return g
}

// entryIP returns the IP of an entry host.
func (f *fleetEnv) entryIP(i int) string {
	host, _, _ := net.SplitHostPort(strings.Replace(f.seeds[0], ".10:", fmt.Sprintf(".%d:", 100+i), 1))
	return host
}

func (f *fleetEnv) startControl(ip, dir string, first bool) *controller.Controller {
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

func (f *fleetEnv) close() {
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
		f.t.Errorf("invariant violated: %s", v)
	}
}

func (f *fleetEnv) callControl(address string, write func(h *fasthttp.RequestHeader) []byte) (int, string, error) {
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

// publish sends a document to the control hosts in rotation until one of them accepts or rejects it, and returns the
// HTTP status.
func (f *fleetEnv) publish(doc catalogue.Document) int {
	f.t.Helper()
	deadline := time.Now().Add(fleetTimeout)
	for n := 0; time.Now().Before(deadline); n++ {
		status, _, err := f.callControl(f.seeds[n%len(f.seeds)], func(h *fasthttp.RequestHeader) []byte { return f.dialect.WritePublish(h, doc) })
		if err == nil && status != fasthttp.StatusServiceUnavailable {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("every control host answered 503 or failed, for the whole timeout, when a document was published")
	return 0
}

// readDocument returns the newest document from the first control host that answers with status 200, that is, with a
// quorum.
func (f *fleetEnv) readDocument() string {
	f.t.Helper()
	deadline := time.Now().Add(fleetTimeout)
	for n := 0; time.Now().Before(deadline); n++ {
		status, body, err := f.callControl(f.seeds[n%len(f.seeds)], func(h *fasthttp.RequestHeader) []byte { f.dialect.WriteRead(h); return nil })
		if err == nil && status == fasthttp.StatusOK {
			return body
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no control host answered with status 200 when the document was read")
	return ""
}

// fleetResponse is what a caller received for one request.
type fleetResponse struct {
	retryAfter string
	requestID  string
	status     int
	body       string
	// closes reports whether the response is the last one on its connection.
	closes bool
	err    error
}

// send sends one request to an entry host. Closing disconnect, if it is not nil, closes the caller's connection.
func (f *fleetEnv) send(entry int, path, model, key string, disconnect <-chan struct{}) fleetResponse {
	return f.sendParts(entry, path, model, key, disconnect)
}

// sendParts is send with the shared parts of the request's prompt.
func (f *fleetEnv) sendParts(entry int, path, model, key string, disconnect <-chan struct{}, parts ...savorywing.PromptPart) fleetResponse {
	return f.sendMetadata(entry, path, disconnect, savorywing.CallerMetadata{
		APIKey: key, Timeout: 8 * time.Second, Model: model, PromptTokens: 500, MaxOutputTokens: 60, LastEventID: -1, SharedParts: parts,
	})
}

// sendMetadata is send with the given metadata; the attempt ID is added.
func (f *fleetEnv) sendMetadata(entry int, path string, disconnect <-chan struct{}, m savorywing.CallerMetadata) fleetResponse {
	return f.sendBody(entry, path, disconnect, m, func(req *fasthttp.Request) { req.SetBodyString("what is to be done") })
}

// sendBody is sendMetadata with a function that sets the request's body.
func (f *fleetEnv) sendBody(entry int, path string, disconnect <-chan struct{}, m savorywing.CallerMetadata, setBody func(req *fasthttp.Request)) fleetResponse {
	f.mu.Lock()
	f.lastCall++
	r := fleetResponse{requestID: fmt.Sprintf("call-%d", f.lastCall)}
	f.mu.Unlock()
	m.AttemptID = r.requestID
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	if disconnect != nil {
		go func() {
			<-disconnect
			_ = c.Close()
		}()
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(fleetHost)
	f.dialect.WriteCallerMetadata(&req.Header, m)
	setBody(&req)
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := req.WriteTo(c); err != nil {
		r.err = err
		return r
	}
	var resp fasthttp.Response
	r.err = resp.Read(bufio.NewReader(c))
	r.status, r.body, r.retryAfter = resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	return r
}

// eventually polls until a condition holds, and fails the test after fleetTimeout.
func (f *fleetEnv) eventually(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(fleetTimeout)
	for time.Now().Before(deadline) {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("condition did not hold in time: %s", what)
}

// checkCompleteStream returns an error unless a body holds all events exactly once, in order.
func checkCompleteStream(body string) error {
	next := 0
	for line := range strings.Lines(body) {
		id, found := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !found {
			continue
		}
		if id != fmt.Sprint(next) {
			return fmt.Errorf("got event %s, want event %d", id, next)
		}
		next++
	}
	if next != 12 {
		return fmt.Errorf("got %d events, want 12", next)
	}
	return nil
}

// waitServing waits until every entry host serves streams of both models and calls of the plain service.
func (f *fleetEnv) waitServing() {
	f.t.Helper()
	for entry := range len(f.entries) + len(f.entryProcesses) {
		for _, model := range []string{largeModel, smallModel} {
			f.eventually("a stream of "+model, func() bool {
				r := f.send(entry, "/talk/x", model, fleetKey, nil)
				return r.err == nil && r.status == fasthttp.StatusOK && checkCompleteStream(r.body) == nil
			})
		}
		f.eventually("a booking", func() bool { return f.send(entry, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	}
}

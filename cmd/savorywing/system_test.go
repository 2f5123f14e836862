package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/standin"
)

const (
	envProgram       = "SAVORYWING_TEST_PROGRAM"
	envStandin       = "SAVORYWING_TEST_STANDIN"
	envDescriptors   = "SAVORYWING_TEST_DESCRIPTORS"
	testToken        = "operators-token"
	testKey          = "caller-key"
	testTimeout      = 40 * time.Second
	testPollInterval = 50 * time.Millisecond
)

// TestMain runs the program or a stand-in instead of the tests if the environment says so. Tests start the test
// binary this way to get real processes.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(envProgram) != "":
		limitDescriptors(os.Getenv(envDescriptors))
		main()
		os.Exit(0)
	case os.Getenv(envStandin) != "":
		runStandin(os.Getenv(envStandin))
	}
	os.Exit(m.Run())
}

// limitDescriptors bounds the file descriptors of this process by a number in decimal; nothing if it is empty.
func limitDescriptors(text string) {
	if text == "" {
		return
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err != nil {
		panic(err)
	}
}

// runStandin runs a stand-in with a standin.Config in JSON and does not return.
func runStandin(text string) {
	var cfg standin.Config
	if err := json.Unmarshal([]byte(text), &cfg); err != nil {
		panic(err)
	}
	if _, err := standin.Start(cfg); err != nil {
		panic(err)
	}
	select {}
}

// process is one operating-system process that a test started.
type process struct {
	t    *testing.T
	name string
	// program is the program that runs; the test binary if it is empty.
	program string
	args    []string
	env     string
	cmd     *exec.Cmd
	log     bytes.Buffer
	mu      sync.Mutex
	done    chan struct{}
	address string
}

// Write appends to the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) start() {
	p.t.Helper()
	program := p.program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			p.t.Fatal(err)
		}
	}
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stderr, p.cmd.Stdout = p, p
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// wait waits until the process exits and returns its exit code.
func (p *process) wait() int {
	select {
	case <-p.done:
	case <-time.After(testTimeout):
		p.t.Fatalf("%s did not exit in time; its log:\n%s", p.name, p.logText())
	}
	return p.cmd.ProcessState.ExitCode()
}

// system is the system under test: daemons and stand-ins.
type system struct {
	t         *testing.T
	dir       string
	daemons   []*process
	callers   []string
	operators []string
	peers     []string
	standins  map[string]*process
	// relays forward the connections between daemons; the key holds the index of the connecting daemon and of its peer.
	relays map[[2]int]*relay
}

// Ports from firstPort to lastPort are not used for outgoing connections, which would take one that is free for a moment.
const firstPort, lastPort = 10000, 32000

// freeAddresses returns n loopback addresses (host:port) that were free a moment ago.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort+1)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

const systemSettings = `
dataCentres:
  centre: {region: here}
fabricDomains:
  fabric: {dataCentre: centre, checksFencing: true}
organisations:
  college: {share: 1}
classes:
  desk:
    timeZone: UTC
    windows:
      always: {from: "00:00", to: "24:00", firstToken: 10s, betweenTokens: 1s, wholeAnswer: 30s}
models:
  ledger: {version: "1", span: 2, replicas: 1}
services:
  booking: {prefix: /booking, idempotent: ["GET /booking/*"]}
timing: {election: 500ms, freshness: 4s, confirm: 200ms, lease: 1s, poll: 250ms, longestOrder: 500ms, balancerNotice: 300ms}
planning: {holdDown: 1s, holdDownMax: 2s, domainReturn: 1s}
`

// newSystem starts the given number of daemons. All of them are voters.
func newSystem(t *testing.T, daemons int) *system {
	t.Helper()
	return startSystem(t, daemons, false)
}

// newServingSystem starts three daemons and a group of two engines, and waits until the group serves at each daemon.
func newServingSystem(t *testing.T) *system {
	t.Helper()
	s := newSystem(t, 3)
	s.engine("engine-1", true)
	s.engine("engine-2", true)
	s.waitReady()
	for i := range s.daemons {
		s.waitGroup(i)
	}
	return s
}

// newRelayedSystem starts daemons that connect to one another through relays, so that a test can partition them.
func newRelayedSystem(t *testing.T, daemons int) *system {
	t.Helper()
	return startSystem(t, daemons, true)
}

func startSystem(t *testing.T, daemons int, relayed bool) *system {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	s := &system{t: t, dir: t.TempDir(), standins: map[string]*process{}}
	s.writeSecret("keys", testKey+": {organisation: college, class: desk}\n")
	s.writeSecret("token", testToken)
	s.relays = map[[2]int]*relay{}
	ports := freeAddresses(t, 3*daemons)
	for i := range daemons {
		local := fmt.Sprintf("daemon:\n  host: entry-%d\n  peers: %q\n  callers: %q\n  operators: %q\n  keysFile: %q\n  operatorsFile: %q\n  dataFolder: %q\n",
			i, ports[3*i], ports[3*i+1], ports[3*i+2], s.path("keys"), s.path("token"), s.dataDir(i))
		folder := s.path(fmt.Sprintf("entry-%d", i))
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		for name, text := range map[string]string{"10-all.yaml": systemSettings, "20-hosts.yaml": s.hostsYAML(i, ports, relayed), "30-local.yaml": local} {
			if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p := &process{t: t, name: fmt.Sprintf("entry-%d", i), args: []string{"serve", "--settings", folder}, env: envProgram + "=1"}
		s.daemons = append(s.daemons, p)
		s.callers = append(s.callers, ports[3*i+1])
		s.operators = append(s.operators, ports[3*i+2])
		s.peers = append(s.peers, ports[3*i])
		p.start()
	}
	t.Cleanup(s.stop)
	return s
}

// hostsYAML returns the hosts in the settings of daemon i. If relayed is set, the other daemons' addresses are
// those of relays.
func (s *system) hostsYAML(i int, ports []string, relayed bool) string {
	text := "hosts:\n"
	for j := range len(ports) / 3 {
		address := ports[3*j]
		if relayed && j != i {
			s.relays[[2]int{i, j}] = newRelay(s.t, address)
			address = s.relays[[2]int{i, j}].address()
		}
		text += fmt.Sprintf("  entry-%d: {dataCentre: centre, peers: %q, roles: [entry, control]}\n", j, address)
	}
	return text
}

// setPartitioned blocks every connection between daemon i and the others without closing it, or lets new
// connections through again.
func (s *system) setPartitioned(i int, on bool) {
	for pair, r := range s.relays {
		if pair[0] == i || pair[1] == i {
			r.setBlocked(on)
		}
	}
}

func (s *system) path(name string) string { return filepath.Join(s.dir, name) }

func (s *system) dataDir(i int) string { return s.path(fmt.Sprintf("data-%d", i)) }

func (s *system) writeSecret(name, text string) {
	if err := os.WriteFile(s.path(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) stop() {
	for _, p := range s.standins {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, p := range s.daemons {
		p.signal(syscall.SIGCONT)
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, tail(p.logText()))
		}
	}
}

func tail(text string) string {
	const maxBytes = 3000
	return text[max(0, len(text)-maxBytes):]
}

// standin starts a stand-in process.
func (s *system) standin(cfg standin.Config) *process {
	cfg.Listen = freeAddresses(s.t, 1)[0]
	cfg.DataCentre, cfg.AnnounceInterval, cfg.EntryHosts, cfg.Resumable = "centre", 200*time.Millisecond, s.callers, true
	cfg.Slots = max(cfg.Slots, 16)
	text, err := json.Marshal(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{t: s.t, name: cfg.Host, env: envStandin + "=" + string(text), address: cfg.Listen}
	p.start()
	s.standins[cfg.Host] = p
	return p
}

func (s *system) engine(name string, checksFencing bool) *process {
	return s.standin(standin.Config{
		Host: name, Kind: savorywing.KindEngine, FabricDomain: "fabric", Accelerators: 1, ChecksFencing: checksFencing,
		FirstToken: 10 * time.Millisecond, TokenTime: 5 * time.Millisecond,
	})
}

func (s *system) service(name string, responseTime time.Duration) *process {
	return s.standin(standin.Config{Host: name, Kind: savorywing.KindService, Service: "booking", FirstToken: responseTime})
}

// eventually polls until a condition holds, and fails the test after testTimeout.
func (s *system) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition did not hold in time: %s", what)
		}
		time.Sleep(testPollInterval)
	}
}

func (s *system) operator(i int) *operator.Client {
	return operator.NewClient(s.operators[i], testToken)
}

func (s *system) status(i int) operator.Status {
	var st operator.Status
	_ = s.operator(i).Get(operator.PathStatus, &st)
	return st
}

// leader returns the index of the daemon that holds the leader's lease, or -1.
func (s *system) leader() int {
	for i := range s.daemons {
		if v := s.status(i).Voter; v != nil && v.HasLease {
			return i
		}
	}
	return -1
}

// waitReady waits until every daemon, except the one given in skip, is ready for the load balancer.
func (s *system) waitReady(skip ...int) {
	s.t.Helper()
	for i := range s.daemons {
		if len(skip) > 0 && skip[0] == i {
			continue
		}
		s.eventually(fmt.Sprintf("entry-%d is ready for the balancer", i), func() bool { return s.send(i, "GET", "/readyz", "", "").status == 200 })
	}
}

// servingGroups returns the groups to which daemon i may send requests.
func (s *system) servingGroups(i int) []operator.GroupStatus {
	var all, serving []operator.GroupStatus
	_ = s.operator(i).Get(operator.PathGroups, &all)
	for _, g := range all {
		if g.HasLease {
			serving = append(serving, g)
		}
	}
	return serving
}

func (s *system) waitGroup(i int) operator.GroupStatus {
	s.t.Helper()
	s.eventually("a group serves", func() bool { return len(s.servingGroups(i)) > 0 })
	return s.servingGroups(i)[0]
}

// response is what a caller received for one request.
type response struct {
	status     int
	body       string
	err        error
	retryAfter string
}

func (r response) isNotRun() bool { return strings.Contains(r.body, `"notRun"`) }

// send sends one request to entry host i. A key, if any, goes into the Idempotency-Key header.
func (s *system) send(i int, method, path, key, body string) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.callers[i] + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyString(body)
	c := fasthttp.Client{ReadTimeout: testTimeout, RetryIf: func(*fasthttp.Request) bool { return false }}
	if err := c.Do(req, resp); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: string(resp.Body()), retryAfter: string(resp.Header.Peek("Retry-After"))}
}

func (s *system) sendCompletion(i int) response {
	return s.send(i, "POST", "/v1/completions", "", `{"model":"ledger","prompt":"p","max_tokens":4}`)
}

// stats returns a stand-in's counters.
func (s *system) stats(p *process) standin.Stats {
	var st standin.Stats
	_, body, err := fasthttp.Get(nil, "http://"+p.address+"/stats")
	if err == nil {
		_ = json.Unmarshal(body, &st)
	}
	return st
}

func post(t *testing.T, address, path, body string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod("POST")
	req.SetBodyString(body)
	if err := fasthttp.Do(req, resp); err != nil {
		t.Fatal(err)
	}
}

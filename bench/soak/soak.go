package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/standin/fleet"
	"savorywing.example/savorywing/version/catalogue"
)

// Config configures one run.
type Config struct {
	Binary string
	Dir    string
	Seed   uint64
	// FaultDuration is how long faults are injected. Recovery and the last checks follow.
	FaultDuration time.Duration
	Control       int
	Entry         int
	Engines       int
	Callers       int
	// Subnet is the second byte of the run's loopback addresses, 127.Subnet.*.*. Concurrent runs need different ones.
	Subnet  int
	Dialect savorywing.EmulatorDialect
	// Serve makes the run start Entry daemons by savorywing serve, in front of emulated services, and stop and freeze them; other
	// faults are injected only into daemons of savorywing run.
	Serve bool
}

// Result holds the violations, the counts of requests by outcome, and the injected faults of a run.
type Result struct {
	Violations []string
	Served     int64
	Rejected   int64
	Failed     int64
	// Crossing counts the requests that were sent on connections of hosts during their planned stops, all of which must be
	// answered.
	Crossing int64
	// Cold counts the requests that cold servers received.
	Cold   int
	Faults []string
}

const (
	peerPort          = 17340
	controlPort       = 17341
	callerPort        = 17342
	readyPort         = 17343
	memberLossTimeout = 1500 * time.Millisecond
	reportInterval    = 300 * time.Millisecond
	revokeMs          = 3000
	gracePeriod       = 6 * time.Second
	// recoveryTimeout is how long the system may take to serve everything after the first start and after the last fault.
	recoveryTimeout = 30 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults; faults can overlap.
	meanFaultInterval = 900 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	retryInterval     = 100 * time.Millisecond
)

// run is a soak in progress.
type run struct {
	cfg       Config
	protocol  protocol
	random    *rand.Rand
	processes []*process
	relays    []*relay
	fleet     *fleet.Fleet
	// services are the emulated services behind daemons of savorywing serve.
	services []*standin.Server
	// shared are the settings that all daemons have.
	shared string
	start  time.Time
	// faultsUntil is until when faults and planned stops begin.
	faultsUntil time.Time
	repairs     sync.WaitGroup
	stop        chan struct{}

	mu         sync.Mutex
	violations []string
	faults     []string
	servers    []*fleet.Server
	// coldServers are those that startCold has started, behind coldRelays.
	coldServers []*fleet.Server
	coldRelays  []*relay
	// cold counts the requests that cold servers received.
	cold int
	// returning is the only server of its service, which restarts in place again and again.
	returning *fleet.Server
	// replaced is the number of the control host that the added one, with the next number, has replaced; -1 for none. spare is the process of the
	// added one while it has replaced none.
	replaced int
	spare    *process
	// disturbed holds when links to servers were faulty, by the server's address.
	disturbed map[string][]span
	// controlsDown counts the control processes with a fault that is not repaired yet.
	controlsDown                  int
	acked                         atomic.Uint64
	lastRequestID                 atomic.Uint64
	nextServer                    int
	served, rejected, failedCalls atomic.Int64
	crossing                      atomic.Int64
}

// Run runs the soak with one seed. It returns an error if the daemons or the fleet can't be started.
func Run(cfg Config) (Result, error) {
	r := &run{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), stop: make(chan struct{}), start: time.Now(), disturbed: map[string][]span{}, replaced: -1}
	defer r.close()
	assemble := r.assemble
	r.protocol = fleetProtocol{r}
	if cfg.Serve {
		assemble = r.assembleServe
	}
	if err := assemble(); err != nil {
		return Result{}, fmt.Errorf("soak.Run: %w", err)
	}
	if !r.servesAll(recoveryTimeout) {
		r.recordViolation("not everything is served %v after the first start", recoveryTimeout)
		return r.result(), nil
	}
	var work sync.WaitGroup
	for i := range cfg.Callers {
		work.Add(1)
		go func() {
			defer work.Done()
			r.runCaller(i)
		}()
	}
	if !cfg.Serve {
		work.Go(r.runOperator)
	}
	r.faultsUntil = time.Now().Add(cfg.FaultDuration)
	var stops sync.WaitGroup
	if !cfg.Serve {
		stops.Go(r.runEvacuations)
	}
	stops.Go(r.runPlannedStops)
	if !cfg.Serve {
		stops.Go(r.startCold)
		stops.Go(r.runReturns)
		stops.Go(r.disturbMembers)
	}
	r.injectFaults()
	stops.Wait()
	r.repairs.Wait()
	ok := r.servesAll(recoveryTimeout)
	close(r.stop)
	work.Wait()
	if !ok {
		r.recordViolation("not everything is served %v after the last fault", recoveryTimeout)
	}
	if !cfg.Serve {
		r.checkRead("at the end")
		r.checkCold()
	}
	return r.result(), nil
}

func (r *run) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := r.violations
	if r.fleet != nil {
		violations = append(r.fleet.Violations(), violations...)
	}
	return Result{
		Violations: violations, Faults: r.faults,
		Served: r.served.Load(), Rejected: r.rejected.Load(), Failed: r.failedCalls.Load(), Crossing: r.crossing.Load(), Cold: r.cold,
	}
}

func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%.1f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) recordFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%.1f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) ip(block, i int) string { return fmt.Sprintf("127.%d.%d.%d", r.cfg.Subnet, block, 10+i) }

// controlAddress returns the control address of the host that was started as number i, or of the one that has replaced it.
func (r *run) controlAddress(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i == r.replaced {
		i = r.cfg.Control
	}
	return net.JoinHostPort(r.ip(0, i), fmt.Sprint(controlPort))
}

func (r *run) entryAddress(i int) string { return net.JoinHostPort(r.ip(1, i), fmt.Sprint(callerPort)) }

func (r *run) assemble() error {
	var seeds []string
	for i := range min(3, r.cfg.Control) {
		seeds = append(seeds, r.controlAddress(i))
	}
	shared := fmt.Sprintf("dataCentre: a\nregions: {a: here, b: here}\npeerPorts: [%d]\nseeds: [%s]\ntoken: soak\nlostDisks: %d\nmemoryMB: 256\n"+
		"limits: {reportEveryMs: %d, stallMs: %d, revokeMs: %d, evacuateMs: %d, graceSeconds: %g, coldOverage: %g, coldSlack: %g}\n",
		peerPort, strings.Join(seeds, ", "), r.maxLost(), reportInterval.Milliseconds(), memberLossTimeout.Milliseconds(), revokeMs, evacuationBound.Milliseconds(), gracePeriod.Seconds(),
		coldOverage, coldSlack)
	r.shared = shared
	for i := range r.cfg.Control {
		r.processes = append(r.processes, r.controlProcess(i))
	}
	for i := range r.cfg.Entry {
		r.processes = append(r.processes, &process{name: fmt.Sprintf("entry-%d", i), binary: r.cfg.Binary, dir: filepath.Join(r.cfg.Dir, fmt.Sprintf("entry-%d", i)),
			settings: fmt.Sprintf("role: entry\nname: entry-%d\nip: %s\ncallerAddress: %s\nreadyAddress: %s:%d\n%s",
				i, r.ip(1, i), r.entryAddress(i), r.ip(1, i), readyPort, shared)})
	}
	for _, p := range r.processes {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return r.assembleFleet()
}

// controlProcess returns the process of a control host, which isn't started.
func (r *run) controlProcess(n int) *process {
	name := fmt.Sprintf("control-%d", n)
	dir := filepath.Join(r.cfg.Dir, name)
	return &process{name: name, binary: r.cfg.Binary, dir: dir, control: true,
		settings: fmt.Sprintf("role: control\nname: %s\nip: %s\ncontrolAddress: %s\ndataDir: %s\n%s",
			name, r.ip(0, n), net.JoinHostPort(r.ip(0, n), fmt.Sprint(controlPort)), filepath.Join(dir, "data"), r.shared)}
}

func (r *run) assembleFleet() error {
	doc := document(1)
	var control []string
	for i := range r.cfg.Control {
		control = append(control, r.controlAddress(i))
	}
	r.fleet = fleet.New(fleet.Config{
		Dialect: r.cfg.Dialect, ControlAddresses: control, ReportInterval: reportInterval, EngineService: engineService,
		Engine: *doc.Services[0].Engine, MemberLossTimeout: memberLossTimeout, PlainServiceTime: 5 * time.Millisecond,
	})
	for i := range r.cfg.Engines {
		if err := r.addServer(engineService, fmt.Sprintf("d%d", i/10), 0); err != nil {
			return err
		}
	}
	for range 3 {
		if err := r.addServer(plainService, "", 0); err != nil {
			return err
		}
	}
	if err := r.startReturning(); err != nil {
		return err
	}
	if !r.publish(doc, recoveryTimeout) {
		return fmt.Errorf("no control host accepted the first document within %v", recoveryTimeout)
	}
	return nil
}

// addServer starts an emulated server behind its own relay, which is cold for a time. The server advertises the relay's address.
func (r *run) addServer(service, domain string, coldFor time.Duration) error {
	r.mu.Lock()
	n := r.nextServer
	r.nextServer++
	r.mu.Unlock()
	ip := fmt.Sprintf("127.%d.%d.%d", r.cfg.Subnet, 2+n/200, 10+n%200)
	relayed := net.JoinHostPort(ip, "18000")
	s, err := r.fleet.Add(fleet.ServerConfig{ID: fmt.Sprintf("s-%03d", n), Service: service, Address: ip + ":0", Advertised: relayed,
		DataCentre: dataCentreOf(domain, n), FabricDomain: domain, Slots: 8, Engine: service == engineService, ColdFor: coldFor})
	if err != nil {
		return err
	}
	rel, err := newRelay(relayed, s.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if service == plainService && coldFor > 0 {
		// Seeds keep their sequence of draws from the other servers.
		r.coldServers, r.coldRelays = append(r.coldServers, s), append(r.coldRelays, rel)
		return nil
	}
	r.servers = append(r.servers, s)
	r.relays = append(r.relays, rel)
	return nil
}

func (r *run) close() {
	processes := r.processes
	if r.spare != nil {
		processes = append(processes, r.spare)
	}
	for _, p := range processes {
		if p.cmd != nil && p.running() {
			p.end(syscall.SIGKILL, time.Second)
		}
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	for _, s := range r.services {
		// The run is over, and its process ends soon.
		_ = s.Stop()
	}
	for _, rel := range append(r.relays, r.coldRelays...) {
		rel.close()
	}
}

// servesAll reports whether every entry host serves both models and the plain service within the given time.
func (r *run) servesAll(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for i := range r.cfg.Entry {
		for _, call := range r.protocol.calls() {
			for !r.send(i, call).ok {
				if time.Now().After(deadline) {
					return false
				}
				time.Sleep(retryInterval)
			}
		}
	}
	return true
}

const (
	engineService = "engines"
	plainService  = "bookings"
	// returningService has one server.
	returningService = "returns"
	largeModel       = "large"
	smallModel       = "small"
	callerHost       = "soak.example"
	apiKey           = "soak-key"
)

func document(version uint64) catalogue.Document {
	engine := catalogue.Engine{
		Slots: 8, KVTokens: 1 << 20, StepsPerPass: 5, StepTime: 3 * time.Millisecond, PrefillRate: 50000, PrefillChunk: 2048,
		LoadsPerSecond: 20, MaxConcurrentLoads: 10, MaxStagedModels: 1, OpenTime: 50 * time.Millisecond,
		Models: []catalogue.Model{
			{Name: largeModel, HostsPerGroup: 4, InitialShare: 0.5, TimeFactor: 1, ColdLoadTime: time.Second, WarmLoadTime: 100 * time.Millisecond},
			{Name: smallModel, HostsPerGroup: 2, InitialShare: 0.5, TimeFactor: 0.6, ColdLoadTime: 700 * time.Millisecond, WarmLoadTime: 80 * time.Millisecond},
		},
	}
	weighted := func(service string) []catalogue.WeightedService {
		return []catalogue.WeightedService{{Service: service, Weight: 1}}
	}
	return catalogue.Document{
		Version: version,
		Routes: []catalogue.Route{
			{Name: "talk", Host: callerHost, Prefix: "/talk/", Kind: catalogue.Streaming, Resumable: true, Timeout: 6 * time.Second,
				Objective: 500 * time.Millisecond, GapObjective: 300 * time.Millisecond, Services: weighted(engineService), MaxAttempts: 2},
			{Name: "book", Host: callerHost, Prefix: "/book/", Kind: catalogue.NonIdempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: weighted(plainService), MaxAttempts: 2},
			{Name: "return", Host: callerHost, Prefix: "/return/", Kind: catalogue.NonIdempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
				Services: weighted(returningService), MaxAttempts: 2},
		},
		Services:      []catalogue.Service{{Name: engineService, HealthPath: "/h", ColdTime: coldTime, ColdPerSecond: coldPerSecond, Engine: &engine}, {Name: plainService, HealthPath: "/h", ColdTime: coldTime, ColdPerSecond: coldPerSecond}, {Name: returningService, HealthPath: "/h"}},
		Organisations: []catalogue.Organisation{{Name: "one", Keys: []string{apiKey}}},
		Limits:        catalogue.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second},
	}
}

package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/descriptors"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/quarantine"
	"savorywing.example/savorywing/process/reach"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/process/telemetry"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
)

const (
	poolSize = 64
	// fallbackHeaderBytes and fallbackBodyBytes apply until the first document arrives.
	fallbackHeaderBytes = 16 << 10
	fallbackBodyBytes   = 4 << 20
	// fallbackIdleTimeout and fallbackHeaderTimeout apply until the first document arrives.
	fallbackIdleTimeout   = 15 * time.Second
	fallbackHeaderTimeout = 3 * time.Second
)

// Gateway is one entry host.
type Gateway struct {
	// current is replaced on reload and never modified.
	current atomic.Pointer[instance.Settings]
	clock   savorywing.Clock
	log     zerolog.Logger
	dialect savorywing.Dialect
	pool    *ants.Pool
	mesh    *peer.Mesh
	server  *ingress.Server
	// memory is that of the callers' connections, and checks that of the readiness checks.
	memory, checks *ingress.Memory
	engines        *engine.Client
	subscription   *fleetSubscription
	catalogue      atomic.Pointer[catalogue.Catalogue]
	// evacuated holds the evacuated data centres; nil before the first order.
	evacuated atomic.Pointer[evacuation.Set]
	stopping  atomic.Bool
	// heardAt is when bytes of any server last arrived, in Unix nanoseconds on the gateway's clock.
	heardAt atomic.Int64

	// mu guards the state on which requests are placed: balancer, observer, budgets, demand, waitEstimator,
	// reach, answers, doubt, peers and intake.
	mu       sync.Mutex
	observer *quarantine.Observer
	balancer *placement.Balancer
	budgets  map[string]*retry.Window
	demand   map[string]*demand
	// waitEstimator estimates how long retrying callers have waited before.
	waitEstimator *placement.WaitEstimator
	reach         reach.Tracker
	answers       reach.Answers
	// doubt is closed once the first round of a series has shown whether the paths are lost; nil at all other times.
	doubt chan struct{}
	// peers are the entry hosts that take requests of this one, and intake admits those of others.
	peers  *forwarding.Peers
	intake *forwarding.Intake

	forwardClient *forward.Client
	peerDialer    savorywing.Dialer

	telemetry *telemetry.Telemetry
	// servedLines and problemLines limit the log lines about requests that were served, and about all others.
	servedLines, problemLines sampler
	// invalidValues limits the log lines about each server that states invalid values.
	invalidValues *logging.Repeats
	ctx           context.Context
	cancel        context.CancelFunc
	// expiring is cancelled when the requests of other hosts must end.
	expiring        context.Context
	expireForwarded context.CancelCauseFunc
	done            sync.WaitGroup
}

// demand is the work requested of a model since the start; both counters only increase.
type demand struct{ requests, workMs uint64 }

// Option changes an entry host.
type Option func(g *Gateway)

// WithDialer makes an entry host open its connections to backend servers with d.
func WithDialer(d savorywing.Dialer) Option {
	return func(g *Gateway) {
		g.engines = engine.New(g.clock, g.dialect, engine.WithDialer(d), engine.WithRefused(g.recordRefused))
	}
}

// WithPeerDialer makes an entry host open its connections to other daemons with d.
func WithPeerDialer(d savorywing.Dialer) Option { return func(g *Gateway) { g.peerDialer = d } }

// New assembles an entry host that Start runs.
func New(s *instance.Settings, dialect savorywing.Dialect, log zerolog.Logger, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		clock: clock.Boottime{}, log: log, dialect: dialect, budgets: map[string]*retry.Window{}, demand: map[string]*demand{}, waitEstimator: placement.NewWaitEstimator(),
		observer: quarantine.NewObserver(),
		balancer: placement.New(placement.Config{DataCentre: s.DataCentre, Seed: uint64(time.Now().UnixNano())}),
	}
	g.current.Store(s)
	descriptorBudget := descriptors.ForEntry(s.MaxDescriptors, budget.EntryConns(s.MemoryMB<<20))
	g.peers = forwarding.NewPeers(s.DataCentre, uint64(time.Now().UnixNano()))
	g.intake = forwarding.NewIntake(forwarding.Capacity{
		MemoryBytes: s.MemoryMB << 20, Descriptors: descriptorBudget.Forwards, CPUShare: s.CPUShare, LinkMbps: s.LinkMbps,
	})
	g.invalidValues = logging.NewRepeats(g.clock)
	g.servedLines, g.problemLines = sampler{limit: maxServedLinesPerSecond}, sampler{limit: maxProblemLinesPerSecond}
	g.telemetry = telemetry.New(g.clock, log, telemetry.WithMaxConns(descriptorBudget.MaxScrapes))
	g.telemetry.Gauge("busy", func() float64 { return float64(g.server.InFlight()) })
	g.telemetry.Gauge("engine_connections_opened", func() float64 { return float64(g.engines.ConnectionsOpened()) })
	g.telemetry.Gauge("document_age_seconds", func() float64 { return g.subscription.confirmationAge().Seconds() })
	g.telemetry.Gauge("evacuated_data_centres", func() float64 { return float64(len(g.evacuated.Load().Names())) })
	g.telemetry.Gauge("path_state", func() float64 { return float64(g.pathState()) })
	g.telemetry.Gauge("forwarded_in_flight", func() float64 { return float64(g.forwardedInFlight()) })
	g.telemetry.Gauge("pending_closed", func() float64 { return float64(g.mesh.PendingClosed()) })
	g.telemetry.Gauge("checks_turned_away", func() float64 { return float64(g.checks.Usage().TurnedAway) })
	g.telemetry.Handle(operator.PathWhere, g.handleWhere)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.expiring, g.expireForwarded = context.WithCancelCause(context.Background())
	limits := budget.EntryLimits(s.MemoryMB<<20, descriptorBudget.MaxCalls)
	g.engines = engine.New(g.clock, dialect, engine.WithBuffers(limits.Buffer), engine.WithMaxIdle(descriptorBudget.MaxIdle), engine.WithRefused(g.recordRefused))
	for _, opt := range opts {
		opt(g)
	}
	g.subscription = newFleetSubscription(g)
	g.memory = ingress.NewMemory(g.clock, limits)
	g.checks = ingress.NewMemory(g.clock, budget.CheckLimits(descriptorBudget.MaxChecks))
	g.telemetry.WatchMemory(g.memory)
	g.server = ingress.New(g.clock, g, g.limits, log, ingress.WithMemory(g.memory))
	var err error
	if g.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return nil, fmt.Errorf("gateway.New: %w", err)
	}
	g.mesh, err = peer.NewMesh(peer.Config{
		Host: s.PeerAddress(), Listen: s.PeerAddress(), MaxPending: descriptorBudget.MaxPending, Forward: g.serveForwarded, Dialer: g.peerDialer, BootID: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre, Tokens: peer.Tokens{Sent: s.Token, AlsoAccepted: s.AcceptedTokens},
	}, g.subscription, g.pool, log)
	if err != nil {
		return nil, fmt.Errorf("gateway.New: %w", err)
	}
	g.forwardClient = forward.NewClient(g.clock, g.mesh.DialForward)
	return g, nil
}

func (g *Gateway) settings() *instance.Settings { return g.current.Load() }

// Reload applies the settings that may change while the daemon runs: seeds, tokens and limits. All others need a restart.
func (g *Gateway) Reload(s *instance.Settings) {
	g.mesh.SetTokens(peer.Tokens{Sent: s.Token, AlsoAccepted: s.AcceptedTokens})
	g.current.Store(s)
	for _, address := range s.SeedPeerAddresses() {
		g.mesh.AddHost(address, address)
	}
}

func (g *Gateway) limits() ingress.Limits {
	c := g.catalogue.Load()
	if c == nil {
		return ingress.Limits{MaxHeaderBytes: fallbackHeaderBytes, MaxBodyBytes: fallbackBodyBytes, HeaderTimeout: fallbackHeaderTimeout, IdleTimeout: fallbackIdleTimeout}
	}
	l := c.Limits()
	return ingress.Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Start opens the listeners and begins to follow the leader.
func (g *Gateway) Start() error {
	for _, address := range g.settings().SeedPeerAddresses() {
		g.mesh.AddHost(address, address)
	}
	g.mesh.Start()
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		g.subscription.run(g.ctx)
	}()
	if s := g.settings(); s.MetricsPort > 0 {
		// Serving callers is more important than metrics, so this error is not fatal.
		if err := g.telemetry.Start(s.MetricsAddress()); err != nil {
			g.log.Warn().Str("event", "metricsUnavailable").Err(err).Msg("metrics can't be served")
		}
	}
	if err := g.server.Start(g.settings().CallerAddress); err != nil {
		return fmt.Errorf("Gateway.Start: %w", err)
	}
	if err := g.server.StartHandler(g.settings().ReadyAddress, readiness{g}, g.checks); err != nil {
		return fmt.Errorf("Gateway.Start: %w", err)
	}
	g.log.Info().Str("event", "started").Str("callers", g.settings().CallerAddress).Msg("the entry host started")
	return nil
}

const (
	// listenAfterStop is how long new connections are still accepted after the stop signal: the load balancer
	// stops sending connections after two failed checks, a second apart.
	listenAfterStop = 2600 * time.Millisecond
	// stopMargin is the part of the grace time that is reserved for the end of the process.
	stopMargin       = 600 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// Stop ends the entry host without truncating responses: it reports not ready, accepts connections until the load
// balancer sends none, and ends when all responses are complete or the grace time is over. Requests that are left then are
// cancelled and answered.
func (g *Gateway) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings().Grace()-stopMargin)
	defer cancel()
	g.log.Info().Str("event", "stopping").Int("busy", g.server.InFlight()+g.forwardedInFlight()).Msg("the entry host is stopping")
	g.stopping.Store(true)
	g.subscription.wakeUp()
	g.server.Drain()
	time.Sleep(min(listenAfterStop, g.settings().Grace()-stopMargin))
	var forwarded, received int
	var done sync.WaitGroup
	done.Go(func() { forwarded = g.endForwardedRequests(ctx) })
	received = g.server.Shutdown(ctx)
	done.Wait()
	g.Kill()
	g.log.Info().Str("event", "stopped").Int("cutOff", received+forwarded).Int("afterClose", g.server.ReceivedAfterClose()).Msg("the entry host stopped")
}

// endForwardedRequests waits for the requests of other hosts. When ctx ends, it cancels those that are left and returns their
// number.
func (g *Gateway) endForwardedRequests(ctx context.Context) int {
	g.awaitForwarded(ctx)
	left := g.forwardedInFlight()
	if left > 0 {
		g.expireForwarded(ingress.ErrStopping)
		ctx, cancel := context.WithTimeout(context.Background(), ingress.ExpireTime)
		defer cancel()
		g.awaitForwarded(ctx)
	}
	return left
}

// awaitForwarded waits until no request of another host is served, or ctx ends.
func (g *Gateway) awaitForwarded(ctx context.Context) {
	for g.forwardedInFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
}

// Kill ends the entry host at once.
func (g *Gateway) Kill() {
	g.cancel()
	g.server.Close()
	g.telemetry.Stop()
	g.forwardClient.CloseIdle()
	g.mesh.Stop()
	g.done.Wait()
	g.pool.Release()
}

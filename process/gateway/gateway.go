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
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/process/retry"
	"savorywing.example/savorywing/process/telemetry"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
)

const (
	poolSize = 64
	// fallbackHeader and fallbackBody hold until the first document is there, in bytes.
	fallbackHeader = 16 << 10
	fallbackBody   = 4 << 20
	// fallbackIdle and fallbackHead hold until the first document is there.
	fallbackIdle = 15 * time.Second
	fallbackHead = 3 * time.Second
)

// Gateway is one entry host.
type Gateway struct {
	// current is replaced as a whole on reload.
	current  atomic.Pointer[instance.Settings]
	clock    savorywing.Clock
	log      zerolog.Logger
	dialect  savorywing.Dialect
	pool     *ants.Pool
	mesh     *peer.Mesh
	server   *ingress.Server
	engines  *engine.Client
	view     *view
	catalog  atomic.Pointer[catalogue.Catalogue]
	stopping atomic.Bool

	// mu guards what requests decide on.
	mu      sync.Mutex
	ledger  *placement.Balancer
	budgets map[string]*retry.Window
	demand  map[string]*demand
	// patience knows callers that come back.
	patience *placement.WaitEstimator

	telemetry *telemetry.Telemetry
	// healthy and troubled bound the log lines of requests that were served, and of all others.
	healthy, troubled sampler
	ctx               context.Context
	cancel            context.CancelFunc
	done              sync.WaitGroup
}

// demand is the work asked of a model since the start; it only grows.
type demand struct{ requests, workMs uint64 }

// New assembles an entry host that Start runs.
func New(s *instance.Settings, dialect savorywing.Dialect, log zerolog.Logger) (*Gateway, error) {
	g := &Gateway{
		clock: clock.Boottime{}, log: log, dialect: dialect, budgets: map[string]*retry.Window{}, demand: map[string]*demand{}, patience: placement.NewWaitEstimator(),
		ledger: placement.New(placement.Config{DataCentre: s.DataCentre, Seed: uint64(time.Now().UnixNano())}),
	}
	g.current.Store(s)
	g.healthy, g.troubled = sampler{limit: healthyLines}, sampler{limit: troubledLines}
	g.telemetry = telemetry.New(log)
	g.telemetry.Gauge("busy", func() float64 { return float64(g.server.InFlight()) })
	g.telemetry.Gauge("engine_connections_opened", func() float64 { return float64(g.engines.ConnectionsOpened()) })
	g.telemetry.Gauge("document_age_seconds", func() float64 { return g.view.age().Seconds() })
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.engines = engine.New(g.clock, dialect)
	g.view = newView(g)
	g.server = ingress.New(g.clock, g, g.limits, log)
	var err error
	if g.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return nil, fmt.Errorf("gateway.New: %w", err)
	}
	g.mesh, err = peer.NewMesh(peer.Config{
		Host: s.PeerAddress(), Boot: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre, Token: s.Token,
	}, g.view, g.pool, log)
	if err != nil {
		return nil, fmt.Errorf("gateway.New: %w", err)
	}
	return g, nil
}

func (g *Gateway) settings() *instance.Settings { return g.current.Load() }

// Reload takes over what may change while the daemon runs: seeds and limits. The rest waits for a restart.
func (g *Gateway) Reload(s *instance.Settings) {
	g.current.Store(s)
	for _, address := range s.SeedPeerAddresses() {
		g.mesh.AddHost(address, address)
	}
}

func (g *Gateway) limits() ingress.Limits {
	c := g.catalog.Load()
	if c == nil {
		return ingress.Limits{MaxHeaderBytes: fallbackHeader, MaxBodyBytes: fallbackBody, HeaderTimeout: fallbackHead, IdleTimeout: fallbackIdle}
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
		g.view.run(g.ctx)
	}()
	if s := g.settings(); s.MetricsPort > 0 {
		// Serving callers goes before being measured.
		if err := g.telemetry.Start(s.MetricsAddress()); err != nil {
			g.log.Warn().Str("event", "metricsUnavailable").Err(err).Msg("")
		}
	}
	for _, address := range []string{g.settings().CallerAddress, g.settings().ReadyAddress} {
		if err := g.server.Start(address); err != nil {
			return fmt.Errorf("Gateway.Start: %w", err)
		}
	}
	g.log.Info().Str("event", "started").Str("callers", g.settings().CallerAddress).Msg("")
	return nil
}

const (
	// listenTime is how long new connections are still taken after a stop's signal: the balancer needs two
	// missed checks, a second apart, to send none.
	listenTime = 2600 * time.Millisecond
	// stopMargin is left of the grace time for the end of the process.
	stopMargin = 600 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Stop ends the entry host without cutting off a request: it is no longer ready, takes connections until the
// balancer sends none, and ends when all answers are out or the grace time is over.
func (g *Gateway) Stop() {
	began := g.clock.Now()
	g.log.Info().Str("event", "stopping").Int("busy", g.server.InFlight()).Msg("")
	g.stopping.Store(true)
	g.server.Drain()
	time.Sleep(listenTime)
	g.server.CloseIdle()
	for g.server.InFlight() > 0 && g.clock.Now().Sub(began) < g.settings().Grace()-stopMargin {
		time.Sleep(stopPoll)
	}
	left := g.server.InFlight()
	g.Kill()
	g.log.Info().Str("event", "stopped").Int("cutOff", left).Msg("")
}

// Kill ends the entry host at once.
func (g *Gateway) Kill() {
	g.cancel()
	g.server.Close()
	g.telemetry.Stop()
	g.mesh.Stop()
	g.done.Wait()
	g.pool.Release()
}

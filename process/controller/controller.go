package controller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/formation"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/telemetry"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

const (
	eventRing = 8192
	batchSize = 512
	poolSize  = 512
	// election is how long a leader may be silent; a sync of a slow disk is shorter.
	election = 500 * time.Millisecond
	// stepEvery is how often the leader looks at groups without a report.
	stepEvery = 100 * time.Millisecond
	// firstIncarnation is the identity of the disks of a first start.
	firstIncarnation = "first"
)

// Dialect is what a controller needs of the platform it runs on.
type Dialect interface {
	savorywing.Dialect
	savorywing.ControlDialect
}

// Controller is one control host.
type Controller struct {
	settings  *instance.Settings
	clock     savorywing.Clock
	log       zerolog.Logger
	dialect   Dialect
	pool      *ants.Pool
	mesh      *peer.Mesh
	node      *quorum.Node
	api       *controlapi.Server
	engines   *engine.Client
	events    *queue.Queue[event]
	telemetry *telemetry.Telemetry
	// document is the newest accepted document that this host has decoded.
	document atomic.Pointer[decoded]
	// leaderControl is where the leader takes reports; empty while it is not known.
	leaderControl atomic.Pointer[string]

	// The rest belongs to the thread of run.
	table      *fleet.Table
	reconciler *formation.Reconciler
	entries    map[string]*entryState
	presence   map[string]present
	forward    []wire.Report
	flushAt    time.Time
	// endpoints is what entry hosts were told last, with the revision at which each part changed.
	endpoints endpointLog
	// pushed is the table's revision that the endpoints were made of last.
	pushed uint64
	// summed is what all entry hosts had in flight at summedAt, and summedEntries how many were heard then.
	summed        []wire.EndpointLoad
	summedEntries int
	summedAt      time.Time
	leading       bool
	term          uint64
	// requested tells that an entry host has told of a request since this process was started.
	requested bool
	// measuredSince is when this leader was first told of callers' work.
	measuredSince time.Time
	// lastLeader is the leader's identity as last seen.
	lastLeader  string
	nextStep    time.Time
	nextSummary time.Time

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// decoded is a document with its catalogue.
type decoded struct {
	version   uint64
	packed    []byte
	catalogue *catalogue.Catalogue
}

// present is what another control host told last.
type present struct {
	presence wire.Presence
	heard    time.Time
}

// New assembles a control host that Start runs.
func New(s *instance.Settings, dialect Dialect, log zerolog.Logger) (*Controller, error) {
	c := &Controller{
		settings: s, clock: clock.Boottime{}, log: log, dialect: dialect, events: queue.New[event](eventRing),
		table: fleet.NewTable(), entries: map[string]*entryState{}, presence: map[string]present{},
		reconciler: formation.New(reconcilerConfig(s)),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.engines = engine.New(c.clock, dialect)
	if err := c.assemble(); err != nil {
		c.cancel()
		return nil, fmt.Errorf("controller.New: %w", err)
	}
	return c, nil
}

const (
	// Two reports missed, or one where the group has stopped moving as well, and a little for the way.
	silenceMargin = 200 * time.Millisecond
	doubtMargin   = 100 * time.Millisecond
	// leastSilence and leastDoubt are above the pauses of a busy machine, however often reports come.
	leastSilence = 1500 * time.Millisecond
	leastDoubt   = 800 * time.Millisecond
	// lateReport is how late a report may come.
	lateReport = 3 * time.Second
	// takeOverMargin is for the way of the last report.
	takeOverMargin = 300 * time.Millisecond
	// silentReports is the number of reports after which a server is marked for the entry hosts.
	silentReports = 2.5
)

// reconcilerConfig derives the times that groups wait for from the settings.
func reconcilerConfig(s *instance.Settings) formation.Config {
	report := instance.Milliseconds(s.ReportIntervalMs)
	return formation.Config{
		ReportTimeout: max(leastSilence, 2*report+silenceMargin), SuspectTimeout: max(leastDoubt, report+doubtMargin),
		StallTimeout: instance.Milliseconds(s.MemberLossTimeoutMs) + stallMargin, TakeoverDelay: lateReport + report + takeOverMargin,
	}
}

// silentAfter returns how long a server may send no report before the entry hosts are told.
func (c *Controller) silentAfter() time.Duration {
	return max(leastSilence, time.Duration(silentReports*float64(instance.Milliseconds(c.settings.ReportIntervalMs))))
}

// stallMargin is for clocks of different speed; the time counts from a report that came after the event.
const stallMargin = 400 * time.Millisecond

func (c *Controller) assemble() error {
	var err error
	if c.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return err
	}
	self := c.settings.PeerAddress()
	c.mesh, err = peer.NewMesh(peer.Config{
		Host: self, Boot: uint64(time.Now().UnixNano()), DataCentre: c.settings.DataCentre, Listen: self, Token: c.settings.Token,
	}, &frames{controller: c}, c.pool, c.log)
	if err != nil {
		return err
	}
	var opts []disk.FolderOption
	if c.settings.FirstStart {
		opts = append(opts, disk.WithIncarnation(firstIncarnation))
	}
	folder, err := disk.Open(c.settings.DataDir, self, opts...)
	if err != nil {
		return err
	}
	if c.node, err = quorum.NewNode(folder, c.clock, quorum.HostTransport(c.mesh.Send), election, c.log); err != nil {
		return err
	}
	if n := folder.TornBytes(); n > 0 {
		c.log.Warn().Str("event", "logTorn").Int("bytes", n).Msg("")
	}
	c.api = controlapi.New(c.dialect, c, c.log)
	c.telemetry = telemetry.New(c.log)
	c.telemetry.Gauge("leading", func() float64 {
		if c.node.HasLease() {
			return 1
		}
		return 0
	})
	c.telemetry.Gauge("log_commit_index", func() float64 { return float64(c.node.Status().CommitIndex) })
	return nil
}

// Start runs the control host's duties.
func (c *Controller) Start() error {
	c.node.Start()
	if err := c.bootstrap(); err != nil {
		return fmt.Errorf("Controller.Start: %w", err)
	}
	for _, address := range c.settings.SeedPeerAddresses() {
		c.mesh.AddHost(address, address)
	}
	c.ensureMembers()
	c.mesh.Start()
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		c.run()
	}()
	if s := c.settings; s.MetricsPort > 0 {
		if err := c.telemetry.Start(s.MetricsAddress()); err != nil {
			c.log.Warn().Str("event", "metricsUnavailable").Err(err).Msg("")
		}
	}
	if err := c.api.Start(c.settings.ControlAddress); err != nil {
		return fmt.Errorf("Controller.Start: %w", err)
	}
	c.log.Info().Str("event", "started").Str("peer", c.settings.PeerAddress()).Bool("firstStart", c.settings.FirstStart).Msg("")
	return nil
}

// bootstrap forms the cluster of the seeds. At a first start every seed knows the identities of all of them,
// so each takes the same first membership without asking; any other host waits to be taken in.
func (c *Controller) bootstrap() error {
	view := c.node.Status()
	if !c.settings.FirstStart || len(view.Members.Members) > 0 || view.ID != c.settings.PeerAddress()+"/"+firstIncarnation {
		return nil
	}
	var m wire.Membership
	seed := false
	for _, address := range c.settings.SeedPeerAddresses() {
		m.Members = append(m.Members, wire.Member{ID: address + "/" + firstIncarnation, Voter: true})
		seed = seed || address == c.settings.PeerAddress()
	}
	if !seed {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	if err := c.node.Bootstrap(ctx, m); err != nil {
		return err
	}
	c.log.Info().Str("event", "clusterFormed").Int("voters", len(m.Members)).Msg("")
	return nil
}

// Reload takes over what may change while the daemon runs: seeds. The rest waits for a restart.
func (c *Controller) Reload(s *instance.Settings) {
	for _, address := range s.SeedPeerAddresses() {
		c.mesh.AddHost(address, address)
	}
}

// Stop hands leadership over and ends the control host.
func (c *Controller) Stop() {
	c.log.Info().Str("event", "stopping").Msg("")
	ctx, cancel := context.WithTimeout(c.ctx, handOverTime)
	defer cancel()
	for c.node.Status().Role == quorum.Leader && ctx.Err() == nil {
		if c.node.TransferLeadership(ctx) {
			c.log.Info().Str("event", "leadershipHandedOver").Msg("")
		}
		time.Sleep(handOverPause)
	}
	c.Kill()
	c.log.Info().Str("event", "stopped").Msg("")
}

// Kill ends the control host without handing leadership over.
func (c *Controller) Kill() {
	c.api.Stop()
	c.telemetry.Stop()
	c.cancel()
	c.mesh.Stop()
	c.node.Stop()
	c.done.Wait()
	c.pool.Release()
}

// Members returns the members of the log as this host knows them.
func (c *Controller) Members() []wire.Member { return c.node.Status().Members.Members }

const (
	handOverTime  = 1500 * time.Millisecond
	handOverPause = 30 * time.Millisecond
)

func (c *Controller) ensureMembers() {
	for _, m := range c.node.Status().Members.Members {
		c.mesh.AddHost(quorum.HostOf(m.ID), quorum.HostOf(m.ID))
	}
}

package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/descriptors"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/formation"
	"savorywing.example/savorywing/process/forwarding"
	"savorywing.example/savorywing/process/listening"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/pace"
	"savorywing.example/savorywing/process/quarantine"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/process/reporting"
	"savorywing.example/savorywing/process/telemetry"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

const (
	// urgentQueueSize bounds the events that are handled first: orders' outcomes, presence, and reports for which a
	// server that leaves is waiting.
	urgentQueueSize = 8192
	// maxWaitingReports and maxWaitingUsage bound the servers and the entry hosts whose newest report is waiting.
	maxWaitingReports = 8192
	maxWaitingUsage   = 2048
	// maxEventBatch bounds the events of each kind that are handled before the others have their turn.
	maxEventBatch  = 256
	workerPoolSize = 1024
	// electionTimeout is how long a leader may be silent before an election starts. It is longer than a sync of a slow
	// disk.
	electionTimeout = 500 * time.Millisecond
	// stepInterval is how often the leader reconciles groups while no report changes anything. After a change, it does so
	// at once, but not before minStepInterval has passed, so that a burst of reports is planned for as a whole.
	stepInterval    = 100 * time.Millisecond
	minStepInterval = 25 * time.Millisecond
	// slowStep is the duration of a step that is logged: a fraction of the election timeout.
	slowStep = electionTimeout / 5
	// firstIncarnation is the incarnation of each disk at the first start of a fleet.
	firstIncarnation = "first"
)

// Dialect is the part of the platform that a controller depends on.
type Dialect interface {
	savorywing.Dialect
	savorywing.ControlDialect
}

// Controller is one control host.
type Controller struct {
	settings *instance.Settings
	clock    savorywing.Clock
	log      zerolog.Logger
	dialect  Dialect
	pool     *ants.Pool
	mesh     *peer.Mesh
	node     *quorum.Node
	api      *controlapi.Server
	engines  *engine.Client
	urgent   *queue.Queue[event]
	// reports holds the newest waiting report of each server, usage that of each entry host.
	reports *queue.Mailbox[string, reportEvent]
	repeats *queue.Mailbox[string, wire.RepeatedReport]
	usage   *queue.Mailbox[string, wire.Usage]
	// orders holds the newest waiting order to each server, and budget bounds those in flight.
	orders *queue.Mailbox[string, queuedOrder]
	budget descriptors.Budget
	// mayOrder reports whether this host may still send the orders of a term.
	mayOrder  func(term uint64) bool
	telemetry *telemetry.Telemetry
	// document is the newest accepted document that this host has decoded.
	document atomic.Pointer[decodedDocument]
	// documentText is the text of the document for those that read it, and checking is held while one is checked.
	documentText documentText
	checking     sync.Mutex
	// leaderControl is the address at which the leader receives reports; empty while it is not known.
	leaderControl atomic.Pointer[string]
	// directory tells where servers report to, and cutOff that this host doesn't reach the leader.
	directory atomic.Pointer[reporting.Directory]
	cutOff    atomic.Bool
	// isolated reports whether this host reaches no majority of the control hosts.
	isolated atomic.Bool

	// The fields below are used by the goroutine of run only.
	table      *fleet.Table
	reconciler *formation.Reconciler
	entryHosts map[string]*entryHostState
	presence   map[string]peerPresence
	// listening records since when this host has heard the others without a gap. Before reachKnown is set, it isn't known whether it is isolated.
	listening  listening.Tracker
	reachKnown bool
	// outgoingVoters lists the voters that this leader has last decided to be replaced.
	outgoingVoters []string
	// daemons holds when each address of a daemon of the system was last stated.
	daemons map[string]time.Time
	// outbox holds the reports for the other control hosts, of which those in lacking need more than the new ones.
	outbox  *reporting.Outbox
	lacking map[string]bool
	// endpoints holds the endpoints last sent to entry hosts, with the revision at which each one was changed or removed.
	endpoints endpointLog
	// nextPush is when the next changes of endpoints may be pushed to the entry hosts.
	nextPush time.Time
	// totals sums what the entry hosts have in flight. packedLoads is its encoding at packedAt, for all replies.
	totals      *fleet.Totals
	packedLoads []byte
	packedAt    time.Time
	// toldTerm is the term in which entry hosts told this leader what quarantine and limits hold.
	toldTerm uint64
	// quarantine finds the parts of prompts on which servers crash.
	quarantine *quarantine.Tracker
	// limits divides the request limits of servers among the entry hosts.
	limits *quota.Allocator
	// paces holds the servers that have just started or returned; nil until this host leads.
	paces *pace.Tracker
	// evacuated holds the evacuated data centres as of the last look at the log.
	evacuated *evacuation.Set
	// evacuatedRequests is the number of requests in flight in evacuated data centres, as this host knew when it led.
	evacuatedRequests atomic.Int64
	// startedAt is when the host was made.
	startedAt time.Time
	// forwarders lists the entry hosts that take requests of others.
	forwarders *forwarding.Directory
	// waiting holds the channels of callers that wait until the entry hosts have been notified.
	waiting []chan<- struct{}
	leading bool
	term    uint64
	// hasSeenRequests reports whether an entry host has reported a request since this process started.
	hasSeenRequests bool
	// demandSince is when this leader first received a report of demand.
	demandSince time.Time
	// lastLeader is the ID of the last known leader.
	lastLeader string
	// lastStep is when the last step was taken; changed is set if something that it depends on has changed since.
	lastStep    time.Time
	changed     bool
	nextSummary time.Time
	// invalidReports limits the log lines about each server that reports an address of a daemon.
	invalidReports *logging.Repeats
	// unreadable is the version of the last document that could not be decoded here.
	unreadable uint64
	// loggedDropped is how many dropped events have been logged.
	loggedDropped uint64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// decodedDocument is a published document with the catalogue decoded from it.
type decodedDocument struct {
	version   uint64
	packed    []byte
	catalogue *catalogue.Catalogue
}

// peerPresence is the last presence message of another control host.
type peerPresence struct {
	presence wire.Presence
	// soundAt is when the host last announced itself as able to take part in the log; zero before.
	soundAt time.Time
	// seenAt is when the host last announced itself.
	seenAt time.Time
}

// New returns a control host, which Start runs.
func New(s *instance.Settings, dialect Dialect, log zerolog.Logger) (*Controller, error) {
	c := &Controller{
		settings: s, clock: clock.Boottime{}, log: log, dialect: dialect, urgent: queue.New[event](urgentQueueSize),
		reports: queue.NewMailbox[string, reportEvent](maxWaitingReports), usage: queue.NewMailbox[string, wire.Usage](maxWaitingUsage),
		repeats: queue.NewMailbox[string, wire.RepeatedReport](maxWaitingReports), outbox: reporting.NewOutbox(instance.Milliseconds(s.ReportIntervalMs)), lacking: map[string]bool{},
		orders: queue.NewMailbox[string, queuedOrder](maxWaitingOrders), budget: descriptors.ForControl(s.MaxDescriptors),
		table: fleet.NewTable(fleet.WithReportInterval(instance.Milliseconds(s.ReportIntervalMs))), totals: fleet.NewTotals(), endpoints: newEndpointLog(), entryHosts: map[string]*entryHostState{}, presence: map[string]peerPresence{},
		daemons: map[string]time.Time{}, invalidReports: logging.NewRepeats(clock.Boottime{}),
		reconciler: formation.New(reconcilerConfig(s)),
	}
	c.startedAt = c.clock.Now()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.engines = engine.New(c.clock, dialect, engine.WithRefused(c.recordRefused))
	c.mayOrder = c.leadsTerm
	if err := c.assemble(); err != nil {
		c.cancel()
		return nil, fmt.Errorf("controller.New: %w", err)
	}
	return c, nil
}

const (
	// A server is lost after two missed reports, or after one missed report if its group makes no progress. The margins
	// allow for the network delay and for the time at the control host that gets the report.
	reportTimeoutMargin  = 200*time.Millisecond + reporting.MaxDelay
	suspectTimeoutMargin = 100*time.Millisecond + reporting.MaxDelay
	// minReportTimeout and minSuspectTimeout are lower bounds for short report intervals. They are longer than the pauses
	// of a busy machine.
	minReportTimeout  = 1500 * time.Millisecond
	minSuspectTimeout = 800 * time.Millisecond
	// maxReportDelay is how late a report may arrive.
	maxReportDelay = 3 * time.Second
	// takeoverMargin allows for the network delay of the last report.
	takeoverMargin = 300 * time.Millisecond
	// silentReportIntervals is the number of report intervals without a report after which a server is marked as silent
	// to the entry hosts.
	silentReportIntervals = 2.5
)

// reconcilerConfig derives the timeouts of the reconciler from the settings.
func reconcilerConfig(s *instance.Settings) formation.Config {
	report := instance.Milliseconds(s.ReportIntervalMs)
	return formation.Config{
		ReportTimeout: max(minReportTimeout, 2*report+reportTimeoutMargin), SuspectTimeout: max(minSuspectTimeout, report+suspectTimeoutMargin),
		StallTimeout: instance.Milliseconds(s.MemberLossTimeoutMs) + stallMargin, TakeoverDelay: maxReportDelay + report + takeoverMargin,
	}
}

// silentAfter returns how long a server may send no report before it is marked as silent to the entry hosts.
func (c *Controller) silentAfter() time.Duration {
	return max(minReportTimeout, time.Duration(silentReportIntervals*float64(instance.Milliseconds(c.settings.ReportIntervalMs))))
}

// stallMargin allows for clocks that run at different speeds. StallTimeout counts from the arrival of a report, which is
// later than the event that it reports.
const stallMargin = 400 * time.Millisecond

func (c *Controller) assemble() error {
	var err error
	if c.pool, err = ants.NewPool(workerPoolSize, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return err
	}
	self := c.settings.PeerAddress()
	c.mesh, err = peer.NewMesh(peer.Config{
		Host: self, BootID: uint64(time.Now().UnixNano()), DataCentre: c.settings.DataCentre, Listen: self, MaxPending: c.budget.MaxPending, Tokens: peer.Tokens{Sent: c.settings.Token, AlsoAccepted: c.settings.AcceptedTokens},
	}, &frameHandler{controller: c}, c.pool, c.log)
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
	if c.node, err = quorum.NewNode(folder, c.clock, quorum.HostTransport(c.mesh.Send), electionTimeout, c.log); err != nil {
		return err
	}
	if n := folder.TornBytes(); n > 0 {
		c.log.Warn().Str("event", "logTorn").Int("bytes", n).Msg("removed an incomplete last record from the log")
	}
	memory := ingress.NewMemory(c.clock, budget.ControlLimits(c.settings.MemoryMB<<20, c.budget.MaxCalls))
	c.api = controlapi.New(c.clock, c.dialect, c, c.log, controlapi.WithMemory(memory))
	c.telemetry = telemetry.New(c.clock, c.log, telemetry.WithMaxConns(c.budget.MaxScrapes))
	c.telemetry.WatchMemory(memory)
	c.telemetry.Gauge("pending_closed", func() float64 { return float64(c.mesh.PendingClosed()) })
	c.telemetry.Gauge("leading", func() float64 {
		if c.node.HasLease() {
			return 1
		}
		return 0
	})
	c.telemetry.Gauge("reports_replaced", func() float64 { replaced, _ := c.reports.Counts(); return float64(replaced) })
	c.telemetry.Gauge("usage_replaced", func() float64 { replaced, _ := c.usage.Counts(); return float64(replaced) })
	c.telemetry.Gauge("events_dropped", func() float64 { return float64(c.dropped()) })
	c.telemetry.Gauge("orders_waiting", func() float64 { return float64(c.orders.Len()) })
	c.telemetry.Gauge("log_out", func() float64 {
		if c.node.Status().FailureReason != "" {
			return 1
		}
		return 0
	})
	c.telemetry.Gauge("log_outages", func() float64 { return float64(c.node.Status().Outages) })
	c.telemetry.Gauge("log_member_changes", func() float64 { return float64(c.node.Status().MemberChanges) })
	c.telemetry.Gauge("log_aims_skipped", func() float64 { return float64(c.node.Status().SkippedAims) })
	c.telemetry.Gauge("evacuated_data_centres", func() float64 { return float64(len(c.node.Status().Evacuated.Names())) })
	c.telemetry.Gauge("evacuated_requests", func() float64 {
		if c.node.HasLease() {
			return float64(c.evacuatedRequests.Load())
		}
		return 0
	})
	c.telemetry.Gauge("log_commit_index", func() float64 { return float64(c.node.Status().CommitIndex) })
	return nil
}

// Start starts the control host's goroutines and listeners.
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
	c.done.Go(c.run)
	c.done.Go(c.sendOrders)
	if s := c.settings; s.MetricsPort > 0 {
		if err := c.telemetry.Start(s.MetricsAddress()); err != nil {
			c.log.Warn().Str("event", "metricsUnavailable").Err(err).Msg("metrics can't be served")
		}
	}
	if err := c.api.Start(c.settings.ControlAddress); err != nil {
		return fmt.Errorf("Controller.Start: %w", err)
	}
	c.log.Info().Str("event", "started").Str("peer", c.settings.PeerAddress()).Bool("firstStart", c.settings.FirstStart).
		Int("dataCentres", len(c.settings.Regions)).Msg("the control host started")
	return nil
}

// bootstrap creates the cluster of the seeds. At a first start every seed knows the IDs of all seeds, so each of them
// sets the same first membership without exchanging messages. Any other host waits to be added by the leader.
func (c *Controller) bootstrap() error {
	status := c.node.Status()
	if !c.settings.FirstStart || len(status.Members.Members) > 0 || status.ID != c.settings.PeerAddress()+"/"+firstIncarnation {
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
	if invalid := c.settings.InvalidSeeds(); len(m.Members)/2+1 <= (len(m.Members)+len(invalid))/2 {
		// Hosts on which other seeds are invalid may set other memberships, whose majorities would not overlap.
		c.log.Error().Str("event", "clusterNotFormed").Strs("invalid", invalid).Msg("too many seeds are invalid to form a cluster")
		return nil
	}
	if err := c.formCluster(m, c.node.Bootstrap); err != nil {
		return err
	}
	c.log.Info().Str("event", "clusterFormed").Int("voters", len(m.Members)).Msg("bootstrapped the cluster")
	return nil
}

// slowBootstrap is how long a bootstrap may take before it is logged.
const slowBootstrap = 1 * time.Second

// bootstrapRetryInterval is the time between two tries of a bootstrap whose disk fails.
const bootstrapRetryInterval = electionTimeout / 2

// formCluster waits until the first membership is synced to the disk, however long the disk takes or refuses to write it.
func (c *Controller) formCluster(m wire.Membership, bootstrap func(context.Context, wire.Membership) error) error {
	slow := time.AfterFunc(slowBootstrap, func() {
		c.log.Warn().Str("event", "bootstrapSlow").Dur("after", slowBootstrap).Msg("the disk has not synced the first membership yet")
	})
	defer slow.Stop()
	for {
		err := bootstrap(c.ctx, m)
		if !errors.Is(err, quorum.ErrOutage) {
			return err
		}
		select {
		case <-c.ctx.Done():
			return err
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

// Reload applies the settings that may change while the daemon runs: the seeds and the tokens. Other changes need a
// restart.
func (c *Controller) Reload(s *instance.Settings) {
	c.mesh.SetTokens(peer.Tokens{Sent: s.Token, AlsoAccepted: s.AcceptedTokens})
	for _, address := range s.SeedPeerAddresses() {
		c.mesh.AddHost(address, address)
	}
}

// Stop transfers leadership to another member, answers the calls in progress and stops the control host.
func (c *Controller) Stop() {
	c.log.Info().Str("event", "stopping").Msg("the control host is stopping")
	c.api.Drain()
	ctx, cancel := context.WithTimeout(c.ctx, transferTimeout)
	defer cancel()
	for c.node.Status().Role == quorum.Leader && ctx.Err() == nil {
		if c.node.TransferLeadership(ctx) {
			c.log.Info().Str("event", "leadershipHandedOver").Msg("transferred leadership")
		}
		time.Sleep(transferRetryInterval)
	}
	c.api.Stop()
	c.Kill()
	c.log.Info().Str("event", "stopped").Msg("the control host stopped")
}

// Kill stops the control host at once, without transferring leadership.
func (c *Controller) Kill() {
	c.api.Close()
	c.telemetry.Stop()
	c.cancel()
	c.mesh.Stop()
	c.node.Stop()
	c.done.Wait()
	c.pool.Release()
}

// Members returns the members of the replicated log as known to this host.
func (c *Controller) Members() []wire.Member { return c.node.Status().Members.Members }

// IsLeader reports whether this host leads the control hosts.
func (c *Controller) IsLeader() bool { return c.node.HasLease() }

const (
	transferTimeout       = 1500 * time.Millisecond
	transferRetryInterval = 30 * time.Millisecond
)

func (c *Controller) ensureMembers() {
	for _, m := range c.node.Status().Members.Members {
		c.mesh.AddHost(quorum.HostOf(m.ID), quorum.HostOf(m.ID))
	}
}

package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/backend"
	"savorywing.example/savorywing/connection/ingress"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/descriptors"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/entry"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/request/caller"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const (
	workerPoolSize        = 8192
	announcementQueueSize = 4096
	transferTimeout       = 1500 * time.Millisecond
	transferRetryInterval = 100 * time.Millisecond
	metricsNamespace      = "savorywing"
)

// Daemon is one process of the serving system.
type Daemon struct {
	settings *settings.Settings
	clock    savorywing.Clock
	log      zerolog.Logger
	// bootID is the daemon's start time in nanoseconds.
	bootID uint64

	pool     *ants.Pool
	registry *registry.Registry
	metrics  *metrics.Metrics
	mesh     *peer.Mesh
	node     *quorum.Node
	backend  *backend.Client
	// pollClient sends polls and orders. It is separate from backend, so that their traffic is counted on its own.
	pollClient *backend.Client
	control    savorywing.BackendControl
	proposer   *proposer
	entry      *entry.Server
	callers    *caller.Server
	operator   *operator.Server
	// descriptors divides the process's descriptors among its kinds of connections.
	descriptors descriptors.Budget
	// memory bounds what the connections of callers and operators hold together.
	memory *ingress.Memory

	// announcements queues the announcements that backend servers push, for forwardAnnouncements.
	announcements *queue.Queue[wire.Announcement]
	// invalidPolls limits the log lines about each backend server that answers polls with invalid announcements.
	invalidPolls *logging.Repeats
	// refusedPolls limits the log lines about each backend server whose answers to polls and orders are refused.
	refusedPolls *logging.Repeats
	// leader is the name of the last known leader's host.
	leader atomic.Pointer[string]
	// introductions holds the newest Introduction of each control host.
	introductions introductions

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a daemon, which Start runs.
func New(s *settings.Settings, clock savorywing.Clock, log zerolog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, clock: clock, log: log, bootID: uint64(clock.Now().UnixNano()), metrics: metrics.New(),
		announcements: queue.New[wire.Announcement](announcementQueueSize), invalidPolls: logging.NewRepeats(clock), refusedPolls: logging.NewRepeats(clock), ctx: ctx, cancel: cancel,
	}
	if err := d.assemble(); err != nil {
		cancel()
		return nil, fmt.Errorf("daemon.New: %w", err)
	}
	return d, nil
}

func (d *Daemon) self() settings.Host { return d.settings.Hosts[d.settings.Daemon.Host] }

func (d *Daemon) assemble() error {
	pool, err := ants.NewPool(workerPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	d.pool = pool
	if d.registry, err = registry.New(d.clock, d.settings); err != nil {
		return err
	}
	memory := hostMemory()
	d.descriptors = descriptors.ForEntry(hostDescriptors(), budget.EntryConns(memory))
	limits := budget.ServeLimits(memory, d.descriptors.MaxCalls)
	d.memory = ingress.NewMemory(d.clock, limits)
	d.backend = backend.New(d.clock, backend.WithBuffers(limits.Buffer), backend.WithMaxIdle(d.descriptors.MaxIdle), backend.WithRefused(d.recordRefused))
	d.pollClient = backend.New(d.clock, backend.WithRefused(d.recordRefusedPoll))
	d.control = backend.NewControlClient(d.pollClient, d.settings.Timing.PollInterval)
	token, err := settings.LoadToken(d.settings.Daemon.OperatorsFile)
	if err != nil {
		return err
	}
	if err := d.assembleMesh(token); err != nil {
		return err
	}
	if d.self().HasRole(savorywing.RoleControl) {
		if err := d.assembleNode(); err != nil {
			return err
		}
	}
	d.proposer = &proposer{daemon: d}
	if d.self().HasRole(savorywing.RoleEntry) {
		if err := d.assembleEntry(); err != nil {
			return err
		}
	}
	d.operator = operator.New(d.clock, token, &operations{daemon: d}, d.log, ingress.WithMemory(d.memory))
	d.metrics.Publish(metricsNamespace + "." + d.settings.Daemon.Host)
	return nil
}

func (d *Daemon) assembleMesh(token string) error {
	peers := map[string]string{}
	for name, h := range d.settings.Hosts {
		if name != d.settings.Daemon.Host {
			peers[name] = h.PeerAddress
		}
	}
	cfg := peer.Config{
		Host: d.settings.Daemon.Host, BootID: d.bootID, DataCentre: d.self().DataCentre,
		Listen: d.settings.Daemon.PeerAddress, Peers: peers, MaxPending: d.descriptors.MaxPending, Tokens: peer.Tokens{Sent: token},
	}
	mesh, err := peer.NewMesh(cfg, &frameHandler{daemon: d}, d.pool, d.log)
	d.mesh = mesh
	return err
}

func (d *Daemon) assembleNode() error {
	folder, err := disk.Open(d.settings.Daemon.DataFolder, d.settings.Daemon.Host)
	if err != nil {
		return err
	}
	node, err := quorum.NewNode(folder, d.clock, quorum.HostTransport(d.mesh.Send), d.settings.Timing.ElectionTimeout, d.log)
	if err != nil {
		return err
	}
	if n := folder.TornBytes(); n > 0 {
		d.log.Warn().Int("bytes", n).Msg("removed an incomplete last record from the log")
	}
	d.node = node
	return nil
}

func (d *Daemon) assembleEntry() error {
	keys, err := d.settings.LoadKeys()
	if err != nil {
		return err
	}
	owner := fmt.Sprintf("%s/%d", d.settings.Daemon.Host, d.bootID)
	d.entry = entry.New(d.clock, d.registry, d.backend, d.proposer, d.metrics, d.pool, d.log, entry.WithOwner(owner), entry.WithHostIndex(d.hostIndex))
	d.callers = caller.New(d.clock, d.registry, d.entry, keys, d, d.log, ingress.WithMemory(d.memory))
	return nil
}

// hostIndex returns this host's index among the connected entry hosts, sorted by name, and their count, including this
// host. From these every entry host derives its own partition of the slots.
func (d *Daemon) hostIndex() (index, hosts int) {
	for name, h := range d.settings.Hosts {
		if !h.HasRole(savorywing.RoleEntry) {
			continue
		}
		self := name == d.settings.Daemon.Host
		if !self && !d.mesh.IsConnected(name) {
			continue
		}
		hosts++
		if name < d.settings.Daemon.Host {
			index++
		}
	}
	return index, hosts
}

func (d *Daemon) startComponent(f func()) {
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		f()
	}()
}

// Start starts every component and opens the listeners.
func (d *Daemon) Start() error {
	if err := d.operator.Start(d.settings.Daemon.OperatorAddress); err != nil {
		return fmt.Errorf("Daemon.Start: %w", err)
	}
	d.mesh.Start()
	d.startComponent(d.forwardAnnouncements)
	d.startComponent(d.confirmState)
	d.startComponent(d.poll)
	if d.node != nil {
		d.node.Start()
		d.startComponent(d.sendIntroductions)
		d.startComponent(d.controlGroups)
	}
	if d.entry != nil {
		d.startComponent(func() { d.entry.Run(d.ctx) })
		if err := d.callers.Start(d.settings.Daemon.CallerAddress); err != nil {
			return fmt.Errorf("Daemon.Start: %w", err)
		}
	}
	d.log.Info().Str("host", d.settings.Daemon.Host).Strs("roles", d.self().Roles).Str("callers", d.settings.Daemon.CallerAddress).Msg("serving")
	return nil
}

// Stop stops the daemon gracefully. It reports not ready and makes callers turn to other hosts, serves every request that it
// receives until the balancer has noticed, waits until the requests in flight have ended or ctx ends, and transfers
// leadership. Requests that are left when ctx ends are cancelled and answered, which is an error.
func (d *Daemon) Stop(ctx context.Context) error {
	var err error
	if d.entry != nil {
		err = d.stopEntry(ctx)
	}
	d.transferLeadership()
	d.operator.Stop()
	d.Kill()
	if err != nil {
		return fmt.Errorf("Daemon.Stop: %w", err)
	}
	return nil
}

func (d *Daemon) stopEntry(ctx context.Context) error {
	d.callers.SetReady(false)
	d.callers.Drain()
	select {
	case <-ctx.Done():
	case <-d.clock.After(d.registry.Settings().Timing.BalancerDetectionTime):
	}
	left := d.callers.Stop(ctx)
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	if left > 0 {
		return fmt.Errorf("%d requests were cancelled: %w", left, ctx.Err())
	}
	return nil
}

// transferLeadership has its own time limit, since a stop whose time is used up must not leave the others without a leader.
func (d *Daemon) transferLeadership() {
	if d.node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, transferTimeout)
	defer cancel()
	for d.node.Status().Role == quorum.Leader && ctx.Err() == nil {
		if d.node.TransferLeadership(ctx) {
			d.log.Info().Msg("transferred leadership")
		}
		d.wait(transferRetryInterval)
	}
}

// Kill stops the daemon at once.
func (d *Daemon) Kill() {
	if d.callers != nil {
		// Requests that are cancelled return their grants to the dispatcher, which d.cancel stops.
		d.callers.Close()
	}
	d.operator.Close()
	d.cancel()
	d.mesh.Stop()
	if d.node != nil {
		d.node.Stop()
	}
	d.done.Wait()
	d.pool.Release()
}

// wait pauses for t and reports whether the daemon is still running.
func (d *Daemon) wait(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-d.clock.After(t):
		return true
	}
}

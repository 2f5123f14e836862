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
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/entry"
	"savorywing.example/savorywing/process/metrics"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/request/caller"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const (
	poolSize         = 8192
	announceRing     = 4096
	handOverTries    = 10
	handOverPause    = 100 * time.Millisecond
	listenerStop     = 5 * time.Second
	metricsNamespace = "savorywing"
)

// Daemon is one process of the system.
type Daemon struct {
	settings *settings.Settings
	clock    savorywing.Clock
	log      zerolog.Logger
	boot     uint64

	pool     *ants.Pool
	registry *registry.Registry
	metrics  *metrics.Metrics
	mesh     *peer.Mesh
	node     *quorum.Node
	backend  *backend.Client
	// polls carries polls and orders only, so that their cost can be told apart.
	polls    *backend.Client
	control  savorywing.BackendControl
	proposer *proposer
	entry    *entry.Server
	callers  *caller.Server
	operator *operator.Server

	// announced joins the announcement handlers with the duty that forwards them.
	announced *queue.Queue[wire.Announcement]
	// leader is the name of the last known leader's host.
	leader atomic.Pointer[string]
	// introduced holds the incarnations that control hosts have told.
	introduced introductions

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New prepares a daemon; Start runs it.
func New(s *settings.Settings, clock savorywing.Clock, log zerolog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, clock: clock, log: log, boot: uint64(clock.Now().UnixNano()), metrics: metrics.New(),
		announced: queue.New[wire.Announcement](announceRing), ctx: ctx, cancel: cancel,
	}
	if err := d.assemble(); err != nil {
		cancel()
		return nil, fmt.Errorf("daemon.New: %w", err)
	}
	return d, nil
}

func (d *Daemon) self() settings.Host { return d.settings.Hosts[d.settings.Daemon.Host] }

func (d *Daemon) assemble() error {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	d.pool = pool
	if d.registry, err = registry.New(d.clock, d.settings); err != nil {
		return err
	}
	d.backend = backend.New(d.clock)
	d.polls = backend.New(d.clock)
	d.control = backend.NewControlClient(d.polls, d.settings.Timing.PollInterval)
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
	d.operator = operator.New(token, &operations{daemon: d}, d.log)
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
		Host: d.settings.Daemon.Host, Boot: d.boot, DataCentre: d.self().DataCentre,
		Listen: d.settings.Daemon.PeerAddress, Peers: peers, Token: token,
	}
	mesh, err := peer.NewMesh(cfg, &frames{daemon: d}, d.pool, d.log)
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
		d.log.Warn().Int("bytes", n).Msg("a torn tail of the log was cut off")
	}
	d.node = node
	return nil
}

func (d *Daemon) assembleEntry() error {
	keys, err := d.settings.LoadKeys()
	if err != nil {
		return err
	}
	owner := fmt.Sprintf("%s/%d", d.settings.Daemon.Host, d.boot)
	d.entry = entry.New(d.clock, d.registry, d.backend, d.proposer, d.metrics, d.pool, d.log, entry.WithOwner(owner), entry.WithHostIndex(d.place))
	d.callers = caller.New(d.clock, d.registry, d.entry, keys, d, d.log)
	return nil
}

// place returns this host's place among the sorted names of the entry hosts that are connected, and
// their number, by which every entry host knows its own slots.
func (d *Daemon) place() (index, hosts int) {
	for name, h := range d.settings.Hosts {
		if !h.HasRole(savorywing.RoleEntry) {
			continue
		}
		self := name == d.settings.Daemon.Host
		if !self && !d.mesh.Connected(name) {
			continue
		}
		hosts++
		if name < d.settings.Daemon.Host {
			index++
		}
	}
	return index, hosts
}

func (d *Daemon) duty(f func()) {
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		f()
	}()
}

// Start runs every duty and opens the listeners.
func (d *Daemon) Start() error {
	if err := d.operator.Start(d.settings.Daemon.OperatorAddress); err != nil {
		return fmt.Errorf("Daemon.Start: %w", err)
	}
	d.mesh.Start()
	d.duty(d.forwardAnnouncements)
	d.duty(d.confirm)
	d.duty(d.poll)
	if d.node != nil {
		d.node.Start()
		d.duty(d.introduce)
		d.duty(d.controlGroups)
	}
	if d.entry != nil {
		d.duty(func() { d.entry.Run(d.ctx) })
		if err := d.callers.Start(d.settings.Daemon.CallerAddress); err != nil {
			return fmt.Errorf("Daemon.Start: %w", err)
		}
	}
	d.log.Info().Str("host", d.settings.Daemon.Host).Strs("roles", d.self().Roles).Str("callers", d.settings.Daemon.CallerAddress).Msg("serving")
	return nil
}

// Stop ends the daemon gracefully: not ready, then no new work, every request in flight ends whole,
// leadership is handed over.
func (d *Daemon) Stop(ctx context.Context) error {
	var err error
	if d.entry != nil {
		d.callers.SetReady(false)
		d.wait(d.registry.Settings().Timing.BalancerDetectionTime)
		err = d.entry.Drain(ctx)
		stopCtx, cancel := context.WithTimeout(ctx, listenerStop)
		defer cancel()
		if stopErr := d.callers.Stop(stopCtx); err == nil {
			err = stopErr
		}
	}
	d.handOver(ctx)
	d.Kill()
	if err != nil {
		return fmt.Errorf("Daemon.Stop: %w", err)
	}
	return nil
}

func (d *Daemon) handOver(ctx context.Context) {
	if d.node == nil {
		return
	}
	for range handOverTries {
		if d.node.Status().Role != quorum.Leader {
			return
		}
		if d.node.TransferLeadership(ctx) {
			d.log.Info().Msg("leadership handed over")
		}
		d.wait(handOverPause)
	}
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.cancel()
	d.operator.Stop()
	d.mesh.Stop()
	if d.node != nil {
		d.node.Stop()
	}
	d.done.Wait()
	d.pool.Release()
}

// wait pauses a duty and tells whether the daemon still runs.
func (d *Daemon) wait(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-d.clock.After(t):
		return true
	}
}

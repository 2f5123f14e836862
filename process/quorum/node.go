package quorum

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	eventQueueCapacity       = 8192
	maxBatchEvents           = 1024
	ticksPerHeartbeat        = 2
	defaultCompactionEntries = 8192
	// defaultCompactionBytes bounds the log on the disk to a small part of that of the smallest control hosts, 128 MB.
	defaultCompactionBytes = 8 << 20
	// statusNotLeader is the HTTP status for commands that were not proposed: 503 Service Unavailable.
	statusNotLeader = 503
)

// Errors of a node.
var (
	ErrStopped             = errors.New("the node has stopped")
	ErrAlreadyBootstrapped = errors.New("the disk is not empty")
	// ErrLeadershipLost means that the command may or may not be committed.
	ErrLeadershipLost = errors.New("leadership was lost before the outcome was known")
)

// Transport sends messages to other members. It may lose them.
type Transport interface {
	SendRaft(messages []wire.RaftMessage)
}

// HostTransport is a function that sends a frame to a host. As a Transport it sends one frame per host.
type HostTransport func(host string, f wire.Frame) error

// SendRaft implements Transport.
func (send HostTransport) SendRaft(messages []wire.RaftMessage) {
	byHost := map[string][]wire.RaftMessage{}
	for _, m := range messages {
		host := HostOf(m.To)
		byHost[host] = append(byHost[host], m)
	}
	for host, batch := range byHost {
		// A send error is equivalent to a message lost in the network: the log sends it again.
		_ = send(host, wire.Frame{Raft: batch})
	}
}

// Node runs a Core with a disk, a clock and a transport in its own goroutine.
type Node struct {
	core            *Core
	disk            savorywing.Disk
	clock           savorywing.Clock
	transport       Transport
	electionTimeout time.Duration
	seed            uint64
	log             zerolog.Logger
	machine         *state.Machine
	events          *queue.Queue[event]
	// pending maps the index of each entry proposed here to its term and the channels of its proposers.
	pending map[uint64]pendingProposal
	aim     aimState
	// memberChanges and skippedAims count the changes of the membership that were proposed here, and the aims that didn't hold.
	memberChanges, skippedAims uint64
	status                     atomic.Pointer[Status]
	// publishedTable is the table of the newest Status. It is copied only when it has changed.
	publishedTable wire.Table
	leadingSince   time.Time
	logClock       logClock
	// compactionThreshold is the log length, in entries, at which a snapshot replaces the committed entries.
	compactionThreshold int
	// compactionBytes is the number of bytes of entries appended to the disk at which a snapshot replaces them, and
	// appendedBytes is that number since the last snapshot.
	compactionBytes, appendedBytes int
	// applied is the index of the last entry, or snapshot, that the machine has applied.
	applied uint64
	// outage is set while this member takes no part in the log, and nil otherwise. The core isn't stepped meanwhile.
	outage *outage
	// outages counts the outages since the start.
	outages uint64
	// unreadable limits the log lines about each member that sends snapshots that can't be decoded.
	unreadable *logging.Repeats
	// unwritable limits the log lines about attempts to end an outage.
	unwritable *logging.Repeats
	syncs      uint64
	// syncTime is the total time of all syncs.
	syncTime time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// pendingProposal is an entry proposed here that is not applied yet. done has one channel per command.
type pendingProposal struct {
	term uint64
	done []chan<- proposeResult
}

var _ savorywing.ReplicatedLog = (*Node)(nil)

// Option sets an optional part of a Node.
type Option func(*Node)

// WithSeed sets the seed of the randomised election timeouts.
func WithSeed(seed uint64) Option {
	return func(n *Node) { n.seed = seed }
}

// WithCompaction sets the log length, in entries, at which a snapshot replaces the committed entries.
func WithCompaction(entries int) Option {
	return func(n *Node) { n.compactionThreshold = entries }
}

// WithCompactionBytes sets the size of the log on the disk, in bytes of entries, at which a snapshot replaces the
// committed entries.
func WithCompactionBytes(bytes int) Option {
	return func(n *Node) { n.compactionBytes = bytes }
}

// NewNode loads the persisted state and returns a node that Start runs. electionTimeout is the minimum: each
// election deadline adds a random part of less than the same length.
func NewNode(d savorywing.Disk, clock savorywing.Clock, t Transport, electionTimeout time.Duration, log zerolog.Logger, opts ...Option) (*Node, error) {
	stored, err := d.Load()
	if err != nil {
		return nil, fmt.Errorf("quorum.NewNode: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		disk: d, clock: clock, transport: t, electionTimeout: electionTimeout, log: log, events: queue.New[event](eventQueueCapacity),
		pending: map[uint64]pendingProposal{}, ctx: ctx, cancel: cancel, seed: uint64(clock.Now().UnixNano()), compactionThreshold: defaultCompactionEntries,
		compactionBytes: defaultCompactionBytes,
		unreadable:      logging.NewRepeats(clock), unwritable: logging.NewRepeats(clock),
	}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.restore(stored.Snapshot); err != nil {
		cancel()
		return nil, err
	}
	n.core = NewCore(stored, electionTimeout, clock.Now(), n.seed)
	n.appendedBytes = entryBytes(stored.Entries)
	n.publish()
	return n, nil
}

func (n *Node) restore(s *wire.Snapshot) error {
	var data []byte
	if s != nil {
		data = s.Data
	}
	m, err := state.Restore(data)
	if err != nil {
		return fmt.Errorf("Node.restore: %w", err)
	}
	n.machine, n.applied = m, 0
	if s != nil {
		n.applied = s.Index
	}
	return nil
}

// Start starts the node's goroutine.
func (n *Node) Start() {
	n.wg.Add(1)
	go n.run()
}

// Stop stops the goroutine and closes the disk.
func (n *Node) Stop() {
	n.cancel()
	n.wg.Wait()
	if err := n.disk.Close(); err != nil {
		n.log.Warn().Err(err).Msg("cannot close the disk of the replicated log")
	}
}

// HasLease reports whether this node holds the leader's lease at the current time.
func (n *Node) HasLease() bool { return n.clock.Now().Before(n.Status().LeaseUntil) }

// Status returns the newest published status.
func (n *Node) Status() Status { return *n.status.Load() }

// Step queues messages of other members. They are dropped if the queue is full.
func (n *Node) Step(messages []wire.RaftMessage) {
	n.events.Push(stepEvent{messages: messages})
}

// SetAim sets the membership towards which this node changes it while it leads in the aim's term.
func (n *Node) SetAim(a membership.Aim) { n.events.Push(aimEvent{aim: a}) }

// Propose commits a command and returns its result. The error has CodeNotRun if nothing was proposed; after any
// other error the command may still be committed.
func (n *Node) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	done := make(chan proposeResult, 1)
	if !n.events.Push(proposeEvent{command: c, done: done}) {
		return wire.Result{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "the log's queue is full")
	}
	p, err := wait(ctx, n.ctx, done)
	if err != nil {
		return wire.Result{}, fmt.Errorf("Node.Propose: %w", err)
	}
	return p.result, p.err
}

// Confirm returns the current configuration and table numbers, the configuration if it is newer than the request's
// number, and the table if its number differs from the request's. It returns ErrNotLeader unless this node holds the
// leader's lease.
func (n *Node) Confirm(ctx context.Context, request wire.Confirm) (wire.Confirmed, error) {
	done := make(chan confirmResult, 1)
	if !n.events.Push(confirmEvent{request: request, done: done}) {
		return wire.Confirmed{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "the log's queue is full")
	}
	c, err := wait(ctx, n.ctx, done)
	if err != nil {
		return wire.Confirmed{}, fmt.Errorf("Node.Confirm: %w", err)
	}
	return c.reply, c.err
}

// Bootstrap sets the first membership. It returns ErrAlreadyBootstrapped unless the disk is empty.
func (n *Node) Bootstrap(ctx context.Context, m wire.Membership) error {
	done := make(chan error, 1)
	n.events.Push(bootstrapEvent{membership: m, done: done})
	result, err := wait(ctx, n.ctx, done)
	if err != nil {
		return fmt.Errorf("Node.Bootstrap: %w", err)
	}
	return result
}

// TransferLeadership asks the node to give up its leadership, and reports whether a successor was asked to start
// an election.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	done := make(chan bool, 1)
	n.events.Push(transferEvent{done: done})
	ok, err := wait(ctx, n.ctx, done)
	return err == nil && ok
}

// wait returns the value received from ch, or an error when ctx or stop ends first.
func wait[T any](ctx, stop context.Context, ch <-chan T) (T, error) {
	var zero T
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-stop.Done():
		return zero, ErrStopped
	}
}

func (n *Node) run() {
	defer n.wg.Done()
	tick := n.electionTimeout / (heartbeatsPerElection * ticksPerHeartbeat)
	timer := n.clock.After(tick)
	for {
		select {
		case <-n.ctx.Done():
			return
		case first := <-n.events.Out():
			n.handle(n.events.Drain(first, maxBatchEvents))
		case <-timer:
			timer = n.clock.After(tick)
			n.tick()
		}
		n.flush()
	}
}

func (n *Node) tick() {
	if n.outage != nil {
		n.tryRepair()
		return
	}
	n.core.Tick(n.clock.Now())
	n.reconcileMembers()
}

// handle processes a batch of events. All its commands go into one log entry and share one sync.
func (n *Node) handle(batch []event) {
	var proposals []proposeEvent
	for _, e := range batch {
		if n.outage != nil {
			n.reject(e)
			continue
		}
		switch e := e.(type) {
		case stepEvent:
			for _, m := range e.messages {
				if n.isReadable(m) {
					n.core.Step(n.clock.Now(), m)
				}
			}
		case proposeEvent:
			proposals = append(proposals, e)
		case confirmEvent:
			e.done <- n.confirm(e.request)
		case bootstrapEvent:
			e.done <- n.bootstrap(e.membership)
		case aimEvent:
			n.aim = aimState{aim: e.aim}
		case transferEvent:
			e.done <- n.core.TransferLeadership(n.clock.Now())
		}
	}
	n.propose(proposals)
}

// isReadable reports whether the state in a message can be decoded. A snapshot that can't must not replace the state on the
// disk, without which this member can't start again.
func (n *Node) isReadable(m wire.RaftMessage) bool {
	if m.Snapshot == nil {
		return true
	}
	_, err := state.Restore(m.Snapshot.Data)
	if err != nil {
		if allowed, omitted := n.unreadable.Allow(m.From); allowed {
			n.log.Error().Str("member", m.From).Uint64("omitted", omitted).Err(err).Msg("ignored a snapshot of another member that can't be decoded")
		}
	}
	return err == nil
}

func (n *Node) propose(events []proposeEvent) {
	if len(events) == 0 {
		return
	}
	if n.outage != nil {
		for _, e := range events {
			n.reject(e)
		}
		return
	}
	var commands wire.Commands
	var done []chan<- proposeResult
	for _, e := range events {
		e.command.At = n.logClock.read(n.core.Term(), n.machine.LastCommandTime(), n.clock.Now())
		commands.Commands = append(commands.Commands, e.command)
		done = append(done, e.done)
	}
	data, err := codec.Encode(commands)
	var index, term uint64
	if err == nil {
		index, term, err = n.core.Propose(data)
	}
	if err != nil {
		for _, ch := range done {
			ch <- proposeResult{err: n.notProposed(err)}
		}
		return
	}
	n.pending[index] = pendingProposal{term: term, done: done}
}

// notProposed returns the error of a command that isn't in the log and never will be.
func (n *Node) notProposed(cause error) error {
	return savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "nothing was proposed", savorywing.WithCause(cause))
}

func (n *Node) confirm(request wire.Confirm) confirmResult {
	if !n.core.HasLease(n.clock.Now()) {
		return confirmResult{err: ErrNotLeader}
	}
	c := n.machine.Configuration()
	reply := wire.Confirmed{Number: c.Number, TableNumber: n.machine.TableIndex()}
	if c.Number > request.Configuration {
		reply.Configuration = &c
	}
	if reply.TableNumber != request.Table {
		table := n.machine.Table()
		reply.Table = &table
	}
	return confirmResult{reply: reply}
}

// bootstrap initialises an empty member with its first membership.
func (n *Node) bootstrap(m wire.Membership) error {
	if len(n.core.Members().Members) > 0 || n.core.Term() > 0 {
		return ErrAlreadyBootstrapped
	}
	s := wire.Snapshot{Index: 1, Term: 1, Membership: &m}
	stored := savorywing.PersistedState{Identity: n.core.ID(), Term: 1, Snapshot: &s}
	if err := n.disk.Compact(s, savorywing.Record{Term: 1}); err != nil {
		n.beginOutage(err, Effects{})
		return fmt.Errorf("Node.bootstrap: %w: %w", ErrOutage, err)
	}
	n.applied = s.Index
	n.core = NewCore(stored, n.electionTimeout, n.clock.Now(), n.seed)
	return nil
}

// flush executes the core's effects in order: sync, send, apply.
func (n *Node) flush() {
	if n.outage == nil {
		n.execute(n.core.Ready())
	}
	if n.outage == nil {
		n.compact()
	}
	n.publish()
	if n.core.Role() != Leader {
		n.failPending(ErrLeadershipLost)
	}
}

func (n *Node) execute(e Effects) {
	if err := n.persist(e); err != nil {
		n.beginOutage(err, e)
		return
	}
	n.transport.SendRaft(e.Messages)
	n.applyCommitted(e.Committed)
}

func (n *Node) applyCommitted(entries []wire.Entry) {
	for _, entry := range entries {
		if n.apply(entry); n.outage != nil {
			return
		}
	}
}

func (n *Node) persist(e Effects) error {
	start := n.clock.Now()
	var record savorywing.Record
	if e.Record != nil {
		record = *e.Record
	}
	switch {
	case e.Install != nil:
		if err := n.disk.Compact(*e.Install, record); err != nil {
			return err
		}
		n.appendedBytes = 0
		if err := n.restore(e.Install); err != nil {
			return err
		}
	case e.Record != nil:
		if err := n.disk.Append(record); err != nil {
			return err
		}
		n.appendedBytes += entryBytes(record.Entries)
	default:
		return nil
	}
	n.syncs++
	n.syncTime += n.clock.Now().Sub(start)
	return nil
}

func (n *Node) apply(entry wire.Entry) {
	n.applied = entry.Index
	if entry.Kind != EntryCommand {
		return
	}
	var commands wire.Commands
	if err := codec.Decode(entry.Data, &commands); err != nil {
		n.endForGood(fmt.Errorf("entry %d: %w", entry.Index, err))
		return
	}
	p, proposedHere := n.pending[entry.Index]
	delete(n.pending, entry.Index)
	for i, c := range commands.Commands {
		r := n.machine.Apply(entry.Index, c)
		if proposedHere && p.term == entry.Term && i < len(p.done) {
			p.done[i] <- proposeResult{result: r}
			continue
		}
		if proposedHere && i < len(p.done) {
			p.done[i] <- proposeResult{err: ErrLeadershipLost}
		}
	}
}

func (n *Node) failPending(err error) {
	for index, p := range n.pending {
		for _, ch := range p.done {
			ch <- proposeResult{err: err}
		}
		delete(n.pending, index)
	}
}

// compact replaces the committed entries by a snapshot once the log is too long, or too large on the disk. The entries that are
// not committed yet stay.
func (n *Node) compact() {
	isLarge := n.appendedBytes >= n.compactionBytes && n.core.CommitIndex() > n.core.log.snapshot.Index
	if n.core.LogLength() < n.compactionThreshold && !isLarge {
		return
	}
	if err := n.writeState(nil); err != nil {
		n.beginOutage(err, Effects{})
	}
}

// entryBytes returns the size of the entries' data in bytes.
func entryBytes(entries []wire.Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

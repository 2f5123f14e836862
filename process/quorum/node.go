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
	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

const (
	ringSize        = 8192
	batchSize       = 1024
	ticksPerBeat    = 2
	compactEntries  = 8192
	statusNotLeader = 503
)

// Errors of a node.
var (
	ErrStopped             = errors.New("the node has stopped")
	ErrAlreadyBootstrapped = errors.New("the disk is not empty")
	// ErrLeadershipLost says that leadership was lost before the outcome was known.
	ErrLeadershipLost = errors.New("leadership was lost before the outcome was known")
)

// Transport carries messages to other members; it may lose them.
type Transport interface {
	SendRaft(messages []wire.RaftMessage)
}

// HostTransport carries messages by a function that sends a frame to a host: one frame for each host.
type HostTransport func(host string, f wire.Frame) error

// SendRaft implements Transport.
func (send HostTransport) SendRaft(messages []wire.RaftMessage) {
	byHost := map[string][]wire.RaftMessage{}
	for _, m := range messages {
		host := HostOf(m.To)
		byHost[host] = append(byHost[host], m)
	}
	for host, list := range byHost {
		// A message that can't be sent is one that the network lost; the log repeats it.
		_ = send(host, wire.Frame{Raft: list})
	}
}

// Node runs a Core with a disk, a clock and a transport on a thread of its own.
type Node struct {
	core      *Core
	disk      savorywing.Disk
	clock     savorywing.Clock
	transport Transport
	election  time.Duration
	seed      uint64
	log       zerolog.Logger
	machine   *state.Machine
	events    *queue.Queue[event]
	// waiting holds, for each index of an entry proposed here, its term and who waits for it.
	waiting map[uint64]waiter
	present map[string]string
	view    atomic.Pointer[Status]
	// lastTable is the table as last published; it is copied only when it has changed.
	lastTable    wire.Table
	leadingSince time.Time
	logClock     logClock
	// compactAt bounds the log: it is never longer than this and one batch.
	compactAt int
	failed    error
	syncs     uint64
	syncTime  time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

type waiter struct {
	term uint64
	done []chan<- proposed
}

var _ savorywing.ReplicatedLog = (*Node)(nil)

// Option sets an optional part of a Node.
type Option func(*Node)

// WithSeed sets the seed of election times.
func WithSeed(seed uint64) Option {
	return func(n *Node) { n.seed = seed }
}

// WithCompaction sets the number of entries at which the log is replaced by a snapshot.
func WithCompaction(entries int) Option {
	return func(n *Node) { n.compactAt = entries }
}

// NewNode loads the disk and returns a node that Start runs.
func NewNode(d savorywing.Disk, clock savorywing.Clock, t Transport, election time.Duration, log zerolog.Logger, opts ...Option) (*Node, error) {
	stored, err := d.Load()
	if err != nil {
		return nil, fmt.Errorf("quorum.NewNode: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		disk: d, clock: clock, transport: t, election: election, log: log, events: queue.New[event](ringSize),
		waiting: map[uint64]waiter{}, ctx: ctx, cancel: cancel, seed: uint64(clock.Now().UnixNano()), compactAt: compactEntries,
	}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.restore(stored.Snapshot); err != nil {
		cancel()
		return nil, err
	}
	n.core = NewCore(stored, election, clock.Now(), n.seed)
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
	n.machine = m
	return nil
}

// Start runs the node's thread.
func (n *Node) Start() {
	n.done.Add(1)
	go n.run()
}

// Stop ends the thread and closes the disk.
func (n *Node) Stop() {
	n.cancel()
	n.done.Wait()
	if err := n.disk.Close(); err != nil {
		n.log.Warn().Err(err).Msg("closing the disk")
	}
}

// HasLease reads the clock again and tells whether this node still leads.
func (n *Node) HasLease() bool { return n.clock.Now().Before(n.Status().LeaseUntil) }

// Status returns the newest published view.
func (n *Node) Status() Status { return *n.view.Load() }

// Step queues messages of other members; they are lost when the queue is full.
func (n *Node) Step(messages []wire.RaftMessage) {
	n.events.Push(stepEvent{messages: messages})
}

// SetIncarnations tells the leader which incarnation each control host has; empty means not known yet.
func (n *Node) SetIncarnations(present map[string]string) {
	n.events.Push(membersEvent{present: present})
}

// Propose commits a command. It refuses with CodeNotRun if nothing was proposed.
func (n *Node) Propose(ctx context.Context, c wire.Command) (wire.Result, error) {
	done := make(chan proposed, 1)
	if !n.events.Push(proposeEvent{command: c, done: done}) {
		return wire.Result{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "the log's queue is full")
	}
	p, err := wait(ctx, n.ctx, done)
	if err != nil {
		return wire.Result{}, fmt.Errorf("Node.Propose: %w", err)
	}
	return p.result, p.err
}

// Confirm returns the newest numbers and what is newer than asked, only under the leader's lease.
func (n *Node) Confirm(ctx context.Context, ask wire.Confirm) (wire.Confirmed, error) {
	done := make(chan confirmed, 1)
	if !n.events.Push(confirmEvent{ask: ask, done: done}) {
		return wire.Confirmed{}, savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "the log's queue is full")
	}
	c, err := wait(ctx, n.ctx, done)
	if err != nil {
		return wire.Confirmed{}, fmt.Errorf("Node.Confirm: %w", err)
	}
	return c.reply, c.err
}

// Bootstrap sets the first membership; it fails unless the disk is empty.
func (n *Node) Bootstrap(ctx context.Context, m wire.Membership) error {
	done := make(chan error, 1)
	n.events.Push(formEvent{membership: m, done: done})
	result, err := wait(ctx, n.ctx, done)
	if err != nil {
		return fmt.Errorf("Node.Bootstrap: %w", err)
	}
	return result
}

// TransferLeadership asks the node to give up its leadership and tells whether a successor was asked to stand.
func (n *Node) TransferLeadership(ctx context.Context) bool {
	done := make(chan bool, 1)
	n.events.Push(handOverEvent{done: done})
	ok, err := wait(ctx, n.ctx, done)
	return err == nil && ok
}

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
	defer n.done.Done()
	tick := n.election / (heartbeatsPerElection * ticksPerBeat)
	timer := n.clock.After(tick)
	for {
		select {
		case <-n.ctx.Done():
			return
		case first := <-n.events.Out():
			n.handle(n.events.Drain(first, batchSize))
		case <-timer:
			timer = n.clock.After(tick)
			n.core.Tick(n.clock.Now())
			n.changeMembers()
		}
		n.flush()
	}
}

// handle takes a batch of events; all its commands become one entry and share one sync.
func (n *Node) handle(batch []event) {
	var proposals []proposeEvent
	for _, e := range batch {
		switch e := e.(type) {
		case stepEvent:
			for _, m := range e.messages {
				n.core.Step(n.clock.Now(), m)
			}
		case proposeEvent:
			proposals = append(proposals, e)
		case confirmEvent:
			e.done <- n.confirm(e.ask)
		case formEvent:
			e.done <- n.form(e.membership)
		case membersEvent:
			n.present = e.present
		case handOverEvent:
			e.done <- n.core.TransferLeadership(n.clock.Now())
		}
	}
	n.propose(proposals)
}

func (n *Node) propose(events []proposeEvent) {
	if len(events) == 0 {
		return
	}
	var all wire.Commands
	var done []chan<- proposed
	for _, e := range events {
		e.command.At = n.logClock.read(n.core.Term(), n.machine.LastCommandTime(), n.clock.Now())
		all.Commands = append(all.Commands, e.command)
		done = append(done, e.done)
	}
	data, err := codec.Encode(all)
	var index, term uint64
	if err == nil {
		index, term, err = n.core.Propose(data)
	}
	if err != nil {
		refusal := savorywing.NewRequestError(savorywing.CodeNotRun, statusNotLeader, "nothing was proposed", savorywing.WithCause(err))
		for _, ch := range done {
			ch <- proposed{err: refusal}
		}
		return
	}
	n.waiting[index] = waiter{term: term, done: done}
}

func (n *Node) confirm(ask wire.Confirm) confirmed {
	if !n.core.HasLease(n.clock.Now()) {
		return confirmed{err: ErrNotLeader}
	}
	c := n.machine.Configuration()
	reply := wire.Confirmed{Number: c.Number, TableNumber: n.machine.TableNumber()}
	if c.Number > ask.Configuration {
		reply.Configuration = &c
	}
	if reply.TableNumber != ask.Table {
		table := n.machine.Table()
		reply.Table = &table
	}
	return confirmed{reply: reply}
}

// form starts an empty member from its first membership.
func (n *Node) form(m wire.Membership) error {
	if len(n.core.Members().Members) > 0 || n.core.Term() > 0 {
		return ErrAlreadyBootstrapped
	}
	s := wire.Snapshot{Index: 1, Term: 1, Membership: &m}
	stored := savorywing.PersistedState{Identity: n.core.ID(), Term: 1, Snapshot: &s}
	if err := n.disk.Compact(s, savorywing.Record{Term: 1}); err != nil {
		n.fail(err)
		return err
	}
	n.core = NewCore(stored, n.election, n.clock.Now(), n.seed)
	return nil
}

// changeMembers takes the next step towards the incarnations that are present.
func (n *Node) changeMembers() {
	if n.present == nil || !n.core.HasLease(n.clock.Now()) {
		return
	}
	step, id := nextMemberStep(n.core.Members(), n.present, n.core.CaughtUp)
	var err error
	switch step {
	case stepAdd:
		err = n.core.AddLearner(id)
	case stepPromote:
		err = n.core.Promote(id)
	case stepRemove:
		err = n.core.RemoveMember(id)
	case stepNone:
		return
	}
	if err == nil {
		n.log.Info().Str("member", id).Int("step", int(step)).Msg("changing a member of the log")
	}
}

// flush carries out what the core asks for: sync, then send, then apply.
func (n *Node) flush() {
	wasLeader := n.core.Role() == Leader
	e := n.core.Ready()
	if n.failed == nil {
		n.fail(n.persist(e))
	}
	if n.failed != nil {
		n.failWaiting(n.failed)
		n.publish()
		return
	}
	n.transport.SendRaft(e.Messages)
	for _, entry := range e.Committed {
		n.apply(entry)
	}
	if !wasLeader {
		n.failWaiting(ErrLeadershipLost)
	}
	n.compact()
	n.publish()
}

func (n *Node) persist(e Effects) error {
	began := n.clock.Now()
	var record savorywing.Record
	if e.Record != nil {
		record = *e.Record
	}
	switch {
	case e.Install != nil:
		if err := n.disk.Compact(*e.Install, record); err != nil {
			return err
		}
		if err := n.restore(e.Install); err != nil {
			return err
		}
	case e.Record != nil:
		if err := n.disk.Append(record); err != nil {
			return err
		}
	default:
		return nil
	}
	n.syncs++
	n.syncTime += n.clock.Now().Sub(began)
	return nil
}

// fail stops the member for good: after a failed write it must not vote or acknowledge again.
func (n *Node) fail(err error) {
	if err != nil && n.failed == nil {
		n.failed = err
		n.log.Error().Err(err).Msg("the log's disk failed; this voter stops")
	}
}

func (n *Node) apply(entry wire.Entry) {
	if entry.Kind != EntryCommand {
		return
	}
	var all wire.Commands
	if err := codec.Decode(entry.Data, &all); err != nil {
		n.fail(fmt.Errorf("entry %d: %w", entry.Index, err))
		return
	}
	w, waited := n.waiting[entry.Index]
	delete(n.waiting, entry.Index)
	for i, c := range all.Commands {
		r := n.machine.Apply(entry.Index, c)
		if waited && w.term == entry.Term && i < len(w.done) {
			w.done[i] <- proposed{result: r}
			continue
		}
		if waited && i < len(w.done) {
			w.done[i] <- proposed{err: ErrLeadershipLost}
		}
	}
}

func (n *Node) failWaiting(err error) {
	for index, w := range n.waiting {
		for _, ch := range w.done {
			ch <- proposed{err: err}
		}
		delete(n.waiting, index)
	}
}

// compact replaces the applied log by a snapshot once it has grown.
func (n *Node) compact() {
	if n.core.LogLength() < n.compactAt {
		return
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		n.fail(err)
		return
	}
	s := n.core.Compact(n.core.CommitIndex(), data)
	r := savorywing.Record{Term: n.core.Term(), Vote: n.core.vote, Entries: n.core.Entries()}
	n.fail(n.disk.Compact(s, r))
}

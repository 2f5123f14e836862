package quorum

import (
	"errors"
	"fmt"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// repairsPerElection is how often, in one election timeout, a member whose disk has failed tries to write its state.
const repairsPerElection = 2

// ErrOutage means that this member takes no part in the log, since its disk has failed.
var ErrOutage = errors.New("the disk of this member has failed")

// outage is the time in which a member takes no part in the log: it neither votes nor acknowledges, leads or confirms anything.
// Other members take its messages for lost. It begins when a write fails, after which it isn't known what is on the disk, and
// ends once the whole state, which is still in memory, has been written to new files.
type outage struct {
	cause   error
	since   time.Time
	retryAt time.Time
	// unfinished are the effects of the step whose write failed. Its messages are never sent.
	unfinished Effects
	// permanent reports whether the cause is not the disk, so that only another version of the program can end the outage.
	permanent bool
	// leader is the leader of the newest term that has been heard of, to which calls are forwarded.
	leader     string
	leaderTerm uint64
}

// beginOutage ends this member's part in the log after a failed write. A leader steps down at once: it can't commit anything, and
// the others elect a new one as soon as its heartbeats are missed.
func (n *Node) beginOutage(cause error, unfinished Effects) {
	now := n.clock.Now()
	n.outage = &outage{cause: cause, since: now, retryAt: now.Add(n.electionTimeout / repairsPerElection), unfinished: unfinished}
	n.outages++
	n.log.Error().Str("event", "outageBegan").Err(cause).Str("role", n.core.Role().String()).Uint64("term", n.core.Term()).Uint64("commit", n.core.CommitIndex()).
		Msg("writing to the disk failed; this member takes no part in the replicated log until its state is written anew")
	n.core.StepDown(now)
	// Whoever gets the error must not read a status with the lease any more.
	n.publish()
	n.failPending(fmt.Errorf("%w: %w", ErrOutage, cause))
}

// endForGood begins an outage that nothing ends: the log has an entry that this version can't decode.
func (n *Node) endForGood(cause error) {
	if n.outage != nil && n.outage.permanent {
		return
	}
	n.beginOutage(cause, Effects{})
	n.outage.permanent = true
}

// tryRepair writes the whole state to new files when the next attempt is due, which ends the outage.
func (n *Node) tryRepair() {
	o := n.outage
	if o.permanent || n.clock.Now().Before(o.retryAt) {
		return
	}
	err := n.writeState(o.unfinished.Install)
	now := n.clock.Now()
	if err != nil {
		o.retryAt = now.Add(n.electionTimeout / repairsPerElection)
		if allowed, omitted := n.unwritable.Allow("repair"); allowed {
			n.log.Warn().Str("event", "outageGoesOn").Err(err).Dur("after", now.Sub(o.since)).Uint64("omitted", omitted).Msg("the state can't be written yet")
		}
		return
	}
	if s := o.unfinished.Install; s != nil {
		if err := n.restore(s); err != nil {
			n.endForGood(err)
			return
		}
	}
	n.outage = nil
	n.core.StepDown(now)
	n.applyCommitted(o.unfinished.Committed)
	n.log.Info().Str("event", "outageEnded").Dur("after", now.Sub(o.since)).Uint64("commit", n.core.CommitIndex()).Msg("the state is written; this member takes part in the replicated log again")
}

// writeState writes a snapshot and the entries after it to new files. The snapshot is the one that is to be installed, or, if
// that is nil, one of the machine, which then replaces the entries that it has applied.
func (n *Node) writeState(install *wire.Snapshot) error {
	s := install
	if s == nil {
		data, err := n.machine.Snapshot()
		if err != nil {
			return fmt.Errorf("Node.writeState: %w", err)
		}
		compacted := n.core.Compact(n.applied, data)
		s = &compacted
	}
	entries := n.core.Entries()
	if err := n.disk.Compact(*s, savorywing.Record{Term: n.core.Term(), Vote: n.core.vote, Entries: entries}); err != nil {
		return err
	}
	n.appendedBytes = entryBytes(entries)
	return nil
}

// reject answers an event during an outage. Messages of other members are lost; only who leads is taken from them.
func (n *Node) reject(e event) {
	switch e := e.(type) {
	case stepEvent:
		for _, m := range e.messages {
			n.outage.hear(m)
		}
	case proposeEvent:
		e.done <- proposeResult{err: n.notProposed(fmt.Errorf("%w: %w", ErrOutage, n.outage.cause))}
	case confirmEvent:
		e.done <- confirmResult{err: ErrNotLeader}
	case bootstrapEvent:
		e.done <- fmt.Errorf("%w: %w", ErrOutage, n.outage.cause)
	case aimEvent:
		n.aim = aimState{aim: e.aim}
	case transferEvent:
		e.done <- false
	}
}

// hear records the sender of a message that only leaders send.
func (o *outage) hear(m wire.RaftMessage) {
	if (m.Kind == kindAppend || m.Kind == kindSnapshot) && m.Term >= o.leaderTerm {
		o.leader, o.leaderTerm = m.From, m.Term
	}
}

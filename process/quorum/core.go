package quorum

import (
	"errors"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

// Role is the role of a member in the current term.
type Role int

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower camel case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

const (
	// heartbeatsPerElection is the number of heartbeat rounds that a leader sends per election timeout.
	heartbeatsPerElection = 5
	// entriesPerMessage limits the entries of one append message.
	entriesPerMessage = 256
	// leaseMarginDivisor divides the election timeout to give the margin by which a lease is shorter than the
	// timeout.
	// The margin covers clocks that run at different speeds.
	leaseMarginDivisor = 5
)

// Errors of proposals and membership changes.
var (
	ErrNotLeader               = errors.New("not the leader")
	ErrMembershipChangePending = errors.New("the previous membership change or the first entry of the term is not committed yet")
	// ErrUnknownMember is also returned for the removal of the leader itself.
	ErrUnknownMember = errors.New("unknown member")
)

// Effects lists the I/O that the caller must do after a step, in this order: sync Install and Record to the disk,
// send Messages, apply Committed.
type Effects struct {
	Record    *savorywing.Record
	Install   *wire.Snapshot
	Messages  []wire.RaftMessage
	Committed []wire.Entry
}

// progress is a leader's replication state of one member.
type progress struct {
	// match is the highest index known to be synced on the member. It never decreases within a term.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// acked is the send time of the newest heartbeat round that the member acknowledged.
	acked time.Time
}

// Core is one member of the replicated log as a pure state machine.
type Core struct {
	id              string
	electionTimeout time.Duration
	random          *rand.Rand

	// term and vote are synced before any message that depends on them is sent. term never decreases.
	term uint64
	vote string
	log  entryLog
	// commit never decreases, and never exceeds the log's last index.
	commit  uint64
	applied uint64

	role   Role
	leader string
	// lastHeartbeat is when the last message of the current leader was received. Vote requests are rejected for
	// one election timeout after it, except in a leadership transfer.
	lastHeartbeat time.Time
	// noVoteUntil is one election timeout after the start. Vote requests are rejected until then, except in a
	// leadership transfer: acknowledgements sent to a leader before a restart are not persisted, and its lease may
	// still hold.
	noVoteUntil      time.Time
	electionDeadline time.Time
	votes            map[string]bool
	// forcedElection marks an election that the leader requested, so that voters grant votes despite its lease.
	forcedElection bool

	members         wire.Membership
	membershipIndex uint64
	progress        map[string]*progress
	round           uint64
	// roundSent maps heartbeat rounds that may still be acknowledged to their send times.
	roundSent     map[uint64]time.Time
	nextHeartbeat time.Time
	// firstIndexOfTerm is the index of the leader's first entry. There is no lease until it is committed.
	firstIndexOfTerm uint64
	// transferring reports whether this leader has asked a voter to start an election.
	transferring bool
	// transferDeadline is when a leader that transfers its leadership steps down without a successor.
	transferDeadline time.Time

	// dirty means that term, vote or entries from dirtyFrom on are not in a Record yet. dirtyFrom is 0 if no
	// entries are to be recorded.
	dirty     bool
	dirtyFrom uint64
	effects   Effects
}

// NewCore returns a member that starts from its persisted state. election is the minimum election timeout.
func NewCore(stored savorywing.PersistedState, election time.Duration, now time.Time, seed uint64) *Core {
	c := &Core{
		id: stored.Identity, electionTimeout: election, random: rand.New(rand.NewPCG(seed, seed)),
		term: stored.Term, vote: stored.Vote, noVoteUntil: now.Add(election),
	}
	if stored.Snapshot != nil {
		c.log.snapshot = *stored.Snapshot
		c.commit, c.applied = stored.Snapshot.Index, stored.Snapshot.Index
	}
	c.log.entries = append(c.log.entries, stored.Entries...)
	c.loadMembership()
	c.resetDeadline(now)
	return c
}

func (c *Core) loadMembership() {
	c.members, c.membershipIndex = c.log.membership()
}

// ID returns the member's id.
func (c *Core) ID() string { return c.id }

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the id of the leader, or an empty string while it is unknown.
func (c *Core) LeaderID() string { return c.leader }

// CommitIndex returns the highest committed index.
func (c *Core) CommitIndex() uint64 { return c.commit }

// Members returns the newest membership, committed or not.
func (c *Core) Members() wire.Membership { return c.members }

// LogLength returns the number of entries after the snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// Ready returns the effects accumulated since the last call, and clears them.
func (c *Core) Ready() Effects {
	if c.dirty {
		r := &savorywing.Record{Term: c.term, Vote: c.vote}
		if c.dirtyFrom > 0 {
			r.Entries = c.log.slice(c.dirtyFrom, len(c.log.entries))
		}
		c.effects.Record = r
	}
	for c.applied < c.commit {
		c.applied++
		c.effects.Committed = append(c.effects.Committed, c.log.entryAt(c.applied))
	}
	e := c.effects
	c.effects, c.dirty, c.dirtyFrom = Effects{}, false, 0
	return e
}

// Compact drops the log up to and including index and returns the snapshot that replaces it. data is the
// state machine's state at index.
func (c *Core) Compact(index uint64, data []byte) wire.Snapshot {
	term, _ := c.log.term(index)
	m := c.membershipAt(index)
	s := wire.Snapshot{Index: index, Term: term, Membership: &m, Data: data}
	c.log.compact(s)
	return s
}

func (c *Core) membershipAt(index uint64) wire.Membership {
	l := entryLog{snapshot: c.log.snapshot, entries: c.log.entries[:index-c.log.snapshot.Index]}
	m, _ := l.membership()
	return m
}

// Entries returns a copy of the entries after the snapshot.
func (c *Core) Entries() []wire.Entry { return c.log.slice(c.log.firstIndex(), len(c.log.entries)) }

func (c *Core) send(m wire.RaftMessage) {
	m.From = c.id
	m.Term = c.term
	c.effects.Messages = append(c.effects.Messages, m)
}

func (c *Core) markDirtyFrom(from uint64) {
	c.dirty = true
	if c.dirtyFrom == 0 || from < c.dirtyFrom {
		c.dirtyFrom = from
	}
}

func (c *Core) resetDeadline(now time.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + time.Duration(c.random.Int64N(int64(c.electionTimeout))))
}

func (c *Core) isVoter(id string) bool {
	m, ok := membership.Find(c.members, id)
	return ok && m.Voter
}

func (c *Core) quorumSize() int { return len(voters(c.members))/2 + 1 }

func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.dirty = true
	}
	c.role, c.leader = Follower, leader
	c.progress, c.votes = nil, nil
	c.transferring, c.forcedElection = false, false
	c.resetDeadline(now)
}

// Tick starts an election or sends heartbeats when they are due. A leader that lost its majority steps down.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) || !c.isVoter(c.id) {
		return
	}
	c.startPreVote(now)
}

func (c *Core) tickLeader(now time.Time) {
	quorumLost := now.Sub(c.quorumAcked(now)) > c.electionTimeout
	if quorumLost || (c.transferring && now.After(c.transferDeadline)) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.sendHeartbeats(now)
}

func (c *Core) sendHeartbeats(now time.Time) {
	c.nextHeartbeat = now.Add(c.electionTimeout / heartbeatsPerElection)
	c.round++
	c.roundSent[c.round] = now
	delete(c.roundSent, c.round-2*heartbeatsPerElection)
	for _, m := range c.members.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID)
		}
	}
}

// StepDown makes this member a follower that knows no leader, and begins a new election timeout. A leader gives up its lease.
func (c *Core) StepDown(now time.Time) { c.becomeFollower(now, c.term, "") }

// HasLease reports whether, at now, no other leader can have been elected and all entries committed by earlier
// leaders are known here.
func (c *Core) HasLease(now time.Time) bool {
	return now.Before(c.LeaseUntil(now))
}

// LeaseUntil returns when the lease expires by this member's clock; zero means that there is none.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != Leader || c.transferring || c.commit < c.firstIndexOfTerm {
		return time.Time{}
	}
	return c.quorumAcked(now).Add(c.electionTimeout - c.electionTimeout/leaseMarginDivisor)
}

// quorumAcked returns the latest time such that a majority has acknowledged heartbeats sent at or after it.
func (c *Core) quorumAcked(now time.Time) time.Time {
	var times []time.Time
	for _, id := range voters(c.members) {
		switch p := c.progress[id]; {
		case id == c.id:
			times = append(times, now)
		case p != nil:
			times = append(times, p.acked)
		default:
			times = append(times, time.Time{})
		}
	}
	return nthLatest(times, c.quorumSize())
}

// nthLatest returns the n-th latest of the times, or zero if there are fewer. It reorders times.
func nthLatest(times []time.Time, n int) time.Time {
	if n > len(times) {
		return time.Time{}
	}
	for i := range times {
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[n-1]
}

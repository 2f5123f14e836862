package quorum

import (
	"errors"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// Role is what a member does in its term.
type Role int

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

const (
	heartbeatsPerElection = 5
	entriesPerMessage     = 256
	// leaseMargin is the share of the election time that a lease gives away for clocks of different speed.
	leaseMargin = 5
)

// Errors of proposals.
var (
	ErrNotLeader               = errors.New("not the leader")
	ErrMembershipChangePending = errors.New("another change of members is still under way")
	ErrUnknownMember           = errors.New("no such member")
)

// Effects is what a step asks of the outside, in this order: sync Record or Install, send Messages,
// apply Committed.
type Effects struct {
	Record    *savorywing.Record
	Install   *wire.Snapshot
	Messages  []wire.RaftMessage
	Committed []wire.Entry
}

// progress is what a leader knows of one member.
type progress struct {
	// match is the highest index known to be synced there; it only grows within a term.
	match uint64
	next  uint64
	// acked is the time at which the newest acknowledged heartbeat round was sent.
	acked time.Time
}

// Core is one member of the replicated log as a pure state machine.
type Core struct {
	id       string
	election time.Duration
	random   *rand.Rand

	// term and vote are synced before any message that depends on them; term only grows.
	term uint64
	vote string
	log  entryLog
	// commit only grows, and never exceeds the log's last index.
	commit  uint64
	applied uint64

	role   Role
	leader string
	// heard is when the current leader's last heartbeat came; votes are refused for the election time after it.
	heard time.Time
	// silentUntil is the end of the time after a start in which no vote is given, for a promise
	// made to a leader before the start is forgotten.
	silentUntil time.Time
	deadline    time.Time
	votes       map[string]bool
	transfer    bool

	members     wire.Membership
	memberIndex uint64
	progress    map[string]*progress
	round       uint64
	// roundSent holds the send times of rounds that may still be acknowledged.
	roundSent     map[uint64]time.Time
	nextHeartbeat time.Time
	// firstOfTerm is the index of the leader's first entry; nothing is confirmed before it is committed.
	firstOfTerm uint64
	handingOver bool
	// handOverUntil is when a leader gives up waiting for its successor.
	handOverUntil time.Time

	dirty     bool
	dirtyFrom uint64
	effects   Effects
}

// NewCore returns a member that starts from what its disk holds.
func NewCore(stored savorywing.PersistedState, election time.Duration, now time.Time, seed uint64) *Core {
	c := &Core{
		id: stored.Identity, election: election, random: rand.New(rand.NewPCG(seed, seed)),
		term: stored.Term, vote: stored.Vote, silentUntil: now.Add(election),
	}
	if stored.Snapshot != nil {
		c.log.snapshot = *stored.Snapshot
		c.commit, c.applied = stored.Snapshot.Index, stored.Snapshot.Index
	}
	c.log.entries = append(c.log.entries, stored.Entries...)
	c.loadMembers()
	c.resetDeadline(now)
	return c
}

func (c *Core) loadMembers() {
	c.members, c.memberIndex = c.log.membership()
}

// ID returns the member's id.
func (c *Core) ID() string { return c.id }

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the id of the leader, or nothing.
func (c *Core) LeaderID() string { return c.leader }

// CommitIndex returns the highest committed index.
func (c *Core) CommitIndex() uint64 { return c.commit }

// Members returns the newest membership.
func (c *Core) Members() wire.Membership { return c.members }

// LogLength returns the number of entries behind the snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// Ready returns the effects gathered since the last call.
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
		c.effects.Committed = append(c.effects.Committed, c.log.at(c.applied))
	}
	e := c.effects
	c.effects, c.dirty, c.dirtyFrom = Effects{}, false, 0
	return e
}

// Compact drops the log up to index, whose state is data.
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

// Entries returns the entries behind the snapshot.
func (c *Core) Entries() []wire.Entry { return c.log.slice(c.log.first(), len(c.log.entries)) }

func (c *Core) send(m wire.RaftMessage) {
	m.From = c.id
	m.Term = c.term
	c.effects.Messages = append(c.effects.Messages, m)
}

func (c *Core) markEntries(from uint64) {
	c.dirty = true
	if c.dirtyFrom == 0 || from < c.dirtyFrom {
		c.dirtyFrom = from
	}
}

func (c *Core) resetDeadline(now time.Time) {
	c.deadline = now.Add(c.election + time.Duration(c.random.Int64N(int64(c.election))))
}

func (c *Core) isVoter(id string) bool {
	m, ok := findMember(c.members, id)
	return ok && m.Voter
}

func (c *Core) quorum() int { return len(voters(c.members))/2 + 1 }

func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.dirty = true
	}
	c.role, c.leader = Follower, leader
	c.progress, c.votes = nil, nil
	c.handingOver, c.transfer = false, false
	c.resetDeadline(now)
}

// Tick lets time pass: elections, heartbeats, and a leader without a majority steps down.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) || !c.isVoter(c.id) {
		return
	}
	c.preVote(now)
}

func (c *Core) tickLeader(now time.Time) {
	lost := now.Sub(c.quorumAcked(now)) > c.election
	if lost || (c.handingOver && now.After(c.handOverUntil)) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.heartbeat(now)
}

func (c *Core) heartbeat(now time.Time) {
	c.nextHeartbeat = now.Add(c.election / heartbeatsPerElection)
	c.round++
	c.roundSent[c.round] = now
	delete(c.roundSent, c.round-2*heartbeatsPerElection)
	for _, m := range c.members.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID)
		}
	}
}

// HasLease tells whether, at now, no other leader can have been elected and everything committed
// by earlier leaders is known here.
func (c *Core) HasLease(now time.Time) bool {
	return now.Before(c.LeaseUntil(now))
}

// LeaseUntil returns when the lease runs out by this member's clock; zero means that there is none.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != Leader || c.handingOver || c.commit < c.firstOfTerm {
		return time.Time{}
	}
	return c.quorumAcked(now).Add(c.election - c.election/leaseMargin)
}

// quorumAcked returns the latest time since which a majority has acknowledged this leader.
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
	return nthLatest(times, c.quorum())
}

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

package quorum

import (
	"fmt"
	"sort"
	"time"

	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

func (c *Core) appendEntry(e wire.Entry) uint64 {
	e.Index, e.Term = c.log.lastIndex()+1, c.term
	c.log.entries = append(c.log.entries, e)
	c.markDirtyFrom(e.Index)
	return e.Index
}

// Propose appends a command, starts its replication and returns its index and term.
func (c *Core) Propose(data []byte) (uint64, uint64, error) {
	if c.role != Leader || c.transferring {
		return 0, 0, ErrNotLeader
	}
	index := c.appendEntry(wire.Entry{Kind: EntryCommand, Data: data})
	c.broadcastAppend()
	c.advanceCommit()
	return index, c.term, nil
}

// AddLearner adds a member that receives the log but has no vote.
func (c *Core) AddLearner(id string) error {
	return c.changeMembership(withMember(c.members, wire.Member{ID: id}))
}

// Promote makes a learner a voter. The caller checks CaughtUp first.
func (c *Core) Promote(id string) error {
	if _, ok := membership.Find(c.members, id); !ok {
		return fmt.Errorf("Core.Promote: %w: %s", ErrUnknownMember, id)
	}
	return c.changeMembership(withMember(c.members, wire.Member{ID: id, Voter: true}))
}

// RemoveMember removes a member. A leader can't remove itself.
func (c *Core) RemoveMember(id string) error {
	if _, ok := membership.Find(c.members, id); !ok || id == c.id {
		return fmt.Errorf("Core.RemoveMember: %w: %s", ErrUnknownMember, id)
	}
	return c.changeMembership(withoutMember(c.members, id))
}

// Change proposes a change of the membership.
func (c *Core) Change(change membership.Change) error {
	switch change.Kind() {
	case membership.AddLearner:
		return c.AddLearner(change.ID())
	case membership.Promote:
		return c.Promote(change.ID())
	case membership.Remove:
		return c.RemoveMember(change.ID())
	case membership.None:
	}
	return nil
}

func (c *Core) changeMembership(m wire.Membership) error {
	if c.role != Leader || c.transferring {
		return ErrNotLeader
	}
	if c.membershipIndex > c.commit || c.commit < c.firstIndexOfTerm {
		return ErrMembershipChangePending
	}
	c.appendEntry(wire.Entry{Kind: EntryMembership, Data: encodeMembership(m)})
	c.loadMembership()
	for _, member := range m.Members {
		if c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{next: c.log.lastIndex()}
		}
	}
	c.broadcastAppend()
	c.advanceCommit()
	return nil
}

// CaughtUp reports whether a member's log is at most one append message behind the leader's, and the member has acknowledged a heartbeat
// that was sent within an election timeout: one that is suspended now is no voter to count on.
func (c *Core) CaughtUp(now time.Time, id string) bool {
	p := c.progress[id]
	return c.role == Leader && p != nil && p.match > 0 && p.match+entriesPerMessage >= c.log.lastIndex() && now.Sub(p.acked) < c.electionTimeout
}

func (c *Core) broadcastAppend() {
	for _, m := range c.members.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID)
		}
	}
}

// sendAppend sends a member the entries that it lacks, or the snapshot if the log no longer holds them.
func (c *Core) sendAppend(to string) {
	p := c.progress[to]
	if p.next < c.log.firstIndex() {
		s := c.log.snapshot
		c.send(wire.RaftMessage{Kind: kindSnapshot, To: to, Snapshot: &s, Round: c.round})
		p.next = s.Index + 1
		return
	}
	term, _ := c.log.term(p.next - 1)
	entries := c.log.slice(p.next, entriesPerMessage)
	c.send(wire.RaftMessage{
		Kind: kindAppend, To: to, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.commit, Round: c.round,
	})
	p.next += uint64(len(entries))
}

// Step processes one message from another member. Messages for another id are ignored, such as those for the
// identity that this host had before it lost its disk.
func (c *Core) Step(now time.Time, m wire.RaftMessage) {
	if m.To != c.id {
		return
	}
	switch m.Kind {
	case kindPreVote, kindVote:
		c.handleVoteRequest(now, m)
		return
	case kindPreVoteReply, kindVoteReply:
		c.handleVoteReply(now, m)
		return
	}
	if m.Term < c.term {
		c.send(wire.RaftMessage{Kind: kindAppendReply, To: m.From, Reject: true, Hint: c.log.lastIndex()})
		return
	}
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	switch m.Kind {
	case kindAppend:
		c.handleAppend(now, m)
	case kindSnapshot:
		c.handleSnapshot(now, m)
	case kindAppendReply:
		c.handleAppendReply(m)
	case kindElectNow:
		c.handleElectNow(now, m)
	}
}

func (c *Core) followLeader(now time.Time, m wire.RaftMessage) {
	if c.role != Follower {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leader = m.From
	c.lastHeartbeat = now
	c.resetDeadline(now)
}

func (c *Core) handleAppend(now time.Time, m wire.RaftMessage) {
	if c.role == Leader {
		return
	}
	c.followLeader(now, m)
	reply := wire.RaftMessage{Kind: kindAppendReply, To: m.From, Round: m.Round}
	term, known := c.log.term(m.Index)
	switch {
	case m.Index < c.log.snapshot.Index:
		reply.Index = c.commit
		c.send(reply)
		return
	case !known || term != m.LogTerm:
		reply.Reject = true
		reply.Hint = min(c.log.lastIndex(), max(m.Index, 1)-1)
		reply.Hint = max(reply.Hint, c.commit)
		c.send(reply)
		return
	}
	if c.contradictsCommitted(m.Entries) {
		// No leader sends such entries. The sender belongs to another log.
		return
	}
	c.storeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// contradictsCommitted reports whether a committed entry would have to be replaced by another one.
func (c *Core) contradictsCommitted(entries []wire.Entry) bool {
	for _, e := range entries {
		if term, known := c.log.term(e.Index); known && term != e.Term {
			return e.Index <= c.commit
		}
	}
	return false
}

// storeEntries appends entries after truncating the log from the first conflicting one.
func (c *Core) storeEntries(entries []wire.Entry) {
	membershipChanged := false
	for _, e := range entries {
		term, known := c.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			c.log.truncate(e.Index)
			membershipChanged = true
		}
		c.log.entries = append(c.log.entries, e)
		c.markDirtyFrom(e.Index)
		membershipChanged = membershipChanged || e.Kind == EntryMembership
	}
	if membershipChanged {
		c.loadMembership()
	}
}

func (c *Core) handleSnapshot(now time.Time, m wire.RaftMessage) {
	if c.role == Leader || m.Snapshot == nil {
		return
	}
	c.followLeader(now, m)
	s := *m.Snapshot
	if s.Index > c.commit {
		c.log.reset(s)
		c.commit, c.applied = s.Index, s.Index
		c.loadMembership()
		c.effects.Install = &s
		c.effects.Committed = nil
		c.dirty, c.dirtyFrom = true, 0
	}
	c.send(wire.RaftMessage{Kind: kindAppendReply, To: m.From, Index: c.commit, Round: m.Round})
}

func (c *Core) handleAppendReply(m wire.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil || m.Index > c.log.lastIndex() {
		return
	}
	if sent, ok := c.roundSent[m.Round]; ok && sent.After(p.acked) {
		p.acked = sent
	}
	if m.Reject {
		p.next = max(min(p.next, m.Hint+1), p.match+1)
		c.sendAppend(m.From)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From)
	}
}

// advanceCommit commits up to the highest index that a majority has synced, if that entry is of the leader's term. The
// leader's own entries count already: the caller syncs Effects.Record before it applies Effects.Committed.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, id := range voters(c.members) {
		switch {
		case id == c.id:
			matches = append(matches, c.log.lastIndex())
		case c.progress[id] != nil:
			matches = append(matches, c.progress[id].match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[c.quorumSize()-1]
	if term, ok := c.log.term(index); ok && term == c.term && index > c.commit {
		c.commit = index
	}
}

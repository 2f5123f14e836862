package quorum

import (
	"fmt"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

func (c *Core) append(e wire.Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.entries = append(c.log.entries, e)
	c.markEntries(e.Index)
	return e.Index
}

// Propose appends a command and returns its index and term.
func (c *Core) Propose(data []byte) (uint64, uint64, error) {
	if c.role != Leader || c.handingOver {
		return 0, 0, ErrNotLeader
	}
	index := c.append(wire.Entry{Kind: EntryCommand, Data: data})
	c.broadcast()
	c.advance()
	return index, c.term, nil
}

// AddLearner adds a member that gets the log but has no vote.
func (c *Core) AddLearner(id string) error {
	return c.change(withMember(c.members, wire.Member{ID: id}))
}

// Promote gives a learner that has caught up its vote.
func (c *Core) Promote(id string) error {
	if _, ok := findMember(c.members, id); !ok {
		return fmt.Errorf("Core.Promote: %w: %s", ErrUnknownMember, id)
	}
	return c.change(withMember(c.members, wire.Member{ID: id, Voter: true}))
}

// RemoveMember takes a member out; a leader can't remove itself.
func (c *Core) RemoveMember(id string) error {
	if _, ok := findMember(c.members, id); !ok || id == c.id {
		return fmt.Errorf("Core.Remove: %w: %s", ErrUnknownMember, id)
	}
	return c.change(withoutMember(c.members, id))
}

func (c *Core) change(m wire.Membership) error {
	if c.role != Leader || c.handingOver {
		return ErrNotLeader
	}
	if c.memberIndex > c.commit || c.commit < c.firstOfTerm {
		return ErrMembershipChangePending
	}
	c.append(wire.Entry{Kind: EntryMembership, Data: encodeMembership(m)})
	c.loadMembers()
	for _, member := range m.Members {
		if c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{next: c.log.last()}
		}
	}
	c.broadcast()
	c.advance()
	return nil
}

// CaughtUp tells whether a member's log is at most a message behind.
func (c *Core) CaughtUp(id string) bool {
	p := c.progress[id]
	return c.role == Leader && p != nil && p.match > 0 && p.match+entriesPerMessage >= c.log.last()
}

func (c *Core) broadcast() {
	for _, m := range c.members.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID)
		}
	}
}

func (c *Core) sendAppend(to string) {
	p := c.progress[to]
	if p.next < c.log.first() {
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

// Step takes one message from another member.
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
		c.send(wire.RaftMessage{Kind: kindAppendReply, To: m.From, Reject: true, Hint: c.log.last()})
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

func (c *Core) follow(now time.Time, m wire.RaftMessage) {
	if c.role != Follower {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leader = m.From
	c.heard = now
	c.resetDeadline(now)
}

func (c *Core) handleAppend(now time.Time, m wire.RaftMessage) {
	if c.role == Leader {
		return
	}
	c.follow(now, m)
	reply := wire.RaftMessage{Kind: kindAppendReply, To: m.From, Round: m.Round}
	term, known := c.log.term(m.Index)
	switch {
	case m.Index < c.log.snapshot.Index:
		reply.Index = c.commit
		c.send(reply)
		return
	case !known || term != m.LogTerm:
		reply.Reject = true
		reply.Hint = min(c.log.last(), max(m.Index, 1)-1)
		reply.Hint = max(reply.Hint, c.commit)
		c.send(reply)
		return
	}
	c.store(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// store appends entries, and cuts off what contradicts them.
func (c *Core) store(entries []wire.Entry) {
	reload := false
	for _, e := range entries {
		term, known := c.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			c.log.truncate(e.Index)
			reload = true
		}
		c.log.entries = append(c.log.entries, e)
		c.markEntries(e.Index)
		reload = reload || e.Kind == EntryMembership
	}
	if reload {
		c.loadMembers()
	}
}

func (c *Core) handleSnapshot(now time.Time, m wire.RaftMessage) {
	if c.role == Leader || m.Snapshot == nil {
		return
	}
	c.follow(now, m)
	s := *m.Snapshot
	if s.Index > c.commit {
		c.log.replace(s)
		c.commit, c.applied = s.Index, s.Index
		c.loadMembers()
		c.effects.Install = &s
		c.effects.Committed = nil
		c.dirty, c.dirtyFrom = true, 0
	}
	c.send(wire.RaftMessage{Kind: kindAppendReply, To: m.From, Index: c.commit, Round: m.Round})
}

func (c *Core) handleAppendReply(m wire.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
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
	c.advance()
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// advance commits what a majority has synced in the leader's own term.
func (c *Core) advance() {
	var matches []uint64
	for _, id := range voters(c.members) {
		switch {
		case id == c.id:
			matches = append(matches, c.log.last())
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
	index := matches[c.quorum()-1]
	if term, ok := c.log.term(index); ok && term == c.term && index > c.commit {
		c.commit = index
	}
}

package quorum

import (
	"time"

	"savorywing.example/savorywing/wire"
)

func (c *Core) preVote(now time.Time) {
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.id: true}
	c.resetDeadline(now)
	c.requestVotes(kindPreVote, c.term+1)
	c.countVotes(now)
}

func (c *Core) stand(now time.Time) {
	c.term++
	c.vote = c.id
	c.dirty = true
	c.role, c.leader = Candidate, ""
	c.votes = map[string]bool{c.id: true}
	c.resetDeadline(now)
	c.requestVotes(kindVote, c.term)
	c.countVotes(now)
}

func (c *Core) requestVotes(kind, term uint64) {
	for _, id := range voters(c.members) {
		if id == c.id {
			continue
		}
		c.effects.Messages = append(c.effects.Messages, wire.RaftMessage{
			Kind: kind, From: c.id, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.transfer,
		})
	}
}

func (c *Core) countVotes(now time.Time) {
	n := 0
	for id, granted := range c.votes {
		if granted && c.isVoter(id) {
			n++
		}
	}
	if n < c.quorum() {
		return
	}
	if c.role == PreCandidate {
		c.stand(now)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Time) {
	c.role, c.leader = Leader, c.id
	c.progress = map[string]*progress{}
	c.roundSent = map[uint64]time.Time{}
	c.handingOver, c.transfer = false, false
	for _, m := range c.members.Members {
		// A majority has just voted, so the leader may assume its acknowledgement until the first round is due.
		c.progress[m.ID] = &progress{next: c.log.last() + 1, acked: now.Add(-c.election / 2)}
	}
	c.firstOfTerm = c.log.last() + 1
	c.append(wire.Entry{Kind: EntryEmpty})
	c.heartbeat(now)
	c.advance()
}

// handleVoteRequest answers both kinds of requests for a vote.
func (c *Core) handleVoteRequest(now time.Time, m wire.RaftMessage) {
	reply := kindVoteReply
	if m.Kind == kindPreVote {
		reply = kindPreVoteReply
	}
	if c.mustNotVote(now, m) {
		c.send(wire.RaftMessage{Kind: reply, To: m.From, Reject: true})
		return
	}
	if m.Kind == kindVote && m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	granted := c.upToDate(m) && m.Term >= c.term
	if m.Kind == kindVote {
		granted = granted && (c.vote == "" || c.vote == m.From)
	}
	if granted && m.Kind == kindVote {
		c.vote = m.From
		c.dirty = true
		c.resetDeadline(now)
	}
	r := wire.RaftMessage{Kind: reply, From: c.id, To: m.From, Term: c.term, Reject: !granted}
	if granted {
		r.Term = m.Term
	}
	c.effects.Messages = append(c.effects.Messages, r)
}

// mustNotVote keeps the promise that a leader's lease rests on.
func (c *Core) mustNotVote(now time.Time, m wire.RaftMessage) bool {
	if m.Term < c.term {
		return true
	}
	if m.Transfer {
		return false
	}
	if now.Before(c.silentUntil) {
		return true
	}
	if c.role == Leader {
		return c.HasLease(now)
	}
	return !c.heard.IsZero() && now.Sub(c.heard) < c.election
}

func (c *Core) upToDate(m wire.RaftMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) handleVoteReply(now time.Time, m wire.RaftMessage) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	expected := Candidate
	term := c.term
	if m.Kind == kindPreVoteReply {
		expected, term = PreCandidate, c.term+1
	}
	if c.role != expected || (!m.Reject && m.Term != term) {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes(now)
}

// TransferLeadership gives up the lease and asks the member with the longest log to stand at once.
func (c *Core) TransferLeadership(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	best := ""
	for _, id := range voters(c.members) {
		if id == c.id || c.progress[id] == nil {
			continue
		}
		fresh := now.Sub(c.progress[id].acked) < c.election
		if fresh && (best == "" || c.progress[id].match > c.progress[best].match) {
			best = id
		}
	}
	if best == "" || c.progress[best].match < c.log.last() {
		return false
	}
	c.handingOver, c.handOverUntil = true, now.Add(c.election)
	c.send(wire.RaftMessage{Kind: kindElectNow, To: best})
	return true
}

func (c *Core) handleElectNow(now time.Time, m wire.RaftMessage) {
	if m.Term != c.term || c.role != Follower || !c.isVoter(c.id) {
		return
	}
	c.transfer = true
	c.stand(now)
}

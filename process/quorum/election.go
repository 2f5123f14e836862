package quorum

import (
	"time"

	"savorywing.example/savorywing/wire"
)

func (c *Core) startPreVote(now time.Time) {
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.id: true}
	c.resetDeadline(now)
	c.requestVotes(kindPreVote, c.term+1)
	c.countVotes(now)
}

func (c *Core) startElection(now time.Time) {
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
			Kind: kind, From: c.id, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: c.forcedElection,
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
	if n < c.quorumSize() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(now)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader = Leader, c.id
	c.progress = map[string]*progress{}
	c.roundSent = map[uint64]time.Time{}
	c.transferring, c.forcedElection = false, false
	for _, m := range c.members.Members {
		// The votes just received count as acknowledgements that are half an election timeout old, so that the new
		// leader does not step down before its first heartbeats are acknowledged.
		c.progress[m.ID] = &progress{next: c.log.lastIndex() + 1, acked: now.Add(-c.electionTimeout / 2)}
	}
	c.firstIndexOfTerm = c.log.lastIndex() + 1
	c.appendEntry(wire.Entry{Kind: EntryEmpty})
	c.sendHeartbeats(now)
	c.advanceCommit()
}

// handleVoteRequest replies to a vote request or a pre-vote request.
func (c *Core) handleVoteRequest(now time.Time, m wire.RaftMessage) {
	reply := kindVoteReply
	if m.Kind == kindPreVote {
		reply = kindPreVoteReply
	}
	if c.mustRejectVote(now, m) {
		c.send(wire.RaftMessage{Kind: reply, To: m.From, Reject: true})
		return
	}
	if m.Kind == kindVote && m.Term > c.term {
		c.becomeFollower(now, m.Term, "")
	}
	granted := c.isUpToDate(m) && m.Term >= c.term
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

// mustRejectVote reports whether the request is of an earlier term, or a vote could break the lease of a current
// leader.
func (c *Core) mustRejectVote(now time.Time, m wire.RaftMessage) bool {
	if m.Term < c.term {
		return true
	}
	if m.Transfer {
		return false
	}
	if now.Before(c.noVoteUntil) {
		return true
	}
	if c.role == Leader {
		return c.HasLease(now)
	}
	return !c.lastHeartbeat.IsZero() && now.Sub(c.lastHeartbeat) < c.electionTimeout
}

// isUpToDate reports whether the candidate's log is at least as up to date as this member's.
func (c *Core) isUpToDate(m wire.RaftMessage) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
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

// TransferLeadership gives up the lease and asks the most up-to-date reachable voter to start an election at once.
// It does nothing and returns false if this member does not lead or no such voter has the complete log.
func (c *Core) TransferLeadership(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	best := ""
	for _, id := range voters(c.members) {
		if id == c.id || c.progress[id] == nil {
			continue
		}
		reachable := now.Sub(c.progress[id].acked) < c.electionTimeout
		if reachable && (best == "" || c.progress[id].match > c.progress[best].match) {
			best = id
		}
	}
	if best == "" || c.progress[best].match < c.log.lastIndex() {
		return false
	}
	c.transferring, c.transferDeadline = true, now.Add(c.electionTimeout)
	c.send(wire.RaftMessage{Kind: kindElectNow, To: best})
	return true
}

func (c *Core) handleElectNow(now time.Time, m wire.RaftMessage) {
	if m.Term != c.term || c.role != Follower || !c.isVoter(c.id) {
		return
	}
	c.forcedElection = true
	c.startElection(now)
}

package quorum

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

// seededHistories is the number of random histories that TestSeededHistories runs.
const seededHistories = 400

// TestSeededHistories runs clusters through kills, freezes, one-way partitions, leadership transfers, and lost,
// delayed and duplicated messages. Committed entries must not change, at most one lease may exist at a time, and
// the cluster must recover after the faults are repaired.
func TestSeededHistories(t *testing.T) {
	for seed := uint64(1); seed <= seededHistories; seed++ {
		n := 3 + 2*int(seed%2)
		c := newCluster(seed, n)
		proposed := 0
		for range 60 {
			c.run(time.Duration(c.random.Int64N(int64(80 * time.Millisecond))))
			c.injectFault()
			proposed++
			c.propose(fmt.Sprintf("command-%d", proposed))
		}
		c.heal()
		if c.waitForLeader() == "" {
			t.Fatalf("seed %d: no leader after all faults were repaired", seed)
		}
		c.propose("last")
		c.run(time.Second)
		checkAgreement(t, seed, c)
		if len(c.failures) > 0 {
			t.Fatalf("seed %d: %s", seed, c.failures[0])
		}
	}
}

// checkAgreement fails the test unless all voters have the same commit index.
func checkAgreement(t *testing.T, seed uint64, c *cluster) {
	t.Helper()
	highest := uint64(0)
	for _, id := range c.ids {
		highest = max(highest, c.voters[id].core.CommitIndex())
	}
	for _, id := range c.ids {
		if got := c.voters[id].core.CommitIndex(); got != highest {
			t.Fatalf("seed %d: %s committed up to index %d after all faults were repaired, expected %d", seed, id, got, highest)
		}
	}
}

// TestCommittedSurvivesRestartOfAll checks that a committed entry survives a kill and restart of every voter.
func TestCommittedSurvivesRestartOfAll(t *testing.T) {
	Convey("A committed entry is still there after every voter has restarted", t, func() {
		c := newCluster(7, 3)
		c.waitForLeader()
		c.propose("kept")
		c.run(200 * time.Millisecond)
		for _, id := range c.ids {
			c.kill(id)
		}
		c.inFlight = nil
		for _, id := range c.ids {
			c.start(id)
		}
		So(c.waitForLeader(), ShouldNotBeEmpty)
		c.run(time.Second)
		for _, id := range c.ids {
			var data []string
			for _, e := range c.voters[id].applied {
				data = append(data, string(e.Data))
			}
			So(data, ShouldContain, "kept")
		}
		So(c.failures, ShouldBeEmpty)
	})
}

// TestPowerLoss lets all voters lose power within a few milliseconds, each at the moment of a write, again and again. What
// was committed before must still be there, and the cluster must go on.
func TestPowerLoss(t *testing.T) {
	const seeds, losses = 100, 4
	for seed := uint64(1); seed <= seeds; seed++ {
		c := newCluster(seed, 3+2*int(seed%2))
		for loss := range losses {
			if c.waitForLeader() == "" {
				t.Fatalf("seed %d: no leader after %d losses of power", seed, loss)
			}
			for i := range 5 {
				c.propose(fmt.Sprintf("command-%d-%d", loss, i))
				c.run(time.Duration(c.random.Int64N(int64(4 * time.Millisecond))))
			}
			c.powerLost = true
			c.propose(fmt.Sprintf("command-%d-last", loss))
			c.run(5 * time.Millisecond)
			for _, id := range c.ids {
				c.kill(id)
			}
			c.powerLost, c.inFlight = false, nil
			for _, id := range c.ids {
				c.start(id)
			}
		}
		c.waitForLeader()
		c.propose("after")
		c.run(time.Second)
		checkAgreement(t, seed, c)
		for index := range c.committed {
			if got := c.voters[c.ids[0]].core.CommitIndex(); got < index {
				t.Fatalf("seed %d: index %d was committed, and the cluster goes on from %d", seed, index, got)
			}
		}
		if len(c.failures) > 0 {
			t.Fatalf("seed %d: %s", seed, c.failures[0])
		}
	}
}

// TestHalvesPartitioned separates half of the voters from the other half. Neither may elect a leader or commit anything;
// once the link is back, both must agree and go on.
func TestHalvesPartitioned(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		c := newCluster(seed, 4)
		c.waitForLeader()
		c.propose("before")
		c.run(200 * time.Millisecond)
		for i, a := range c.ids {
			for j, b := range c.ids {
				if i%2 != j%2 {
					c.blockedLinks[[2]string{a, b}] = true
				}
			}
		}
		c.run(2 * testElection)
		before := len(c.committed)
		for range 20 {
			c.run(testElection)
			c.propose("in one half")
			if leader := c.leader(); leader != "" {
				t.Fatalf("seed %d: %s holds a lease with half of the voters", seed, leader)
			}
		}
		if n := len(c.committed) - before; n > 0 {
			t.Fatalf("seed %d: %d entries were committed by half of the voters", seed, n)
		}
		c.heal()
		if c.waitForLeader() == "" {
			t.Fatalf("seed %d: no leader after the link was back", seed)
		}
		c.propose("after")
		c.run(time.Second)
		checkAgreement(t, seed, c)
		if len(c.committed) <= before || len(c.failures) > 0 {
			t.Fatalf("seed %d: %d entries committed, %d before; %v", seed, len(c.committed), before, c.failures)
		}
	}
}

// TestLeaderCutOff checks that a leader that is partitioned, frozen or unable to receive messages loses its lease by its
// own clock before another voter gets one.
func TestLeaderCutOff(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster, leader string)
	}{
		{"partitioned", func(c *cluster, leader string) {
			for _, id := range c.ids {
				c.blockedLinks[[2]string{leader, id}], c.blockedLinks[[2]string{id, leader}] = true, true
			}
		}},
		{"frozen", func(c *cluster, leader string) { c.voters[leader].frozen = true }},
		{"unable to receive messages", func(c *cluster, leader string) {
			for _, id := range c.ids {
				c.blockedLinks[[2]string{id, leader}] = true
			}
		}},
	}
	for _, tt := range tests {
		Convey("A leader that is "+tt.name, t, func() {
			c := newCluster(11, 5)
			old := c.waitForLeader()
			c.run(300 * time.Millisecond)
			tt.fault(c, old)
			c.run(testElection)
			So(c.voters[old].core.HasLease(c.now), ShouldBeFalse)
			next := c.waitForLeader()
			So(next, ShouldNotBeEmpty)
			So(next, ShouldNotEqual, old)
			So(c.failures, ShouldBeEmpty)
		})
	}
}

// TestNoVoteAfterRestart checks that a voter that acknowledged a leader and restarted does not vote for another
// candidate while the leader may still hold its lease.
func TestNoVoteAfterRestart(t *testing.T) {
	Convey("A restarted voter rejects vote requests within the election timeout", t, func() {
		c := newCluster(3, 3)
		leader := c.waitForLeader()
		c.run(50 * time.Millisecond)
		var other string
		for _, id := range c.ids {
			if id != leader {
				other = id
			}
		}
		c.start(other)
		v := c.voters[other].core
		v.Step(c.now, wire.RaftMessage{Kind: kindVote, From: "host-x/1", To: other, Term: v.Term() + 1, Index: 1 << 40, LogTerm: 1 << 40})
		replies := v.Ready().Messages
		So(replies, ShouldHaveLength, 1)
		So(replies[0].Reject, ShouldBeTrue)
	})
}

// TestLostDisk checks that a voter that lost its disk rejoins as a learner under a new identity and ignores
// messages for its old identity.
func TestLostDisk(t *testing.T) {
	Convey("A voter that lost its disk", t, func() {
		c := newCluster(5, 3)
		leader := c.waitForLeader()
		c.propose("before")
		c.run(100 * time.Millisecond)
		old := c.ids[0]
		if old == leader {
			old = c.ids[1]
		}
		renewed := HostOf(old) + "/2"
		c.kill(old)
		c.add(renewed, wire.Membership{})
		c.ids = append(c.ids, renewed)
		v := c.voters[renewed].core

		Convey("neither replies for its old identity nor starts an election", func() {
			v.Step(c.now, wire.RaftMessage{Kind: kindVote, From: leader, To: old, Term: 99, Index: 99, LogTerm: 99})
			So(v.Ready().Messages, ShouldBeEmpty)
			v.Tick(c.now.Add(time.Hour))
			So(v.Role(), ShouldEqual, Follower)
		})
		Convey("is added, catches up, replaces its old identity and votes again", func() {
			incarnations := map[string]string{}
			for _, id := range c.ids {
				if id != old {
					incarnations[HostOf(id)] = id
				}
			}
			for range 2000 {
				l := c.voters[c.waitForLeader()].core
				aim := membership.NewAim(l.Term(), c.now, len(incarnations), incarnations)
				_ = l.Change(aim.Next(l.Members(), l.ID(), func(id string) bool { return l.CaughtUp(c.now, id) }))
				c.run(2 * time.Millisecond)
			}
			members := c.voters[c.waitForLeader()].core.Members()
			So(voters(members), ShouldHaveLength, 3)
			So(voters(members), ShouldContain, renewed)
			So(voters(members), ShouldNotContain, old)
			So(c.voters[renewed].core.CommitIndex(), ShouldEqual, c.voters[c.waitForLeader()].core.CommitIndex())
			So(c.failures, ShouldBeEmpty)
		})
	})
}

// TestMembershipOneAtATime checks that a membership change is rejected until the previous one is committed.
func TestMembershipOneAtATime(t *testing.T) {
	Convey("Membership changes", t, func() {
		c := newCluster(9, 3)
		l := c.voters[c.waitForLeader()].core
		So(l.AddLearner("host-8/1"), ShouldBeNil)
		So(errors.Is(l.AddLearner("host-9/1"), ErrMembershipChangePending), ShouldBeTrue)
		So(errors.Is(l.RemoveMember(l.ID()), ErrUnknownMember), ShouldBeTrue)
		So(errors.Is(l.Promote("nobody/1"), ErrUnknownMember), ShouldBeTrue)
	})
}

// TestTransferLeadership checks that a leadership transfer produces a new leader within an election timeout.
func TestTransferLeadership(t *testing.T) {
	Convey("Leadership is transferred within an election timeout", t, func() {
		c := newCluster(13, 5)
		old := c.waitForLeader()
		c.run(100 * time.Millisecond)
		So(c.voters[old].core.TransferLeadership(c.now), ShouldBeTrue)
		c.flush(old)
		start := c.now
		for c.leader() == "" && c.now.Sub(start) < time.Second {
			c.step()
		}
		So(c.leader(), ShouldNotEqual, old)
		So(c.now.Sub(start), ShouldBeLessThan, testElection)
		So(c.failures, ShouldBeEmpty)
	})
}

// TestSnapshotCatchUp checks that a voter that was down while the log was compacted catches up from the snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	Convey("A voter that lacks entries which the log no longer holds", t, func() {
		c := newCluster(17, 3)
		leader := c.waitForLeader()
		down := c.ids[0]
		if down == leader {
			down = c.ids[1]
		}
		c.kill(down)
		for i := range 300 {
			c.propose(fmt.Sprintf("command-%d", i))
			c.run(time.Millisecond)
		}
		c.run(300 * time.Millisecond)
		v := c.voters[c.waitForLeader()]
		s := v.core.Compact(v.core.CommitIndex(), []byte("state"))
		So(v.core.LogLength(), ShouldBeLessThan, 10)
		So(s.Membership.Members, ShouldHaveLength, 3)
		c.start(down)
		c.run(time.Second)
		So(c.voters[down].core.CommitIndex(), ShouldBeGreaterThanOrEqualTo, s.Index)
		So(c.failures, ShouldBeEmpty)
	})
}

// TestNoVoteDuringLease partitions up to two voters from the leader only. The other voters still receive its heartbeats and
// must not elect one of them while the leader holds its lease.
func TestNoVoteDuringLease(t *testing.T) {
	Convey("Voters that receive heartbeats of the leader reject vote requests", t, func() {
		c := newCluster(21, 5)
		leader := c.waitForLeader()
		for _, id := range c.ids[:2] {
			c.blockedLinks[[2]string{leader, id}], c.blockedLinks[[2]string{id, leader}] = true, true
		}
		c.run(5 * time.Second)
		So(c.failures, ShouldBeEmpty)
		So(c.leader(), ShouldEqual, leader)
		for _, id := range c.ids {
			So(c.voters[id].core.Term(), ShouldEqual, c.voters[leader].core.Term())
		}
	})
}

// TestVoteSurvivesRestart checks that a voter votes for only one candidate per term, also after a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	Convey("A voter that has voted and restarted", t, func() {
		c := newCluster(23, 3)
		id := c.ids[0]
		c.now = c.now.Add(2 * testElection)
		requestVote := func(from string) bool {
			v := c.voters[id].core
			v.Step(c.now, wire.RaftMessage{Kind: kindVote, From: from, To: id, Term: 9, Index: 50, LogTerm: 8})
			e := v.Ready()
			if e.Record != nil {
				So(c.voters[id].disk.Append(*e.Record), ShouldBeNil)
			}
			return !e.Messages[0].Reject
		}
		So(requestVote(c.ids[1]), ShouldBeTrue)
		So(requestVote(c.ids[2]), ShouldBeFalse)
		c.start(id)
		c.now = c.now.Add(2 * testElection)
		So(requestVote(c.ids[2]), ShouldBeFalse)
		So(requestVote(c.ids[1]), ShouldBeTrue)
	})
}

// TestCommitNeedsOwnTerm checks that entries of earlier terms are committed only together with an entry of the
// leader's own term.
func TestCommitNeedsOwnTerm(t *testing.T) {
	Convey("An entry of an earlier term is not committed by a majority alone", t, func() {
		m := wire.Membership{}
		for _, id := range []string{"a/1", "b/1", "c/1"} {
			m.Members = append(m.Members, wire.Member{ID: id, Voter: true})
		}
		now := time.Unix(0, 0)
		c := NewCore(savorywing.PersistedState{
			Identity: "a/1", Term: 3, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: &m},
			Entries: []wire.Entry{{Index: 2, Term: 2, Kind: EntryCommand, Data: []byte("old")}},
		}, testElection, now, 1)
		now = now.Add(3 * testElection)
		c.Tick(now)
		c.Step(now, wire.RaftMessage{Kind: kindPreVoteReply, From: "b/1", To: "a/1", Term: 4})
		c.Step(now, wire.RaftMessage{Kind: kindVoteReply, From: "b/1", To: "a/1", Term: 4})
		So(c.Role(), ShouldEqual, Leader)
		c.Step(now, wire.RaftMessage{Kind: kindAppendReply, From: "b/1", To: "a/1", Term: 4, Index: 2, Round: 1})
		So(c.CommitIndex(), ShouldEqual, 1)
		So(c.HasLease(now), ShouldBeFalse)
		c.Step(now, wire.RaftMessage{Kind: kindAppendReply, From: "b/1", To: "a/1", Term: 4, Index: 3, Round: 1})
		So(c.CommitIndex(), ShouldEqual, 3)
		So(c.HasLease(now), ShouldBeTrue)
	})
}

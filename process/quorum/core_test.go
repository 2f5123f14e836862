package quorum

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// seeds is how many orders of events each property is driven through.
const seeds = 400

// TestSeededHistories drives clusters through kills, freezes, one-way cuts, lost, late and doubled
// messages and hand-overs: nothing committed changes, at most one lease exists, and it heals.
func TestSeededHistories(t *testing.T) {
	for seed := uint64(1); seed <= seeds; seed++ {
		n := 3 + 2*int(seed%2)
		c := newCluster(seed, n)
		proposed := 0
		for range 60 {
			c.run(time.Duration(c.random.Int64N(int64(80 * time.Millisecond))))
			c.disturb()
			proposed++
			c.propose(fmt.Sprintf("command-%d", proposed))
		}
		c.heal()
		if c.waitLeader() == "" {
			t.Fatalf("seed %d: no leader after everything was mended", seed)
		}
		c.propose("last")
		c.run(time.Second)
		checkAgreement(t, seed, c)
		if len(c.failures) > 0 {
			t.Fatalf("seed %d: %s", seed, c.failures[0])
		}
	}
}

func checkAgreement(t *testing.T, seed uint64, c *cluster) {
	t.Helper()
	highest := uint64(0)
	for _, id := range c.ids {
		highest = max(highest, c.voters[id].core.CommitIndex())
	}
	for _, id := range c.ids {
		if got := c.voters[id].core.CommitIndex(); got != highest {
			t.Fatalf("seed %d: %s committed %d of %d after everything was mended", seed, id, got, highest)
		}
	}
}

// TestCommittedSurvivesRestartOfAll commits, kills every voter, starts them again and looks.
func TestCommittedSurvivesRestartOfAll(t *testing.T) {
	Convey("What was committed is there after every voter has restarted", t, func() {
		c := newCluster(7, 3)
		c.waitLeader()
		c.propose("kept")
		c.run(200 * time.Millisecond)
		for _, id := range c.ids {
			c.kill(id)
		}
		c.flights = nil
		for _, id := range c.ids {
			c.start(id)
		}
		So(c.waitLeader(), ShouldNotBeEmpty)
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

// TestLeaderCutOff proves that a leader which is cut off loses its lease by its own clock before
// another one has one, and that a frozen one has none when it wakes.
func TestLeaderCutOff(t *testing.T) {
	tests := []struct {
		name string
		harm func(c *cluster, leader string)
	}{
		{"cut off", func(c *cluster, leader string) {
			for _, id := range c.ids {
				c.cut[[2]string{leader, id}], c.cut[[2]string{id, leader}] = true, true
			}
		}},
		{"frozen", func(c *cluster, leader string) { c.voters[leader].frozen = true }},
		{"deaf", func(c *cluster, leader string) {
			for _, id := range c.ids {
				c.cut[[2]string{id, leader}] = true
			}
		}},
	}
	for _, tt := range tests {
		Convey("A leader that is "+tt.name, t, func() {
			c := newCluster(11, 5)
			old := c.waitLeader()
			c.run(300 * time.Millisecond)
			tt.harm(c, old)
			c.run(testElection)
			So(c.voters[old].core.HasLease(c.now), ShouldBeFalse)
			next := c.waitLeader()
			So(next, ShouldNotBeEmpty)
			So(next, ShouldNotEqual, old)
			So(c.failures, ShouldBeEmpty)
		})
	}
}

// TestForgottenPromise proves that a voter which acknowledged a leader and restarted does not elect
// another one while the first still holds its lease.
func TestForgottenPromise(t *testing.T) {
	Convey("A restarted voter gives no vote within the election time", t, func() {
		c := newCluster(3, 3)
		leader := c.waitLeader()
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

// TestLostDisk proves that a voter which lost its disk comes back as a learner under a new identity,
// and that no message for its old identity reaches it.
func TestLostDisk(t *testing.T) {
	Convey("A voter that lost its disk", t, func() {
		c := newCluster(5, 3)
		leader := c.waitLeader()
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

		Convey("does not answer for its old identity, nor stand for election", func() {
			v.Step(c.now, wire.RaftMessage{Kind: kindVote, From: leader, To: old, Term: 99, Index: 99, LogTerm: 99})
			So(v.Ready().Messages, ShouldBeEmpty)
			v.Tick(c.now.Add(time.Hour))
			So(v.Role(), ShouldEqual, Follower)
		})
		Convey("is added, catches up, replaces its old identity and votes again", func() {
			present := map[string]string{}
			for _, id := range c.ids {
				if id != old {
					present[HostOf(id)] = id
				}
			}
			for range 2000 {
				l := c.voters[c.waitLeader()].core
				switch step, id := nextMemberStep(l.Members(), present, l.CaughtUp); step {
				case stepAdd:
					_ = l.AddLearner(id)
				case stepPromote:
					_ = l.Promote(id)
				case stepRemove:
					_ = l.RemoveMember(id)
				}
				c.run(2 * time.Millisecond)
			}
			members := c.voters[c.waitLeader()].core.Members()
			So(voters(members), ShouldHaveLength, 3)
			So(voters(members), ShouldContain, renewed)
			So(voters(members), ShouldNotContain, old)
			So(c.voters[renewed].core.CommitIndex(), ShouldEqual, c.voters[c.waitLeader()].core.CommitIndex())
			So(c.failures, ShouldBeEmpty)
		})
	})
}

// TestMembershipOneAtATime proves that a second change of members waits for the first.
func TestMembershipOneAtATime(t *testing.T) {
	Convey("Changes of members", t, func() {
		c := newCluster(9, 3)
		l := c.voters[c.waitLeader()].core
		So(l.AddLearner("host-8/1"), ShouldBeNil)
		So(errors.Is(l.AddLearner("host-9/1"), ErrMembershipChangePending), ShouldBeTrue)
		So(errors.Is(l.RemoveMember(l.ID()), ErrUnknownMember), ShouldBeTrue)
		So(errors.Is(l.Promote("nobody/1"), ErrUnknownMember), ShouldBeTrue)
	})
}

// TestTransferLeadership proves that a planned hand-over leads to a new leader in far less than an election time.
func TestTransferLeadership(t *testing.T) {
	Convey("Leadership is handed over within a few messages", t, func() {
		c := newCluster(13, 5)
		old := c.waitLeader()
		c.run(100 * time.Millisecond)
		So(c.voters[old].core.TransferLeadership(c.now), ShouldBeTrue)
		c.flush(old)
		began := c.now
		for c.leader() == "" && c.now.Sub(began) < time.Second {
			c.step()
		}
		So(c.leader(), ShouldNotEqual, old)
		So(c.now.Sub(began), ShouldBeLessThan, testElection)
		So(c.failures, ShouldBeEmpty)
	})
}

// TestSnapshotCatchUp proves that a voter which was away while the log was compacted catches up.
func TestSnapshotCatchUp(t *testing.T) {
	Convey("A voter that was away for more than the log holds", t, func() {
		c := newCluster(17, 3)
		leader := c.waitLeader()
		away := c.ids[0]
		if away == leader {
			away = c.ids[1]
		}
		c.kill(away)
		for i := range 300 {
			c.propose(fmt.Sprintf("command-%d", i))
			c.run(time.Millisecond)
		}
		c.run(300 * time.Millisecond)
		v := c.voters[c.waitLeader()]
		s := v.core.Compact(v.core.CommitIndex(), []byte("state"))
		So(v.core.LogLength(), ShouldBeLessThan, 10)
		So(s.Membership.Members, ShouldHaveLength, 3)
		c.start(away)
		c.run(time.Second)
		So(c.voters[away].core.CommitIndex(), ShouldBeGreaterThanOrEqualTo, s.Index)
		So(c.failures, ShouldBeEmpty)
	})
}

// TestNoVoteDuringLease cuts a voter off from the leader only: the others still hear the leader and
// must not elect the voter while the leader holds its lease.
func TestNoVoteDuringLease(t *testing.T) {
	Convey("Voters that hear the leader give no vote", t, func() {
		c := newCluster(21, 5)
		leader := c.waitLeader()
		for _, id := range c.ids[:2] {
			c.cut[[2]string{leader, id}], c.cut[[2]string{id, leader}] = true, true
		}
		c.run(5 * time.Second)
		So(c.failures, ShouldBeEmpty)
		So(c.leader(), ShouldEqual, leader)
		for _, id := range c.ids {
			So(c.voters[id].core.Term(), ShouldEqual, c.voters[leader].core.Term())
		}
	})
}

// TestVoteSurvivesRestart proves that a voter does not vote twice in a term, before and after a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	Convey("A voter that has voted and restarted", t, func() {
		c := newCluster(23, 3)
		id := c.ids[0]
		c.now = c.now.Add(2 * testElection)
		ask := func(from string) bool {
			v := c.voters[id].core
			v.Step(c.now, wire.RaftMessage{Kind: kindVote, From: from, To: id, Term: 9, Index: 50, LogTerm: 8})
			e := v.Ready()
			if e.Record != nil {
				So(c.voters[id].disk.Append(*e.Record), ShouldBeNil)
			}
			return !e.Messages[0].Reject
		}
		So(ask(c.ids[1]), ShouldBeTrue)
		So(ask(c.ids[2]), ShouldBeFalse)
		c.start(id)
		c.now = c.now.Add(2 * testElection)
		So(ask(c.ids[2]), ShouldBeFalse)
		So(ask(c.ids[1]), ShouldBeTrue)
	})
}

// TestCommitNeedsOwnTerm proves that entries of earlier terms are committed only together with one of
// the leader's own term.
func TestCommitNeedsOwnTerm(t *testing.T) {
	Convey("A majority that holds an earlier term's entry is not enough", t, func() {
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

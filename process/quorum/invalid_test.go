package quorum

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/state"
	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// newTestCore returns member a of three, in term 2, with entries 2 to 4 after a snapshot; entry 2 is committed.
func newTestCore(leads bool) *Core {
	now := time.Unix(1000, 0)
	members := wire.Membership{Members: []wire.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}}
	stored := savorywing.PersistedState{Identity: "a", Term: 2, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: &members},
		Entries: []wire.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}}
	c := NewCore(stored, time.Second, now, 1)
	if leads {
		c.startElection(now)
		c.Step(now, wire.RaftMessage{Kind: kindVoteReply, From: "b", To: "a", Term: 3})
		c.Step(now, wire.RaftMessage{Kind: kindAppendReply, From: "b", To: "a", Term: 3, Index: 5})
	} else {
		c.Step(now, wire.RaftMessage{Kind: kindAppend, From: "b", To: "a", Term: 2, Index: 4, LogTerm: 2, Commit: 2})
	}
	c.Ready()
	return c
}

// checkCore fails the test if a core's log doesn't hold its committed entries.
func checkCore(t *testing.T, c *Core, m wire.RaftMessage) {
	t.Helper()
	c.Ready()
	if c.commit > c.log.lastIndex() || c.applied > c.commit || c.commit < c.log.snapshot.Index {
		t.Errorf("after %+v: snapshot %d, applied %d, committed %d, last %d", m, c.log.snapshot.Index, c.applied, c.commit, c.log.lastIndex())
	}
	for i, e := range c.log.entries {
		if e.Index != c.log.firstIndex()+uint64(i) {
			t.Errorf("after %+v: entry %d is at the place of entry %d", m, e.Index, c.log.firstIndex()+uint64(i))
		}
	}
}

// TestImpossibleMessages guards against messages of another member that end this one, or change what is committed.
func TestImpossibleMessages(t *testing.T) {
	entries := func(index, term uint64, n int) []wire.Entry {
		var list []wire.Entry
		for i := range n {
			list = append(list, wire.Entry{Index: index + uint64(i), Term: term})
		}
		return list
	}
	for _, tt := range []struct {
		name string
		m    wire.RaftMessage
	}{
		{"committed entry of another term", wire.RaftMessage{Kind: kindAppend, Term: 3, Index: 1, LogTerm: 1, Entries: entries(2, 3, 1), Commit: 9}},
		{"all entries of another term", wire.RaftMessage{Kind: kindAppend, Term: 9, Index: 1, LogTerm: 1, Entries: entries(2, 9, 9), Commit: 9}},
		{"entry of the snapshot", wire.RaftMessage{Kind: kindAppend, Term: 3, Index: 0, Entries: entries(1, 9, 2), Commit: 9}},
		{"highest index", wire.RaftMessage{Kind: kindAppend, Term: 3, Index: math.MaxUint64, Entries: entries(0, 3, 2), Commit: math.MaxUint64}},
		{"highest commit", wire.RaftMessage{Kind: kindAppend, Term: 3, Index: 4, LogTerm: 2, Commit: math.MaxUint64}},
		{"acknowledgement of what was never sent", wire.RaftMessage{Kind: kindAppendReply, Term: 3, Index: math.MaxUint64}},
		{"acknowledgement of one entry too many", wire.RaftMessage{Kind: kindAppendReply, Term: 3, Index: 6}},
		{"rejection with the highest hint", wire.RaftMessage{Kind: kindAppendReply, Term: 3, Reject: true, Hint: math.MaxUint64}},
		{"rejection with hint 0", wire.RaftMessage{Kind: kindAppendReply, Term: 3, Reject: true}},
		{"snapshot without a membership", wire.RaftMessage{Kind: kindSnapshot, Term: 3, Snapshot: &wire.Snapshot{Index: 9, Term: 3}}},
		{"snapshot at the highest index", wire.RaftMessage{Kind: kindSnapshot, Term: 3, Snapshot: &wire.Snapshot{Index: math.MaxUint64, Term: 3}}},
		{"no snapshot", wire.RaftMessage{Kind: kindSnapshot, Term: 3}},
		{"unknown kind", wire.RaftMessage{Kind: math.MaxUint64, Term: 3}},
		{"highest term", wire.RaftMessage{Kind: kindAppend, Term: math.MaxUint64}},
		{"vote for the highest term", wire.RaftMessage{Kind: kindVote, Term: math.MaxUint64, Transfer: true}},
	} {
		for _, leads := range []bool{false, true} {
			for _, from := range []string{"b", "nobody", ""} {
				c := newTestCore(leads)
				committed := c.log.entryAt(2)
				m := tt.m
				m.From, m.To = from, "a"
				c.Step(time.Unix(1000, 0), m)
				checkCore(t, c, m)
				c.Step(time.Unix(1000, 0), m)
				c.Tick(time.Unix(1009, 0))
				checkCore(t, c, m)
				if c.log.snapshot.Index < 2 && c.log.entryAt(2).Term != committed.Term {
					t.Errorf("%s, leads %v, from %q: the committed entry has changed", tt.name, leads, from)
				}
			}
		}
	}
	c := newTestCore(true)
	commit := c.commit
	for range 3 {
		if _, _, err := c.Propose(nil); err != nil {
			t.Fatal(err)
		}
	}
	c.Step(time.Unix(1000, 0), wire.RaftMessage{Kind: kindAppendReply, From: "c", To: "a", Term: 3, Index: math.MaxUint64})
	if c.commit != commit {
		t.Errorf("entry %d is committed by the acknowledgement of entries that were never sent", c.commit)
	}
}

// FuzzStep checks that messages decoded from arbitrary bytes end no member and leave its log without gaps.
func FuzzStep(f *testing.F) {
	b, err := codec.Encode([]wire.RaftMessage{{Kind: kindAppend, From: "b", Term: 2, Index: 4, LogTerm: 2, Entries: []wire.Entry{{Index: 5, Term: 2}}, Commit: 5},
		{Kind: kindAppendReply, From: "c", Term: 3, Index: 5}, {Kind: kindSnapshot, From: "b", Term: 4, Snapshot: &wire.Snapshot{Index: 7}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b, true)
	f.Add(b, false)
	f.Fuzz(func(t *testing.T, b []byte, leads bool) {
		var frame wire.Frame
		if codec.Decode(b, &frame.Raft) != nil {
			return
		}
		_ = frame.RemoveInvalid()
		c := newTestCore(leads)
		for _, m := range frame.Raft {
			m.To = "a"
			c.Step(time.Unix(1000, 0), m)
			checkCore(t, c, m)
		}
	})
}

// TestUnreadableSnapshot guards against a snapshot of another member that can't be decoded, replaces the state on the disk,
// and keeps this member from ever starting again.
func TestUnreadableSnapshot(t *testing.T) {
	dir := t.TempDir()
	open := func() (*Node, error) {
		folder, err := disk.Open(dir, "a", disk.WithIncarnation("1"))
		if err != nil {
			return nil, err
		}
		return NewNode(folder, clock.System{}, HostTransport(func(string, wire.Frame) error { return nil }), time.Second, zerolog.Nop())
	}
	n, err := open()
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	id := n.Status().ID
	if err := n.Bootstrap(context.Background(), wire.Membership{Members: []wire.Member{{ID: id, Voter: true}, {ID: "b/1", Voter: true}}}); err != nil {
		t.Fatal(err)
	}
	good, err := state.New().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	send := func(index uint64, data []byte) {
		n.Step([]wire.RaftMessage{{Kind: kindSnapshot, From: "b/1", To: id, Term: 1, Snapshot: &wire.Snapshot{Index: index, Term: 1, Data: data}}})
		// Batches of events are handled in order. The second answer comes after the messages' effects.
		for range 2 {
			n.TransferLeadership(context.Background())
		}
	}
	send(50, []byte("snapshot"))
	send(60, good[:len(good)-1])
	if got := n.Status().CommitIndex; got != 1 {
		t.Errorf("committed up to %d after unreadable snapshots, want 1", got)
	}
	send(70, good)
	if got := n.Status().CommitIndex; got != 70 {
		t.Errorf("committed up to %d after a snapshot that can be decoded, want 70", got)
	}
	n.Stop()
	if n, err = open(); err != nil {
		t.Fatalf("the member does not start again: %v", err)
	}
	n.Stop()
}

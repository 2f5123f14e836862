package quorum

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

// faultyDisk is a disk whose writes can be made to fail or to hang.
type faultyDisk struct {
	*disk.Memory
	// writesLeft is how many writes succeed while the disk is armed.
	armed      atomic.Bool
	writesLeft atomic.Int64
	// hangs holds the channel that ends a hang; nil while the disk answers.
	hangs atomic.Pointer[chan struct{}]
}

func (d *faultyDisk) beforeWrite() {
	if c := d.hangs.Load(); c != nil {
		<-*c
	}
	if d.armed.Load() && d.writesLeft.Add(-1) < 0 {
		d.FailWrites.Store(true)
	}
}

// fillAfter makes the disk refuse writes after n more of them, until makeRoom.
func (d *faultyDisk) fillAfter(n int64) {
	d.writesLeft.Store(n)
	d.armed.Store(true)
}

func (d *faultyDisk) makeRoom() {
	d.armed.Store(false)
	d.FailWrites.Store(false)
}

func (d *faultyDisk) Append(r savorywing.Record) error {
	d.beforeWrite()
	return d.Memory.Append(r)
}

func (d *faultyDisk) Compact(s wire.Snapshot, r savorywing.Record) error {
	d.beforeWrite()
	return d.Memory.Compact(s, r)
}

// outageTestElection is the election timeout of the members of an outageCluster.
const outageTestElection = 150 * time.Millisecond

// outageCluster is a cluster of nodes on faulty disks.
type outageCluster struct {
	t         *testing.T
	transport *localTransport
	nodes     []*Node
	disks     []*faultyDisk
}

// newOutageCluster starts nodes of which the first are voters, as many as voters says. The others are no members yet.
func newOutageCluster(t *testing.T, nodes, voters int) *outageCluster {
	t.Helper()
	c := &outageCluster{t: t, transport: &localTransport{nodes: map[string]*Node{}}}
	var m wire.Membership
	for i := range nodes {
		d := &faultyDisk{Memory: disk.NewMemory(fmt.Sprintf("host-%d/1", i))}
		c.disks = append(c.disks, d)
		c.nodes = append(c.nodes, nil)
		if i < voters {
			m.Members = append(m.Members, wire.Member{ID: fmt.Sprintf("host-%d/1", i), Voter: true})
		}
		c.start(i)
	}
	for _, n := range c.nodes[:voters] {
		if err := n.Bootstrap(context.Background(), m); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

func (c *outageCluster) start(i int) {
	c.t.Helper()
	n, err := NewNode(c.disks[i], clock.System{}, c.transport, outageTestElection, zerolog.Nop(), WithSeed(uint64(i)+1))
	if err != nil {
		c.t.Fatal(err)
	}
	c.transport.mu.Lock()
	c.transport.nodes[n.Status().ID] = n
	c.transport.mu.Unlock()
	c.nodes[i] = n
	n.Start()
}

func (c *outageCluster) stop(i int) {
	c.transport.mu.Lock()
	delete(c.transport.nodes, c.nodes[i].Status().ID)
	c.transport.mu.Unlock()
	c.nodes[i].Stop()
}

// propose commits a command within the timeout, at whichever node leads.
func (c *outageCluster) propose(command wire.Command, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := errors.New("no leader")
	for ctx.Err() == nil {
		for _, n := range c.nodes {
			if n.Status().Role != Leader {
				continue
			}
			attempt, end := context.WithTimeout(ctx, time.Second)
			_, err = n.Propose(attempt, command)
			end()
			if err == nil {
				return nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// publish commits a document, which may be committed more than once.
func (c *outageCluster) publish(version uint64) error {
	return c.propose(wire.Command{Publish: &wire.Publish{Version: version, Document: fmt.Appendf(nil, "document %d", version)}}, 5*time.Second)
}

// await waits until a condition holds.
func (c *outageCluster) await(what string, holds func() bool) {
	c.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("not within 10 s: %s", what)
}

// awaitApplied waits until a node has applied a document.
func (c *outageCluster) awaitApplied(i int, version uint64) {
	c.t.Helper()
	c.await(fmt.Sprintf("node %d applies version %d", i, version), func() bool {
		p := c.nodes[i].Status().Published
		return p != nil && p.Version >= version
	})
}

func (c *outageCluster) leader() int {
	for i, n := range c.nodes {
		if n.HasLease() {
			return i
		}
	}
	return -1
}

// TestFullDisksOneAfterAnother guards against members whose disk was full for a moment and that never take part in the log
// again, so that after some of them nothing is acknowledged any more while all processes run.
func TestFullDisksOneAfterAnother(t *testing.T) {
	c := newOutageCluster(t, 5, 5)
	version := uint64(0)
	for round := range 10 {
		for i := range c.nodes {
			// At every other round the disk fills in the middle of a few writes.
			c.disks[i].fillAfter(int64(round % 2))
			c.await("the member is out", func() bool {
				version++
				if err := c.publish(version); err != nil {
					t.Fatalf("round %d, disk %d full: version %d: %v", round, i, version, err)
				}
				return c.nodes[i].Status().FailureReason != ""
			})
			c.disks[i].makeRoom()
			c.awaitApplied(i, version)
		}
	}
	for i := range c.nodes {
		if s := c.nodes[i].Status(); s.FailureReason != "" || s.Outages != 10 {
			t.Errorf("node %d: %d outages, failure %q, want 10 that are over", i, s.Outages, s.FailureReason)
		}
	}
}

// TestFullDiskOfLeader guards against a leader that keeps its lease, or acknowledges anything, after a write has failed.
func TestFullDiskOfLeader(t *testing.T) {
	c := newOutageCluster(t, 3, 3)
	for round := range uint64(5) {
		if err := c.publish(2*round + 1); err != nil {
			t.Fatal(err)
		}
		var old int
		c.await("there is a leader", func() bool { old = c.leader(); return old >= 0 })
		c.disks[old].fillAfter(0)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if _, err := c.nodes[old].Propose(ctx, claimCommand(fmt.Sprint(round))); !errors.Is(err, ErrOutage) || savorywing.AsRequestError(err).Code() != savorywing.CodeUnknown {
			t.Errorf("a command whose write failed: %v, want %v with an unknown outcome", err, ErrOutage)
		}
		if s := c.nodes[old].Status(); s.Role == Leader || c.nodes[old].HasLease() || s.FailureReason == "" {
			t.Errorf("after a failed write: role %v, lease until %v, failure %q", s.Role, s.LeaseUntil, s.FailureReason)
		}
		if _, err := c.nodes[old].Propose(ctx, claimCommand("late")); savorywing.AsRequestError(err).Code() != savorywing.CodeNotRun {
			t.Errorf("a command during the outage: %v, want notRun", err)
		}
		if _, err := c.nodes[old].Confirm(ctx, wire.Confirm{}); !errors.Is(err, ErrNotLeader) {
			t.Errorf("a confirmation during the outage: %v, want %v", err, ErrNotLeader)
		}
		cancel()
		if err := c.publish(2*round + 2); err != nil {
			t.Fatalf("the others elect no leader: %v", err)
		}
		c.await("the member out knows the new leader", func() bool {
			s := c.nodes[old].Status()
			return s.Leader != "" && s.Leader != s.ID
		})
		c.disks[old].makeRoom()
		c.awaitApplied(old, 2*round+2)
	}
}

// TestFullDiskFillsAgain guards against a member that is lost when its disk fills once more while it recovers.
func TestFullDiskFillsAgain(t *testing.T) {
	c := newOutageCluster(t, 3, 3)
	follower := func() int {
		c.await("there is a leader", func() bool { return c.leader() >= 0 })
		return (c.leader() + 1) % len(c.nodes)
	}
	i := follower()
	for round := range uint64(5) {
		c.disks[i].fillAfter(0)
		if err := c.publish(2*round + 1); err != nil {
			t.Fatal(err)
		}
		c.await("the member is out", func() bool { return c.nodes[i].Status().FailureReason != "" })
		before := c.nodes[i].Status().CommitIndex
		c.disks[i].makeRoom()
		c.disks[i].fillAfter(1)
		if err := c.publish(2*round + 2); err != nil {
			t.Fatal(err)
		}
		if got := c.nodes[i].Status().CommitIndex; got < before {
			t.Errorf("the commit index went back from %d to %d", before, got)
		}
		time.Sleep(outageTestElection)
		c.disks[i].makeRoom()
		c.awaitApplied(i, 2*round+2)
	}
}

// TestFullDiskAndRestart guards against a member that has lost synced state when it is restarted during an outage.
func TestFullDiskAndRestart(t *testing.T) {
	c := newOutageCluster(t, 3, 3)
	version := uint64(0)
	for i := range c.nodes {
		version++
		if err := c.publish(version); err != nil {
			t.Fatal(err)
		}
		c.awaitApplied(i, version)
		c.disks[i].fillAfter(0)
		if err := c.publish(version + 1); err != nil {
			t.Fatal(err)
		}
		version++
		c.await("the member is out", func() bool { return c.nodes[i].Status().FailureReason != "" })
		term := c.nodes[i].Status().Term
		c.stop(i)
		c.disks[i].makeRoom()
		c.start(i)
		if got := c.nodes[i].Status().Term; got > term {
			t.Errorf("node %d starts with term %d, which it has not synced before it was stopped in term %d", i, got, term)
		}
		c.awaitApplied(i, version)
	}
}

// TestDiskHangs guards against a member that goes on as leader after its disk has hung for longer than an election takes.
func TestDiskHangs(t *testing.T) {
	c := newOutageCluster(t, 3, 3)
	if err := c.publish(1); err != nil {
		t.Fatal(err)
	}
	var old int
	c.await("there is a leader", func() bool { old = c.leader(); return old >= 0 })
	release := make(chan struct{})
	c.disks[old].hangs.Store(&release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	// The write of this command hangs until its caller has given up.
	_, _ = c.nodes[old].Propose(ctx, claimCommand("hangs"))
	c.await("the others lead", func() bool { l := c.leader(); return l >= 0 && l != old })
	if c.nodes[old].HasLease() {
		t.Error("a leader whose disk hangs holds a lease beside its successor")
	}
	if err := c.publishElsewhere(old, 2); err != nil {
		t.Fatal(err)
	}
	c.disks[old].hangs.Store(nil)
	close(release)
	c.awaitApplied(old, 2)
}

// publishElsewhere commits a document at another node than one that hangs.
func (c *outageCluster) publishElsewhere(except int, version uint64) error {
	err := errors.New("no leader")
	for range 200 {
		for i, n := range c.nodes {
			if i == except || !n.HasLease() {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err = n.Propose(ctx, wire.Command{Publish: &wire.Publish{Version: version}})
			cancel()
			if err == nil {
				return nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return err
}

// TestFullDiskOfLearner guards against a host that is never added to the members since its disk was full while it joined.
func TestFullDiskOfLearner(t *testing.T) {
	c := newOutageCluster(t, 4, 3)
	if err := c.publish(1); err != nil {
		t.Fatal(err)
	}
	c.disks[3].fillAfter(0)
	incarnations := map[string]string{}
	for _, n := range c.nodes {
		incarnations[HostOf(n.Status().ID)] = n.Status().ID
	}
	c.await("the learner's disk has failed", func() bool {
		for _, n := range c.nodes[:3] {
			n.SetAim(membership.NewAim(n.Status().Term, time.Now(), len(incarnations), incarnations))
		}
		return c.nodes[3].Status().FailureReason != ""
	})
	c.disks[3].makeRoom()
	c.await("the learner becomes a voter", func() bool {
		m, ok := membership.Find(c.nodes[3].Status().Members, c.nodes[3].Status().ID)
		return ok && m.Voter
	})
	c.awaitApplied(3, 1)
}

// TestFullDiskAtBootstrap guards against a member that can't be bootstrapped any more since its disk was full at the first try.
func TestFullDiskAtBootstrap(t *testing.T) {
	c := newOutageCluster(t, 1, 0)
	c.disks[0].fillAfter(0)
	m := wire.Membership{Members: []wire.Member{{ID: "host-0/1", Voter: true}}}
	if err := c.nodes[0].Bootstrap(context.Background(), m); !errors.Is(err, disk.ErrWriteFailed) {
		t.Fatalf("Bootstrap: %v, want %v", err, disk.ErrWriteFailed)
	}
	c.disks[0].makeRoom()
	c.await("the member is bootstrapped", func() bool { return c.nodes[0].Bootstrap(context.Background(), m) == nil })
	if err := c.publish(1); err != nil {
		t.Fatal(err)
	}
}

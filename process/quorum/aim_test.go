package quorum

import (
	"context"
	"testing"
	"time"

	"savorywing.example/savorywing/process/membership"
)

// isVoterAt reports whether a node's newest membership has another node as a voter.
func (c *outageCluster) isVoterAt(at, i int) bool {
	m, ok := membership.Find(c.nodes[at].Status().Members, c.nodes[i].Status().ID)
	return ok && m.Voter
}

// lead passes the lead on until a node leads, and keeps the others from it.
func (c *outageCluster) lead(i int) {
	c.t.Helper()
	c.await("the node leads", func() bool {
		leader := c.leader()
		if leader == i {
			return c.nodes[i].HasLease()
		}
		if leader >= 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			c.nodes[leader].TransferLeadership(ctx)
		}
		return false
	})
}

// setAim sets the members that a node aims at in its term.
func (c *outageCluster) setAim(at int, hosts ...int) {
	incarnations := map[string]string{}
	for _, i := range hosts {
		id := c.nodes[i].Status().ID
		incarnations[HostOf(id)] = id
	}
	c.nodes[at].SetAim(membership.NewAim(c.nodes[at].Status().Term, time.Now(), len(incarnations), incarnations))
}

// TestFormerLeaderKeepsMembers guards against a leader that leads again and takes the membership back to that of its earlier
// lead, before it has heard which hosts there are now.
func TestFormerLeaderKeepsMembers(t *testing.T) {
	const former, next, removed, added = 0, 1, 2, 3
	c := newOutageCluster(t, 4, 3)
	c.lead(former)
	c.setAim(former, former, next, removed)
	c.lead(next)
	c.await("the added host replaces the removed one", func() bool {
		c.setAim(next, former, next, added)
		return c.isVoterAt(next, added) && !c.isVoterAt(next, removed)
	})
	c.lead(former)
	for end := time.Now().Add(4 * outageTestElection); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !c.isVoterAt(former, added) {
			t.Fatalf("the former leader has removed the added host: %+v", c.nodes[former].Status().Members)
		}
	}
	if got := c.nodes[former].Status().SkippedAims; got != 1 {
		t.Errorf("the former leader has skipped %d aims, want the one of its earlier lead", got)
	}
	c.await("the former leader removes a host that it aims at removing anew", func() bool {
		c.setAim(former, former, next)
		return !c.isVoterAt(former, added)
	})
}

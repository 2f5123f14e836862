package quorum

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/disk"
	"savorywing.example/savorywing/wire"
)

const testElection = 100 * time.Millisecond

// testVoter is one member of a simulated cluster: a core, its disk and the state of its process.
type testVoter struct {
	core *Core
	disk *disk.Memory
	// running is false after a kill until the next start. frozen is true while the process is suspended.
	running bool
	frozen  bool
	// applied lists the committed entries in order since the last start.
	applied []wire.Entry
}

// inFlightMessage is a message in transit.
type inFlightMessage struct {
	deliverAt time.Time
	message   wire.RaftMessage
}

// cluster simulates voters and their network with a seeded random source and a virtual clock.
type cluster struct {
	random       *rand.Rand
	now          time.Time
	voters       map[string]*testVoter
	ids          []string
	inFlight     []inFlightMessage
	blockedLinks map[[2]string]bool
	// committed maps each index to the first entry that any voter reported as committed there.
	committed map[uint64]wire.Entry
	// powerLost stops each voter at its next write, which doesn't reach its disk.
	powerLost bool
	failures  []string
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0), voters: map[string]*testVoter{},
		blockedLinks: map[[2]string]bool{}, committed: map[uint64]wire.Entry{},
	}
	var m wire.Membership
	for i := range n {
		id := fmt.Sprintf("host-%d/1", i)
		m.Members = append(m.Members, wire.Member{ID: id, Voter: true})
		c.ids = append(c.ids, id)
	}
	for _, id := range c.ids {
		c.add(id, m)
	}
	return c
}

// add starts a voter whose disk holds membership m, or an empty disk if m has no members.
func (c *cluster) add(id string, m wire.Membership) {
	d := disk.NewMemory(id)
	if len(m.Members) > 0 {
		if err := d.Compact(wire.Snapshot{Index: 1, Term: 1, Membership: &m}, savorywing.Record{Term: 1}); err != nil {
			panic(err)
		}
	}
	c.voters[id] = &testVoter{disk: d}
	c.start(id)
}

func (c *cluster) start(id string) {
	v := c.voters[id]
	stored, err := v.disk.Load()
	if err != nil {
		panic(err)
	}
	v.core = NewCore(stored, testElection, c.now, c.random.Uint64())
	v.running, v.frozen = true, false
	v.applied = nil
}

func (c *cluster) kill(id string) { c.voters[id].running = false }

func (c *cluster) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// flush executes a core's effects in order: sync, send, apply.
func (c *cluster) flush(id string) {
	v := c.voters[id]
	e := v.core.Ready()
	if c.powerLost && (e.Install != nil || e.Record != nil) {
		c.kill(id)
		return
	}
	var err error
	switch {
	case e.Install != nil:
		r := savorywing.Record{}
		if e.Record != nil {
			r = *e.Record
		}
		err = v.disk.Compact(*e.Install, r)
	case e.Record != nil:
		err = v.disk.Append(*e.Record)
	}
	if err != nil {
		panic(err)
	}
	for _, m := range e.Messages {
		c.send(id, m)
	}
	for _, entry := range e.Committed {
		c.commit(id, entry)
	}
}

func (c *cluster) commit(id string, e wire.Entry) {
	c.voters[id].applied = append(c.voters[id].applied, e)
	old, known := c.committed[e.Index]
	if known && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		c.fail("two different entries were committed at index %d: term %d %q and term %d %q", e.Index, old.Term, old.Data, e.Term, e.Data)
	}
	c.committed[e.Index] = e
}

// send queues a message for delivery. At random it drops, delays, duplicates or reorders it.
func (c *cluster) send(from string, m wire.RaftMessage) {
	if c.blockedLinks[[2]string{from, m.To}] || c.random.Float64() < 0.05 {
		return
	}
	copies := 1
	if c.random.Float64() < 0.05 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.random.Int64N(int64(3 * time.Millisecond)))
		if c.random.Float64() < 0.02 {
			delay += time.Duration(c.random.Int64N(int64(300 * time.Millisecond)))
		}
		c.inFlight = append(c.inFlight, inFlightMessage{deliverAt: c.now.Add(delay), message: m})
	}
}

// step advances the clock by 1 ms, delivers due messages and ticks every running voter.
func (c *cluster) step() {
	c.now = c.now.Add(time.Millisecond)
	var later, due []inFlightMessage
	for _, f := range c.inFlight {
		if f.deliverAt.After(c.now) {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	c.inFlight = later
	for _, f := range due {
		if v := c.voters[f.message.To]; v != nil && v.running && !v.frozen {
			v.core.Step(c.now, f.message)
			c.flush(f.message.To)
		}
	}
	for _, id := range c.ids {
		if v := c.voters[id]; v.running && !v.frozen {
			v.core.Tick(c.now)
			c.flush(id)
		}
	}
	c.checkLeases()
}

// checkLeases records a failure if more than one live voter, running or frozen, holds a lease now.
func (c *cluster) checkLeases() {
	var holders []string
	for _, id := range c.ids {
		if v := c.voters[id]; v.running && v.core.HasLease(c.now) {
			holders = append(holders, id)
		}
	}
	if len(holders) > 1 {
		c.fail("at %s more than one voter holds a lease: %v", c.now.Sub(time.Unix(1_000_000, 0)), holders)
	}
}

func (c *cluster) run(d time.Duration) {
	for range d / time.Millisecond {
		c.step()
	}
}

// leader returns the id of the voter that holds the lease, or an empty string.
func (c *cluster) leader() string {
	for _, id := range c.ids {
		if v := c.voters[id]; v.running && !v.frozen && v.core.HasLease(c.now) {
			return id
		}
	}
	return ""
}

// waitForLeader runs the cluster until there is a leader, for at most 5 s of virtual time.
func (c *cluster) waitForLeader() string {
	for range 5000 {
		if id := c.leader(); id != "" {
			return id
		}
		c.step()
	}
	return ""
}

// propose proposes a command at every running voter in the leader role.
func (c *cluster) propose(data string) {
	for _, id := range c.ids {
		v := c.voters[id]
		if v.running && !v.frozen && v.core.Role() == Leader {
			_, _, _ = v.core.Propose([]byte(data))
			c.flush(id)
		}
	}
}

// injectFault injects or repairs one random fault, or transfers the leadership.
func (c *cluster) injectFault() {
	id := c.ids[c.random.IntN(len(c.ids))]
	other := c.ids[c.random.IntN(len(c.ids))]
	v := c.voters[id]
	switch c.random.IntN(10) {
	case 0:
		c.kill(id)
	case 1, 2:
		if !v.running {
			c.start(id)
		}
	case 3:
		v.frozen = true
	case 4, 5:
		v.frozen = false
	case 6:
		c.blockedLinks[[2]string{id, other}] = true
	case 7, 8:
		delete(c.blockedLinks, [2]string{id, other})
		if len(c.blockedLinks) > len(c.ids) {
			c.blockedLinks = map[[2]string]bool{}
		}
	case 9:
		if v.running && !v.frozen && c.random.IntN(2) == 0 {
			v.core.TransferLeadership(c.now)
			c.flush(id)
		}
	}
}

// heal repairs all faults.
func (c *cluster) heal() {
	c.blockedLinks = map[[2]string]bool{}
	for _, id := range c.ids {
		v := c.voters[id]
		v.frozen = false
		if !v.running {
			c.start(id)
		}
	}
}

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

// voter is one member in a test cluster: a core, its disk, and whether it runs.
type voter struct {
	core *Core
	disk *disk.Memory
	// up is false while the process is dead, frozen while it is stopped.
	up     bool
	frozen bool
	// applied lists committed commands in order.
	applied []wire.Entry
}

// flight is a message on its way.
type flight struct {
	at time.Time
	m  wire.RaftMessage
}

// cluster is a seeded network of voters.
type cluster struct {
	random  *rand.Rand
	now     time.Time
	voters  map[string]*voter
	ids     []string
	flights []flight
	cut     map[[2]string]bool
	// committed maps each index to the entry that some voter saw committed there.
	committed map[uint64]wire.Entry
	failures  []string
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0), voters: map[string]*voter{},
		cut: map[[2]string]bool{}, committed: map[uint64]wire.Entry{},
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

// add starts a voter whose disk holds the first membership, or nothing for an empty one.
func (c *cluster) add(id string, m wire.Membership) {
	d := disk.NewMemory(id)
	if len(m.Members) > 0 {
		if err := d.Compact(wire.Snapshot{Index: 1, Term: 1, Membership: &m}, savorywing.Record{Term: 1}); err != nil {
			panic(err)
		}
	}
	c.voters[id] = &voter{disk: d}
	c.start(id)
}

func (c *cluster) start(id string) {
	v := c.voters[id]
	stored, err := v.disk.Load()
	if err != nil {
		panic(err)
	}
	v.core = NewCore(stored, testElection, c.now, c.random.Uint64())
	v.up, v.frozen = true, false
	v.applied = nil
}

func (c *cluster) kill(id string) { c.voters[id].up = false }

func (c *cluster) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// flush carries out what a core asks for: sync, send, apply.
func (c *cluster) flush(id string) {
	v := c.voters[id]
	e := v.core.Ready()
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
		c.fail("index %d was committed twice: term %d %q and term %d %q", e.Index, old.Term, old.Data, e.Term, e.Data)
	}
	c.committed[e.Index] = e
}

// send puts a message on its way, lost, late, twice or out of order.
func (c *cluster) send(from string, m wire.RaftMessage) {
	if c.cut[[2]string{from, m.To}] || c.random.Float64() < 0.05 {
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
		c.flights = append(c.flights, flight{at: c.now.Add(delay), m: m})
	}
}

// step moves time on by a millisecond, delivers what is due and ticks every voter.
func (c *cluster) step() {
	c.now = c.now.Add(time.Millisecond)
	var rest, due []flight
	for _, f := range c.flights {
		if f.at.After(c.now) {
			rest = append(rest, f)
		} else {
			due = append(due, f)
		}
	}
	c.flights = rest
	for _, f := range due {
		if v := c.voters[f.m.To]; v != nil && v.up && !v.frozen {
			v.core.Step(c.now, f.m)
			c.flush(f.m.To)
		}
	}
	for _, id := range c.ids {
		if v := c.voters[id]; v.up && !v.frozen {
			v.core.Tick(c.now)
			c.flush(id)
		}
	}
	c.checkLeases()
}

// checkLeases checks that at most one voter, running or frozen, believes in its lease at any moment.
func (c *cluster) checkLeases() {
	var holders []string
	for _, id := range c.ids {
		if v := c.voters[id]; v.up && v.core.HasLease(c.now) {
			holders = append(holders, id)
		}
	}
	if len(holders) > 1 {
		c.fail("at %s these hold a lease: %v", c.now.Sub(time.Unix(1_000_000, 0)), holders)
	}
}

func (c *cluster) run(d time.Duration) {
	for range d / time.Millisecond {
		c.step()
	}
}

// leader returns the voter that holds the lease now, or nothing.
func (c *cluster) leader() string {
	for _, id := range c.ids {
		if v := c.voters[id]; v.up && !v.frozen && v.core.HasLease(c.now) {
			return id
		}
	}
	return ""
}

// waitLeader runs until there is a leader.
func (c *cluster) waitLeader() string {
	for range 5000 {
		if id := c.leader(); id != "" {
			return id
		}
		c.step()
	}
	return ""
}

// propose proposes at every voter that believes it leads.
func (c *cluster) propose(data string) {
	for _, id := range c.ids {
		v := c.voters[id]
		if v.up && !v.frozen && v.core.Role() == Leader {
			_, _, _ = v.core.Propose([]byte(data))
			c.flush(id)
		}
	}
}

// disturb does one random harm or mends one.
func (c *cluster) disturb() {
	id := c.ids[c.random.IntN(len(c.ids))]
	other := c.ids[c.random.IntN(len(c.ids))]
	v := c.voters[id]
	switch c.random.IntN(10) {
	case 0:
		c.kill(id)
	case 1, 2:
		if !v.up {
			c.start(id)
		}
	case 3:
		v.frozen = true
	case 4, 5:
		v.frozen = false
	case 6:
		c.cut[[2]string{id, other}] = true
	case 7, 8:
		delete(c.cut, [2]string{id, other})
		if len(c.cut) > len(c.ids) {
			c.cut = map[[2]string]bool{}
		}
	case 9:
		if v.up && !v.frozen && c.random.IntN(2) == 0 {
			v.core.TransferLeadership(c.now)
			c.flush(id)
		}
	}
}

func (c *cluster) heal() {
	c.cut = map[[2]string]bool{}
	for _, id := range c.ids {
		v := c.voters[id]
		v.frozen = false
		if !v.up {
			c.start(id)
		}
	}
}

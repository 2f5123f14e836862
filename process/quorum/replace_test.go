package quorum

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"savorywing.example/savorywing/process/listening"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/wire"
)

const (
	simVoters       = 5
	simSpares       = 2
	simAnnounce     = 500 * time.Millisecond
	simSilentAfter  = 2 * time.Second
	simReconcile    = 50 * time.Millisecond
	simTakeover     = 4 * time.Second
	simSettled      = 12 * time.Second
	simWriteEvery   = 200 * time.Millisecond
	simEventEvery   = 300 * time.Millisecond
	simLongestPause = 4 * time.Second
)

// simHost is a machine of a simulated fleet.
type simHost struct {
	name string
	// id is its present incarnation.
	id string
	// heard is what it has heard of others, and unread what arrived while it was suspended.
	heard     map[string]membership.Host
	unread    []string
	listening listening.Tracker
	aim       membership.Aim
	// thawsAt and startsAt are when it goes on, or starts again with an empty disk; zero for not.
	thawsAt, startsAt time.Time
	// isRemoved is set once it is gone for good.
	isRemoved bool
}

// fleetSim is a cluster whose leaders replace voters by what they hear.
type fleetSim struct {
	*cluster
	hosts []*simHost
	// lostDisks counts the disks that have been lost.
	lostDisks int
	written   int
}

func newFleetSim(seed uint64) *fleetSim {
	s := &fleetSim{cluster: newCluster(seed, simVoters)}
	for i := range simVoters + simSpares {
		id := fmt.Sprintf("host-%d/1", i)
		if i >= simVoters {
			s.add(id, wire.Membership{})
			s.ids = append(s.ids, id)
		}
		s.hosts = append(s.hosts, &simHost{name: HostOf(id), id: id, heard: map[string]membership.Host{}})
	}
	return s
}

func (s *fleetSim) isUp(h *simHost) bool {
	v := s.voters[h.id]
	return v.running && !v.frozen
}

// advance runs the fleet for a time.
func (s *fleetSim) advance(d time.Duration) {
	for range d / time.Millisecond {
		s.step()
		ms := s.now.UnixMilli()
		for i, h := range s.hosts {
			s.resume(h)
			if !s.isUp(h) {
				continue
			}
			if ms%20 == 0 {
				s.listen(h)
			}
			if (ms+int64(37*i))%simAnnounce.Milliseconds() == 0 {
				s.announce(h)
			}
			if (ms+int64(7*i))%simReconcile.Milliseconds() == 0 {
				s.reconcile(h)
			}
		}
		if ms%simWriteEvery.Milliseconds() == 0 {
			s.written++
			s.propose(fmt.Sprint("write ", s.written))
		}
		s.checkVoters()
	}
}

// resume ends a suspension, or starts a host that has lost its disk, when it is time.
func (s *fleetSim) resume(h *simHost) {
	if !h.thawsAt.IsZero() && !s.now.Before(h.thawsAt) {
		s.voters[h.id].frozen, h.thawsAt = false, time.Time{}
	}
	if !h.startsAt.IsZero() && !s.now.Before(h.startsAt) {
		h.startsAt = time.Time{}
		h.id = fmt.Sprintf("%s/%d", h.name, s.lostDisks+1)
		h.heard, h.unread, h.listening, h.aim = map[string]membership.Host{}, nil, listening.Tracker{}, membership.Aim{}
		s.add(h.id, wire.Membership{})
		s.ids = append(s.ids, h.id)
	}
}

// listen reads what others have announced. A host that was suspended reads old announcements as if they were new.
func (s *fleetSim) listen(h *simHost) {
	inReach := 0
	for _, other := range h.heard {
		if s.now.Sub(other.SoundAt) < 2*simAnnounce {
			inReach++
		}
	}
	h.listening.Observe(s.now, inReach >= simVoters/2)
	for _, id := range h.unread {
		h.heard[HostOf(id)] = membership.Host{ID: id, SoundAt: s.now}
	}
	h.unread = nil
}

func (s *fleetSim) announce(h *simHost) {
	for _, other := range s.hosts {
		if other != h && s.voters[other.id].running && !s.blockedLinks[[2]string{h.id, other.id}] {
			other.unread = append(other.unread, h.id)
		}
	}
	core := s.voters[h.id].core
	if !core.HasLease(s.now) {
		return
	}
	h.aim = membership.Decide(membership.View{
		Term: core.Term(), Now: s.now, Self: h.name, Members: core.Members(), Voters: simVoters, Hosts: h.heard,
		ListeningSince: h.listening.Since(), SilentAfter: simSilentAfter,
	}).Aim()
}

func (s *fleetSim) reconcile(h *simHost) {
	core := s.voters[h.id].core
	if !core.HasLease(s.now) || !h.aim.HoldsIn(core.Term(), s.now) {
		return
	}
	_ = core.Change(h.aim.Next(core.Members(), core.ID(), func(id string) bool { return core.CaughtUp(s.now, id) }))
	s.flush(h.id)
}

// checkVoters records a failure if the log bears fewer losses than it must: a voter is removed before another one votes, though its disk
// isn't lost, or there are more voters than one to be replaced.
func (s *fleetSim) checkVoters() {
	for _, h := range s.hosts {
		core := s.voters[h.id].core
		if n := len(voters(core.Members())); core.HasLease(s.now) && (n < simVoters-s.lostDisks || n > simVoters+1) {
			s.fail("at %s there are %d voters, %d disks are lost", s.now.Sub(time.Unix(1_000_000, 0)), n, s.lostDisks)
		}
	}
}

// disturb suspends a host, passes the lead on, or cuts a link, at random. At most one voter and one spare are suspended at a time.
func (s *fleetSim) disturb() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if s.random.IntN(3) == 0 {
		h = s.hosts[simVoters+s.random.IntN(simSpares)]
	}
	isVoter := func(h *simHost) bool { return s.voters[h.id].core.isVoter(h.id) }
	switch s.random.IntN(6) {
	case 0, 1, 2:
		if !s.isUp(h) || slices.ContainsFunc(s.hosts, func(o *simHost) bool { return !o.thawsAt.IsZero() && isVoter(o) == isVoter(h) }) {
			return
		}
		s.voters[h.id].frozen = true
		h.thawsAt = s.now.Add(time.Duration(s.random.Int64N(int64(simLongestPause))))
	case 3:
		if l := s.leader(); l != "" {
			s.voters[l].core.TransferLeadership(s.now)
			s.flush(l)
		}
	case 4:
		spare := s.hosts[simVoters+s.random.IntN(simSpares)]
		for _, other := range s.hosts {
			// Its announcements still arrive, but it gets nothing of the log.
			s.blockedLinks[[2]string{other.id, spare.id}] = true
		}
	case 5:
		clear(s.blockedLinks)
	}
}

// loseDisk ends a host, which starts again with an empty disk.
func (s *fleetSim) loseDisk(h *simHost) {
	s.kill(h.id)
	s.lostDisks++
	h.thawsAt = time.Time{}
	h.startsAt = s.now.Add(100*time.Millisecond + time.Duration(s.random.Int64N(int64(time.Second))))
}

// TestReplacedVotersAndLostDisks guards against a log that can't elect a leader any more after as many disks were lost as it must bear, since
// at that moment a voter was being replaced.
func TestReplacedVotersAndLostDisks(t *testing.T) {
	seeds := uint64(40)
	if n, err := strconv.ParseUint(os.Getenv("REPLACE_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		s := newFleetSim(seed)
		s.advance(2 * time.Second)
		disks := 2
		if s.random.IntN(3) == 0 {
			// One host is gone for good, which counts as a loss until another one has taken its vote.
			h := s.hosts[s.random.IntN(simVoters)]
			s.kill(h.id)
			h.isRemoved = true
			disks = 1
		}
		for end := s.now.Add(time.Duration(s.random.Int64N(int64(6 * time.Second)))); s.now.Before(end); {
			s.disturb()
			s.advance(time.Duration(1 + s.random.Int64N(int64(simEventEvery))))
		}
		for _, i := range s.random.Perm(len(s.hosts)) {
			if h := s.hosts[i]; disks > 0 && !h.isRemoved && s.voters[h.id].running {
				s.loseDisk(h)
				disks--
			}
		}
		s.advance(simTakeover)
		clear(s.blockedLinks)
		committed := len(s.committed)
		s.advance(simSettled)
		s.checkSettled()
		if len(s.committed) <= committed {
			s.fail("nothing is committed any more")
		}
		for _, f := range s.failures {
			t.Fatalf("seed %d: %s", seed, f)
		}
	}
}

// checkSettled records a failure unless there is a leader, with as many voters as wanted, all of them running with the disks that they have.
func (s *fleetSim) checkSettled() {
	l := s.leader()
	if l == "" {
		s.fail("nobody leads %s after all hosts were back", simSettled)
		return
	}
	core := s.voters[l].core
	list := voters(core.Members())
	if len(list) != simVoters {
		s.fail("the voters are %v in the end", list)
	}
	for _, id := range list {
		if !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.id == id && s.isUp(h) }) {
			s.fail("%s votes in the end, of %v", id, list)
		}
	}
	for index := range s.committed {
		if index > core.CommitIndex() {
			s.fail("entry %d was committed, and the leader's commit index is %d", index, core.CommitIndex())
		}
	}
}

// TestSuspendedLearner guards against a learner that has caught up, stands still, and gets a vote that nobody can use.
func TestSuspendedLearner(t *testing.T) {
	c := newCluster(3, 3)
	const learner = "host-8/1"
	c.add(learner, wire.Membership{})
	c.ids = append(c.ids, learner)
	l := c.voters[c.waitForLeader()].core
	if err := l.AddLearner(learner); err != nil {
		t.Fatal(err)
	}
	c.run(testElection)
	if !l.CaughtUp(c.now, learner) {
		t.Fatal("a learner that answers has not caught up")
	}
	c.voters[learner].frozen = true
	c.run(2 * testElection)
	if l.Role() != Leader || l.CaughtUp(c.now, learner) {
		t.Errorf("%s: a learner that stands still has caught up: %v", l.Role(), l.CaughtUp(c.now, learner))
	}
}

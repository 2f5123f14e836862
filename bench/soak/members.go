package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
)

const (
	// maxMembersDelay is the longest time until the members of the replicated log are disturbed.
	maxMembersDelay = 3 * time.Second
	// leaderFreeze is how long a leader stands still so that another host takes over.
	leaderFreeze = 2 * time.Second
	// voterFreeze and addedFreeze are how long a voter, and from addedAfter on a host that may replace it, stand still, and lossAfter is when
	// others lose their disks.
	voterFreeze = 3600 * time.Millisecond
	addedAfter  = time.Second
	addedFreeze = 2600 * time.Millisecond
	lossAfter   = 2800 * time.Millisecond
)

// disturbMembers adds a control host, and takes the disks of as many others as the system bears: after leaders have changed and the added host has
// replaced another one for good, or while a voter and the added host stand still. No other control host is faulty meanwhile.
// After the last fault everything must be served, and no document lost. It has its own source of random numbers.
func (r *run) disturbMembers() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 3))
	time.Sleep(time.Duration(random.Int64N(int64(maxMembersDelay))))
	if !r.acquireControls() {
		return
	}
	defer r.releaseControls()
	controls := slices.Clone(r.processes[:r.cfg.Control])
	random.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	added := r.controlProcess(r.cfg.Control)
	if random.IntN(2) == 0 {
		r.loseWhileReplaced(controls, added)
	} else {
		r.loseAfterReplacement(controls, added, random.IntN(3))
	}
	time.Sleep(catchUpTime)
}

// acquireControls keeps the control hosts from other faults once none is faulty, and reports whether that came about before faults end.
func (r *run) acquireControls() bool {
	for time.Now().Before(r.faultsUntil) {
		r.mu.Lock()
		free := r.controlsDown == 0
		if free {
			r.controlsDown = r.cfg.Control
		}
		r.mu.Unlock()
		if free {
			return true
		}
		time.Sleep(retryInterval)
	}
	return false
}

func (r *run) releaseControls() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controlsDown = 0
}

// startAdded starts a host that is added to the control hosts.
func (r *run) startAdded(added *process) bool {
	r.recordFault("%s is added", added.name)
	if err := added.start(false); err != nil {
		r.recordViolation("%v", err)
		return false
	}
	r.spare = added
	time.Sleep(catchUpTime)
	return true
}

// loseWhileReplaced lets a voter stand still, and then the host that may replace it, and takes others' disks meanwhile.
func (r *run) loseWhileReplaced(controls []*process, added *process) {
	if !r.startAdded(added) {
		return
	}
	frozen, lost := controls[0], controls[1:1+r.maxLost()]
	r.standStill(frozen, voterFreeze, func() {})
	time.Sleep(addedAfter)
	r.standStill(added, addedFreeze, func() {})
	time.Sleep(lossAfter - addedAfter)
	r.loseDisks(lost)
	time.Sleep(max(voterFreeze, addedAfter+addedFreeze) - lossAfter)
}

// loseAfterReplacement makes leaders change, replaces a host for good, and takes the disks of the leader and others.
func (r *run) loseAfterReplacement(controls []*process, added *process, changes int) {
	for range changes {
		if l := r.leadingProcess(); l != nil {
			r.standStill(l, leaderFreeze, func() {})
		}
		time.Sleep(leaderFreeze + catchUpTime)
	}
	if !r.startAdded(added) {
		return
	}
	removed := controls[0]
	if r.leadingProcess() == removed {
		removed = controls[1]
	}
	r.recordFault("%s is removed for good", removed.name)
	removed.end(syscall.SIGTERM, gracePeriod)
	r.adopt(removed, added)
	time.Sleep(2*time.Second + catchUpTime)
	lost := []*process{}
	if l := r.leadingProcess(); l != nil {
		lost = append(lost, l)
	}
	for _, p := range controls {
		if len(lost) < r.maxLost() && p != removed && (len(lost) == 0 || p != lost[0]) {
			lost = append(lost, p)
		}
	}
	r.loseDisks(lost)
}

// maxLost returns how many disks the control hosts may lose at once.
func (r *run) maxLost() int { return (r.cfg.Control - 1) / 2 }

// loseDisks kills control hosts, deletes their data and starts them again.
func (r *run) loseDisks(list []*process) {
	for _, p := range list {
		r.loseDisk(p)
	}
	time.Sleep(maxRestartDelay / 2)
	for _, p := range list {
		if err := p.start(false); err != nil {
			r.recordViolation("%v", err)
		}
	}
}

// adopt makes a process that has ended stand for the added one, with its address.
func (r *run) adopt(removed, added *process) {
	removed.adopt(added)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaced, r.spare = slices.Index(r.processes, removed), nil
}

// leadingProcess returns the control host that leads, or nil.
func (r *run) leadingProcess() *process {
	for i, p := range r.processes[:r.cfg.Control] {
		if p.isFrozen() || !p.running() {
			continue
		}
		if s, err := controlapi.NewClient(r.cfg.Dialect, []string{r.controlAddress(i)}).Status(); err == nil && s.Leading {
			return p
		}
	}
	return nil
}

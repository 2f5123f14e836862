package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorywing.example/savorywing/standin/fleet"
)

const (
	// maxReturnInterval is the longest time between two restarts in place.
	maxReturnInterval = 3 * time.Second
	// returnDrain is how long a server serves on after its withdrawal.
	returnDrain = 700 * time.Millisecond
)

// startReturning starts the only server of its service.
func (r *run) startReturning() error {
	s, err := r.fleet.Add(fleet.ServerConfig{ID: "returning", Service: returningService, Address: fmt.Sprintf("127.%d.250.10:18000", r.cfg.Subnet), DataCentre: "a", Slots: 8})
	r.returning = s
	return err
}

// runReturns restarts a server in place again and again until no more faults begin, at times while the control host that it calls first stands
// still. After the last fault it must be served again: what that host handles late must not hit the next incarnation. It has its own source of
// random numbers.
func (r *run) runReturns() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	for {
		time.Sleep(time.Duration(random.Int64N(int64(maxReturnInterval))))
		if !time.Now().Before(r.faultsUntil) {
			return
		}
		first, length := random.IntN(r.cfg.Control), time.Duration(random.Int64N(int64(maxFaultDuration)))
		if random.IntN(2) == 0 {
			r.freeze(r.processes[first], length)
		}
		r.recordFault("%s restarts in place, and deregisters at %s first", r.returning.ID, r.processes[first].name)
		s, err := r.fleet.RestartInPlace(r.returning, first, returnDrain)
		if err != nil {
			r.recordViolation("%v", err)
			return
		}
		r.returning = s
	}
}

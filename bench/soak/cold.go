package soak

import (
	"time"

	"savorywing.example/savorywing/standin/fleet"
)

// Servers that start during the run are cold for coldTime. In any second, all hosts together may send coldOverage times
// coldPerSecond and coldSlack requests to one of them: coldMost.
const (
	coldTime      = 4 * time.Second
	coldPerSecond = 1.0
	coldOverage   = 1.5
	coldSlack     = 0.5
	coldMost      = 2
)

// coldInterval is the time between the starts of two plain servers.
const coldInterval = 2500 * time.Millisecond

// startCold starts plain servers while faults are injected. Requests reach them at once, other than engines, which first join a
// group.
func (r *run) startCold() {
	for {
		time.Sleep(coldInterval)
		if !time.Now().Before(r.faultsUntil) {
			return
		}
		if err := r.addServer(plainService, "", coldTime); err != nil {
			r.recordViolation("%v", err)
			return
		}
	}
}

// span is a time in which a link to a server was faulty.
type span struct{ from, to time.Time }

func (r *run) recordDisturbed(address string, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[address] = append(r.disturbed[address], s)
}

// checkCold checks that no cold server received more requests in a second than its bound. Only those count that were sent in it too, so
// times in which the server's link was faulty, and a second after them, are left out.
func (r *run) checkCold() {
	r.mu.Lock()
	servers := append(append([]*fleet.Server(nil), r.servers...), r.coldServers...)
	r.mu.Unlock()
	for _, s := range servers {
		arrivals := s.ColdArrivals()
		for i := coldMost; i < len(arrivals); i++ {
			first, last := arrivals[i-coldMost], arrivals[i]
			if last.Sub(first) < time.Second && !r.wasDisturbed(s.Address, first.Add(-time.Second), last) {
				r.recordViolation("the cold server %s received %d requests in %v, from %.3f s", s.ID, coldMost+1, last.Sub(first), first.Sub(r.start).Seconds())
			}
		}
		r.cold += len(arrivals)
	}
}

func (r *run) wasDisturbed(address string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.disturbed[address] {
		if s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

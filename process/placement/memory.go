package placement

import "time"

// largeMemory is how long large requests are expected after one.
const largeMemory = 20 * time.Second

// memorySlots returns how many slots' parts of a group's memory a request needs. A usual request needs one.
func memorySlots(req Request, e *endpoint) int {
	if req.GroupTokens <= 0 {
		return 1
	}
	return max(1, (req.MemoryTokens*e.ownSlots()+req.GroupTokens-1)/req.GroupTokens)
}

// exceedsMemory reports whether the requests at a group may need more memory than it has, with another request. As long as all are
// usual ones, as many run as there are slots, and the others queue without memory. Beside large ones, of which the loads of all
// hosts count each as several, none may queue: the group would run it.
func (b *Balancer) exceedsMemory(now time.Time, req Request, e *endpoint) bool {
	n := memorySlots(req, e)
	if n == 1 && !now.Before(b.largeUntil[req.key()]) {
		return false
	}
	return e.load()+n > e.ownSlots()
}

// holdMemory counts what a request needs beyond a slot's part, and returns it.
func (b *Balancer) holdMemory(now time.Time, e *endpoint, req Request) int {
	n := memorySlots(req, e) - 1
	if n > 0 {
		b.largeUntil[req.key()] = now.Add(largeMemory)
	}
	e.localExtra += n
	return n
}

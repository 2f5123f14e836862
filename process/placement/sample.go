package placement

import "time"

// Target is the address of one incarnation of a server.
type Target struct {
	ID, Address string
}

// Knows reports whether a target is an endpoint.
func (b *Balancer) Knows(t Target) bool {
	e := b.byID[t.ID]
	return e != nil && e.Address == t.Address
}

// ForgetFailures makes all endpoints count as sound again, after failures that were not theirs.
func (b *Balancer) ForgetFailures() {
	for _, e := range b.byID {
		e.failures, e.samples, e.ejections, e.ejectedUntil = 0, 0, 0, time.Time{}
	}
}

// Sample returns up to n endpoints at random, without those that skip holds by ID.
func (b *Balancer) Sample(n int, skip map[string]bool) []Target {
	var list []Target
	for _, e := range b.byID {
		if !skip[e.ID] {
			list = append(list, Target{e.ID, e.Address})
		}
	}
	b.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

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

// Sample returns up to n endpoints at random, without those that skip holds by ID. Servers of evacuated data centres, which may be
// stopped, are among them only if there are too few others.
func (b *Balancer) Sample(n int, skip map[string]bool) []Target {
	var list, evacuated []Target
	for _, e := range b.byID {
		switch t := (Target{e.ID, e.Address}); {
		case skip[e.ID]:
		case b.evacuated.Covers(e.DataCentre):
			evacuated = append(evacuated, t)
		default:
			list = append(list, t)
		}
	}
	shuffle := func(l []Target) { b.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] }) }
	shuffle(list)
	if len(list) < n {
		shuffle(evacuated)
		list = append(list, evacuated...)
	}
	return list[:min(n, len(list))]
}

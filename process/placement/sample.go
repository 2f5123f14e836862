package placement

// Target is the address of one incarnation of a server.
type Target struct {
	ID, Address string
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

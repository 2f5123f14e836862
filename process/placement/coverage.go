package placement

// A new leader hears of the entry hosts one after another. Its first sums lack the requests of those that it hasn't heard of, so a
// full pool looks free, and the hosts that are answered first would fill it a second time. Until the sums cover all hosts, those
// that are missing count with their part of the last sums that did. As with the number of hosts, this lasts fewerHostsAfter at
// most: hosts that are missing for longer have ended.

// recordCoverage records how many hosts the leader's sums cover, and returns the fraction of the other hosts that they lack.
func (b *Balancer) recordCoverage(hosts int) (missing float64) {
	isPartial := hosts < b.entryHosts
	if isPartial && !b.isPartial {
		for _, e := range b.byID {
			e.wholeInFlight, e.wholeWaiting = e.remoteInFlight, e.remoteWaiting
		}
	}
	b.isPartial = isPartial
	if !isPartial {
		return 0
	}
	return float64(b.entryHosts-hosts) / float64(b.entryHosts-1)
}

// assumed returns the requests in flight and the waiting tokens of the hosts that the sums lack.
func (e *endpoint) assumed(missing float64) (inFlight, waiting int) {
	return int(missing*float64(e.wholeInFlight) + 0.5), int(missing * float64(e.wholeWaiting))
}

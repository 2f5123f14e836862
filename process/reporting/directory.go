// Package reporting decides to which control host each backend server reports. All control hosts that see the same ones
// decide alike, without a message about it. It is pure: hosts in, decisions out.
package reporting

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is a control host that takes reports.
type Host struct {
	// Address is the control address of the host.
	Address string
	// DataCentre is where the host is; empty if it isn't known.
	DataCentre string
}

// maxLocalLoad is how many times the mean number of servers the hosts of a data centre may get before servers of the data
// centre report to others too.
const maxLocalLoad = 2

// Directory holds the control hosts that take reports. The zero value has none.
type Directory struct {
	hosts []Host
	// localShare holds, for each data centre with a host, the share of its servers that report there, from 0 to 1.
	localShare map[string]float64
}

// NewDirectory returns a directory of hosts. servers holds the number of servers in each data centre.
func NewDirectory(hosts []Host, servers map[string]int) *Directory {
	d := &Directory{hosts: slices.Clone(hosts), localShare: map[string]float64{}}
	total := 0
	for _, n := range servers {
		total += n
	}
	for _, h := range d.hosts {
		if n := servers[h.DataCentre]; n > 0 {
			d.localShare[h.DataCentre] += maxLocalLoad * float64(total) / float64(len(d.hosts)*n)
		}
	}
	return d
}

// HasMajority reports whether more than half of the members are among the hosts that are heard of. Without members, nothing is known
// that could be cut off.
func HasMajority(members []string, isHeard func(member string) bool) bool {
	heard := 0
	for _, m := range members {
		if isHeard(m) {
			heard++
		}
	}
	return len(members) == 0 || 2*heard > len(members)
}

// HostFor returns the control address that a server of a data centre reports to; empty if there is no host. The address
// changes only if the host is no longer there, if one is added that the server prefers, or if the shares of the data
// centres change.
func (d *Directory) HostFor(server, dataCentre string) string {
	isLocal := share(server) < d.localShare[dataCentre]
	var best Host
	bestRank := uint64(0)
	for _, h := range d.hosts {
		if isLocal && h.DataCentre != dataCentre {
			continue
		}
		if r := rank(server, h.Address); best.Address == "" || r > bestRank || (r == bestRank && h.Address < best.Address) {
			best, bestRank = h, r
		}
	}
	return best.Address
}

// rank returns how much a server prefers a host (rendezvous hashing).
func rank(server, address string) uint64 { return xxhash.Sum64String(server + " " + address) }

// share maps a server evenly to the range from 0 to 1.
func share(server string) float64 { return float64(xxhash.Sum64String(server)>>11) / (1 << 53) }

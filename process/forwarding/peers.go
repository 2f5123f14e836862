package forwarding

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"savorywing.example/savorywing/version/residency"
	"savorywing.example/savorywing/wire"
)

// Peers are the entry hosts that take requests of one host.
type Peers struct {
	dataCentre string
	random     *rand.Rand
	hosts      map[string]*peerHost
}

type peerHost struct {
	address, dataCentre string
	listedAt            time.Time
	avoidUntil          time.Time
	inFlight            int
}

// NewPeers returns an empty set for a host in a data centre. The seed makes random choices reproducible.
func NewPeers(dataCentre string, seed uint64) *Peers {
	return &Peers{dataCentre: dataCentre, random: rand.New(rand.NewPCG(seed, seed)), hosts: map[string]*peerHost{}}
}

// Set applies the leader's list.
func (p *Peers) Set(now time.Time, list []wire.Forwarder) {
	for _, f := range list {
		h := p.hosts[f.Address]
		if h == nil {
			h = &peerHost{address: f.Address}
			p.hosts[f.Address] = h
		}
		h.dataCentre, h.listedAt = f.DataCentre, now
	}
	for address, h := range p.hosts {
		if !h.listedAt.Equal(now) && now.Sub(h.listedAt) > peerRetention && h.inFlight == 0 {
			delete(p.hosts, address)
		}
	}
}

// Len returns the number of known hosts.
func (p *Peers) Len() int { return len(p.hosts) }

// Pick returns a host to ask, or false if there is none. It compares two hosts at random, since other hosts choose at the
// same time and all would choose the same one. Of two with as many requests of this host, the one in the same data centre is
// nearer. Hosts that are to be avoided come last, and those outside the area are never returned.
func (p *Peers) Pick(now time.Time, tried []string, area residency.Area) (string, bool) {
	var list, avoided []*peerHost
	for _, h := range p.hosts {
		switch {
		case slices.Contains(tried, h.address), !area.Contains(h.dataCentre):
		case now.Before(h.avoidUntil):
			avoided = append(avoided, h)
		default:
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		list = avoided
	}
	if len(list) == 0 {
		return "", false
	}
	sort.Slice(list, func(i, j int) bool { return list[i].address < list[j].address })
	best := list[p.random.IntN(len(list))]
	if other := list[p.random.IntN(len(list))]; p.isBetter(other, best) {
		best = other
	}
	return best.address, true
}

func (p *Peers) isBetter(a, b *peerHost) bool {
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.dataCentre == p.dataCentre && b.dataCentre != p.dataCentre
}

// Start counts a request that a host serves, until End.
func (p *Peers) Start(address string) { p.add(address, 1) }

// End ends what Start began.
func (p *Peers) End(address string) { p.add(address, -1) }

func (p *Peers) add(address string, n int) {
	if h := p.hosts[address]; h != nil {
		h.inFlight = max(0, h.inFlight+n)
	}
}

// Avoid makes Pick prefer other hosts for a time.
func (p *Peers) Avoid(now time.Time, address string, pause time.Duration) {
	if h := p.hosts[address]; h != nil {
		h.avoidUntil = now.Add(pause)
	}
}

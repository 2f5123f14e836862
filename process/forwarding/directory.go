package forwarding

import (
	"hash/fnv"
	"io"
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// Directory is the leader's list of the entry hosts that take requests.
type Directory struct {
	hosts map[string]*listedHost
	// revision counts the changes; it is never 0.
	revision uint64
}

type listedHost struct {
	dataCentre string
	seenAt     time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{hosts: map[string]*listedHost{}, revision: 1} }

// Revision returns the number of the latest change.
func (d *Directory) Revision() uint64 { return d.revision }

// Set records whether a host takes requests by this version of the protocol.
func (d *Directory) Set(now time.Time, host, dataCentre string, protocol uint64) {
	h := d.hosts[host]
	if protocol != Protocol {
		if h != nil {
			delete(d.hosts, host)
			d.revision++
		}
		return
	}
	if h == nil {
		h = &listedHost{}
		d.hosts[host] = h
		d.revision++
	}
	h.dataCentre, h.seenAt = dataCentre, now
}

// Expire drops the hosts that have not reported for longer than keep.
func (d *Directory) Expire(now time.Time, keep time.Duration) {
	for host, h := range d.hosts {
		if now.Sub(h.seenAt) > keep {
			delete(d.hosts, host)
			d.revision++
		}
	}
}

// For returns the hosts that one host is told of. In a large fleet each is told of others, so that requests spread.
func (d *Directory) For(host string) []wire.Forwarder {
	type ranked struct {
		wire.Forwarder
		rank uint64
	}
	list := make([]ranked, 0, len(d.hosts))
	for address, h := range d.hosts {
		if address != host {
			list = append(list, ranked{wire.Forwarder{Address: address, DataCentre: h.dataCentre}, rank(host, address)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	out := make([]wire.Forwarder, 0, min(len(list), maxListed))
	for _, r := range list[:min(len(list), maxListed)] {
		out = append(out, r.Forwarder)
	}
	return out
}

func rank(host, other string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, host+" "+other) // a hash never fails
	return h.Sum64()
}

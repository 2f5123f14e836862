package fleet

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// Totals sums what the entry hosts have in flight at each endpoint. A report changes the sums by its difference to the
// host's previous one, so its cost doesn't depend on the number of hosts.
type Totals struct {
	hosts map[string]*hostLoads
	byID  map[string]*total
}

// hostLoads is the newest report of one entry host.
type hostLoads struct {
	loads      []wire.EndpointLoad
	reportedAt time.Time
}

// total is the sum for one endpoint. No count is ever negative.
type total struct {
	inFlight, waitingTokens int
	// reports, stalled and moved count the hosts that report the endpoint, that report it as stalled, and that report
	// progress there.
	reports, stalled, moved int
}

// NewTotals returns totals without hosts.
func NewTotals() *Totals {
	return &Totals{hosts: map[string]*hostLoads{}, byID: map[string]*total{}}
}

// Set replaces an entry host's report.
func (t *Totals) Set(now time.Time, host string, loads []wire.EndpointLoad) {
	h := t.hosts[host]
	if h == nil {
		h = &hostLoads{}
		t.hosts[host] = h
	}
	t.add(loads, 1)
	t.add(h.loads, -1)
	h.loads, h.reportedAt = loads, now
}

// Expire drops the entry hosts that have sent no report for longer than keep.
func (t *Totals) Expire(now time.Time, keep time.Duration) {
	for host, h := range t.hosts {
		if now.Sub(h.reportedAt) > keep {
			t.add(h.loads, -1)
			delete(t.hosts, host)
		}
	}
}

func (t *Totals) add(loads []wire.EndpointLoad, sign int) {
	for _, l := range loads {
		sum := t.byID[l.ID]
		if sum == nil {
			sum = &total{}
			t.byID[l.ID] = sum
		}
		sum.reports += sign
		sum.inFlight += sign * l.InFlight
		sum.waitingTokens += sign * l.WaitingTokens
		if l.Stalled {
			sum.stalled += sign
		}
		if l.Moved {
			sum.moved += sign
		}
		if sum.reports == 0 {
			delete(t.byID, l.ID)
		}
	}
}

// Hosts returns the number of entry hosts in the sums.
func (t *Totals) Hosts() int { return len(t.hosts) }

// Loads calls yield with the ID and the load of each endpoint that a host reports; the loads have no handles.
func (t *Totals) Loads(yield func(id string, l Load) bool) {
	for id, sum := range t.byID {
		if !yield(id, sum.load()) {
			return
		}
	}
}

// Load returns the load of an endpoint, which is zero if no host reports it.
func (t *Totals) Load(id string) Load {
	if sum := t.byID[id]; sum != nil {
		return sum.load()
	}
	return Load{}
}

func (t *total) load() Load {
	// A host whose requests all wait for a slot may see no progress where another host does.
	return Load{InFlight: t.inFlight, WaitingTokens: t.waitingTokens, Stalled: t.stalled > 0 && t.moved == 0, Progressed: t.moved > 0}
}

package registry

import (
	"sort"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// Candidate is a group, or the host of a plain service, that may receive requests now.
type Candidate struct {
	// ID is the group's id, or the host's name for a plain service.
	ID string
	// FencingToken is the group's fencing token; 0 for a plain service.
	FencingToken uint64
	Target       savorywing.Target
	Load         wire.Load
	// RequestedAt is when this host sent the poll that returned the load, by its own clock.
	RequestedAt time.Time
	LeaseUntil  time.Time
	Local       bool
	// Prefixes are the cached prompt prefixes that the group has announced.
	Prefixes []uint64
}

// GroupCandidates returns the groups that may receive requests for a model now.
func (r *Registry) GroupCandidates(model string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var candidates []Candidate
	for _, g := range r.table.Groups {
		if g.Model != model {
			continue
		}
		group, until, ok := r.tracker.GroupLease(g.ID, now)
		if !ok {
			continue
		}
		if c, ok := r.candidate(group.Members[0].Host, until); ok {
			c.ID, c.FencingToken = group.ID, group.Fence
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// ServiceCandidates returns the hosts that may receive requests for a plain service now, sorted by name.
func (r *Registry) ServiceCandidates(service string) []Candidate {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var candidates []Candidate
	r.directory.Each(func(a wire.Announcement) {
		if a.Kind != savorywing.KindService || a.Service != service {
			return
		}
		until, ok := r.tracker.ServiceLease(a.Host, now)
		if !ok {
			return
		}
		if c, ok := r.candidate(a.Host, until); ok {
			c.ID = a.Host
			candidates = append(candidates, c)
		}
	})
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

func (r *Registry) candidate(host string, until time.Time) (Candidate, bool) {
	a, requestedAt, known := r.tracker.Announcement(host)
	if !known || a.Load == nil {
		return Candidate{}, false
	}
	return Candidate{
		Target:      savorywing.Target{Address: a.Address, Host: host, Resumable: a.Resumes},
		Load:        *a.Load,
		RequestedAt: requestedAt,
		LeaseUntil:  until,
		Local:       a.DataCentre == r.dataCentre,
		Prefixes:    a.Prefixes,
	}, true
}

// MaySend reports whether the configuration is fresh and the candidate's lease still holds. It is to be called
// immediately before the first byte of a request is sent.
func (r *Registry) MaySend(c Candidate) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.isFreshLocked() {
		return false
	}
	now := r.clock.Now()
	if c.FencingToken == 0 {
		_, ok := r.tracker.ServiceLease(c.ID, now)
		return ok
	}
	g, _, ok := r.tracker.GroupLease(c.ID, now)
	return ok && g.Fence == c.FencingToken
}

// GroupServing reports whether a group may receive requests now.
func (r *Registry) GroupServing(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, _, ok := r.tracker.GroupLease(id, r.clock.Now())
	return ok
}

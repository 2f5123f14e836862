package controller

import (
	"sort"

	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/wire"
)

// maxChanges bounds the log of changes. A host that lacks more of them gets the whole list.
const maxChanges = 4096

// endpointLog holds the endpoints with the latest changes, so that each host can be sent what it lacks.
type endpointLog struct {
	// revision increases with each set of changes.
	revision uint64
	current  map[string]wire.Endpoint
	// changes lists the newest changes, oldest first. Those up to droppedRevision are no longer in it.
	changes         []endpointChange
	droppedRevision uint64
	// handles maps the IDs of all endpoints seen in this leader's term to their handles; a handle is not reused.
	handles map[string]uint64
	// packed holds the endpoints of packedRevision; nil if they have not been packed yet.
	packed         []byte
	packedRevision uint64
}

// endpointChange is the revision at which an endpoint was added, changed or removed.
type endpointChange struct {
	revision uint64
	id       string
}

func newEndpointLog() endpointLog {
	return endpointLog{current: map[string]wire.Endpoint{}, handles: map[string]uint64{}}
}

// refresh replaces the endpoints. It reports whether any was added, changed or removed, and whether one of the changes
// must reach the hosts at once: they would otherwise go on sending requests to an endpoint that no longer serves.
func (l *endpointLog) refresh(list []wire.Endpoint) (changed, urgent bool) {
	next := l.revision + 1
	kept := 0
	for _, e := range list {
		if l.handles[e.ID] == 0 {
			l.handles[e.ID] = uint64(len(l.handles) + 1)
		}
		e.Handle = l.handles[e.ID]
		old, known := l.current[e.ID]
		if known {
			kept++
		}
		if known && sameEndpoint(old, e) {
			continue
		}
		// A server's pace may wait for the hosts' next reports.
		paced := old
		paced.PaceSlots = e.PaceSlots
		urgent = urgent || (known && !sameEndpoint(paced, e))
		changed = true
		l.current[e.ID] = e
		l.record(next, e.ID)
	}
	if kept < len(l.current)-(len(list)-kept) {
		l.removeMissing(list, next)
		changed, urgent = true, true
	}
	if changed {
		l.revision = next
	}
	return changed, urgent
}

func (l *endpointLog) removeMissing(list []wire.Endpoint, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	for id := range l.current {
		if !listed[id] {
			delete(l.current, id)
			l.record(revision, id)
		}
	}
}

func (l *endpointLog) record(revision uint64, id string) {
	if len(l.changes) >= maxChanges {
		half := len(l.changes) / 2
		l.droppedRevision = l.changes[half-1].revision
		l.changes = append([]endpointChange(nil), l.changes[half:]...)
	}
	l.changes = append(l.changes, endpointChange{revision, id})
}

func sameEndpoint(a, b wire.Endpoint) bool {
	return a.Born == b.Born && a.Address == b.Address && a.Service == b.Service && a.Model == b.Model && a.Group == b.Group &&
		a.Epoch == b.Epoch && a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Silent == b.Silent && (a.ColdMs > 0) == (b.ColdMs > 0) && a.ColdShare == b.ColdShare && a.PaceSlots == b.PaceSlots
}

// loadsByHandle returns the loads of the endpoints that still exist, with their handles in place of their IDs.
func (l *endpointLog) loadsByHandle(totals *fleet.Totals) []fleet.Load {
	out := make([]fleet.Load, 0, len(l.current))
	for id, load := range totals.Loads {
		if _, known := l.current[id]; known {
			load.Handle = l.handles[id]
			out = append(out, load)
		}
	}
	return out
}

// endpoint returns the endpoint with an ID, if it exists.
func (l *endpointLog) endpoint(id string) (wire.Endpoint, bool) {
	e, known := l.current[id]
	return e, known
}

// maxUnpacked is the number of changes since the endpoints were packed from which they are packed anew.
const maxUnpacked = 32

// full returns all endpoints: those of an earlier revision, packed, and the changes made since.
func (l *endpointLog) full() (packed []byte, changed []wire.Endpoint, removed []string, err error) {
	if l.packed != nil && l.packedRevision >= l.droppedRevision {
		changed, removed, _ = l.since(l.packedRevision)
		if len(changed)+len(removed) <= maxUnpacked {
			return l.packed, changed, removed, nil
		}
	}
	all, _, _ := l.since(0)
	if l.packed, err = fleet.PackEndpoints(all); err != nil {
		return nil, nil, nil, err
	}
	l.packedRevision = l.revision
	return l.packed, nil, nil, nil
}

// reaches reports whether the log holds all changes after a revision.
func (l *endpointLog) reaches(revision uint64) bool {
	return revision != 0 && revision >= l.droppedRevision
}

// since returns the endpoints that were changed or removed after a revision, sorted by ID. If the log doesn't reach
// back to the revision, full is set, and the endpoints are all.
func (l *endpointLog) since(revision uint64) (endpoints []wire.Endpoint, removed []string, full bool) {
	if !l.reaches(revision) {
		for _, e := range l.current {
			endpoints = append(endpoints, e)
		}
		sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
		return endpoints, nil, true
	}
	seen := map[string]bool{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].revision > revision; i-- {
		id := l.changes[i].id
		if seen[id] {
			continue
		}
		seen[id] = true
		if e, known := l.current[id]; known {
			endpoints = append(endpoints, e)
		} else {
			removed = append(removed, id)
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	sort.Strings(removed)
	return endpoints, removed, false
}

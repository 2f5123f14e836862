package fleet

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// ModelOf returns the model of the group that a server heads, or false if the server isn't known as the head of the group
// that it reports. A group is complete once its head reports open: every member has then reported ready under its name and
// epoch.
type ModelOf func(s *Server) (model string, known bool)

// Endpoints returns where requests can be sent, sorted by id. A head that modelOf doesn't know gets no requests.
// A server without a report for longer than silentAfter is marked silent but kept, since it may still serve.
func (t *Table) Endpoints(now time.Time, silentAfter time.Duration, modelOf ModelOf) []wire.Endpoint {
	var list []wire.Endpoint
	for _, s := range t.Servers() {
		r := &s.report
		if s.dead || r.Leaving || r.Gone {
			continue
		}
		if r.Engine && (r.Group == nil || r.Group.Rank != 0 || r.Group.State != StateOpen) {
			continue
		}
		e := wire.Endpoint{
			ID: r.ID, Born: r.Born, Address: r.Address, Service: r.Service, DataCentre: r.DataCentre, Slots: r.Slots,
			ColdMs: (s.coldFor(now) + time.Millisecond - 1).Milliseconds(), Silent: now.Sub(s.lastReportAt) > silentAfter,
		}
		if r.Engine {
			model, known := modelOf(s)
			if !known {
				continue
			}
			e.Model, e.Group, e.Epoch = model, r.Group.Name, r.Group.Epoch
		}
		list = append(list, e)
	}
	return list
}

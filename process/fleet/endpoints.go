package fleet

import (
	"sort"
	"time"

	"savorywing.example/savorywing/wire"
)

// GroupInfo is a known group. It is complete once its head reports open: every member has then reported ready under
// this name and epoch.
type GroupInfo struct {
	Model string
}

// Endpoints returns where requests can be sent, sorted by id. groups holds the known groups by name; a head whose
// group isn't in it gets no requests. A server without a report for longer than silentAfter is marked silent but
// kept, since it may still serve.
func (t *Table) Endpoints(now time.Time, silentAfter time.Duration, groups map[string]GroupInfo) []wire.Endpoint {
	var list []wire.Endpoint
	for _, s := range t.servers {
		r := s.report
		if s.dead || r.Leaving || r.Gone {
			continue
		}
		e := wire.Endpoint{
			ID: r.ID, Born: r.Born, Address: r.Address, Service: r.Service, DataCentre: r.DataCentre, Slots: r.Slots,
			ColdMs: r.ColdMs, Silent: now.Sub(s.lastReportAt) > silentAfter,
		}
		if r.Engine {
			if r.Group == nil || r.Group.Rank != 0 || r.Group.State != StateOpen {
				continue
			}
			g, known := groups[r.Group.Name]
			if !known {
				continue
			}
			e.Model, e.Group, e.Epoch = g.Model, r.Group.Name, r.Group.Epoch
		}
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

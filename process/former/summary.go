package former

import (
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
)

// ModelSummary counts the groups of one model.
type ModelSummary struct {
	Open, Forming, Ending int
	// Need is demand against capacity; above 1 work is turned away.
	Need float64
}

// Summary counts what a former sees, for logs and metrics.
type Summary struct {
	Models map[string]ModelSummary
	// Free servers can join a group now, Loading ones are staging weights, Lost ones are silent or leaving.
	Free, Loading, Lost int
}

// Summary counts groups by model and servers by what they do.
func (f *Former) Summary(now time.Time, in Input) Summary {
	s := Summary{Models: map[string]ModelSummary{}}
	for _, g := range f.groups {
		m := s.Models[g.model]
		place := placeOf(member(in, g, 0), g)
		switch {
		case g.ending:
			m.Ending++
		case place != nil && place.State == fleet.StateOpen:
			m.Open++
		default:
			m.Forming++
		}
		s.Models[g.model] = m
	}
	for _, service := range in.Catalogue.Services() {
		if service.Engine == nil {
			continue
		}
		p := &planning{former: f, now: now, in: in, engine: service.Engine, capacity: f.capacity(in, service.Engine)}
		for i := range service.Engine.Models {
			m := s.Models[service.Engine.Models[i].Name]
			m.Need = p.need(&service.Engine.Models[i])
			s.Models[service.Engine.Models[i].Name] = m
		}
	}
	for _, server := range in.Table.Servers() {
		r := server.Report()
		o := f.orders[r.ID]
		switch {
		case !r.Engine || server.Dead():
		case f.isLost(now, server) || r.Leaving:
			s.Lost++
		case o != nil && o.order.Action == savorywing.ActionStage:
			s.Loading++
		case f.isFree(now, in, server):
			s.Free++
		}
	}
	return s
}

package formation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/fleet"
)

// ModelSummary counts the groups of one model.
type ModelSummary struct {
	Open, Forming, Ending int
	// DemandRatio is demand divided by capacity. Above 1, requests are rejected.
	DemandRatio float64
}

// Summary counts groups and servers by state, for logs and metrics.
type Summary struct {
	Models map[string]ModelSummary
	// Free servers can join a group now, Loading ones are staging weights, Lost ones are silent or leaving, Evacuated ones are in an
	// evacuated data centre.
	Free, Loading, Lost, Evacuated int
	// Domains describes, for each fabric domain, how many of its servers are grouped, free, loading and leaving, by
	// model.
	Domains map[string]string
}

// Summary counts groups by model, and servers by state.
func (rc *Reconciler) Summary(now time.Time, in Input) Summary {
	s := Summary{Models: map[string]ModelSummary{}, Domains: rc.domainSummary(now, in)}
	for _, g := range rc.groups {
		m := s.Models[g.model]
		membership := membershipOf(rc.member(g, 0), g)
		switch {
		case g.ending:
			m.Ending++
		case membership != nil && membership.State == fleet.StateOpen:
			m.Open++
		default:
			m.Forming++
		}
		s.Models[g.model] = m
	}
	rc.addDemandRatios(now, in, s)
	rc.countServers(now, in, &s)
	return s
}

func (rc *Reconciler) addDemandRatios(now time.Time, in Input, s Summary) {
	for _, service := range in.Catalogue.Services() {
		if service.Engine == nil {
			continue
		}
		p := &planning{reconciler: rc, now: now, in: in, engine: service.Engine, capacity: rc.capacity(in, service.Engine)}
		for i := range service.Engine.Models {
			m := s.Models[service.Engine.Models[i].Name]
			m.DemandRatio = p.demandRatio(&service.Engine.Models[i])
			s.Models[service.Engine.Models[i].Name] = m
		}
	}
}

func (rc *Reconciler) countServers(now time.Time, in Input, s *Summary) {
	for _, server := range in.Table.Servers() {
		r := server.Report()
		o := rc.orders[r.ID]
		switch {
		case !r.Engine || server.Dead():
		case rc.isLost(now, server) || r.Leaving:
			s.Lost++
		case rc.evacuated.Covers(r.DataCentre):
			s.Evacuated++
		case o != nil && o.order.Action == savorywing.ActionStage:
			s.Loading++
		case rc.isFree(now, server):
			s.Free++
		}
	}
}

// domainSummary counts the servers of each fabric domain by state and by the model whose weights they have.
func (rc *Reconciler) domainSummary(now time.Time, in Input) map[string]string {
	counts := map[string]map[string]int{}
	for _, s := range in.Table.Servers() {
		r := s.Report()
		if !r.Engine || s.Dead() || rc.isLost(now, s) {
			continue
		}
		model := "empty"
		if len(r.Staged) > 0 {
			model = r.Staged[0]
		}
		state := "grouped "
		switch o := rc.orders[r.ID]; {
		case o != nil && o.order.Action == savorywing.ActionStage:
			state, model = "loading ", o.order.Model
		case r.Leaving:
			state = "leaving "
		case rc.evacuated.Covers(r.DataCentre):
			state = "evacuated "
		case rc.isFree(now, s):
			state = "free "
		}
		if counts[r.Domain] == nil {
			counts[r.Domain] = map[string]int{}
		}
		counts[r.Domain][state+model]++
	}
	out := map[string]string{}
	for domain, c := range counts {
		keys := make([]string, 0, len(c))
		for k := range c {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		parts := make([]string, 0, len(keys))
		for _, k := range keys {
			parts = append(parts, fmt.Sprintf("%d %s", c[k], k))
		}
		out[domain] = strings.Join(parts, ", ")
	}
	return out
}

package state

import (
	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// ownership returns the ownership of a host, which has no group if the host is unknown.
func (m *Machine) ownership(host string) wire.Ownership {
	if h, known := m.hosts[host]; known {
		return *h
	}
	return wire.Ownership{Host: host}
}

// assign creates a group if every host is free and its fencing token is still the one that the planner saw.
func (m *Machine) assign(index uint64, a wire.Assign) wire.Result {
	if _, exists := m.groups[a.Group]; exists {
		return rejected(ReasonExists)
	}
	seen := map[string]bool{}
	for _, member := range a.Members {
		h := m.ownership(member.Host)
		if h.Group != "" || h.Fence != member.LastFence || seen[member.Host] {
			return rejected(ReasonNotFree)
		}
		seen[member.Host] = true
	}
	if len(a.Members) == 0 {
		return rejected(ReasonMalformed)
	}
	m.lastFencingToken++
	g := &wire.Group{
		ID: a.Group, Model: a.Model, Version: a.Version, FabricDomain: a.FabricDomain,
		Fence: m.lastFencingToken, Phase: savorywing.PhaseLoading,
	}
	for _, member := range a.Members {
		h := m.ownership(member.Host)
		h.Group, h.Fence = a.Group, m.lastFencingToken
		m.hosts[member.Host] = &h
		g.Members = append(g.Members, wire.GroupMember{Host: member.Host, LastFence: member.LastFence})
	}
	m.groups[a.Group] = g
	m.tableIndex = index
	return wire.Result{Accepted: true, Fence: m.lastFencingToken}
}

// activate puts a loading group in service with the boot IDs that its members announced.
func (m *Machine) activate(index uint64, s wire.GroupStep) wire.Result {
	g := m.groups[s.Group]
	if g == nil || g.Fence != s.Fence || g.Phase != savorywing.PhaseLoading {
		return rejected(ReasonWrongPhase)
	}
	if len(s.Members) != len(g.Members) {
		return rejected(ReasonWrongPhase)
	}
	for i, member := range s.Members {
		if member.Host != g.Members[i].Host {
			return rejected(ReasonWrongPhase)
		}
		g.Members[i].Boot = member.Boot
	}
	g.Phase = savorywing.PhaseServing
	m.tableIndex = index
	return wire.Result{Accepted: true, Fence: g.Fence}
}

func (m *Machine) release(index uint64, s wire.GroupStep) wire.Result {
	g := m.groups[s.Group]
	if g == nil || g.Fence != s.Fence || g.Phase == savorywing.PhaseReleasing {
		return rejected(ReasonWrongPhase)
	}
	g.Phase = savorywing.PhaseReleasing
	m.tableIndex = index
	return wire.Result{Accepted: true, Fence: g.Fence}
}

// free removes a host from a group that is being released; the last one deletes the group.
func (m *Machine) free(index uint64, f wire.FreeHost) wire.Result {
	h := m.hosts[f.Host]
	if h == nil || h.Fence != f.Fence || h.Group == "" {
		return rejected(ReasonWrongPhase)
	}
	g := m.groups[h.Group]
	if g == nil || g.Phase != savorywing.PhaseReleasing {
		return rejected(ReasonWrongPhase)
	}
	h.Group = ""
	for i, member := range g.Members {
		if member.Host == f.Host {
			g.Members = append(g.Members[:i:i], g.Members[i+1:]...)
			break
		}
	}
	if len(g.Members) == 0 {
		delete(m.groups, g.ID)
	}
	m.tableIndex = index
	return wire.Result{Accepted: true, Fence: h.Fence}
}

func (m *Machine) drain(index uint64, d wire.DrainHost) wire.Result {
	h := m.ownership(d.Host)
	h.Draining = d.On
	m.hosts[d.Host] = &h
	m.tableIndex = index
	return wire.Result{Accepted: true}
}

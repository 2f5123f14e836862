package state

import (
	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

func (m *Machine) owner(host string) wire.Ownership {
	if h, known := m.hosts[host]; known {
		return *h
	}
	return wire.Ownership{Host: host}
}

// assign makes a group if every host is free at the fencing number that the planner saw.
func (m *Machine) assign(index uint64, a wire.Assign) wire.Result {
	if _, exists := m.groups[a.Group]; exists {
		return refused(ReasonExists)
	}
	seen := map[string]bool{}
	for _, member := range a.Members {
		h := m.owner(member.Host)
		if h.Group != "" || h.Fence != member.LastFence || seen[member.Host] {
			return refused(ReasonNotFree)
		}
		seen[member.Host] = true
	}
	if len(a.Members) == 0 {
		return refused(ReasonMalformed)
	}
	m.fence++
	g := &wire.Group{
		ID: a.Group, Model: a.Model, Version: a.Version, FabricDomain: a.FabricDomain,
		Fence: m.fence, Phase: savorywing.PhaseLoading,
	}
	for _, member := range a.Members {
		h := m.owner(member.Host)
		h.Group, h.Fence = a.Group, m.fence
		m.hosts[member.Host] = &h
		g.Members = append(g.Members, wire.GroupMember{Host: member.Host, LastFence: member.LastFence})
	}
	m.groups[a.Group] = g
	m.tableNumber = index
	return wire.Result{Accepted: true, Fence: m.fence}
}

// activate lets a group serve with the boot numbers that its members announced.
func (m *Machine) activate(index uint64, s wire.GroupStep) wire.Result {
	g := m.groups[s.Group]
	if g == nil || g.Fence != s.Fence || g.Phase != savorywing.PhaseLoading {
		return refused(ReasonPhase)
	}
	if len(s.Members) != len(g.Members) {
		return refused(ReasonPhase)
	}
	for i, member := range s.Members {
		if member.Host != g.Members[i].Host {
			return refused(ReasonPhase)
		}
		g.Members[i].Boot = member.Boot
	}
	g.Phase = savorywing.PhaseServing
	m.tableNumber = index
	return wire.Result{Accepted: true, Fence: g.Fence}
}

func (m *Machine) release(index uint64, s wire.GroupStep) wire.Result {
	g := m.groups[s.Group]
	if g == nil || g.Fence != s.Fence || g.Phase == savorywing.PhaseReleasing {
		return refused(ReasonPhase)
	}
	g.Phase = savorywing.PhaseReleasing
	m.tableNumber = index
	return wire.Result{Accepted: true, Fence: g.Fence}
}

// free gives a host of a releasing group back; the last one ends the group.
func (m *Machine) free(index uint64, f wire.FreeHost) wire.Result {
	h := m.hosts[f.Host]
	if h == nil || h.Fence != f.Fence || h.Group == "" {
		return refused(ReasonPhase)
	}
	g := m.groups[h.Group]
	if g == nil || g.Phase != savorywing.PhaseReleasing {
		return refused(ReasonPhase)
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
	m.tableNumber = index
	return wire.Result{Accepted: true, Fence: h.Fence}
}

func (m *Machine) drain(index uint64, d wire.DrainHost) wire.Result {
	h := m.owner(d.Host)
	h.Draining = d.On
	m.hosts[d.Host] = &h
	m.tableNumber = index
	return wire.Result{Accepted: true}
}

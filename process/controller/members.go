package controller

import (
	"sort"
	"time"

	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

// tellPresence tells every known control host that this one is there, and, as leader, which hosts should vote.
func (c *Controller) tellPresence(now time.Time) {
	frame := c.presenceFrame()
	for _, host := range c.mesh.Hosts() {
		// A host that can't be reached now is told again soon.
		_ = c.mesh.Send(host, frame)
	}
	c.ensureMembers()
	c.table.Expire(now, forgetAfter)
	if c.leading {
		c.node.SetIncarnations(c.voters(now))
	}
}

func (c *Controller) presenceFrame() wire.Frame {
	return wire.Frame{Presence: &wire.Presence{
		ID: c.node.Status().ID, ControlAddress: c.settings.ControlAddress, Peers: c.controls(),
	}}
}

// greet tells a daemon that has just been connected to that this one is there.
func (c *Controller) greet(host string) {
	_ = c.mesh.Send(host, c.presenceFrame())
}

func (c *Controller) takePresence(from string, p wire.Presence) {
	if _, known := c.presence[from]; !known {
		c.log.Info().Str("event", "controlHostFound").Str("peer", from).Str("id", p.ID).Msg("")
	}
	c.presence[from] = present{presence: p, heard: c.clock.Now()}
	c.mesh.AddHost(from, from)
	for _, host := range p.Peers {
		c.mesh.AddHost(host, host)
	}
	if quorum.HostOf(c.lastLeader) == from {
		c.setLeaderControl(from)
	}
}

// voters returns the control hosts that should be members of the log with the identities of their disks,
// at most as many as the number of disks that may be lost demands. A member keeps its place while it
// is silent, unless another host waits for one.
func (c *Controller) voters(now time.Time) map[string]string {
	self := c.settings.PeerAddress()
	heard := func(host string) bool {
		p, known := c.presence[host]
		return host == self || (known && now.Sub(p.heard) < replaceAfter)
	}
	out := map[string]string{}
	for _, m := range c.node.Status().Members.Members {
		out[quorum.HostOf(m.ID)] = m.ID
	}
	for host := range out {
		if p, known := c.presence[host]; known && heard(host) && host != self {
			out[host] = p.presence.ID
		}
	}
	var waiting []string
	for host := range c.presence {
		if _, member := out[host]; !member && heard(host) {
			waiting = append(waiting, host)
		}
	}
	sort.Strings(waiting)
	for _, host := range waiting {
		if len(out) >= c.settings.VoterCount() && !c.dropSilent(out, heard) {
			break
		}
		out[host] = c.presence[host].presence.ID
	}
	return out
}

// dropSilent takes one silent host out and tells whether there was one.
func (c *Controller) dropSilent(hosts map[string]string, heard func(string) bool) bool {
	var silent []string
	for host := range hosts {
		if !heard(host) {
			silent = append(silent, host)
		}
	}
	if len(silent) == 0 {
		return false
	}
	sort.Slice(silent, func(i, j int) bool {
		return c.presence[silent[i]].heard.Before(c.presence[silent[j]].heard)
	})
	c.log.Info().Str("event", "voterReplaced").Str("peer", silent[0]).
		Dur("silentFor", c.clock.Now().Sub(c.presence[silent[0]].heard)).Msg("")
	delete(hosts, silent[0])
	return true
}

// silentEntryAfter is how long an entry host may tell nothing before its load is forgotten.
const silentEntryAfter = 2 * time.Second

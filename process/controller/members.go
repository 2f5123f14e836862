package controller

import (
	"maps"
	"sort"
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

// sendPresence announces this host's presence to every known control host and removes expired backend servers from the
// table. As leader it also updates which hosts should be voters.
func (c *Controller) sendPresence(now time.Time) {
	frame := c.presenceFrame()
	for _, host := range c.mesh.Hosts() {
		// An unreachable host gets the next announcement.
		_ = c.mesh.Send(host, frame)
	}
	c.updateDirectory(now)
	c.ensureMembers()
	c.recordDaemon(c.settings.ListenAddresses()...)
	maps.DeleteFunc(c.daemons, func(address string, _ time.Time) bool { return !c.isDaemon(address) })
	c.table.Expire(now, serverRetention)
	if c.leading {
		c.node.SetAim(membership.NewAim(c.term, now, c.desiredVoters(now)))
	}
}

func (c *Controller) presenceFrame() wire.Frame {
	status := c.node.Status()
	return wire.Frame{Presence: &wire.Presence{
		ID: status.ID, ControlAddress: c.settings.ControlAddress, Peers: c.controlHosts(), DiskFailed: status.FailureReason != "", TakesRepeats: true,
		LogFormat: evacuation.LogFormat,
	}}
}

// sendPresenceTo sends this host's presence to a daemon that has just connected.
func (c *Controller) sendPresenceTo(host string) {
	_ = c.mesh.Send(host, c.presenceFrame())
}

func (c *Controller) handlePresence(from string, p wire.Presence) {
	if _, known := c.presence[from]; !known {
		c.log.Info().Str("event", "controlHostFound").Str("peer", from).Str("id", p.ID).Msg("discovered a control host")
	}
	c.presence[from] = c.presence[from].updated(c.clock.Now(), p)
	c.recordDaemon(from, p.ControlAddress)
	c.mesh.AddHost(from, from)
	for _, host := range p.Peers {
		c.mesh.AddHost(host, host)
	}
	if quorum.HostOf(c.lastLeader) == from {
		c.setLeaderControl(from)
	}
}

// updated returns the presence after an announcement. A host whose disk has failed counts as silent from then on.
func (old peerPresence) updated(now time.Time, p wire.Presence) peerPresence {
	soundAt := now
	if p.DiskFailed {
		soundAt = old.soundAt
	}
	return peerPresence{presence: p, soundAt: soundAt, seenAt: now}
}

// desiredVoters returns the control hosts that should be members of the log, each with the ID of its disk. Hosts are added
// up to the number that the tolerated number of disk losses requires. A silent member stays, unless another host waits to
// become one.
func (c *Controller) desiredVoters(now time.Time) map[string]string {
	self := c.settings.PeerAddress()
	isReachable := func(host string) bool {
		p, known := c.presence[host]
		return host == self || (known && now.Sub(p.soundAt) < replaceVoterAfter)
	}
	// Before this host has listened for long enough, it can't tell who is silent.
	isSilent := func(host string) bool { return !isReachable(host) && now.Sub(c.listening.Since()) >= replaceVoterAfter }
	out := map[string]string{}
	for _, m := range c.node.Status().Members.Members {
		out[quorum.HostOf(m.ID)] = m.ID
	}
	for host := range out {
		if p, known := c.presence[host]; known && isReachable(host) && host != self {
			out[host] = p.presence.ID
		}
	}
	var waiting []string
	for host := range c.presence {
		if _, member := out[host]; !member && isReachable(host) {
			waiting = append(waiting, host)
		}
	}
	sort.Strings(waiting)
	for _, host := range waiting {
		if len(out) >= c.settings.VoterCount() && !c.removeSilentHost(out, isSilent) {
			break
		}
		out[host] = c.presence[host].presence.ID
	}
	return out
}

// removeSilentHost removes the host that has been silent for longest and reports whether there was a silent one.
func (c *Controller) removeSilentHost(hosts map[string]string, isSilent func(string) bool) bool {
	var silent []string
	for host := range hosts {
		if isSilent(host) {
			silent = append(silent, host)
		}
	}
	if len(silent) == 0 {
		return false
	}
	sort.Slice(silent, func(i, j int) bool {
		return c.presence[silent[i]].soundAt.Before(c.presence[silent[j]].soundAt)
	})
	c.log.Info().Str("event", "voterReplaced").Str("peer", silent[0]).
		Dur("silentFor", c.clock.Now().Sub(c.presence[silent[0]].soundAt)).Msg("replaced a silent voter")
	delete(hosts, silent[0])
	return true
}

// entryTimeout is how long an entry host may send no usage report before its load is no longer counted.
const entryTimeout = 2 * time.Second

// recordDaemon records addresses at which a daemon of the system listens.
func (c *Controller) recordDaemon(addresses ...string) {
	now := c.clock.Now()
	for _, address := range addresses {
		if address != "" {
			c.daemons[address] = now
		}
	}
}

// isDaemon reports whether a daemon of the system listens at an address. A request that is sent there as to a backend server
// would come back.
func (c *Controller) isDaemon(address string) bool {
	seenAt, known := c.daemons[address]
	return known && c.clock.Now().Sub(seenAt) < serverRetention
}

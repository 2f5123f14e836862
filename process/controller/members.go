package controller

import (
	"maps"
	"slices"
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
		c.aimMembers(now)
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

// decideMembers decides which control hosts are to vote in the log.
func (c *Controller) decideMembers(now time.Time) membership.Decision {
	hosts := map[string]membership.Host{}
	for host, p := range c.presence {
		hosts[host] = membership.Host{ID: p.presence.ID, SoundAt: p.soundAt}
	}
	return membership.Decide(membership.View{
		Term: c.term, Now: now, Self: c.settings.PeerAddress(), Members: c.node.Status().Members, Voters: c.settings.VoterCount(), Hosts: hosts,
		ListeningSince: c.listening.Since(), SilentAfter: replaceVoterAfter,
	})
}

// aimMembers states which control hosts are to vote, and logs when others are to make way than before.
func (c *Controller) aimMembers(now time.Time) {
	d := c.decideMembers(now)
	c.node.SetAim(d.Aim())
	if slices.Equal(d.Outgoing(), c.outgoingVoters) {
		return
	}
	c.outgoingVoters = d.Outgoing()
	for _, host := range d.Outgoing() {
		c.log.Info().Str("event", "voterMakesWay").Str("peer", host).Dur("silentFor", now.Sub(c.presence[host].soundAt)).Bool("everHeard", !c.presence[host].soundAt.IsZero()).
			Dur("listeningFor", now.Sub(c.listening.Since())).Strs("candidates", d.Candidates()).Int("voters", d.Aim().Voters()).Uint64("term", c.term).
			Msg("a voter of the replicated log is to make way once another host can vote")
		c.telemetry.Count("outgoing_voters", "reason", c.outgoingReason(host, now))
	}
}

// outgoingReason returns why a voter makes way.
func (c *Controller) outgoingReason(host string, now time.Time) string {
	if now.Sub(c.presence[host].soundAt) < replaceVoterAfter {
		return "surplus"
	}
	return "silent"
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

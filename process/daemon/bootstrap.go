package daemon

import (
	"context"
	"sync"
	"time"

	"savorywing.example/savorywing/process/membership"
	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

const (
	introductionInterval = 500 * time.Millisecond
	bootstrapTimeout     = 2 * time.Second
	// maxIntroductionAge is how old the newest introduction of a control host may be: three intervals.
	maxIntroductionAge = 3 * introductionInterval
)

// introductions holds the newest introduction of each control host: its incarnation, whether its disk is empty, and the
// leader that it knows.
type introductions struct {
	mu     sync.Mutex
	byHost map[string]introduced
}

// introduced is an introduction and when it arrived.
type introduced struct {
	introduction wire.Introduction
	at           time.Time
}

func (i *introductions) set(now time.Time, in wire.Introduction) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byHost == nil {
		i.byHost = map[string]introduced{}
	}
	i.byHost[quorum.HostOf(in.ID)] = introduced{introduction: in, at: now}
}

// get returns the newest introduction of a host, unless it is too old: the host may have lost its disk since.
func (i *introductions) get(now time.Time, host string) (wire.Introduction, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	in, known := i.byHost[host]
	if !known || now.Sub(in.at) > maxIntroductionAge {
		return wire.Introduction{}, false
	}
	return in.introduction, true
}

// sendIntroductions periodically sends the state of this host's disk to the other control hosts. While all disks are
// empty, the first control host by name bootstraps the cluster. As leader it also decides the members of the log anew.
func (d *Daemon) sendIntroductions() {
	for {
		status := d.node.Status()
		self := wire.Introduction{ID: status.ID, Empty: len(status.Members.Members) == 0, Leader: status.Leader}
		d.introductions.set(d.clock.Now(), self)
		hosts := d.controlHosts()
		for _, host := range hosts {
			if host != d.settings.Daemon.Host {
				_ = d.mesh.Send(host, wire.Frame{Introduction: &self})
			}
		}
		if self.Empty && hosts[0] == d.settings.Daemon.Host {
			d.bootstrap(hosts)
		}
		if status.Role == quorum.Leader {
			d.setAim(status.Term, hosts)
		}
		if !d.wait(introductionInterval) {
			return
		}
	}
}

// setAim makes all control hosts members of the log, with the disks that they have introduced.
func (d *Daemon) setAim(term uint64, hosts []string) {
	now := d.clock.Now()
	ids := map[string]string{}
	for _, host := range hosts {
		in, _ := d.introductions.get(now, host)
		ids[host] = in.ID
	}
	d.node.SetAim(membership.NewAim(term, now, len(hosts), ids))
}

// bootstrap sets the first membership once every control host has reported an empty disk.
func (d *Daemon) bootstrap(hosts []string) {
	var m wire.Membership
	for _, host := range hosts {
		in, known := d.introductions.get(d.clock.Now(), host)
		if !known || !in.Empty {
			return
		}
		m.Members = append(m.Members, wire.Member{ID: in.ID, Voter: true})
	}
	ctx, cancel := context.WithTimeout(d.ctx, bootstrapTimeout)
	defer cancel()
	if err := d.node.Bootstrap(ctx, m); err != nil {
		d.log.Warn().Err(err).Msg("bootstrapping the cluster failed")
		return
	}
	d.log.Info().Int("voters", len(m.Members)).Msg("bootstrapped the cluster")
	for _, host := range hosts[1:] {
		if _, err := d.call(ctx, host, wire.Frame{Formation: &wire.Formation{Membership: &m}}); err != nil {
			// The leader brings that host up to date with a snapshot.
			d.log.Warn().Err(err).Str("host", host).Msg("sending the first membership failed")
		}
	}
}

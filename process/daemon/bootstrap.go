package daemon

import (
	"context"
	"sync"
	"time"

	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

const (
	introductionInterval = 500 * time.Millisecond
	bootstrapTimeout     = 2 * time.Second
)

// introductions holds the newest introduction of each control host: its incarnation, whether its disk is empty, and the
// leader that it knows.
type introductions struct {
	mu     sync.Mutex
	byHost map[string]wire.Introduction
}

func (i *introductions) set(in wire.Introduction) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byHost == nil {
		i.byHost = map[string]wire.Introduction{}
	}
	i.byHost[quorum.HostOf(in.ID)] = in
}

func (i *introductions) get(host string) (wire.Introduction, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	in, known := i.byHost[host]
	return in, known
}

// sendIntroductions periodically sends the state of this host's disk to the other control hosts. While all disks are
// empty, the first control host by name bootstraps the cluster. It also passes the known incarnations to the local
// voter, which uses them as leader.
func (d *Daemon) sendIntroductions() {
	for {
		status := d.node.Status()
		self := wire.Introduction{ID: status.ID, Empty: len(status.Members.Members) == 0, Leader: status.Leader}
		d.introductions.set(self)
		hosts := d.controlHosts()
		for _, host := range hosts {
			if host != d.settings.Daemon.Host {
				_ = d.mesh.Send(host, wire.Frame{Introduction: &self})
			}
		}
		if self.Empty && hosts[0] == d.settings.Daemon.Host {
			d.bootstrap(hosts)
		}
		d.setIncarnations(hosts)
		if !d.wait(introductionInterval) {
			return
		}
	}
}

func (d *Daemon) setIncarnations(hosts []string) {
	incarnations := map[string]string{}
	for _, host := range hosts {
		in, _ := d.introductions.get(host)
		incarnations[host] = in.ID
	}
	d.node.SetIncarnations(incarnations)
}

// bootstrap sets the first membership once every control host has reported an empty disk.
func (d *Daemon) bootstrap(hosts []string) {
	var m wire.Membership
	for _, host := range hosts {
		in, known := d.introductions.get(host)
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

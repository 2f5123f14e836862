package daemon

import (
	"context"
	"sync"
	"time"

	"savorywing.example/savorywing/process/quorum"
	"savorywing.example/savorywing/wire"
)

const (
	introduceEvery = 500 * time.Millisecond
	formTimeout    = 2 * time.Second
)

// introductions holds what control hosts told of their disks.
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

// introduce is the duty that tells other control hosts about this one's disk. While all disks are
// empty, the first control host by name forms the cluster; later it tells the leader which
// incarnations are present.
func (d *Daemon) introduce() {
	for {
		view := d.node.Status()
		self := wire.Introduction{ID: view.ID, Empty: len(view.Members.Members) == 0, Leader: view.Leader}
		d.introduced.set(self)
		hosts := d.controlHosts()
		for _, host := range hosts {
			if host != d.settings.Daemon.Host {
				_ = d.mesh.Send(host, wire.Frame{Introduction: &self})
			}
		}
		if self.Empty && hosts[0] == d.settings.Daemon.Host {
			d.form(hosts)
		}
		d.tellPresent(hosts)
		if !d.wait(introduceEvery) {
			return
		}
	}
}

func (d *Daemon) tellPresent(hosts []string) {
	present := map[string]string{}
	for _, host := range hosts {
		in, _ := d.introduced.get(host)
		present[host] = in.ID
	}
	d.node.SetIncarnations(present)
}

// form makes the first membership once every control host has told that its disk is empty.
func (d *Daemon) form(hosts []string) {
	var m wire.Membership
	for _, host := range hosts {
		in, known := d.introduced.get(host)
		if !known || !in.Empty {
			return
		}
		m.Members = append(m.Members, wire.Member{ID: in.ID, Voter: true})
	}
	ctx, cancel := context.WithTimeout(d.ctx, formTimeout)
	defer cancel()
	if err := d.node.Bootstrap(ctx, m); err != nil {
		d.log.Warn().Err(err).Msg("forming the cluster")
		return
	}
	d.log.Info().Int("voters", len(m.Members)).Msg("the cluster is formed")
	for _, host := range hosts[1:] {
		if _, err := d.call(ctx, host, wire.Frame{Formation: &wire.Formation{Membership: &m}}); err != nil {
			// The leader brings the host up by a snapshot.
			d.log.Warn().Err(err).Str("host", host).Msg("forming the cluster")
		}
	}
}

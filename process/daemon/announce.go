package daemon

import (
	"time"

	"savorywing.example/savorywing/connection/announcement"
	"savorywing.example/savorywing/wire"
)

const (
	forwardEvery   = 200 * time.Millisecond
	forwardBatch   = 256
	keepAliveEvery = 5 * time.Second
)

// Announced takes an announcement that a backend server pushed to this host.
func (d *Daemon) Announced(a wire.Announcement) {
	if !d.announced.Push(a) {
		d.log.Warn().Str("backend", a.Host).Msg("too many announcements; one is dropped")
	}
}

// forwardAnnouncements is the duty that tells the other daemons what backend servers announce. What
// changes only the load is not forwarded while the host's own answers keep it listed everywhere.
func (d *Daemon) forwardAnnouncements() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-d.announced.Out():
			d.forward(d.announced.Drain(first, forwardBatch))
		}
		if !d.wait(forwardEvery) {
			return
		}
	}
}

func (d *Daemon) forward(batch []wire.Announcement) {
	now := d.clock.Now()
	var news []wire.Announcement
	for _, a := range batch {
		seen := d.registry.LastSeen(a.Host)
		switch d.registry.Observe(a) {
		case announcement.Stale:
			continue
		case announcement.LoadChanged:
			if now.Sub(seen) < keepAliveEvery {
				continue
			}
		}
		news = append(news, a)
	}
	if len(news) == 0 {
		return
	}
	for _, host := range d.mesh.Hosts() {
		_ = d.mesh.Send(host, wire.Frame{Announcements: news})
	}
}

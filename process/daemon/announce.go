package daemon

import (
	"time"

	"savorywing.example/savorywing/connection/announcement"
	"savorywing.example/savorywing/wire"
)

const (
	forwardInterval = 200 * time.Millisecond
	maxForwardBatch = 256
	// keepAliveInterval is how long a backend server must have been silent before an announcement that changes only its
	// load is forwarded.
	keepAliveInterval = 5 * time.Second
)

// HandleAnnouncement queues an announcement that a backend server pushed to this host.
func (d *Daemon) HandleAnnouncement(a wire.Announcement) {
	if !d.announcements.Push(a) {
		d.log.Warn().Str("backend", a.Host).Msg("the announcement queue is full; dropped an announcement")
	}
}

// forwardAnnouncements forwards the announcements of backend servers to the other daemons. One that changes only the
// load is not forwarded within keepAliveInterval of the server's previous announcement or response to a poll: the other
// daemons poll the server themselves, which keeps it listed there.
func (d *Daemon) forwardAnnouncements() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-d.announcements.Out():
			d.forward(d.announcements.Drain(first, maxForwardBatch))
		}
		if !d.wait(forwardInterval) {
			return
		}
	}
}

func (d *Daemon) forward(batch []wire.Announcement) {
	now := d.clock.Now()
	var changes []wire.Announcement
	for _, a := range batch {
		seen := d.registry.LastSeen(a.Host)
		switch d.registry.Observe(a) {
		case announcement.Stale:
			continue
		case announcement.LoadChanged:
			if now.Sub(seen) < keepAliveInterval {
				continue
			}
		}
		changes = append(changes, a)
	}
	if len(changes) == 0 {
		return
	}
	for _, host := range d.mesh.Hosts() {
		_ = d.mesh.Send(host, wire.Frame{Announcements: changes})
	}
}

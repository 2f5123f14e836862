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
// changes only the load goes out as rarely as keeping a host listed needs.
func (d *Daemon) forwardAnnouncements() {
	sent := map[string]time.Time{}
	for {
		select {
		case <-d.ctx.Done():
			return
		case first := <-d.announced.Out():
			d.forward(d.announced.Drain(first, forwardBatch), sent)
		}
		if !d.wait(forwardEvery) {
			return
		}
	}
}

func (d *Daemon) forward(batch []wire.Announcement, sent map[string]time.Time) {
	now := d.clock.Now()
	var news []wire.Announcement
	for _, a := range batch {
		switch d.registry.Observe(a) {
		case announcement.Old:
			continue
		case announcement.LoadOnly:
			if now.Sub(sent[a.Host]) < keepAliveEvery {
				continue
			}
		}
		sent[a.Host] = now
		news = append(news, a)
	}
	if len(news) == 0 {
		return
	}
	for _, host := range d.mesh.Hosts() {
		_ = d.mesh.Send(host, wire.Frame{Announcements: news})
	}
}

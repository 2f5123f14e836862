package controller

import (
	"time"

	"savorywing.example/savorywing/process/pace"
	"savorywing.example/savorywing/wire"
)

// pace sets how many requests servers that have just started or returned may have in flight, where the settings and the document
// ask for it.
func (c *Controller) pace(now time.Time, list []wire.Endpoint) {
	d := c.document.Load()
	if d == nil {
		return
	}
	var servers []pace.Server
	for _, e := range list {
		if s := d.catalogue.Service(e.Service); s == nil || !c.settings.Paces(s.ColdTime) {
			continue
		}
		load := c.totals.Load(e.ID)
		servers = append(servers, pace.Server{
			ID: e.ID, Born: e.Born, Epoch: e.Epoch, Slots: e.Slots, Cold: e.ColdMs > 0, Stalled: load.Stalled, Silent: e.Silent, InFlight: load.InFlight,
		})
	}
	c.logPace(c.paces.Sync(now, servers, c.hasSeenRequests))
	c.logPace(c.paces.Step(now))
	for i := range list {
		list[i].PaceSlots = c.paces.Cap(list[i].ID)
	}
}

// recordPace records what an entry host has observed of servers on pace.
func (c *Controller) recordPace(now time.Time, u wire.Usage) {
	var samples []pace.Sample
	for _, l := range u.Loads {
		if l.Times+l.Served+l.Refused > 0 {
			samples = append(samples, pace.Sample{ID: l.ID, Times: l.Times, Slowness: l.Slowness, Served: l.Served, Refused: l.Refused})
		}
	}
	c.paces.Record(now, samples)
}

func (c *Controller) logPace(changes []pace.Change) {
	for _, x := range changes {
		direction := "up"
		switch {
		case x.Before == 0:
			direction = "begun"
		case x.Cap == 0:
			direction = "ended"
		case x.Cap < x.Before:
			direction = "down"
		}
		c.telemetry.Count("paces", "direction", direction)
		c.log.Info().Str("event", "pace").Str("server", x.ID).Int64("born", x.Born).Str("direction", direction).Int("before", x.Before).Int("cap", x.Cap).
			Int("slots", x.Slots).Int("times", x.Times).Float64("slowness", x.Slowness).Int("served", x.Served).Int("refused", x.Refused).Int("peak", x.Peak).
			Dur("observed", x.SinceLast).Dur("sinceStart", x.SinceStart).Msg("the number of requests that a server may have has changed")
	}
}

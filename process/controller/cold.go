package controller

import (
	"time"

	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/wire"
)

// boundCold sets what the entry hosts have to know of the bound of cold servers, and tells the allocator who is cold.
func (c *Controller) boundCold(now time.Time, list []wire.Endpoint) {
	for i, e := range list {
		list[i].ColdShare = c.coldBound(e.Service).Share()
	}
	for _, change := range c.limits.SetEndpoints(now, list, c.coldBound) {
		state := "warm"
		if change.Cold {
			state = "cold"
		}
		c.telemetry.Count("servers_cold", "state", state)
		c.log.Info().Str("event", "serverCold").Str("server", change.Server).Int64("born", change.Born).Bool("cold", change.Cold).Dur("left", change.Left).
			Float64("perSecond", change.Rate).Int("granted", change.Granted).Bool("wasWarm", change.WasWarm).Msg("a backend server has become cold or warm")
	}
}

// coldBound returns the bound for a service's cold servers by the newest document and the settings.
func (c *Controller) coldBound(service string) quota.ColdBound {
	d := c.document.Load()
	if d == nil {
		return quota.ColdBound{}
	}
	s := d.catalogue.Service(service)
	if s == nil {
		return quota.ColdBound{}
	}
	return quota.ColdBound{PerSecond: s.ColdPerSecond, Overage: c.settings.ColdOverage, Slack: c.settings.ColdSlack}
}

package controller

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// recordLimits records what an entry host reports of servers' request limits. The other hosts are told at once of a limit
// that begins, ends or decreases.
func (c *Controller) recordLimits(now time.Time, u wire.Usage) {
	urgent := c.limits.Record(now, u.Limits)
	c.limits.Step(now)
	for _, change := range c.limits.Changes() {
		c.log.Info().Str("event", "requestLimit").Str("server", change.Server).Int64("born", change.Born).Float64("perSecond", change.PerSecond).
			Bool("ended", change.Ended).Msg("the request limit of a backend server has changed")
	}
	if urgent {
		c.pushToAll(now)
	}
}

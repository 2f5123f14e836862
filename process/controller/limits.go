package controller

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// recordLimits records what an entry host reports of servers' request limits. Each host is told of changes with the answer
// to its next usage report.
func (c *Controller) recordLimits(now time.Time, u wire.Usage) {
	c.limits.Record(now, u.Limits)
	c.limits.Step(now)
	for _, change := range c.limits.Changes() {
		c.log.Info().Str("event", "requestLimit").Str("server", change.Server).Int64("born", change.Born).Float64("perSecond", change.PerSecond).
			Bool("ended", change.Ended).Msg("the request limit of a backend server has changed")
	}
}

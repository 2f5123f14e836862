package controller

import (
	"strconv"
	"time"

	"savorywing.example/savorywing/wire"
)

// recordLosses records what an entry host reports of servers that have ended under its requests.
func (c *Controller) recordLosses(now time.Time, host string, u wire.Usage) {
	for _, l := range u.Losses {
		c.log.Info().Str("event", "serverEnded").Str("server", l.Server).Int64("born", l.Born).Str("entry", host).Int64("ageMs", l.AgeMs).
			Bool("proven", l.Ended).Int("requests", len(l.Requests)).Msg("connections to a backend server ended under requests that it had just begun")
	}
	c.quarantine.Record(now, host, c.term, u)
}

// hasEnded reports whether one incarnation of a server is known to have ended: a later one has started at its address or
// under its ID.
func (c *Controller) hasEnded(server string, born int64) bool {
	s := c.table.Server(server)
	return s != nil && (s.Dead() || s.Report().Born > born)
}

// stepQuarantine blocks and releases parts of prompts, and tells the entry hosts at once.
func (c *Controller) stepQuarantine(now time.Time) {
	if !c.leading {
		return
	}
	c.quarantine.ProveEnds(now, c.hasEnded)
	if !c.quarantine.Step(now) {
		return
	}
	for _, change := range c.quarantine.Changes() {
		state := "released"
		if change.Blocked {
			state = "blocked"
		}
		c.telemetry.Count("prompt_parts", "state", state)
		c.log.Warn().Str("event", "promptPart").Str("state", state).Str("reason", change.Reason).Int("crashes", change.Crashes).
			Str("service", change.Key.Service).Str("organisation", change.Key.Organisation).Str("part", strconv.FormatUint(change.Key.Part, 16)).
			Bool("request", change.Key.Request).Msg("requests with a part of a prompt, or one request, are rejected, or served again")
	}
	c.pushToAll(now)
}

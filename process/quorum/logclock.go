package quorum

import "time"

// logClock gives the times of commands. They go on from the log's own time with the leader's monotonic
// clock, so that a wall clock which jumps can't make a claim expire early.
type logClock struct {
	term uint64
	base int64
	from time.Time
}

func (c *logClock) read(term uint64, newest int64, now time.Time) int64 {
	if c.term != term || c.from.IsZero() {
		c.term, c.base, c.from = term, newest, now
		if newest == 0 {
			c.base = now.UnixMilli()
		}
	}
	return c.base + now.Sub(c.from).Milliseconds()
}

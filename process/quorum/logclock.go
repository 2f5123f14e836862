package quorum

import "time"

// logClock gives the timestamps of commands. They continue from the newest timestamp in the log with the leader's
// monotonic clock, so that a jump of a wall clock can't make a claim expire early.
type logClock struct {
	term             uint64
	baseMilliseconds int64
	baseTime         time.Time
}

// read returns the time in milliseconds. newest is the newest timestamp in the log, 0 in an empty one.
func (c *logClock) read(term uint64, newest int64, now time.Time) int64 {
	if c.term != term || c.baseTime.IsZero() {
		c.term, c.baseMilliseconds, c.baseTime = term, newest, now
		if newest == 0 {
			c.baseMilliseconds = now.UnixMilli()
		}
	}
	return c.baseMilliseconds + now.Sub(c.baseTime).Milliseconds()
}

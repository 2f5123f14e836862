package savorywing

import "time"

// Clock is the source of time. Times carry a monotonic reading wherever the implementation has one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel on which the time is sent once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

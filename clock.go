package savorywing

import "time"

// Clock is the source of time. Times carry a monotonic reading wherever the implementation has one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

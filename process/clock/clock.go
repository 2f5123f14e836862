// Package clock holds the implementations of the clock.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"savorywing.example/savorywing"
)

// System is the machine's clock.
type System struct{}

var _ savorywing.Clock = System{}

// Now returns the machine's time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when told; it is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at time.Time
	ch chan time.Time
}

var _ savorywing.Clock = (*Manual)(nil)

// NewManual returns a clock that stands at now.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now}
}

// Now returns the time to which the clock was moved.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock was moved by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	m.timers = append(m.timers, timer{at: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock and fires what is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	var rest []timer
	for _, t := range m.timers {
		if t.at.After(m.now) {
			rest = append(rest, t)
			continue
		}
		t.ch <- m.now
	}
	m.timers = rest
}

// Boottime counts the time since the machine was started, suspended time included. It never jumps with
// the time of day, so that leases and freshness measured by it can't outlive a suspension.
type Boottime struct{}

var _ savorywing.Clock = Boottime{}

// Now returns the time since the machine's start as a time since 1970.
func (Boottime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every Linux since 2.6.39
	}
	return time.Unix(t.Sec, t.Nsec)
}

// After returns a channel that receives the time once d has passed; suspended time may not count.
func (b Boottime) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	time.AfterFunc(d, func() { ch <- b.Now() })
	return ch
}

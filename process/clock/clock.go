// Package clock implements the clocks of the system: the machine's, one for tests, and the time since boot.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"savorywing.example/savorywing"
)

// System is the operating system's clock.
type System struct{}

var _ savorywing.Clock = System{}

// Now returns the system time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that advances only through Advance; it is safe for concurrent use.
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

// NewManual returns a clock set to now.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now}
}

// Now returns the clock's current time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock has been advanced by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	m.timers = append(m.timers, timer{at: m.now.Add(d), ch: ch})
	return ch
}

// Advance advances the clock by d and fires the timers that are due.
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

// Boottime measures the time since the machine was booted, including suspended time. It is not affected by changes
// of the time of day, so that leases and freshness bounds measured by it can't outlive a suspension.
type Boottime struct{}

var _ savorywing.Clock = Boottime{}

// Now returns the time since boot, added to the Unix epoch.
func (Boottime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every Linux since 2.6.39
	}
	return time.Unix(t.Sec, t.Nsec)
}

// After returns a channel that receives the time once d has passed; suspended time may not count.
func (b Boottime) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	time.AfterFunc(d, func() { ch <- b.Now() })
	return ch
}

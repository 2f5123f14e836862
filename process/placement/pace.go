package placement

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// The leader keeps servers that have just started or returned on pace, by what the entry hosts observe of them.

// paceSample is what was observed of a server on pace since the last usage report.
type paceSample struct {
	times           int
	slowness        float64
	served, refused int
}

// maxGapRatio bounds the mean of the pool, which other requests' prompts lengthen, in multiples of the engine's time of a pass; a fleet
// that is slow together must not be its own measure.
const maxGapRatio = 1.5

// maxSlowness bounds the weight of one time, so that an event that a long prompt beside it holds up isn't most of a mean.
const maxSlowness = 3.0

// observe records a time and the expected one.
func (e *endpoint) observe(elapsed, expected time.Duration) {
	if e.PaceSlots == 0 || expected <= 0 {
		return
	}
	e.pace.times++
	e.pace.slowness += min(maxSlowness, float64(elapsed)/float64(expected))
}

// observeEnd records how a request has ended.
func (e *endpoint) observeEnd(r Result) {
	switch {
	case e.PaceSlots == 0:
	case r == Served:
		e.pace.served++
	case r == Shed || r == Failed:
		e.pace.refused++
	}
}

// expectedGap returns the expected time between two events of a request.
func (b *Balancer) expectedGap(res *Reservation) time.Duration {
	return max(res.passTime, min(b.gaps[res.key], time.Duration(maxGapRatio*float64(res.passTime))))
}

// takePace moves what was observed into a usage report.
func (e *endpoint) takePace(l *wire.EndpointLoad) {
	l.Times, l.Slowness, l.Served, l.Refused = e.pace.times, e.pace.slowness, e.pace.served, e.pace.refused
	e.pace = paceSample{}
}

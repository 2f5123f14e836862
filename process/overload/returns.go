package overload

import (
	"math/rand/v2"
	"time"
)

// returns counts the callers that were told to return, by the time at which they are expected. Callers that return once wait up to
// a third of the time that they have left. One that returns earlier, into the same overload, is late by then in any case and is
// rejected once more, so callers are told a time near the end of that span, and evenly spread ones.
type returns struct {
	// told is a ring of the callers expected in each slotTime; those before from are past.
	told [returnSlots]int
	// from is the number of the first slot of the ring since the Unix epoch.
	from int64
}

const (
	slotTime    = 50 * time.Millisecond
	returnSlots = 512
	// earliestReturn and latestReturn are fractions of a caller's remaining time. Callers keep to a time of up to a third.
	earliestReturn = 0.22
	latestReturn   = 0.32
	// minReturn bounds the time that a caller with little time left is told.
	minReturn = 250 * time.Millisecond
	// maxRemaining bounds the remaining time that counts: an overload is over long before, and the ring holds the whole span.
	maxRemaining = time.Duration(returnSlots-1) * slotTime * 3
)

// next returns the time in which the fewest callers are expected.
func (r *returns) next(now time.Time, remaining time.Duration, random *rand.Rand) time.Duration {
	r.expire(now)
	remaining = min(remaining, maxRemaining)
	first := now.Add(max(minReturn, time.Duration(earliestReturn*float64(remaining))))
	last := now.Add(max(minReturn, time.Duration(latestReturn*float64(remaining))))
	from, to := slotOf(first), min(slotOf(last), r.from+returnSlots-1)
	if from >= to {
		return first.Sub(now) + time.Duration(random.Float64()*float64(slotTime))
	}
	// The search begins anywhere, so that hosts that have told nobody yet don't all choose the same slot.
	n, start := to-from, random.Int64N(to-from)
	best := from + start
	for i := range n {
		if slot := from + (start+i)%n; r.told[slot%returnSlots] < r.told[best%returnSlots] {
			best = slot
		}
	}
	r.told[best%returnSlots]++
	at := time.Unix(0, best*int64(slotTime)).Add(time.Duration(random.Float64() * float64(slotTime)))
	return max(first.Sub(now), at.Sub(now))
}

// expire clears the slots that have passed.
func (r *returns) expire(now time.Time) {
	current := slotOf(now)
	if current-r.from >= returnSlots || current < r.from {
		r.told, r.from = [returnSlots]int{}, current
	}
	for ; r.from < current; r.from++ {
		r.told[r.from%returnSlots] = 0
	}
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

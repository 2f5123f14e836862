package placement

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// endpoint is what this entry host knows of one backend server or group.
type endpoint struct {
	wire.Endpoint
	// own counts this host's requests in flight; never negative.
	own int
	// others counts those of other hosts as of the leader's last word.
	others int
	// waiting and othersWaiting are prompt tokens of requests that have not shown an event yet.
	waiting, othersWaiting int
	// reportedWaiting is the own part that the leader's total contains.
	reportedWaiting int
	// othersStalled is the leader's word that nobody sees progress there.
	othersStalled bool
	// entries is the number of entry hosts that share it, at least 1.
	entries int
	// reported is the own count that the leader's total contains.
	reported int
	// progress is when an answer last moved, or a request was sent while none was in flight.
	progress time.Time
	// moved tells that an answer has moved since the last usage.
	moved bool
	// shown counts this host's requests in flight that have shown an event, and expected is the longest
	// predicted time to the first event of those that have not.
	shown    int
	expected time.Duration
	// othersMoved is the leader's word at othersAt that answers from there move.
	othersMoved bool
	othersAt    time.Time

	// failures is a moving share of failed requests; samples counts up to sampleCap.
	failures float64
	samples  int
	ejected  time.Time
	// ejections counts ejections without a success between them.
	ejections int
	// gap is the moving mean time between two events of a stream, or of a whole plain answer.
	gap time.Duration
	// hold is the moving mean time that a request keeps its slot.
	hold time.Duration
}

const (
	sampleCap = 8
	// movingPart is the weight of a new sample in moving means.
	movingPart = 0.2
	// ejectShare and ejectSamples eject a server when most of several recent requests failed.
	ejectShare   = 0.5
	ejectSamples = 3
	firstEject   = 1 * time.Second
	longestEject = 16 * time.Second
)

func (e *endpoint) load() int { return e.own + e.others + e.unseen() }

// usualGrowth is how many more requests than last reported are nothing unusual at one entry host.
const usualGrowth = 1

// unseen estimates what other hosts have sent since the leader's last word: where this host sends unusually
// many, as after a loss of power, callers press on all of them.
func (e *endpoint) unseen() int {
	return max(0, e.own-e.reported-usualGrowth) * (e.entries - 1) / 2
}

// waitingTokens estimates the prompt tokens that wait, with those that other hosts have just sent.
func (e *endpoint) waitingTokens() int {
	tokens := e.waiting + e.othersWaiting
	if e.own > 0 {
		tokens += e.unseen() * e.waiting / e.own
	}
	return tokens
}

func (e *endpoint) slots() int { return max(1, e.Slots) }

// isStalled tells whether requests are in flight and none has moved for a while. Requests that have not
// shown an event yet may be waiting for their turn, so these alone are given the predicted time as well. What
// other hosts have seen moving moves.
func (e *endpoint) isStalled(now time.Time, after time.Duration) bool {
	if e.own == 0 {
		return false
	}
	if e.shown == 0 {
		after += e.expected
	}
	if e.othersMoved && now.Sub(e.othersAt) < after {
		return false
	}
	return now.Sub(e.progress) > after
}

func move(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(movingPart * float64(sample-*mean))
}

func (e *endpoint) learnOutcome(now time.Time, failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	e.samples = min(sampleCap, e.samples+1)
	e.failures += (v - e.failures) / float64(min(e.samples, sampleCap))
	if !failed {
		e.ejections = 0
		return
	}
	if e.samples >= ejectSamples && e.failures >= ejectShare {
		e.eject(now)
	}
}

// eject keeps new requests away, for longer each time.
func (e *endpoint) eject(now time.Time) {
	d := min(longestEject, firstEject<<min(e.ejections, maxDoublings))
	e.ejections++
	e.ejected = now.Add(d)
	// Half of the history is kept, so that the first failures after it eject again.
	e.samples = ejectSamples - 1
}

const maxDoublings = 4

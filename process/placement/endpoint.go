package placement

import (
	"time"

	"savorywing.example/savorywing/wire"
)

// endpoint is what this entry host knows of one backend server or group.
type endpoint struct {
	wire.Endpoint
	// localInFlight is the number of this host's requests in flight; never negative.
	localInFlight int
	// remoteInFlight is the number of other hosts' requests in flight as of the leader's latest update.
	remoteInFlight int
	// localWaiting and remoteWaiting are the prompt tokens of requests that have not received an event yet.
	localWaiting, remoteWaiting int
	// localExtra is what this host's requests in flight need of the group's memory beyond a part for each, in slots' parts, and
	// reportedExtra the value that the leader's total contains; neither is ever negative.
	localExtra, reportedExtra int
	// wholeInFlight and wholeWaiting are remoteInFlight and remoteWaiting as of before the sums lacked hosts; never negative.
	wholeInFlight, wholeWaiting int
	// reportedWaiting is the value of localWaiting that the leader's total contains.
	reportedWaiting int
	// remoteStalled reports whether, by the leader's latest update, no entry host sees progress there.
	remoteStalled bool
	// entryHosts is the number of entry hosts that share the endpoint, at least 1.
	entryHosts int
	// reported is the value of localInFlight that the leader's total contains.
	reported int
	// progressAt is when a response last made progress, or a request was sent while none was in flight.
	progressAt time.Time
	// progressed reports whether a response has made progress since the last usage report.
	progressed bool
	// started is the number of this host's requests in flight that have received an event.
	// longestPredicted is the longest predicted time to the first event, including the wait for a slot, of those sent
	// since none was in flight.
	started          int
	longestPredicted time.Duration
	// remoteProgressed reports whether, by the leader's update at remoteUpdatedAt, responses from there make progress.
	remoteProgressed bool
	remoteUpdatedAt  time.Time

	// failures is a moving average of the fraction of failed requests, 0 to 1; samples counts up to sampleCap.
	failures     float64
	samples      int
	ejectedUntil time.Time
	// ejections is the number of ejections since the last success.
	ejections int
	// pace is what was observed since the last usage report, for a server on pace.
	pace paceSample
	// gap is the moving average of the time between two events of a stream, or of the time of a complete plain response.
	gap time.Duration
	// occupancy is the moving average of the time that a request occupies its slot.
	occupancy time.Duration
}

const (
	sampleCap = 8
	// smoothingFactor is the weight of a new sample in moving averages.
	smoothingFactor = 0.2
	// A server is ejected when at least ejectFailureRatio of its recent requests failed, given ejectSamples or more.
	ejectFailureRatio = 0.5
	ejectSamples      = 3
	initialEjection   = 1 * time.Second
	maxEjection       = 16 * time.Second
)

func (e *endpoint) load() int {
	return e.localInFlight + e.localExtra + e.remoteInFlight + e.unreported()
}

// expectedGrowth is the number of requests beyond the last reported count that is normal at one entry host.
const expectedGrowth = 1

// unreported estimates how many requests other hosts have sent since the leader's latest update. When this host
// sends unusually many, as after an outage of many servers, the load has probably risen at all of them.
func (e *endpoint) unreported() int {
	return max(0, e.localInFlight-e.reported-expectedGrowth) * (e.entryHosts - 1) / 2
}

// waitingTokens estimates the prompt tokens that wait for prefill, including those of requests that other hosts have
// sent but the leader has not reported yet.
func (e *endpoint) waitingTokens() int {
	tokens := e.localWaiting + e.remoteWaiting
	if e.localInFlight > 0 {
		tokens += e.unreported() * e.localWaiting / e.localInFlight
	}
	return tokens
}

// slots returns how many requests all hosts may have in flight there: the server's slots, or fewer while it is on pace.
func (e *endpoint) slots() int {
	if e.PaceSlots > 0 {
		return min(e.ownSlots(), e.PaceSlots)
	}
	return e.ownSlots()
}

// ownSlots returns how many requests the server runs at once, on pace or not.
func (e *endpoint) ownSlots() int { return max(1, e.Slots) }

// isStalled reports whether requests are in flight and none has made progress for longer than timeout. If no request
// has received an event yet, they may all be queued, so the predicted time to the first event is added. An endpoint
// that other hosts have recently seen making progress is not stalled.
func (e *endpoint) isStalled(now time.Time, timeout time.Duration) bool {
	if e.localInFlight == 0 {
		return false
	}
	if e.started == 0 {
		timeout += e.longestPredicted
	}
	if e.remoteProgressed && now.Sub(e.remoteUpdatedAt) < timeout {
		return false
	}
	return now.Sub(e.progressAt) > timeout
}

// updateMean adds a sample to an exponentially weighted moving average; the first sample sets it.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(smoothingFactor * float64(sample-*mean))
}

// recordOutcome updates the failure ratio and ejects the endpoint when it is too high.
func (e *endpoint) recordOutcome(now time.Time, failed bool) {
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
	if e.samples >= ejectSamples && e.failures >= ejectFailureRatio {
		e.eject(now)
	}
}

// eject excludes the endpoint from selection, for twice as long each time, up to maxEjection.
func (e *endpoint) eject(now time.Time) {
	d := min(maxEjection, initialEjection<<min(e.ejections, maxDoublings))
	e.ejections++
	e.ejectedUntil = now.Add(d)
	// Part of the history is kept, so that the first failures after the ejection eject it again.
	e.samples = ejectSamples - 1
}

const maxDoublings = 4

package placement

import (
	"slices"
	"time"
)

// WaitEstimator learns the timeout that each route's callers state in their first attempt. A caller that states less
// has been rejected elsewhere or got no response, and has spent the difference waiting. No entry host can observe
// that wait directly.
type WaitEstimator struct {
	routes map[string]*majority
	// spreads holds the routes' timeouts where no majority states the same one.
	spreads map[string]*spread
}

// majority is a majority counter: it finds the timeout that most callers of a route state, if there is one.
type majority struct {
	candidate time.Duration
	count     int
}

const (
	// minCount is the count from which the candidate is trusted. Callers that each state a different timeout never
	// reach it.
	minCount = 8
	// maxCount bounds the counter, so that a change of the callers' timeout is followed within as many requests.
	maxCount = 40
)

// NewWaitEstimator returns an estimator without routes.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{routes: map[string]*majority{}, spreads: map[string]*spread{}}
}

// Estimate returns what PriorWait would return, without learning from the caller.
func (e *WaitEstimator) Estimate(route string, remaining time.Duration) time.Duration {
	m, s := e.routes[route], e.spreads[route]
	if remaining <= 0 || m == nil {
		return 0
	}
	if counted := *m; counted.add(remaining) {
		return max(0, counted.candidate-remaining)
	}
	return s.priorWait(remaining)
}

// PriorWait returns how long a caller that states the timeout remaining has already waited, or 0 if that isn't known.
func (e *WaitEstimator) PriorWait(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	wait := e.Estimate(route, remaining)
	m, s := e.routes[route], e.spreads[route]
	if m == nil {
		m, s = &majority{candidate: remaining}, &spread{}
		e.routes[route], e.spreads[route] = m, s
	}
	m.add(remaining)
	s.add(remaining)
	return wait
}

// add counts a stated timeout, and reports whether the candidate is what most callers state.
func (m *majority) add(remaining time.Duration) bool {
	switch {
	case remaining == m.candidate:
		m.count = min(maxCount, m.count+1)
	case m.count == 0:
		m.candidate, m.count = remaining, 1
	default:
		m.count--
	}
	return m.count >= minCount
}

// spread learns the range of the timeouts of first attempts, if callers state different ones. While many callers are rejected,
// the lower ones of a batch are those of returning callers; batches from calmer times have none.
type spread struct {
	batch []time.Duration
	// batches holds the quantiles of the latest batches, the newest last.
	batches []batchQuantiles
}

type batchQuantiles struct{ low, median time.Duration }

const (
	// batchSize is the number of requests in a batch, and lowRank the index of its low quantile.
	batchSize = 10
	lowRank   = 0
	// maxBatches bounds the batches that are remembered.
	maxBatches = 24
	// spreadMargin is how far below the low quantile first attempts are still expected, as a fraction of the distance between
	// it and the median.
	spreadMargin = 0.8
)

func (s *spread) add(remaining time.Duration) {
	s.batch = append(s.batch, remaining)
	if len(s.batch) < batchSize {
		return
	}
	slices.Sort(s.batch)
	if s.batch[batchSize-1] < s.lowest() {
		s.batches = nil // first attempts have shorter timeouts now: even in an overload, some of a batch are first ones
	}
	s.batches = append(s.batches, batchQuantiles{s.batch[lowRank], s.batch[batchSize/2]})
	s.batch = s.batch[:0]
	if len(s.batches) > maxBatches {
		s.batches = s.batches[1:]
	}
}

// calmest returns the batch with the highest low quantile, which has the fewest returning callers.
func (s *spread) calmest() batchQuantiles {
	var best batchQuantiles
	for _, q := range s.batches {
		if q.low > best.low {
			best = q
		}
	}
	return best
}

// lowest returns the lowest timeout that is expected of a first attempt, or 0 if batches don't agree on it.
func (s *spread) lowest() time.Duration {
	best := s.calmest()
	bound := best.low - time.Duration(spreadMargin*float64(best.median-best.low))
	agreeing := 0
	for _, q := range s.batches {
		if q.low >= bound {
			agreeing++
		}
	}
	if agreeing <= 1 {
		return 0
	}
	return max(0, bound)
}

// priorWait returns the distance to the median of first attempts if the timeout is too low for one.
func (s *spread) priorWait(remaining time.Duration) time.Duration {
	if remaining >= s.lowest() {
		return 0
	}
	return s.calmest().median - remaining
}

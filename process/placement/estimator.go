package placement

import "time"

// WaitEstimator learns the timeout that each route's callers state in their first attempt. A caller that states less
// has been rejected elsewhere or got no response, and has spent the difference waiting. No entry host can observe
// that wait directly.
type WaitEstimator struct {
	routes map[string]*majority
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
func NewWaitEstimator() *WaitEstimator { return &WaitEstimator{routes: map[string]*majority{}} }

// PriorWait returns how long a caller that states the timeout remaining has already waited, or 0 if that isn't known.
func (e *WaitEstimator) PriorWait(route string, remaining time.Duration) time.Duration {
	m := e.routes[route]
	switch {
	case remaining <= 0:
		return 0
	case m == nil:
		e.routes[route] = &majority{candidate: remaining, count: 1}
		return 0
	case remaining == m.candidate:
		m.count = min(maxCount, m.count+1)
		return 0
	case m.count == 0:
		m.candidate, m.count = remaining, 1
		return 0
	}
	m.count--
	if m.count < minCount || remaining > m.candidate {
		return 0
	}
	return m.candidate - remaining
}

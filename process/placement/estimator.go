package placement

import "time"

// WaitEstimator learns how long each route's callers say that they will wait when they first ask. One that says less has
// been refused elsewhere, or was not answered, and has waited for the rest: no entry host sees that itself.
type WaitEstimator struct {
	routes map[string]*vote
}

// vote finds the value that most callers of a route name, if there is one.
type vote struct {
	usual time.Duration
	lead  int
}

const (
	// sureLead is the lead that makes a value the usual one: callers who name times of their own reach none.
	sureLead = 8
	// mostLead bounds the memory, so that a change of what callers say is followed within as many requests.
	mostLead = 40
)

// NewWaitEstimator returns one that knows no route.
func NewWaitEstimator() *WaitEstimator { return &WaitEstimator{routes: map[string]*vote{}} }

// PriorWait returns how long a caller that will wait for left has waited before, or 0 if that isn't known.
func (p *WaitEstimator) PriorWait(route string, left time.Duration) time.Duration {
	v := p.routes[route]
	switch {
	case left <= 0:
		return 0
	case v == nil:
		p.routes[route] = &vote{usual: left, lead: 1}
		return 0
	case left == v.usual:
		v.lead = min(mostLead, v.lead+1)
		return 0
	case v.lead == 0:
		v.usual, v.lead = left, 1
		return 0
	}
	v.lead--
	if v.lead < sureLead || left > v.usual {
		return 0
	}
	return v.usual - left
}

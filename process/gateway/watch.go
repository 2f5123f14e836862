package gateway

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/placement"
)

var errStalled = errors.New("the server makes no progress")

// stallWatch cancels an attempt whose server makes no progress, if the request can be retried elsewhere.
type stallWatch struct {
	request *callerRequest
	server  string
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	// lastProgress is when the response last made progress, in Unix nanoseconds on the gateway's clock.
	lastProgress atomic.Int64
	// stopped keeps a check that is under way from cancelling the attempt.
	stopped atomic.Bool
	// timeout is how long the response may make no progress.
	timeout time.Duration
}

// startWatch starts the stall timer of an attempt. It starts none if the request can't be retried.
func (r *callerRequest) startWatch(d placement.Decision, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{request: r, server: d.ID, cancel: cancel, timeout: d.StallTimeout}
	if !r.route.Retryable() || r.sends+1 >= r.route.MaxAttempts {
		return w
	}
	if r.service.Engine == nil {
		w.timeout = time.Duration(plainStallFactor * float64(r.route.Objective))
	}
	w.lastProgress.Store(r.gateway.clock.Now().UnixNano())
	// The timer starts once its field is set, which the check reads.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(w.timeout)
	return w
}

func (w *stallWatch) progressed(now time.Time) { w.lastProgress.Store(now.UnixNano()) }

// isPlain reports whether the request is for a plain service. A plain server that sends nothing counts as stalled.
func (w *stallWatch) isPlain() bool { return w.request.service.Engine == nil }

func (w *stallWatch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *stallWatch) check() {
	if w.stopped.Load() {
		return
	}
	g := w.request.gateway
	now := g.clock.Now()
	stalledFor := now.Sub(time.Unix(0, w.lastProgress.Load()))
	if stalledFor < w.timeout {
		w.timer.Reset(w.timeout - stalledFor)
		return
	}
	if w.isLost(now) || (w.isStalled(now) && (w.request.isCutOff() || w.hasAlternative(now))) {
		if !w.stopped.Load() {
			w.cancel(errStalled)
		}
		return
	}
	w.timer.Reset(stallRecheckInterval)
}

// isLost reports whether the path to the server is known to be lost. What other hosts see of the server says nothing about the
// response then.
func (w *stallWatch) isLost(now time.Time) bool {
	if !w.request.isCutOff() {
		return false
	}
	g := w.request.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.answers.HasAnswered(now, w.server, w.timeout)
}

// isStalled reports whether further waiting is pointless. An engine counts as stalled only if none of its requests
// makes progress, since a single one may wait for a slot.
func (w *stallWatch) isStalled(now time.Time) bool {
	if w.isPlain() {
		return true
	}
	g := w.request.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.IsStalled(now, w.server)
}

// hasAlternative reports whether the balancer would pick another server for the request now.
func (w *stallWatch) hasAlternative(now time.Time) bool {
	g := w.request.gateway
	request := w.request.placementRequest(now)
	request.Excluded = append(append([]string(nil), request.Excluded...), w.server)
	request.Retry = true
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Pick(now, request).Reason == placement.ReasonNone
}

package gateway

import (
	"errors"
	"math"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/reach"
)

var errStalled = errors.New("the server makes no progress")

// stallWatch notices that the server of an attempt makes no progress, if the request can be sent to another one too.
type stallWatch struct {
	attempt *attempt
	timer   *time.Timer
	// lastProgress is when the response last made progress, in Unix nanoseconds on the gateway's clock.
	lastProgress atomic.Int64
	// stopped keeps a check that is under way from cancelling the attempt.
	stopped atomic.Bool
	// hasStalled reports whether the server has made no progress for the timeout.
	hasStalled atomic.Bool
	// timeout is how long the response may make no progress.
	timeout time.Duration
}

// startWatch starts the stall timer of an attempt. It starts none if no other attempt can follow.
func (a *attempt) startWatch() {
	r := a.request
	w := &stallWatch{attempt: a, timeout: a.decision.StallTimeout}
	a.watch = w
	if !r.route.Retryable() || a.number >= r.route.MaxAttempts {
		return
	}
	if r.service.Engine == nil {
		w.timeout = time.Duration(plainStallFactor * float64(r.route.Objective))
	}
	w.lastProgress.Store(r.gateway.clock.Now().UnixNano())
	// The timer starts once its field is set, which the check reads.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(w.timeout)
}

func (w *stallWatch) progressed(now time.Time) { w.lastProgress.Store(now.UnixNano()) }

// stalledFor returns how long the response has made no progress.
func (w *stallWatch) stalledFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, w.lastProgress.Load()))
}

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
	now := w.attempt.request.gateway.clock.Now()
	if stalledFor := w.stalledFor(now); stalledFor < w.timeout {
		w.timer.Reset(w.timeout - stalledFor)
		return
	}
	if w.isLost(now) {
		if !w.stopped.Load() {
			w.attempt.cancel(errStalled)
		}
		return
	}
	if w.isStalled(now) {
		w.hasStalled.Store(true)
		select {
		case w.attempt.request.race.stalled <- w.attempt:
		default:
			// The request hasn't looked at the last stall yet.
		}
	}
	w.timer.Reset(stallRecheckInterval)
}

// isLost reports whether the path to the server is known to be lost. What other hosts see of the server says nothing about the
// response then.
func (w *stallWatch) isLost(now time.Time) bool {
	g := w.attempt.request.gateway
	if g.pathState() == reach.Direct {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.answers.HasAnswered(now, w.attempt.decision.ID, w.timeout)
}

// isStalled reports whether further waiting alone is pointless. An engine counts as stalled only if none of its requests
// makes progress, since a single one may wait for a slot; a plain server that sends nothing does.
func (w *stallWatch) isStalled(now time.Time) bool {
	if w.attempt.request.service.Engine == nil {
		return true
	}
	g := w.attempt.request.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.IsStalled(now, w.attempt.decision.ID)
}

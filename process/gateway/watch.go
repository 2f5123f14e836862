package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/placement"
)

var errStalled = errors.New("the server shows no progress")

// watch ends an attempt whose server has stopped moving, where the request may go on elsewhere.
type watch struct {
	job    *job
	server string
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// last is when the answer moved, in nanoseconds of the clock.
	last atomic.Int64
	// after is how long the answer may stand still.
	after time.Duration
}

// watch starts the timer of an attempt; it does nothing where the request can't be repeated.
func (j *job) watch(d placement.Decision, cancel context.CancelCauseFunc) *watch {
	w := &watch{job: j, server: d.ID, cancel: cancel, after: d.StallTimeout}
	if !j.route.Retryable() || j.sends+1 >= j.route.MaxAttempts {
		return w
	}
	if j.service.Engine == nil {
		w.after = time.Duration(plainSwitch * float64(j.route.Objective))
	}
	w.last.Store(j.gateway.clock.Now().UnixNano())
	w.timer = time.AfterFunc(w.after, w.check)
	return w
}

func (w *watch) moved(now time.Time) { w.last.Store(now.UnixNano()) }

// isPlain tells whether the server is no engine, so that its silence alone counts.
func (w *watch) isPlain() bool { return w.job.service.Engine == nil }

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) check() {
	g := w.job.gateway
	now := g.clock.Now()
	still := now.Sub(time.Unix(0, w.last.Load()))
	if still < w.after {
		w.timer.Reset(w.after - still)
		return
	}
	if w.isStuck(now) && w.hasPlace(now) {
		w.cancel(errStalled)
		return
	}
	w.timer.Reset(stallAgain)
}

// isStuck tells whether waiting on is pointless: of an engine, only if none of its requests moves, since a
// single one may wait for a slot.
func (w *watch) isStuck(now time.Time) bool {
	if w.isPlain() {
		return true
	}
	g := w.job.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.IsStalled(now, w.server)
}

// hasPlace tells whether another server would take the request now.
func (w *watch) hasPlace(now time.Time) bool {
	g := w.job.gateway
	want := w.job.want(now)
	want.Excluded = append(append([]string(nil), want.Excluded...), w.server)
	want.Retry = true
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Pick(now, want).Reason == placement.ReasonNone
}

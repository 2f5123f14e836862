package controller

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/reporting"
	"savorywing.example/savorywing/process/telemetry"
	"savorywing.example/savorywing/wire"
)

// TestWithdrawalIsIdentified guards against a withdrawal that is acknowledged, or sent on, for another incarnation than the one that sent it.
func TestWithdrawalIsIdentified(t *testing.T) {
	for _, tt := range []struct {
		name string
		// restartedAgo is how long before the call the server's second incarnation, born at 2, was first heard, and suspended how long this
		// host stood still just before the call; 0 for not.
		restartedAgo, suspended time.Duration
		// sent is the withdrawal that another host sends on; nil for the server's own call.
		sent *wire.Report
		born int64
		err  error
	}{
		{"long after the restart", time.Minute, 0, nil, 2, nil},
		{"just after the restart", time.Second, 0, nil, 0, fleet.ErrAmbiguous},
		{"after a restart during a suspension", time.Millisecond, 4 * time.Second, nil, 0, fleet.ErrAmbiguous},
		{"after a restart before a long suspension", maxCallDelay + time.Second, maxCallDelay, nil, 0, fleet.ErrAmbiguous},
		{"after a restart long before a suspension", time.Minute, 4 * time.Second, nil, 2, nil},
		{"sent on", time.Second, 0, &wire.Report{ID: "a", Gone: true, Born: 2, Sequence: 1}, 2, nil},
		{"sent on, of the earlier incarnation", time.Minute, 0, &wire.Report{ID: "a", Gone: true, Born: 1, Sequence: 1}, 0, fleet.ErrStale},
		{"sent on by an earlier version", time.Minute, 0, &wire.Report{ID: "a", Gone: true}, 2, nil},
		{"sent on by an earlier version just after the restart", time.Second, 0, &wire.Report{ID: "a", Gone: true}, 0, fleet.ErrAmbiguous},
	} {
		now := clock.NewManual(time.Unix(1_000_000, 0))
		c := &Controller{
			clock: now, log: zerolog.Nop(), table: fleet.NewTable(), telemetry: telemetry.New(now, zerolog.Nop()), outbox: reporting.NewOutbox(time.Second),
		}
		c.observeListening(now.Now())
		end := now.Now().Add(time.Hour)
		step := func(at time.Time, apply func()) {
			now.Advance(at.Sub(now.Now()))
			c.observeListening(now.Now())
			apply()
		}
		apply := func(r wire.Report) func() {
			return func() {
				if _, err := c.table.Apply(now.Now(), r); err != nil {
					t.Fatal(err)
				}
			}
		}
		step(end.Add(-2*time.Minute), apply(wire.Report{ID: "a", Born: 1, Sequence: 4, Service: "s", Address: "x:1"}))
		restartedAt := end.Add(-tt.restartedAgo)
		second := apply(wire.Report{ID: "a", Born: 2, Sequence: 1, Service: "s", Address: "x:1"})
		for at := end.Add(-90 * time.Second); at.Before(end.Add(-tt.suspended)); at = at.Add(500 * time.Millisecond) {
			if restartedAt.Before(at) {
				step(restartedAt, second)
				second = func() {}
				restartedAt = end.Add(time.Hour)
			}
			step(at, func() {})
		}
		if restartedAt.Before(end) {
			step(restartedAt, second)
		}
		var got error
		step(end, func() { got = c.withdrawForTest(tt.sent) })
		gone := int64(0)
		if s := c.table.Server("a"); s.Report().Gone {
			gone = s.Report().Born
		}
		if !errors.Is(got, tt.err) || gone != tt.born {
			t.Errorf("%s: %v, incarnation %d has withdrawn; want %v and %d", tt.name, got, gone, tt.err, tt.born)
		}
		if batch, due := c.outbox.Take(now.Now()); due != (tt.born > 0) || (due && batch.Whole[0].Born != tt.born) {
			t.Errorf("%s: sent on %+v", tt.name, batch.Whole)
		}
	}
}

// withdrawForTest handles the call of the server a, or a withdrawal that another host sends on and waits for, and returns the reason of a refusal.
func (c *Controller) withdrawForTest(sent *wire.Report) error {
	done, refused := make(chan struct{}), make(chan error, 1)
	if sent != nil {
		c.handle(reportsEvent{reports: []wire.Report{*sent}, done: done, refused: refused})
	} else {
		identified := make(chan identifiedWithdrawal, 1)
		c.handle(withdrawalEvent{server: "a", identified: identified, done: done})
		refused <- (<-identified).err
	}
	select {
	case err := <-refused:
		return err
	default:
		return nil
	}
}

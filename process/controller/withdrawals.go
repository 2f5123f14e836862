package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/wire"
)

const (
	// maxCallDelay is how long the call of a backend server may be under way, held up by a link.
	maxCallDelay = 10 * time.Second
	// settleTime is how long after a gap a call that is handled may have waited for its end.
	settleTime = 2 * time.Second
)

// errOtherIncarnation means that another control host knows a later incarnation of a server than the one that was withdrawn.
var errOtherIncarnation = errors.New("another control host refuses the withdrawal")

// HandleWithdrawal deregisters a backend server that ends. It returns ErrNoQuorum, so that the server calls another control host, if the call
// may be one of an earlier incarnation, which was handled late.
func (c *Controller) HandleWithdrawal(ctx context.Context, id string) error {
	r := wire.Report{ID: id, Gone: true}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("Controller.HandleWithdrawal: %w: %w", controlapi.ErrInvalidReport, err)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	identified, done := make(chan identifiedWithdrawal, 1), make(chan struct{})
	if !c.push(withdrawalEvent{server: id, identified: identified, done: done}) {
		return fmt.Errorf("Controller.HandleWithdrawal: %w", controlapi.ErrNoQuorum)
	}
	var w identifiedWithdrawal
	select {
	case w = <-identified:
	case <-ctx.Done():
		return fmt.Errorf("Controller.HandleWithdrawal: %w", ctx.Err())
	}
	if w.err != nil {
		return fmt.Errorf("Controller.HandleWithdrawal: %w: %w", controlapi.ErrNoQuorum, w.err)
	}
	return c.shareUrgentReport(ctx, w.report, done)
}

// handleWithdrawal finds out which incarnation of a server a call is from, and applies it.
func (c *Controller) handleWithdrawal(e withdrawalEvent) {
	w, err := c.applyWithdrawal(wire.Report{ID: e.server, Gone: true})
	e.identified <- identifiedWithdrawal{report: w, err: err}
	if err == nil {
		c.waiting = append(c.waiting, e.done)
	}
}

// identifyWithdrawal returns the withdrawal of the known incarnation of a server, unless an earlier one may have sent the call.
func (c *Controller) identifyWithdrawal(server string) (wire.Report, error) {
	now := c.clock.Now()
	sentAfter := c.listening.EarliestSent(now, maxCallDelay, settleTime)
	w, err := c.table.Identify(server, sentAfter)
	if err != nil {
		s := c.table.Server(server)
		c.telemetry.Count("withdrawals", "result", "ambiguous")
		c.log.Warn().Str("event", "withdrawalRefused").Str("server", server).Int64("born", s.Report().Born).Dur("knownFor", now.Sub(s.RestartedAt())).
			Dur("sentWithin", now.Sub(sentAfter)).Dur("listeningFor", now.Sub(c.listening.Since())).Err(err).
			Msg("refused a withdrawal that an earlier incarnation of the backend server may have sent")
	}
	return w, err
}

// applyWithdrawal identifies a withdrawal that states no incarnation, from a server or a host of an earlier version, applies it, and sends a new one
// on. It returns the withdrawal with its incarnation, or an error if it doesn't hold.
func (c *Controller) applyWithdrawal(w wire.Report) (wire.Report, error) {
	if w.Born == 0 {
		var err error
		if w, err = c.identifyWithdrawal(w.ID); err != nil {
			return w, err
		}
	}
	now := c.clock.Now()
	isNew, err := c.table.Withdraw(now, w)
	if err != nil {
		c.telemetry.Count("withdrawals", "result", "stale")
		c.log.Info().Str("event", "withdrawalIgnored").Str("server", w.ID).Int64("born", w.Born).Uint64("sequence", w.Sequence).
			Int64("knownBorn", c.table.Server(w.ID).Report().Born).Uint64("reinstated", c.reinstatedAt(w)).Err(err).Msg("ignored a withdrawal that was late")
		return w, err
	}
	if isNew {
		c.telemetry.Count("withdrawals", "result", "applied")
		c.log.Info().Str("event", "serverWithdrawn").Str("server", w.ID).Int64("born", w.Born).Uint64("sequence", w.Sequence).Msg("a backend server deregistered")
		c.changed = true
		c.outbox.AddWithdrawal(now, w)
	}
	return w, nil
}

// reinstatedAt returns the number of the report since which the withdrawal of a report's incarnation doesn't hold; 0 if none was taken back.
func (c *Controller) reinstatedAt(r wire.Report) uint64 {
	if s := c.table.Server(r.ID); s != nil && s.Report().Born == r.Born {
		return s.Report().Reinstated
	}
	return 0
}

func (c *Controller) logReinstated(r wire.Report, direct bool) {
	c.telemetry.Count("withdrawals", "result", "takenBack")
	c.log.Warn().Str("event", "withdrawalTakenBack").Str("server", r.ID).Int64("born", r.Born).Uint64("sequence", r.Reinstated).Bool("direct", direct).
		Msg("a backend server that was withdrawn goes on reporting that it is ready")
}

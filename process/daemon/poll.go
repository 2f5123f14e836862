package daemon

import (
	"errors"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/httpheader"
	"savorywing.example/savorywing/wire"
)

// pollsInFlight tracks the backend servers that are being polled, so that a slow one has at most one poll in flight.
type pollsInFlight struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (p *pollsInFlight) begin(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[host] {
		return false
	}
	p.busy[host] = true
	return true
}

func (p *pollsInFlight) end(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, host)
}

// poll periodically polls every backend server for its own announcement, on which serving leases are based.
func (d *Daemon) poll() {
	busy := &pollsInFlight{busy: map[string]bool{}}
	for {
		all := d.registry.Announcements()
		pause := d.registry.Settings().Timing.PollInterval
		for i, a := range all {
			d.pollOne(busy, a)
			// The polls are spread evenly over the interval.
			if i%pollBurst == pollBurst-1 && !d.wait(pause/time.Duration(len(all)/pollBurst+1)) {
				return
			}
		}
		d.registry.Expire()
		if !d.wait(pause / time.Duration(len(all)/pollBurst+1)) {
			return
		}
	}
}

// pollBurst is the number of polls sent without a pause.
const pollBurst = 8

func (d *Daemon) pollOne(busy *pollsInFlight, a wire.Announcement) {
	if !busy.begin(a.Host) {
		return
	}
	err := d.pool.Submit(func() {
		defer busy.end(a.Host)
		requestedAt := d.clock.Now()
		response, err := d.control.Poll(d.ctx, a.Address)
		switch {
		case err == nil && response.Host == a.Host:
			d.registry.RecordPollResponse(requestedAt, response)
		case isConnectionRefused(err):
			d.registry.RecordConnectionFailure(a.Host)
		case errors.Is(err, wire.ErrInvalid):
			if allowed, omitted := d.invalidPolls.Allow(a.Host); allowed {
				d.log.Warn().Str("backend", a.Host).Uint64("omitted", omitted).Err(err).Msg("ignored an invalid response to a poll")
			}
		}
	})
	if err != nil {
		busy.end(a.Host)
	}
}

// recordRefused counts and logs a response of a backend server that was refused.
func (d *Daemon) recordRefused(r httpheader.Refused) {
	d.metrics.RecordRefused(r.Reason)
	d.log.Warn().Str("event", "responseRefused").Str("request", r.AttemptID).Str("address", r.Address).Str("reason", r.Reason).Err(r.Err).
		Msg("a backend server sent bytes that are no response, or not a whole one")
}

// recordRefusedPoll is recordRefused for polls and orders, which are sent again and again: the first of each server and reason is logged.
func (d *Daemon) recordRefusedPoll(r httpheader.Refused) {
	d.metrics.RecordRefused(r.Reason)
	if allowed, omitted := d.refusedPolls.Allow(r.Reason + " " + r.Address); allowed {
		d.log.Warn().Str("event", "pollRefused").Str("address", r.Address).Str("reason", r.Reason).Uint64("omitted", omitted).Err(r.Err).
			Msg("a backend server answered a poll or an order with bytes that are no response, or not a whole one")
	}
}

// isConnectionRefused reports whether a poll failed because no server listens at the address any more.
func isConnectionRefused(err error) bool {
	var requestErr *savorywing.RequestError
	return errors.As(err, &requestErr) && requestErr.Code() == savorywing.CodeNotRun
}

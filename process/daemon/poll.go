package daemon

import (
	"errors"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// polling tracks the backend servers that are being polled, so that a silent one is polled once at a time.
type polling struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (a *polling) begin(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[host] {
		return false
	}
	a.busy[host] = true
	return true
}

func (a *polling) end(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, host)
}

// poll is the duty that polls every backend server for its own announcement, which serving leases rest on.
func (d *Daemon) poll() {
	busy := &polling{busy: map[string]bool{}}
	for {
		all := d.registry.Announcements()
		pause := d.registry.Settings().Timing.PollInterval
		for i, a := range all {
			d.pollOne(busy, a)
			// The polls are spread over the pause.
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

const pollBurst = 8

func (d *Daemon) pollOne(busy *polling, a wire.Announcement) {
	if !busy.begin(a.Host) {
		return
	}
	err := d.pool.Submit(func() {
		defer busy.end(a.Host)
		requestedAt := d.clock.Now()
		answer, err := d.control.Poll(d.ctx, a.Address)
		switch {
		case err == nil && answer.Host == a.Host:
			d.registry.RecordPollAnswer(requestedAt, answer)
		case refusedConnection(err):
			d.registry.RecordConnectionFailure(a.Host)
		}
	})
	if err != nil {
		busy.end(a.Host)
	}
}

// refusedConnection tells whether nobody listens at the address any more.
func refusedConnection(err error) bool {
	var refusal *savorywing.RequestError
	return errors.As(err, &refusal) && refusal.Code() == savorywing.CodeNotRun
}

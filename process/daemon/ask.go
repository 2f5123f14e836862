package daemon

import (
	"errors"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/wire"
)

// asking tracks the backend servers that are being asked, so that a silent one is asked once at a time.
type asking struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (a *asking) begin(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[host] {
		return false
	}
	a.busy[host] = true
	return true
}

func (a *asking) end(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.busy, host)
}

// ask is the duty that asks every backend server for its own word, which serving leases rest on.
func (d *Daemon) ask() {
	busy := &asking{busy: map[string]bool{}}
	for {
		all := d.registry.Announcements()
		pause := d.registry.Settings().Timing.Ask
		for i, a := range all {
			d.askOne(busy, a)
			// The questions are spread over the pause.
			if i%askBurst == askBurst-1 && !d.wait(pause/time.Duration(len(all)/askBurst+1)) {
				return
			}
		}
		d.registry.Expire()
		if !d.wait(pause / time.Duration(len(all)/askBurst+1)) {
			return
		}
	}
}

const askBurst = 8

func (d *Daemon) askOne(busy *asking, a wire.Announcement) {
	if !busy.begin(a.Host) {
		return
	}
	err := d.pool.Submit(func() {
		defer busy.end(a.Host)
		askedAt := d.clock.Now()
		answer, err := d.control.Ask(d.ctx, a.Address)
		switch {
		case err == nil && answer.Host == a.Host:
			d.registry.Answered(askedAt, answer)
		case refusedConnection(err):
			d.registry.Failed(a.Host)
		}
	})
	if err != nil {
		busy.end(a.Host)
	}
}

// refusedConnection tells whether nobody listens at the address any more.
func refusedConnection(err error) bool {
	var refusal *savorywing.Refusal
	return errors.As(err, &refusal) && refusal.Code() == savorywing.CodeNotRun
}

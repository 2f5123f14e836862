package daemon

import (
	"context"
	"errors"
	"time"

	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/wire"
)

// confirm is the duty that keeps the configuration and the table fresh.
func (d *Daemon) confirm() {
	for turn := 0; ; turn++ {
		cfg := d.registry.Settings().Timing
		pause := cfg.ConfirmInterval
		if err := d.confirmOnce(turn); err != nil {
			if errors.Is(err, registry.ErrStaleConfiguration) {
				d.log.Error().Err(err).Msg("configuration")
			}
			// While nobody leads, the next voter is asked soon.
			pause = min(pause, cfg.ElectionTimeout/4)
		}
		if !d.wait(pause) {
			return
		}
	}
}

func (d *Daemon) confirmOnce(turn int) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.registry.Settings().Timing.ElectionTimeout)
	defer cancel()
	ask := d.registry.VersionNumbers()
	requestedAt := d.clock.Now()
	c, err := d.askConfirm(ctx, d.leaderHost(turn), ask)
	if err != nil {
		return err
	}
	err = d.registry.RecordConfirmation(requestedAt, c)
	if err == nil && c.Number > ask.Configuration {
		d.log.Info().Uint64("configuration", c.Number).Dur("took", d.clock.Now().Sub(requestedAt)).Msg("configuration in force")
	}
	return err
}

func (d *Daemon) askConfirm(ctx context.Context, host string, ask wire.Confirm) (wire.Confirmed, error) {
	if host == d.settings.Daemon.Host {
		return d.node.Confirm(ctx, ask)
	}
	reply, err := d.call(ctx, host, wire.Frame{Confirm: &ask})
	if err != nil {
		return wire.Confirmed{}, err
	}
	if reply.Confirmed == nil {
		return wire.Confirmed{}, errors.New("the reply has no confirmation")
	}
	return *reply.Confirmed, nil
}

// sinceStart returns how long the daemon has run.
func (d *Daemon) sinceStart() time.Duration {
	return time.Duration(uint64(d.clock.Now().UnixNano()) - d.boot)
}

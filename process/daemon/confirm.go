package daemon

import (
	"context"
	"errors"
	"time"

	"savorywing.example/savorywing/process/registry"
	"savorywing.example/savorywing/wire"
)

// confirmState periodically asks a voter to confirm the configuration and the group table, which keeps them fresh.
func (d *Daemon) confirmState() {
	for round := 0; ; round++ {
		cfg := d.registry.Settings().Timing
		pause := cfg.ConfirmInterval
		if err := d.confirmStateOnce(round); err != nil {
			if errors.Is(err, registry.ErrStaleConfiguration) {
				d.log.Error().Err(err).Msg("configuration")
			}
			// After an error, the next attempt follows sooner. While no leader is known, it goes to the next control host.
			pause = min(pause, cfg.ElectionTimeout/4)
		}
		if !d.wait(pause) {
			return
		}
	}
}

func (d *Daemon) confirmStateOnce(round int) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.registry.Settings().Timing.ElectionTimeout)
	defer cancel()
	request := d.registry.VersionNumbers()
	requestedAt := d.clock.Now()
	c, err := d.requestConfirmation(ctx, d.leaderHost(round), request)
	if err != nil {
		return err
	}
	err = d.registry.RecordConfirmation(requestedAt, c)
	if err == nil && c.Number > request.Configuration {
		d.log.Info().Uint64("configuration", c.Number).Dur("took", d.clock.Now().Sub(requestedAt)).Msg("applied a new configuration")
	}
	return err
}

func (d *Daemon) requestConfirmation(ctx context.Context, host string, request wire.Confirm) (wire.Confirmed, error) {
	if host == d.settings.Daemon.Host {
		return d.node.Confirm(ctx, request)
	}
	reply, err := d.call(ctx, host, wire.Frame{Confirm: &request})
	if err != nil {
		return wire.Confirmed{}, err
	}
	if reply.Confirmed == nil {
		return wire.Confirmed{}, errors.New("the voter's reply has no confirmation")
	}
	return *reply.Confirmed, nil
}

// sinceStart returns how long the daemon has run.
func (d *Daemon) sinceStart() time.Duration {
	return time.Duration(uint64(d.clock.Now().UnixNano()) - d.bootID)
}

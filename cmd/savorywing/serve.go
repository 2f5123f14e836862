package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/daemon"
	"savorywing.example/savorywing/version/settings"
)

//go:embed serve.txt
var serveHelp string

func newServe() *cobra.Command {
	var dir string
	var stopWithin time.Duration
	cmd := &cobra.Command{
		Use:     "serve --settings DIR",
		Short:   "Runs one daemon of this host",
		Long:    serveHelp,
		Example: "  savorywing serve --settings /etc/savorywing",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" {
				return usageError{fmt.Errorf("--settings is not set")}
			}
			s, err := settings.Load(dir)
			if err != nil {
				return err
			}
			return runDaemon(cmd.Context(), s, stopWithin, nil)
		},
	}
	cmd.Flags().StringVar(&dir, "settings", "", "folder of YAML files")
	cmd.Flags().DurationVar(&stopWithin, "stop-within", 10*time.Minute, "how long a planned stop waits for requests in flight to complete")
	return cmd
}

func newLogger(s *settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Daemon.LogLevel)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("daemon.logLevel: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("host", s.Daemon.Host).Logger(), nil
}

// ignoreHangups logs SIGHUP until stop is called. By default the signal would end the process with the requests in flight.
func ignoreHangups(log zerolog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
				log.Info().Msg("SIGHUP changes nothing: the settings are read at the start")
			case <-ended:
				return
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(ended)
	}
}

// runDaemon runs a daemon until SIGTERM or SIGINT and then stops it gracefully, waiting at most stopWithin. Further signals
// change nothing. If started is not nil, it is called once the daemon has started; its error stops the daemon.
func runDaemon(ctx context.Context, s *settings.Settings, stopWithin time.Duration, started func() error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	log, err := newLogger(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer ignoreHangups(log)()
	d, err := daemon.New(s, clock.System{}, log)
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		d.Kill()
		return err
	}
	if started != nil {
		if err := started(); err != nil {
			d.Kill()
			return err
		}
	}
	<-ctx.Done()
	log.Info().Msg("stopping: requests in flight run to completion")
	stopCtx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	if err := d.Stop(stopCtx); err != nil {
		return err
	}
	log.Info().Msg("stopped")
	return nil
}

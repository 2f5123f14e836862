package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/controller"
	"savorywing.example/savorywing/process/gateway"
	"savorywing.example/savorywing/process/logging"
	"savorywing.example/savorywing/version/instance"
)

// settingsVariable is the environment variable with the path of the settings file, used without --settings.
const settingsVariable = "SAVORYWING_SETTINGS"

const (
	megabyte = 1 << 20
	// heapFraction is the part of the process's memory limit (memoryMB, at which it is killed) that becomes the
	// soft limit of the garbage collector. The rest is for stacks, the program and received bytes.
	heapFraction = 0.6
	// gcPercent is the heap growth that starts a collection, in percent. It is above Go's default of 100 because
	// heaps are small compared with the limit.
	gcPercent = 200
)

//go:embed run.txt
var runHelp string

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "run --settings FILE",
		Short:   "Runs one daemon of a fleet, which it discovers through seeds",
		Long:    runHelp,
		Example: "  savorywing run --settings /etc/savorywing/local.yaml",
		Args:    usage(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			if file == "" {
				return usageError{fmt.Errorf("neither --settings nor the environment variable %s is set", settingsVariable)}
			}
			s, err := instance.Load(file)
			if err != nil {
				return err
			}
			return runInstance(file, s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "YAML file with the daemon's settings")
	return cmd
}

// roleDaemon is the daemon of an entry host or of a control host.
type roleDaemon interface {
	Start() error
	Stop()
	Reload(s *instance.Settings)
}

func runInstance(file string, s *instance.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryMB) * megabyte))
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("logLevel: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("host", s.Name).Logger()
	warnOfSeeds(log, s)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	var d roleDaemon
	switch s.Role {
	case savorywing.RoleEntry:
		d, err = gateway.New(s, platform.Dialect{}, log)
	default:
		d, err = controller.New(s, platform.Dialect{}, log)
	}
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	r := reloader{file: file, daemon: d, log: log, content: readOrNil(file)}
	r.run(signals, hangups)
	d.Stop()
	return nil
}

// warnOfSeeds logs the seeds that are ignored.
func warnOfSeeds(log zerolog.Logger, s *instance.Settings) {
	if invalid := s.InvalidSeeds(); len(invalid) > 0 {
		log.Warn().Str("event", "seedsIgnored").Strs("seeds", invalid).Msg("ignoring seeds that are no IP address with a port")
	}
}

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = 2 * time.Second

// reloader applies changed settings. If the file is invalid, the old settings stay in force.
type reloader struct {
	file   string
	daemon roleDaemon
	log    zerolog.Logger
	// content is the file as last applied, modTime its modification time at the last check.
	content []byte
	modTime time.Time
}

func readOrNil(file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil // the next check reads it again
	}
	return b
}

// run reloads on every SIGHUP and every change of the file, until a signal to stop arrives.
func (r *reloader) run(stop, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-hangups:
			r.reload(true)
		case <-ticker.C:
			info, err := os.Stat(r.file)
			if err == nil && !info.ModTime().Equal(r.modTime) {
				r.modTime = info.ModTime()
				r.reload(false)
			}
		}
	}
}

// reload applies the settings file. Without a signal, unchanged content is ignored.
func (r *reloader) reload(onSignal bool) {
	b, err := os.ReadFile(r.file)
	if err == nil && bytes.Equal(b, r.content) && !onSignal {
		return
	}
	var s *instance.Settings
	if err == nil {
		s, err = instance.Parse(b)
	}
	if err != nil {
		r.log.Error().Str("event", "settingsRefused").Str("file", r.file).Err(err).Msg("invalid settings file: the old settings stay in force")
		return
	}
	r.content = b
	warnOfSeeds(r.log, s)
	r.daemon.Reload(s)
	r.log.Info().Str("event", "settingsReloaded").Str("file", r.file).Bool("signal", onSignal).Strs("seeds", s.Seeds).Msg("settings reloaded")
}

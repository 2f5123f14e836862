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

// settingsVariable names the settings file where no flag does.
const settingsVariable = "SAVORYWING_SETTINGS"

const (
	megabyte = 1 << 20
	// heapPart of the memory at which the process is killed makes the collector work harder; the rest is for
	// stacks, the program and bytes that have arrived.
	heapPart = 0.6
	// collectAt is the growth at which the collector runs, in percent; heaps here are small beside the limit.
	collectAt = 200
)

//go:embed run.txt
var runHelp string

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "run --settings FILE",
		Short:   "Runs one daemon of a fleet that is found through seeds",
		Long:    runHelp,
		Example: "  savorywing run --settings /etc/savorywing/local.yaml",
		Args:    usage(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			if file == "" {
				return usageError{fmt.Errorf("--settings or %s is needed", settingsVariable)}
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

// duty is a daemon of either role.
type duty interface {
	Start() error
	Stop()
	Reload(s *instance.Settings)
}

func runInstance(file string, s *instance.Settings) error {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryMB) * megabyte))
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("logLevel: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("host", s.Name).Logger()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	var d duty
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
	r := reloader{file: file, duty: d, log: log, text: readOrNil(file)}
	r.until(signals, hangups)
	d.Stop()
	return nil
}

// reloadEvery is how often the settings file is looked at without a signal.
const reloadEvery = 2 * time.Second

// reloader takes over changed settings. A file that is wrong leaves the old settings in force.
type reloader struct {
	file string
	duty duty
	log  zerolog.Logger
	// text is the file as last read, and modified its time then.
	text     []byte
	modified time.Time
}

func readOrNil(file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil // the next look reads it again
	}
	return b
}

// until reloads on every hang-up signal and change of the file, until a signal to stop comes.
func (r *reloader) until(stop, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-hangups:
			r.reload(true)
		case <-ticker.C:
			info, err := os.Stat(r.file)
			if err == nil && !info.ModTime().Equal(r.modified) {
				r.modified = info.ModTime()
				r.reload(false)
			}
		}
	}
}

func (r *reloader) reload(asked bool) {
	b, err := os.ReadFile(r.file)
	if err == nil && bytes.Equal(b, r.text) && !asked {
		return
	}
	var s *instance.Settings
	if err == nil {
		s, err = instance.Parse(b)
	}
	if err != nil {
		r.log.Error().Str("event", "settingsRefused").Str("file", r.file).Err(err).Msg("")
		return
	}
	r.text = b
	r.duty.Reload(s)
	r.log.Info().Str("event", "settingsReloaded").Str("file", r.file).Bool("signal", asked).Strs("seeds", s.Seeds).Msg("")
}

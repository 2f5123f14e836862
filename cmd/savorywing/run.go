package main

import (
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
			return runInstance(s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "YAML file with the daemon's settings")
	return cmd
}

// duty is a daemon of either role.
type duty interface {
	Start() error
	Stop()
}

func runInstance(s *instance.Settings) error {
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
	signal.Ignore(syscall.SIGPIPE)
	signal.Ignore(syscall.SIGHUP)
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
	<-signals
	d.Stop()
	return nil
}

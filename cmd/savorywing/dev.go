package main

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/standin"
	"savorywing.example/savorywing/version/settings"
)

var (
	//go:embed dev.yaml
	devSettings []byte
	//go:embed dev.txt
	devHelp string
)

const (
	devKeys             = "dev-key: {organisation: example, class: desk}\n"
	devToken            = "dev-token\n"
	devEngines          = 4
	devSlots            = 8
	devStartTimeout     = 60 * time.Second
	devPollInterval     = 200 * time.Millisecond
	devStopTimeout      = 30 * time.Second
	secretFileMode      = 0o600
	dirMode             = 0o700
	devAnnounceInterval = 100 * time.Millisecond
)

func newDev() *cobra.Command {
	return &cobra.Command{
		Use:     "dev",
		Short:   "Runs a complete system on loopback in one process, with stand-in engines",
		Long:    devHelp,
		Example: "  savorywing dev",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return runDev(cmd) },
	}
}

func runDev(cmd *cobra.Command) error {
	dir, err := os.MkdirTemp("", "savorywing-dev-")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := writeDevSettings(dir)
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	return runDaemon(cmd.Context(), s, devStopTimeout, func() error {
		if err := startDevStandins(s.Daemon.CallerAddress); err != nil {
			return fmt.Errorf("dev: %w", err)
		}
		go printDevUsage(cmd.OutOrStdout(), s, dir)
		return nil
	})
}

// writeDevSettings writes settings and secrets below dir, and returns the checked settings.
func writeDevSettings(dir string) (*settings.Settings, error) {
	folder := filepath.Join(dir, "settings")
	if err := os.Mkdir(folder, dirMode); err != nil {
		return nil, err
	}
	keys, token := filepath.Join(dir, "keys.yaml"), filepath.Join(dir, "operators.token")
	local := fmt.Sprintf("daemon:\n  keysFile: %q\n  operatorsFile: %q\n  dataFolder: %q\n", keys, token, filepath.Join(dir, "data"))
	files := map[string]string{
		keys: devKeys, token: devToken,
		filepath.Join(folder, "10-dev.yaml"):   string(devSettings),
		filepath.Join(folder, "20-local.yaml"): local,
	}
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), secretFileMode); err != nil {
			return nil, err
		}
	}
	return settings.Load(folder)
}

func startDevStandins(callers string) error {
	for i := range devEngines {
		cfg := standin.Config{
			Host: fmt.Sprintf("engine-%d", i+1), Listen: "127.0.0.1:0", DataCentre: "local", FabricDomain: "local-a",
			Kind: savorywing.KindEngine, Accelerators: 1, ChecksFencing: true, Resumable: true, Slots: devSlots,
			FirstToken: 50 * time.Millisecond, TokenTime: 20 * time.Millisecond, AnnounceInterval: devAnnounceInterval, EntryHosts: []string{callers},
		}
		if _, err := standin.Start(cfg); err != nil {
			return err
		}
	}
	_, err := standin.Start(standin.Config{
		Host: "register-1", Listen: "127.0.0.1:0", DataCentre: "local", Kind: savorywing.KindService, Service: "register",
		Slots: devSlots, FirstToken: 5 * time.Millisecond, AnnounceInterval: devAnnounceInterval, EntryHosts: []string{callers},
	})
	return err
}

// printDevUsage waits until the group serves and prints example commands.
func printDevUsage(w io.Writer, s *settings.Settings, dir string) {
	deadline := time.Now().Add(devStartTimeout)
	for time.Now().Before(deadline) {
		if devGroupServes(s) {
			fmt.Fprintf(w, "\nserving; example commands:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' "+
				"-d '{\"model\":\"example-model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n"+
				"  savorywing status --operators %s --token-file %s\n\n", s.Daemon.CallerAddress, s.Daemon.OperatorAddress, s.Daemon.OperatorsFile)
			return
		}
		time.Sleep(devPollInterval)
	}
	fmt.Fprintf(w, "the group does not serve yet; see the log (state folder: %s)\n", dir)
}

func devGroupServes(s *settings.Settings) bool {
	var groups []operator.GroupStatus
	err := operator.NewClient(s.Daemon.OperatorAddress, strings.TrimSpace(devToken)).Get(operator.PathGroups, &groups)
	return err == nil && len(groups) == 1 && groups[0].HasLease
}

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
	devKeys     = "dev-key: {organisation: example, class: desk}\n"
	devToken    = "dev-token\n"
	devEngines  = 4
	devSlots    = 8
	devWait     = 60 * time.Second
	devPoll     = 200 * time.Millisecond
	devStop     = 30 * time.Second
	secretMode  = 0o600
	folderMode  = 0o700
	devAnnounce = 500 * time.Millisecond
)

func newDev() *cobra.Command {
	return &cobra.Command{
		Use:     "dev",
		Short:   "Runs everything on loopback in one process, with stand-in engines",
		Long:    devHelp,
		Example: "  savorywing dev",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return dev(cmd) },
	}
}

func dev(cmd *cobra.Command) error {
	dir, err := os.MkdirTemp("", "savorywing-dev-")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := devFolder(dir)
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	return runDaemon(cmd.Context(), s, devStop, func() error {
		if err := startDevStandins(s.Daemon.CallerAddress); err != nil {
			return fmt.Errorf("dev: %w", err)
		}
		go announceDev(cmd.OutOrStdout(), s, dir)
		return nil
	})
}

// devFolder writes settings and secrets, and returns the checked settings.
func devFolder(dir string) (*settings.Settings, error) {
	folder := filepath.Join(dir, "settings")
	if err := os.Mkdir(folder, folderMode); err != nil {
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
		if err := os.WriteFile(name, []byte(text), secretMode); err != nil {
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
			FirstToken: 50 * time.Millisecond, TokenTime: 20 * time.Millisecond, AnnounceInterval: devAnnounce, EntryHosts: []string{callers},
		}
		if _, err := standin.Start(cfg); err != nil {
			return err
		}
	}
	_, err := standin.Start(standin.Config{
		Host: "register-1", Listen: "127.0.0.1:0", DataCentre: "local", Kind: savorywing.KindService, Service: "register",
		Slots: devSlots, FirstToken: 5 * time.Millisecond, AnnounceInterval: devAnnounce, EntryHosts: []string{callers},
	})
	return err
}

// announceDev waits until the group serves and prints lines to try.
func announceDev(w io.Writer, s *settings.Settings, dir string) {
	deadline := time.Now().Add(devWait)
	for time.Now().Before(deadline) {
		if devServes(s) {
			fmt.Fprintf(w, "\nserving; try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' "+
				"-d '{\"model\":\"example-model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n"+
				"  savorywing status --operators %s --token-file %s\n\n", s.Daemon.CallerAddress, s.Daemon.OperatorAddress, s.Daemon.OperatorsFile)
			return
		}
		time.Sleep(devPoll)
	}
	fmt.Fprintf(w, "the group does not serve yet; see the log (state in %s)\n", dir)
}

func devServes(s *settings.Settings) bool {
	var groups []operator.GroupStatus
	err := operator.NewClient(s.Daemon.OperatorAddress, strings.TrimSpace(devToken)).Get(operator.PathGroups, &groups)
	return err == nil && len(groups) == 1 && groups[0].HasLease
}

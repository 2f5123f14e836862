package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/bench/soak"
	"savorywing.example/savorywing/platform"
)

func newSoak() *cobra.Command {
	cfg := soak.Config{Dialect: platform.Dialect{}}
	var seeds int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Runs daemons as processes, injects faults and checks invariants",
		Long: "Starts control and entry hosts as separate processes on loopback in front of an emulated fleet, injects faults from outside them, " +
			"and checks invariants by what callers, operators and backend servers observe. The logs of a failed run are kept in its folder.",
		Example: "  savorywing soak --seed 1 --seeds 50 --length 20s",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return fmt.Errorf("soak: %w", err)
			}
			cfg.Binary = binary
			failed := 0
			for i := range seeds {
				seedCfg := cfg
				seedCfg.Seed = cfg.Seed + uint64(i)
				ok, err := runSeed(cmd, seedCfg)
				if err != nil {
					return err
				}
				if !ok {
					failed++
				}
			}
			if failed > 0 {
				return fmt.Errorf("soak: %d of %d seeds failed", failed, seeds)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of consecutive seeds, run one after the other")
	cmd.Flags().DurationVar(&cfg.FaultDuration, "length", 20*time.Second, "duration of fault injection in each run")
	cmd.Flags().IntVar(&cfg.Control, "control", 5, "control hosts")
	cmd.Flags().IntVar(&cfg.Entry, "entry", 4, "entry hosts")
	cmd.Flags().IntVar(&cfg.Engines, "engines", 30, "emulated engines")
	cmd.Flags().IntVar(&cfg.Callers, "callers", 12, "callers")
	cmd.Flags().IntVar(&cfg.Subnet, "subnet", 77, "second byte of the addresses 127.SUBNET.*.*; concurrent runs need different ones")
	cmd.Flags().BoolVar(&cfg.Serve, "serve", false, "run the entry hosts by savorywing serve, as control hosts too")
	cmd.Flags().StringVar(&cfg.Dir, "dir", filepath.Join(os.TempDir(), "savorywing-soak"), "folder for settings, data folders and logs")
	return cmd
}

// runSeed runs one seed, prints its result and reports whether no invariant was violated. The folder of a run without
// violations is removed.
func runSeed(cmd *cobra.Command, cfg soak.Config) (bool, error) {
	cfg.Dir = filepath.Join(cfg.Dir, fmt.Sprint(cfg.Seed))
	if err := os.RemoveAll(cfg.Dir); err != nil {
		return false, fmt.Errorf("soak: %w", err)
	}
	r, err := soak.Run(cfg)
	if err != nil {
		return false, fmt.Errorf("soak: seed %d: %w", cfg.Seed, err)
	}
	out := cmd.OutOrStdout()
	if _, err := fmt.Fprintf(out, "seed %d: %d faults, %d served, %d refused, %d failed, %d during planned stops, %d to cold servers, %d violations\n",
		cfg.Seed, len(r.Faults), r.Served, r.Rejected, r.Failed, r.Crossing, r.Cold, len(r.Violations)); err != nil {
		return false, err
	}
	if len(r.Violations) == 0 {
		return true, os.RemoveAll(cfg.Dir)
	}
	for _, list := range [][]string{r.Violations, r.Faults} {
		for _, line := range list {
			if _, err := fmt.Fprintln(out, "  "+line); err != nil {
				return false, err
			}
		}
	}
	return false, nil
}

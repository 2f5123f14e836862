package main

import (
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/bench/policy"
)

func newBench() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "bench",
		Short:   "Measures a running system or a decision",
		Example: "  savorywing bench load --callers 127.0.0.1:8080 --key dev-key --model example-model --duration 10s\n  savorywing bench admission --seed 1",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		newBenchLoad(),
		newBenchDecision("admission", "Compares orders and splits of slots under overload", 120*time.Second, policy.Admission),
		newBenchDecision("routing", "Compares ways to choose a group with old load reports", 120*time.Second, policy.Routing),
		newBenchDecision("planning", "Compares ways to plan groups under losses", 0, policy.Planning),
		newBenchDecision("placement", "Compares ways to place requests while hosts hear of each other late", 14*time.Second, policy.Placement),
		newBenchDecision("retries", "Compares rules for retries while a fabric domain goes dark", 120*time.Second, policy.Retries),
	)
	return cmd
}

// newBenchDecision returns the command that replays one comparison from a seed.
func newBenchDecision(name, short string, length time.Duration, run func(seed uint64, length time.Duration) *policy.Table) *cobra.Command {
	var seed uint64
	var csv bool
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Long:    short + ", in virtual time, all ways from the same seed.",
		Example: "  savorywing bench " + name + " --seed 1 --csv",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			table := run(seed, length)
			if csv {
				return table.CSV(cmd.OutOrStdout())
			}
			table.Print(cmd.OutOrStdout())
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of load and faults")
	cmd.Flags().DurationVar(&length, "length", length, "virtual time")
	cmd.Flags().BoolVar(&csv, "csv", false, "print CSV")
	return cmd
}

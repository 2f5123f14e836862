package main

import (
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/bench/policy"
)

func newBench() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "bench",
		Short:   "Measures a running system, or compares policies in simulation",
		Example: "  savorywing bench load --callers 127.0.0.1:8080 --key dev-key --model example-model --duration 10s\n  savorywing bench admission --seed 1",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		newBenchLoad(),
		newBenchPolicy("admission", "Compares queueing orders and divisions of slots under overload", 120*time.Second, policy.Admission),
		newBenchPolicy("routing", "Compares policies that choose a group from stale load reports", 120*time.Second, policy.Routing),
		newBenchPolicy("planning", "Compares policies that plan groups while hosts fail", 0, policy.Planning),
		newBenchPolicy("placement", "Compares policies that place requests while entry hosts receive each other's load with a delay", 14*time.Second, policy.Placement),
		newBenchPolicy("prompts", "Compares policies that place requests with long prompts", 30*time.Second, policy.Prompts),
		newBenchPolicy("bursts", "Compares what entry hosts do while callers compete for too little capacity", 20*time.Second, policy.Bursts),
		newBenchPolicy("retries", "Compares retry policies while a fabric domain fails", 120*time.Second, policy.Retries),
	)
	return cmd
}

// newBenchPolicy returns the command that runs one comparison of policies from a seed.
func newBenchPolicy(name, short string, length time.Duration, run func(seed uint64, length time.Duration) *policy.Table) *cobra.Command {
	var seed uint64
	var csv bool
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Long:    short + ", in virtual time, with the same seed for all policies.",
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
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed of the load and the faults")
	cmd.Flags().DurationVar(&length, "length", length, "virtual time to simulate")
	cmd.Flags().BoolVar(&csv, "csv", false, "print CSV")
	return cmd
}

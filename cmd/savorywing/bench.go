package main

import (
	"github.com/spf13/cobra"
)

func newBench() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "bench",
		Short:   "Measures a running system or a decision",
		Example: "  savorywing bench load --callers 127.0.0.1:8080 --key dev-key --model example-model --duration 10s",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newBenchLoad())
	return cmd
}

package main

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/bench/load"
)

//go:embed bench_load.txt
var benchLoadHelp string

func newBenchLoad() *cobra.Command {
	var cfg load.Config
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Sends requests to entry hosts and checks every answer",
		Long:    benchLoadHelp,
		Example: "  savorywing bench load --callers 127.0.0.1:8081,127.0.0.1:8082 --key key-1 --model ledger --duration 60s --rate 50",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(cfg.CallerAddresses) == 0 || cfg.Model == "" || len(cfg.Keys) == 0 {
				return usageError{fmt.Errorf("--callers, --key and --model are needed")}
			}
			report := load.Run(cmd.Context(), cfg)
			printHistograms(cmd.OutOrStdout(), report.Rows)
			fmt.Fprintln(cmd.OutOrStdout(), report.Summary())
			for _, text := range report.Refusals {
				fmt.Fprintln(cmd.OutOrStdout(), " ", text)
			}
			if bad := report.IncorrectCount(); bad > 0 {
				return fmt.Errorf("%d wrong, mixed or truncated answers: %s", bad, strings.Join(report.Examples, "; "))
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&cfg.CallerAddresses, "callers", nil, "callers' addresses, used in turn as a balancer would")
	cmd.Flags().StringSliceVar(&cfg.Keys, "key", nil, "bearer keys, used in turn")
	cmd.Flags().StringVar(&cfg.Model, "model", "", "model to ask")
	cmd.Flags().StringVar(&cfg.ServicePath, "service-path", "", "path of a plain service to call as well")
	cmd.Flags().Float64Var(&cfg.Rate, "rate", 20, "requests a second")
	cmd.Flags().DurationVar(&cfg.Duration, "duration", 10*time.Second, "how long to send")
	cmd.Flags().IntVar(&cfg.Tokens, "tokens", 16, "tokens of each answer")
	cmd.Flags().Float64Var(&cfg.StreamShare, "stream-share", 0.5, "share of requests that are streamed")
	cmd.Flags().Float64Var(&cfg.ActionShare, "action-share", 0.1, "share of requests to the plain service that carry an Idempotency-Key")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of the load")
	return cmd
}

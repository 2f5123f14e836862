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
		Short:   "Sends requests to entry hosts and checks every response",
		Long:    benchLoadHelp,
		Example: "  savorywing bench load --callers 127.0.0.1:8081,127.0.0.1:8082 --key key-1 --model ledger --duration 60s --rate 50",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(cfg.CallerAddresses) == 0 || cfg.Model == "" || len(cfg.APIKeys) == 0 {
				return usageError{fmt.Errorf("--callers, --key and --model must be set")}
			}
			report := load.Run(cmd.Context(), cfg)
			printHistograms(cmd.OutOrStdout(), report.Rows)
			fmt.Fprintln(cmd.OutOrStdout(), report.Summary())
			for _, text := range report.FailureExamples {
				fmt.Fprintln(cmd.OutOrStdout(), " ", text)
			}
			if incorrect := report.IncorrectCount(); incorrect > 0 {
				return fmt.Errorf("%d incorrect or truncated responses: %s", incorrect, strings.Join(report.Examples, "; "))
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&cfg.CallerAddresses, "callers", nil, "callers' addresses (host:port), used in rotation as a load balancer would")
	cmd.Flags().StringSliceVar(&cfg.APIKeys, "key", nil, "API keys, sent as bearer tokens in rotation")
	cmd.Flags().StringVar(&cfg.Model, "model", "", "name of the model to send requests to")
	cmd.Flags().StringVar(&cfg.ServicePath, "service-path", "", "path of a plain service to call as well")
	cmd.Flags().Float64Var(&cfg.Rate, "rate", 20, "requests per second")
	cmd.Flags().DurationVar(&cfg.Duration, "duration", 10*time.Second, "how long to send requests")
	cmd.Flags().IntVar(&cfg.Tokens, "tokens", 16, "output tokens of each response")
	cmd.Flags().Float64Var(&cfg.StreamFraction, "stream-share", 0.5, "fraction of requests that are streamed (0 to 1)")
	cmd.Flags().Float64Var(&cfg.ActionFraction, "action-share", 0.1, "fraction of requests to the plain service that carry an Idempotency-Key (0 to 1)")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "random seed of the load")
	return cmd
}

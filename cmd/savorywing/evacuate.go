package main

import (
	"context"
	_ "embed"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/wire"
)

//go:embed evacuate.txt
var evacuateHelp string

const defaultEvacuateTimeout = 10 * time.Second

func newEvacuate() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "evacuate",
		Short:   "Takes the backend servers of a data centre out of service, or back in",
		Long:    evacuateHelp,
		Example: "  savorywing evacuate begin lisboa-a --control 10.0.0.1:8229,10.0.0.2:8229\n  savorywing evacuate finish lisboa-a --control 10.0.0.1:8229",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newEvacuateOrder("begin", "Sends nothing more to a data centre's backend servers", true),
		newEvacuateOrder("finish", "Lets a data centre's backend servers serve again", false))
	return cmd
}

func newEvacuateOrder(verb, short string, on bool) *cobra.Command {
	var control []string
	var within time.Duration
	cmd := &cobra.Command{
		Use:   verb + " DATACENTRE --control ADDRESS,...",
		Short: short,
		Long:  evacuateHelp,
		Args:  usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(control) == 0 {
				return usageError{errNoControl}
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), within)
			defer cancel()
			c := controlapi.NewClient(platform.Dialect{}, control)
			if err := c.Evacuate(ctx, wire.Evacuate{DataCentre: args[0], On: on}); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s evacuated: %t\n", args[0], on)
			return nil
		},
	}
	addControlFlag(cmd, &control)
	cmd.Flags().DurationVar(&within, "within", defaultEvacuateTimeout, "how long to wait for the acknowledgement")
	return cmd
}

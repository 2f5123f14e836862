package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/peer"
)

const version = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Prints the versions of the program and its protocols",
		Example: "  savorywing version",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintf(cmd.OutOrStdout(), "savorywing %s, daemon protocol %d, %s\n", version, peer.Protocol, runtime.Version())
			return nil
		},
	}
}

package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/wire"
)

func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Shows the configuration in force and its history",
		Example: "  savorywing config get",
		Args:    usage(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newConfigGet(), newConfigLog())
	return cmd
}

func newConfigGet() *cobra.Command {
	f := &clientFlags{}
	cmd := &cobra.Command{
		Use:     "get",
		Short:   "Prints the configuration in force at one daemon",
		Example: "  savorywing config get --operators 127.0.0.1:9180",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return getAndPrint(cmd, f, operator.PathConfiguration, func(w io.Writer, c operator.ConfigurationStatus) {
				fmt.Fprintf(w, "# configuration %d\n%s", c.Number, c.Text)
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newConfigLog() *cobra.Command {
	f := &clientFlags{}
	cmd := &cobra.Command{
		Use:     "log",
		Short:   "Lists the accepted configuration changes",
		Example: "  savorywing config log --json",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return getAndPrint(cmd, f, operator.PathHistory, func(w io.Writer, list []wire.Configuration) {
				for _, c := range list {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", c.Number, time.UnixMilli(c.At).UTC().Format(time.RFC3339), c.Operator, c.ChangeID)
				}
			})
		},
	}
	f.add(cmd)
	return cmd
}

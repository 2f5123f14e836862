package main

import (
	_ "embed"
	"fmt"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/wire"
)

//go:embed drain.txt
var drainHelp string

func newDrain() *cobra.Command {
	f := &clientFlags{}
	var undo bool
	cmd := &cobra.Command{
		Use:     "drain HOST",
		Short:   "Takes a backend server's host out of service, or back in",
		Long:    drainHelp,
		Example: "  savorywing drain engine-17\n  savorywing drain engine-17 --undo",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			command := wire.DrainHost{Host: args[0], On: !undo, Operator: operatorName()}
			if _, err := c.Command(operator.PathDrain, command); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s draining: %t\n", args[0], !undo)
			return nil
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "let the host join groups again")
	return cmd
}

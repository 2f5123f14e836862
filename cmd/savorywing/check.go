package main

import (
	_ "embed"
	"fmt"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/version/settings"
)

//go:embed check.txt
var checkHelp string

func newCheck() *cobra.Command {
	var origins bool
	cmd := &cobra.Command{
		Use:     "check DIR",
		Short:   "Checks a folder of settings and shows the merged result",
		Long:    checkHelp,
		Example: "  savorywing check examples/sarthi --origins",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			if origins {
				for _, line := range s.Origins() {
					fmt.Fprintln(cmd.OutOrStdout(), line)
				}
				return nil
			}
			text, err := s.Merged()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	cmd.Flags().BoolVar(&origins, "origins", false, "show which file and line set each value")
	return cmd
}

package main

import (
	_ "embed"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/version/settings"
)

//go:embed check.txt
var checkHelp string

func newCheck() *cobra.Command {
	var origins bool
	cmd := &cobra.Command{
		Use:     "check DIR|FILE",
		Short:   "Checks a folder of settings and prints the merged result, or checks the settings file of one daemon",
		Long:    checkHelp,
		Example: "  savorywing check examples/sarthi --origins",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if info, err := os.Stat(args[0]); err == nil && !info.IsDir() {
				return checkInstance(cmd, args[0])
			}
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
			text, err := s.MergedYAML()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	cmd.Flags().BoolVar(&origins, "origins", false, "print the file and line that set each value")
	return cmd
}

// checkInstance checks the settings file of one daemon of a fleet that is discovered through seeds.
func checkInstance(cmd *cobra.Command, file string) error {
	s, err := instance.Load(file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: a daemon with the role %s at %s, seeds %v, %d voters\n", file, s.Role, s.PeerAddress(), s.Seeds, s.VoterCount())
	return err
}

package main

import (
	_ "embed"
	"errors"
	"fmt"
	"os/user"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

//go:embed apply.txt
var applyHelp string

func newApply() *cobra.Command {
	f := &clientFlags{}
	var follows int64
	var changeID, name string
	cmd := &cobra.Command{
		Use:     "apply DIR",
		Short:   "Proposes a folder of settings as the next configuration",
		Long:    applyHelp,
		Example: "  savorywing apply /etc/savorywing --follows 41 --change-id audit-morning-7",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return proposeSettings(cmd, f, s, follows, changeID, name)
		},
	}
	f.add(cmd)
	cmd.Flags().Int64Var(&follows, "follows", -1, "number of the configuration that this one follows; -1 uses the number in force at the daemon")
	cmd.Flags().StringVar(&changeID, "change-id", "", "ID of the change; repeat it after a lost response")
	cmd.Flags().StringVar(&name, "operator", operatorName(), "name of the operator who makes the change")
	return cmd
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func proposeSettings(cmd *cobra.Command, f *clientFlags, s *settings.Settings, follows int64, changeID, name string) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	if follows < 0 {
		var current operator.ConfigurationStatus
		if err := c.Get(operator.PathConfiguration, &current); err != nil {
			return err
		}
		follows = int64(current.Number)
	}
	if changeID == "" {
		changeID = string(savorywing.NewID())
	}
	text, err := s.ConfigurationYAML()
	if err != nil {
		return err
	}
	change := wire.ChangeConfiguration{Follows: uint64(follows), ChangeID: changeID, Operator: name, Text: string(text)}
	r, err := c.Command(operator.PathConfiguration, change)
	if errors.Is(err, operator.ErrNotAccepted) && r.Configuration != nil {
		return fmt.Errorf("%w: configuration number %d was already assigned to a change by %s (change %s)", err, follows+1, r.Configuration.Operator, r.Configuration.ChangeID)
	}
	if err != nil {
		return fmt.Errorf("%w; the change may have been accepted: to find out, repeat the command with --follows %d --change-id %s", err, follows, changeID)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "configuration %d accepted (change %s)\n", r.Configuration.Number, changeID)
	return nil
}

// Command savorywing serves language models whose replicas span several hosts.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the command line; the process exits with exitUsage.
type usageError struct{ err error }

// Error implements error.
func (u usageError) Error() string { return u.err.Error() }

// Unwrap implements errors.Unwrap.
func (u usageError) Unwrap() error { return u.err }

func main() {
	err := newRoot().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "savorywing:", err)
	var usage usageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "savorywing",
		Short:         "Serves language models whose replicas span several hosts",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          usage(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe(), newRun(), newDev(), newCheck(), newExplain(), newApply(), newConfig(), newStatus(), newGroups(), newHosts(), newDrain(), newEvacuate(), newWhere(), newBench(), newSoak(), newVersion())
	return root
}

// usage turns a wrong number of arguments into a usage error.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

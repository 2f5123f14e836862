package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/version/settings"
)

// errNoControl means that a command needs control hosts.
var errNoControl = errors.New("--control names no control host")

func addControlFlag(cmd *cobra.Command, control *[]string) {
	cmd.Flags().StringSliceVar(control, "control", nil, "control addresses (host:port) of control hosts of a fleet")
}

const defaultOperators = "127.0.0.1:9180"

// clientFlags are the flags of the commands that call a running daemon.
type clientFlags struct {
	operators string
	tokenFile string
	json      bool
}

func (f *clientFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.operators, "operators", defaultOperators, "operators' address (host:port) of any daemon")
	cmd.Flags().StringVar(&f.tokenFile, "token-file", "operators.token", "file that holds the operators' token")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

func (f *clientFlags) client() (*operator.Client, error) {
	token, err := settings.LoadToken(f.tokenFile)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(f.operators, token), nil
}

// getAndPrint reads the resource at path from a daemon and prints it, as JSON or with printText.
func getAndPrint[T any](cmd *cobra.Command, f *clientFlags, path string, printText func(w io.Writer, v T)) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	var v T
	if err := c.Get(path, &v); err != nil {
		return err
	}
	if f.json {
		return printJSON(cmd.OutOrStdout(), v)
	}
	printText(cmd.OutOrStdout(), v)
	return nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("printJSON: %w", err)
	}
	return nil
}

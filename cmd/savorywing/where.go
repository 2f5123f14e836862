package main

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/connection/peer"
	"savorywing.example/savorywing/version/instance"
)

//go:embed where.txt
var whereHelp string

// Errors of the command line.
var (
	errNoRoute  = errors.New("either --route, or --host and --path, must be set")
	errOutput   = errors.New("--output must be text or json")
	errNoMetric = errors.New("the settings have no metricsPort, at which entry hosts answer")
)

type whereFlags struct {
	settings, address, output string
	query                     operator.WhereQuery
}

func newWhere() *cobra.Command {
	f := &whereFlags{}
	cmd := &cobra.Command{
		Use:     "where --settings FILE",
		Short:   "Explains where a request would go now, without sending it",
		Long:    whereHelp,
		Example: "  savorywing where --settings /etc/savorywing/local.yaml --host chat.example --path /v1/x --organisation audit --model large --prompt-tokens 1400",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := f.validate(); err != nil {
				return usageError{err}
			}
			c, err := f.client()
			if err != nil {
				return err
			}
			a, err := c.Where(f.query)
			if err != nil {
				return err
			}
			if f.output == "json" {
				return printJSON(cmd.OutOrStdout(), a)
			}
			printWhere(cmd.OutOrStdout(), a)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.settings, "settings", os.Getenv(settingsVariable), "settings file of an entry host")
	flags.StringVar(&f.address, "address", "", "metrics address (host:port) of the entry host, if it isn't that of the settings")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.StringVar(&f.query.Host, "host", "", "host of the request")
	flags.StringVar(&f.query.Path, "path", "", "path of the request")
	flags.StringVar(&f.query.Route, "route", "", "name of the route, in place of host and path")
	flags.StringVar(&f.query.Key, "key", "", "the caller's key")
	flags.StringVar(&f.query.Organisation, "organisation", "", "the caller's organisation, in place of its key")
	flags.StringVar(&f.query.Model, "model", "", "model of the request")
	flags.IntVar(&f.query.PromptTokens, "prompt-tokens", 0, "tokens of the prompt")
	flags.StringSliceVar(&f.query.Parts, "parts", nil, "IDs of the prompt's parts")
	flags.Int64Var(&f.query.TimeoutMs, "timeout-ms", 0, "how long the caller waits, in milliseconds")
	return cmd
}

func (f *whereFlags) validate() error {
	switch {
	case f.output != "text" && f.output != "json":
		return errOutput
	case f.settings == "":
		return fmt.Errorf("neither --settings nor the environment variable %s is set", settingsVariable)
	case f.query.Route == "" && (f.query.Host == "" || f.query.Path == ""):
		return errNoRoute
	}
	return nil
}

func (f *whereFlags) client() (*operator.Client, error) {
	s, err := instance.Load(f.settings)
	if err != nil {
		return nil, err
	}
	address := f.address
	if address == "" {
		if s.MetricsPort == 0 {
			return nil, errNoMetric
		}
		address = s.MetricsAddress()
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, usageError{fmt.Errorf("--address: %w", err)}
	}
	return operator.NewClient(address, peer.TokenDigest(s.Token)), nil
}

func printWhere(w io.Writer, a operator.WhereAnswer) {
	if a.DocumentVersion == 0 {
		fmt.Fprintf(w, "entry host %s, no document\n", a.EntryHost)
	} else {
		fmt.Fprintf(w, "entry host %s, document %d, confirmed %d ms ago\n", a.EntryHost, a.DocumentVersion, a.ConfirmedMsAgo)
	}
	if a.Route != "" {
		fmt.Fprintf(w, "route %s, service %s, organisation %s, priority %d\n", a.Route, a.Service, orNone(a.Organisation), a.Priority)
	}
	switch a.Verdict {
	case operator.VerdictSent:
		fmt.Fprintf(w, "sent to %s, first byte predicted after %d ms\n", a.Server, a.PredictedMs)
	case operator.VerdictRejected:
		fmt.Fprintf(w, "rejected with status %d: %s, Retry-After %d ms\n", a.Status, a.Reason, a.RetryAfterMs)
	default:
		fmt.Fprintf(w, "%s: %s\n", a.Verdict, a.Reason)
	}
	if len(a.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w)
	fmt.Fprintln(t, "server\taddress\tdata centre\tload\tslots\twaiting tokens\tload age ms\tpredicted ms\texcluded")
	for _, c := range a.Candidates {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", c.Server, c.Address, c.DataCentre, c.Load, c.Slots, c.WaitingTokens, c.LoadAgeMs, c.PredictedMs,
			strings.Join(c.Excluded, ", "))
	}
	_ = t.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

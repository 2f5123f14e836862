package main

import (
	_ "embed"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/controlapi"
	"savorywing.example/savorywing/connection/operator"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/metrics"
)

//go:embed status.txt
var statusHelp string

const tablePadding = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
}

func newStatus() *cobra.Command {
	f := &clientFlags{}
	var control []string
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Shows one daemon's state, alarms and histograms",
		Long:    statusHelp,
		Example: "  savorywing status --operators 127.0.0.1:9180\n  savorywing status --control 10.0.0.1:8229,10.0.0.2:8229",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(control) > 0 {
				return printControlStatus(cmd, f, control)
			}
			return getAndPrint(cmd, f, operator.PathStatus, printStatus)
		},
	}
	f.add(cmd)
	addControlFlag(cmd, &control)
	return cmd
}

// printControlStatus prints the status of the first control host of a fleet that answers.
func printControlStatus(cmd *cobra.Command, f *clientFlags, control []string) error {
	s, err := controlapi.NewClient(platform.Dialect{}, control).Status()
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	if f.json {
		return printJSON(w, s)
	}
	fmt.Fprintf(w, "control host %s, leading: %t; leader %s of term %d\n", s.Host, s.Leading, s.Leader, s.Term)
	fmt.Fprintf(w, "document %d; members %s\n", s.Document, strings.Join(s.Members, ", "))
	if s.LogFailure != "" {
		fmt.Fprintln(w, "ALARM diskFailed:", s.LogFailure)
	}
	evacuated := "none"
	if len(s.Evacuated) > 0 {
		evacuated = strings.Join(s.Evacuated, ", ")
	}
	fmt.Fprintf(w, "evacuated: %s; last change in log entry %d; confirmed: %t\n", evacuated, s.EvacuatedAt, s.Confirmed)
	return nil
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "host %s (%s), up %.0f s\n", s.Host, strings.Join(s.Roles, ", "), s.UptimeSeconds)
	fmt.Fprintf(w, "configuration %d, confirmed: %t; leader %s; %d requests in flight\n", s.Configuration, s.IsFresh, s.Leader, s.InFlight)
	if v := s.Voter; v != nil {
		fmt.Fprintf(w, "voter %s: %s of term %d, commit %d, log %d, claims %d\n", v.ID, v.Role, v.Term, v.Commit, v.LogLength, v.Claims)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.RefusedResponses)) {
		fmt.Fprintf(w, "refused responses of backend servers: %s %d\n", reason, s.RefusedResponses[reason])
	}
	for _, a := range s.Alarms {
		fmt.Fprintln(w, "ALARM", a)
	}
	if len(s.Histograms) > 0 {
		fmt.Fprintln(w)
		printHistograms(w, s.Histograms)
	}
}

// printHistograms prints a row for each organisation and class. Times are in milliseconds.
func printHistograms(w io.Writer, rows []metrics.Row) {
	t := newTable(w)
	fmt.Fprintln(t, "organisation\tclass\trequests\tin patience\tfirst p50\tp95\tp99\tbetween p50\tp95\twhole p50\tp95\toutcomes")
	for _, r := range rows {
		var outcomes []string
		for _, name := range []string{"answered", "notRun", "unknown"} {
			if n := r.Outcomes[name]; n > 0 {
				outcomes = append(outcomes, fmt.Sprintf("%s %d", name, n))
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", r.Organisation, r.Class, r.Requests, r.WithinTimeouts,
			r.FirstToken["p50"], r.FirstToken["p95"], r.FirstToken["p99"], r.InterToken["p50"], r.InterToken["p95"],
			r.Total["p50"], r.Total["p95"], strings.Join(outcomes, ", "))
	}
	_ = t.Flush()
}

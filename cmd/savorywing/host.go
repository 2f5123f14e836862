package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
)

func newHosts() *cobra.Command {
	f := &clientFlags{}
	cmd := &cobra.Command{
		Use:     "host",
		Short:   "Lists the backend servers' hosts as last reported to one daemon",
		Example: "  savorywing host --operators 127.0.0.1:9180",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return getAndPrint(cmd, f, operator.PathHosts, printHosts)
		},
	}
	f.add(cmd)
	return cmd
}

func printHosts(w io.Writer, list []operator.HostStatus) {
	t := newTable(w)
	fmt.Fprintln(t, "host\tkind\tdata centre\tfabric domain\taddress\tchecks fencing\tgroup\tdraining\tleaving\trunning\tage s")
	for _, h := range list {
		running := uint64(0)
		if h.Load != nil {
			running = h.Load.Running
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%t\t%s\t%t\t%t\t%d\t%.1f\n", h.Host, h.Kind, h.DataCentre, h.FabricDomain, h.Address,
			h.ChecksFencing, h.Group, h.Draining, h.Leaving, running, h.AgeSeconds)
	}
	_ = t.Flush()
}

package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"savorywing.example/savorywing/connection/operator"
)

func newGroups() *cobra.Command {
	f := &clientFlags{}
	cmd := &cobra.Command{
		Use:     "groups",
		Short:   "Lists the groups and whether this daemon may send them requests",
		Example: "  savorywing groups --json",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return getAndPrint(cmd, f, operator.PathGroups, printGroups)
		},
	}
	f.add(cmd)
	return cmd
}

func printGroups(w io.Writer, list []operator.GroupStatus) {
	t := newTable(w)
	fmt.Fprintln(t, "group\tmodel\tversion\tfabric domain\tfence\tphase\tlease\tmembers")
	for _, g := range list {
		names := make([]string, len(g.Members))
		for i, m := range g.Members {
			names[i] = m.Host
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%t\t%s\n", g.ID, g.Model, g.Version, g.FabricDomain, g.Fence, g.Phase, g.HasLease, strings.Join(names, " "))
	}
	_ = t.Flush()
}

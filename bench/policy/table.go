package policy

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// Table is the result of a comparison: a row for each policy, all from the same seed.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Notes explain the columns and state the targets.
	Notes []string
}

func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch c := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3f", c)
		case time.Duration:
			row[i] = fmt.Sprintf("%.1f", float64(c)/float64(time.Millisecond))
		default:
			row[i] = fmt.Sprint(c)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Print writes the table as text.
func (t *Table) Print(w io.Writer) {
	const padding = 2
	fmt.Fprintln(w, t.Title)
	tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	printRow(tw, t.Columns)
	for _, row := range t.Rows {
		printRow(tw, row)
	}
	_ = tw.Flush()
	for _, n := range t.Notes {
		fmt.Fprintln(w, n)
	}
}

func printRow(w io.Writer, cells []string) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// CSV writes the table as comma-separated values.
func (t *Table) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	if err := c.Write(t.Columns); err != nil {
		return fmt.Errorf("Table.CSV: %w", err)
	}
	if err := c.WriteAll(t.Rows); err != nil {
		return fmt.Errorf("Table.CSV: %w", err)
	}
	return nil
}

// quantile returns the q-quantile of times, or 0 if there are none; it sorts times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

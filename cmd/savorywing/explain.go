package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Prints the log lines about a request, a backend server or a group from the logs of several daemons, in order of time",
		Long:    "Prints every line of the logs that names ID, in order of time, whichever daemon wrote it. With - for FILE it reads standard input.",
		Example: "  savorywing explain 9c41d07be2a35f68 entry-*.log control-*.log",
		Args:    usage(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var found []explained
			for _, file := range args[1:] {
				lines, err := readLog(file, args[0], cmd.InOrStdin())
				if err != nil {
					return err
				}
				found = append(found, lines...)
			}
			sort.SliceStable(found, func(i, j int) bool { return found[i].at.Before(found[j].at) })
			for _, l := range found {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), l); err != nil {
					return err
				}
			}
			if len(found) == 0 {
				return fmt.Errorf("explain: no line names %s", args[0])
			}
			return nil
		},
	}
}

// explained is one line of a daemon's log.
type explained struct {
	at     time.Time
	fields map[string]any
}

// String returns the line with its fields in a steady order.
func (l explained) String() string {
	var parts []string
	for name, value := range l.fields {
		switch name {
		case "time", "host", "event", "level":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(parts)
	return fmt.Sprintf("%s %v %v %s", l.at.Format("15:04:05.000000"), l.fields["host"], l.fields["event"], strings.Join(parts, " "))
}

// readLog returns the lines of a log that name an id. Lines that are no JSON are passed over.
func readLog(file, id string, stdin io.Reader) ([]explained, error) {
	r := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	var out []explained
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		l := explained{fields: map[string]any{}}
		if err := json.Unmarshal([]byte(text[start:]), &l.fields); err != nil {
			continue
		}
		if at, ok := l.fields["time"].(string); ok {
			t, err := time.Parse(time.RFC3339Nano, at)
			if err != nil {
				return nil, fmt.Errorf("explain: %s: %w", file, err)
			}
			l.at = t
		}
		out = append(out, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("explain: %s: %w", file, err)
	}
	return out, nil
}

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

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Prints the log lines about a request, a backend server or a group from the logs of several daemons, sorted by time",
		Long:    "Prints every log line that contains ID, sorted by time across all daemons. If FILE is -, it reads standard input.",
		Example: "  savorywing explain 9c41d07be2a35f68 entry-*.log control-*.log",
		Args:    usage(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var found []logEntry
			for _, file := range args[1:] {
				lines, err := readLog(file, args[0], cmd.InOrStdin())
				if err != nil {
					return err
				}
				found = append(found, lines...)
			}
			sort.SliceStable(found, func(i, j int) bool { return found[i].time.Before(found[j].time) })
			for _, l := range found {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), l); err != nil {
					return err
				}
			}
			if len(found) == 0 {
				return fmt.Errorf("explain: no log line contains %s", args[0])
			}
			return nil
		},
	}
}

// logEntry is one decoded line of a daemon's log.
type logEntry struct {
	time   time.Time
	fields map[string]any
}

// String returns the time, the host, the event and the other fields sorted by name.
func (l logEntry) String() string {
	var parts []string
	for name, value := range l.fields {
		switch name {
		case "time", "host", "event", "level":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(parts)
	return fmt.Sprintf("%s %v %v %s", l.time.Format("15:04:05.000000"), l.fields["host"], l.fields["event"], strings.Join(parts, " "))
}

// readLog returns the log lines that contain id. Text before the JSON object is ignored, and so are lines without one.
func readLog(file, id string, stdin io.Reader) ([]logEntry, error) {
	r := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	var out []logEntry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		l := logEntry{fields: map[string]any{}}
		if err := json.Unmarshal([]byte(text[start:]), &l.fields); err != nil {
			continue
		}
		if at, ok := l.fields["time"].(string); ok {
			t, err := time.Parse(time.RFC3339Nano, at)
			if err != nil {
				return nil, fmt.Errorf("explain: %s: %w", file, err)
			}
			l.time = t
		}
		out = append(out, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("explain: %s: %w", file, err)
	}
	return out, nil
}

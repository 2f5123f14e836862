package main

import (
	"bytes"
	"encoding/json"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
)

// logRecorder collects the log lines of several daemons.
type logRecorder struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// lines returns the decoded log lines.
func (l *logRecorder) lines(t *testing.T) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(l.buf.Bytes()), []byte("\n")) {
		m := map[string]any{}
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatalf("log line is not a JSON object: %s", line)
		}
		if n := countKeys(line); n != len(m) {
			t.Errorf("log line with duplicate field names: %d fields, %d names: %s", n, len(m), line)
		}
		out = append(out, m)
	}
	return out
}

// countKeys returns the number of field names in a line's object. Duplicate names count each time.
func countKeys(line []byte) int {
	d := json.NewDecoder(bytes.NewReader(line))
	n, depth, isName := 0, 0, false
	for {
		token, err := d.Token()
		if err != nil {
			return n
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
			isName = depth == 1
			continue
		case json.Delim('}'), json.Delim(']'):
			depth--
			isName = depth == 1
			continue
		}
		if depth != 1 {
			continue
		}
		if isName {
			n++
		}
		isName = !isName
	}
}

// lineShape returns the event of a line, those of its values that are the same in every session, and the names of its
// fields.
func lineShape(m map[string]any) string {
	var fields []string
	for k := range m {
		switch k {
		case "event", "level", "host", "time":
		default:
			fields = append(fields, k)
		}
	}
	sort.Strings(fields)
	s, _ := m["event"].(string)
	for _, k := range []string{"status", "reason", "action"} {
		if v, ok := m[k]; ok {
			b, _ := json.Marshal(v)
			s += " " + k + "=" + string(b)
		}
	}
	return s + ": " + strings.Join(fields, " ")
}

// goldenEvents are the events that every session logs: decisions about requests, orders, and starts and stops of
// daemons.
var goldenEvents = map[string]bool{
	"started": true, "documentInForce": true, "orderSent": true, "orderAnswered": true, "served": true, "refused": true, "unanswered": true,
	"stopping": true, "stopped": true, "entryHostFound": true, "controlConnected": true,
}

const goldenLines = "testdata/fleet-session.golden"

// TestSessionLogLines runs a session from the first start to the planned stop, with requests that are served, requests
// that are rejected for each reason that doesn't depend on load, and requests that no server can serve. It compares the
// events and their field names with a golden file, since operators and scripts rely on the names.
func TestSessionLogLines(t *testing.T) {
	log := &logRecorder{}
	f := newFleetEnv(t, 3, 1, 10, func(f *fleetEnv) { f.logOutput = log })
	f.waitServing()
	for _, r := range []struct{ path, model, key string }{
		{"/talk/x", smallModel, fleetKey}, {"/book/x", "", fleetKey}, {"/nothing/", "", fleetKey}, {"/book/x", "", "nobody's"},
		{"/book/x", "", ""}, {"/talk/x", "no such model", fleetKey},
	} {
		f.send(0, r.path, r.model, r.key, nil)
	}
	f.stopped[f.entries[0]] = true
	f.entries[0].Stop()
	seen := map[string]bool{}
	for _, m := range log.lines(t) {
		event, _ := m["event"].(string)
		// Which other orders are sent during a start depends on the order in which reports arrive.
		if action, isOrder := m["action"]; isOrder && action != "join" && action != "open" {
			continue
		}
		if goldenEvents[event] {
			seen[lineShape(m)] = true
		}
	}
	var got []string
	for s := range seen {
		got = append(got, s)
	}
	sort.Strings(got)
	want, err := os.ReadFile(goldenLines)
	if err != nil {
		t.Fatalf("%v; the log lines of this session:\n%s", err, strings.Join(got, "\n"))
	}
	if text := strings.Join(got, "\n") + "\n"; text != string(want) {
		t.Errorf("the log lines of the session differ from %s; got:\n%s", goldenLines, text)
	}
}

// TestRefusalLogLines checks that the log line of each rejection has the fields that explain the decision.
func TestRefusalLogLines(t *testing.T) {
	log := &logRecorder{}
	f := newFleetEnv(t, 1, 1, 4, func(f *fleetEnv) { f.logOutput = log })
	f.eventually("a booking is served", func() bool { return f.send(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	for _, tt := range []struct {
		name, path, model, key string
		status                 int
		reason                 string
		fields                 []string
	}{
		{"no route", "/nothing/", "", fleetKey, fasthttp.StatusNotFound, "noRoute", []string{"request", "after", "viewAge"}},
		{"unknown key", "/book/x", "", "nobody's", fasthttp.StatusUnauthorized, "unknownKey", []string{"request", "after", "viewAge", "route"}},
		{"nothing serves the model", "/talk/x", "no such model", fleetKey, fasthttp.StatusServiceUnavailable, "noEndpoint",
			[]string{"request", "after", "viewAge", "route", "model", "retryAfter"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := f.send(0, tt.path, tt.model, tt.key, nil)
			if got.status != tt.status {
				t.Fatalf("status %d, want %d", got.status, tt.status)
			}
			for _, m := range log.lines(t) {
				if m["request"] != got.requestID {
					continue
				}
				if m["reason"] != tt.reason || m["event"] != "refused" {
					t.Errorf("got %v, want the event refused with reason %s", m, tt.reason)
				}
				for _, field := range tt.fields {
					if _, ok := m[field]; !ok {
						t.Errorf("%v lacks %s", m, field)
					}
				}
				return
			}
			t.Errorf("no log line for request %s", got.requestID)
		})
	}
}

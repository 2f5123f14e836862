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

// lineLog collects log lines of several daemons.
type lineLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lineLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// lines returns what was written, decoded.
func (l *lineLog) lines(t *testing.T) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(l.buf.Bytes()), []byte("\n")) {
		m := map[string]any{}
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatalf("a line that is no JSON object: %s", line)
		}
		if n := keysIn(line); n != len(m) {
			t.Errorf("a line with %d fields of %d names: %s", n, len(m), line)
		}
		out = append(out, m)
	}
	return out
}

// keysIn counts the names in a line's object, those that come twice counted twice.
func keysIn(line []byte) int {
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

// shape names the event of a line, its fields, and what of them is the same in every session.
func shape(m map[string]any) string {
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

// goldenEvents are the events of which each session has lines: decisions about requests, orders, and the daemons' own.
var goldenEvents = map[string]bool{
	"started": true, "documentInForce": true, "orderSent": true, "orderAnswered": true, "served": true, "refused": true, "unanswered": true,
	"stopping": true, "stopped": true, "entryHostFound": true, "controlConnected": true,
}

const goldenLines = "testdata/fleet-session.golden"

// TestSessionLines plays a session from the first start to the planned stop: requests that are served, refused for each
// reason that doesn't depend on load, and turned away where nothing serves. Which lines come, and what each of them
// carries, is kept in a file, since operators and scripts rely on the names.
func TestSessionLines(t *testing.T) {
	log := &lineLog{}
	f := newFleetRig(t, 3, 1, 10, func(f *fleetRig) { f.lines = log })
	f.serveAll()
	for _, r := range []struct{ path, model, key string }{
		{"/talk/x", smallModel, fleetKey}, {"/book/x", "", fleetKey}, {"/nothing/", "", fleetKey}, {"/book/x", "", "nobody's"},
		{"/book/x", "", ""}, {"/talk/x", "no such model", fleetKey},
	} {
		f.ask(0, r.path, r.model, r.key, nil)
	}
	f.stopped[f.entries[0]] = true
	f.entries[0].Stop()
	seen := map[string]bool{}
	for _, m := range log.lines(t) {
		event, _ := m["event"].(string)
		// Which other orders a start takes depends on how its reports come.
		if action, isOrder := m["action"]; isOrder && action != "join" && action != "open" {
			continue
		}
		if goldenEvents[event] {
			seen[shape(m)] = true
		}
	}
	var got []string
	for s := range seen {
		got = append(got, s)
	}
	sort.Strings(got)
	want, err := os.ReadFile(goldenLines)
	if err != nil {
		t.Fatalf("%v; the lines of this session:\n%s", err, strings.Join(got, "\n"))
	}
	if text := strings.Join(got, "\n") + "\n"; text != string(want) {
		t.Errorf("the lines of a session are not those of %s; they are now:\n%s", goldenLines, text)
	}
}

// TestRefusalLines demands of each refusal's line what decided it.
func TestRefusalLines(t *testing.T) {
	log := &lineLog{}
	f := newFleetRig(t, 1, 1, 4, func(f *fleetRig) { f.lines = log })
	f.until("a served booking", func() bool { return f.ask(0, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
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
			got := f.ask(0, tt.path, tt.model, tt.key, nil)
			if got.status != tt.status {
				t.Fatalf("status %d, want %d", got.status, tt.status)
			}
			for _, m := range log.lines(t) {
				if m["request"] != got.number {
					continue
				}
				if m["reason"] != tt.reason || m["event"] != "refused" {
					t.Errorf("%v, want reason %s", m, tt.reason)
				}
				for _, field := range tt.fields {
					if _, ok := m[field]; !ok {
						t.Errorf("%v lacks %s", m, field)
					}
				}
				return
			}
			t.Errorf("no line tells of request %s", got.number)
		})
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.yaml.in/yaml/v3"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/operator"
)

// where runs the command for an entry host, and returns its output.
func (f *fleetEnv) where(entry int, args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetArgs(append([]string{"where", "--settings", f.entryProcesses[entry].file}, args...))
	err := root.Execute()
	return out.String(), err
}

// whereAnswer is where with an answer as JSON.
func (f *fleetEnv) whereAnswer(entry int, args ...string) operator.WhereAnswer {
	f.t.Helper()
	text, err := f.where(entry, append(args, "--output", "json")...)
	if err != nil {
		f.t.Fatal(err)
	}
	var a operator.WhereAnswer
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		f.t.Fatalf("%v in %s", err, text)
	}
	return a
}

// arrivalCounts returns how many requests have arrived at each server.
func (f *fleetEnv) arrivalCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range f.fleet.Servers() {
		counts[s.ServerConfig.ID] = len(s.Arrivals())
	}
	return counts
}

// requestMetrics returns the lines of an entry host's metrics that count requests or what became of them.
func (f *fleetEnv) requestMetrics(entry int) string {
	f.t.Helper()
	_, body, err := fasthttp.Get(nil, fmt.Sprintf("http://%s:%d/metrics", f.entryIP(entry), f.port+4))
	if err != nil {
		f.t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(string(body)) {
		for _, name := range []string{"requests", "refused", "returned", "forward", "first_event", "log_lines"} {
			if strings.HasPrefix(line, "savorywing_"+name) {
				lines = append(lines, line)
			}
		}
	}
	return strings.Join(lines, "")
}

// whereCases are requests, and the arguments of the command for each.
var whereCases = []struct {
	path, model string
	args        []string
}{
	{"/book/x", "", []string{"--host", fleetHost, "--path", "/book/x", "--key", fleetKey}},
	{"/book/look/x", "", []string{"--route", "look", "--organisation", "one"}},
	{"/talk/x", largeModel, []string{"--route", "talk", "--organisation", "one", "--model", largeModel, "--prompt-tokens", "500", "--timeout-ms", "8000"}},
	{"/talk/x", smallModel, []string{"--host", fleetHost, "--path", "/talk/x", "--key", fleetKey, "--model", smallModel, "--prompt-tokens", "500", "--timeout-ms", "8000"}},
}

// checkNextRequest asks where a request would go and sends it. It must reach the server that was named, or, if the host has had an update
// between, another one that isn't excluded. Nothing else is in flight. It reports whether it was the one that was named.
func (f *fleetEnv) checkNextRequest(entry int, path, model string, args []string) bool {
	f.t.Helper()
	before := f.arrivalCounts()
	var a operator.WhereAnswer
	f.eventually("the end of the last request is known", func() bool {
		a = f.whereAnswer(entry, args...)
		return !slices.ContainsFunc(a.Candidates, func(c operator.WhereCandidate) bool { return c.Load > 0 })
	})
	if a.Verdict != operator.VerdictSent || a.Status != 0 {
		f.t.Fatalf("%s: got %+v, want a server", path, a)
	}
	if r := f.send(entry, path, model, fleetKey, nil); r.err != nil || r.status != fasthttp.StatusOK {
		f.t.Fatalf("%s: status %d, error %v", path, r.status, r.err)
	}
	reached := ""
	for id, n := range f.arrivalCounts() {
		if n != before[id] {
			reached += id
		}
	}
	for _, id := range []string{a.Server, reached} {
		if !slices.ContainsFunc(a.Candidates, func(c operator.WhereCandidate) bool { return c.Server == id && len(c.Excluded) == 0 }) {
			f.t.Errorf("%s: %q isn't a candidate of %+v", path, id, a)
		}
	}
	for _, s := range f.fleet.Servers() {
		if s.ServerConfig.ID == a.Server && s.Model() != model {
			f.t.Errorf("%s: %s serves %q, want %q", path, a.Server, s.Model(), model)
		}
	}
	return reached == a.Server
}

// TestFleetWhere asks processes where requests would go: the requests that follow go there, and nothing is sent or counted before.
func TestFleetWhere(t *testing.T) {
	f := newEvacuationEnv(t, func(f *fleetEnv) { f.hasMetrics = true })
	const rounds = 10
	named := 0
	for range rounds {
		for _, c := range whereCases {
			if f.checkNextRequest(1, c.path, c.model, c.args) {
				named++
			}
		}
	}
	if t.Logf("%d of %d requests reached the server that was named", named, rounds*len(whereCases)); named < rounds*len(whereCases)*3/4 {
		t.Errorf("%d of %d requests reached the server that was named", named, rounds*len(whereCases))
	}
	metrics, arrivals := f.requestMetrics(1), f.arrivalCounts()
	for range rounds {
		for _, c := range whereCases {
			f.whereAnswer(1, c.args...)
		}
		f.whereAnswer(1, "--route", "talk", "--key", "unknown", "--model", "none")
	}
	if got := f.requestMetrics(1); got != metrics || metrics == "" {
		t.Errorf("metrics:\n%s\nbefore:\n%s", got, metrics)
	}
	if got := f.arrivalCounts(); fmt.Sprint(got) != fmt.Sprint(arrivals) {
		t.Errorf("arrivals %v, want %v as before", got, arrivals)
	}
	f.checkWhereRefused()
	f.checkWhereAddresses()
	f.checkWhereEvacuated()
}

// checkWhereRefused asks about requests that are rejected, and sends them, and asks what describes no request.
func (f *fleetEnv) checkWhereRefused() {
	t := f.t
	for _, tt := range []struct {
		name, path, key, reason string
		status                  int
	}{
		{"unknown path", "/nowhere/x", fleetKey, "noRoute", fasthttp.StatusNotFound},
		{"unknown key", "/book/x", "unknown", "unknownKey", fasthttp.StatusUnauthorized},
	} {
		a := f.whereAnswer(0, "--host", fleetHost, "--path", tt.path, "--key", tt.key)
		if r := f.send(0, tt.path, "", tt.key, nil); a.Verdict != operator.VerdictRejected || a.Reason != tt.reason || a.Status != tt.status || r.status != tt.status {
			t.Errorf("%s: got %+v, and status %d", tt.name, a, r.status)
		}
	}
	for _, tt := range []struct {
		name, want string
		args       []string
	}{
		{"unknown route", `no route "nowhere"`, []string{"--route", "nowhere", "--organisation", "one"}},
		{"unknown organisation", `no organisation "nobody"`, []string{"--route", "talk", "--organisation", "nobody"}},
		{"parts that are none", "parts", []string{"--route", "talk", "--organisation", "one", "--parts", "xyz"}},
	} {
		if text, err := f.where(0, tt.args...); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q; output %s", tt.name, err, tt.want, text)
		}
	}
}

// checkWhereAddresses asks a host without a document, one that has another role, and one that doesn't run.
func (f *fleetEnv) checkWhereAddresses() {
	t := f.t
	s := f.settings(savorywing.RoleEntry, f.entryIP(5), true)
	// Nobody listens at the seed.
	s.Seeds = []string{fmt.Sprintf("%s:%d", f.entryIP(6), f.port+1)}
	alone, file := f.startProcess(s)
	f.entryProcesses = append(f.entryProcesses, &daemonProcess{process: alone, file: file})
	defer func() { f.entryProcesses = f.entryProcesses[:len(f.entryProcesses)-1] }()
	last := len(f.entryProcesses) - 1
	var text string
	f.eventually("an answer", func() bool {
		var err error
		text, err = f.where(last, "--route", "talk", "--organisation", "one")
		return err == nil
	})
	if want := "entry host " + s.Name + ", no document\nwaits: the host awaits the leader's first update\n"; text != want {
		t.Errorf("got %q, want %q", text, want)
	}
	f.eventually("a verdict", func() bool {
		text, _ = f.where(last, "--route", "talk", "--organisation", "one")
		return strings.Contains(text, "rejected with status 503: noDocument, Retry-After ")
	})
	alone.kill()
	for _, tt := range []struct{ name, address, want string }{
		{"a host that has stopped", s.MetricsAddress(), "no answer of an entry host at " + s.MetricsAddress()},
		{"a control host", strings.Replace(f.seeds[0], fmt.Sprint(f.port+1), fmt.Sprint(f.port+4), 1), "this isn't the metrics address of an entry host"},
		{"a listener for callers", net.JoinHostPort(f.entryIP(0), fmt.Sprint(f.port+2)), "this isn't the metrics address of an entry host"},
	} {
		if text, err := f.where(0, "--route", "talk", "--organisation", "one", "--address", tt.address); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q; output %s", tt.name, err, tt.want, text)
		}
	}
	other := f.settings(savorywing.RoleEntry, f.entryIP(0), true)
	other.Token = "another"
	b, err := yaml.Marshal(other)
	if err != nil {
		t.Fatal(err)
	}
	f.writeFile(file, string(b))
	if _, err := f.where(last, "--route", "talk", "--organisation", "one"); err == nil || !strings.Contains(err.Error(), "token") {
		t.Errorf("error %v for another token", err)
	}
}

// checkWhereEvacuated asks while one data centre is evacuated, and while all are.
func (f *fleetEnv) checkWhereEvacuated() {
	t := f.t
	f.evacuate(emptied, true)
	var a operator.WhereAnswer
	isExcluded := func(c operator.WhereCandidate) bool { return slices.Contains(c.Excluded, "evacuated") }
	for _, c := range whereCases {
		// Groups there are dissolved, and are no candidates then; other servers remain.
		f.eventually("exclusions", func() bool {
			a = f.whereAnswer(1, c.args...)
			return !slices.ContainsFunc(a.Candidates, func(x operator.WhereCandidate) bool { return x.DataCentre == emptied && !isExcluded(x) })
		})
		for _, x := range a.Candidates {
			if isExcluded(x) != (x.DataCentre == emptied) || (isExcluded(x) && x.Server == a.Server) {
				t.Errorf("%s: %+v, while %s is named", c.path, x, a.Server)
			}
		}
		if c.model == "" && !slices.ContainsFunc(a.Candidates, isExcluded) {
			t.Errorf("%s: no server is excluded in %+v", c.path, a)
		}
	}
	f.waitServing()
	start := time.Now()
	for _, c := range whereCases {
		f.checkNextRequest(1, c.path, c.model, c.args)
	}
	if n := f.arrivalsIn(emptied, start); n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
	f.evacuate("a", true)
	f.eventually("a rejection", func() bool {
		a = f.whereAnswer(1, whereCases[0].args...)
		return a.Verdict == operator.VerdictRejected
	})
	if r := f.send(1, whereCases[0].path, "", fleetKey, nil); a.Status != r.status || a.Reason != "evacuated" || a.RetryAfterMs <= 0 || r.retryAfter == "" {
		t.Errorf("got %+v, and status %d with Retry-After %q", a, r.status, r.retryAfter)
	}
}

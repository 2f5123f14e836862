package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"savorywing.example/savorywing/connection/backend"
)

var update = flag.Bool("update", false, "write the golden file anew")

// raw sends bytes as they are and returns what comes back until the other side closes or is silent.
func (s *system) raw(i int, text string) string {
	c, err := net.Dial("tcp", s.callers[i])
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(patienceTest))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// TestBadInput sends what callers and backend servers should not: a clear error each, and the process goes on.
func TestBadInput(t *testing.T) {
	s := newSystem(t, 1)
	s.waitReady()
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"malformed JSON", "POST", "/v1/completions", `{"model":`, 400, "not valid JSON"},
		{"a list for an object", "POST", "/v1/completions", `[]`, 400, "not valid JSON"},
		{"no model", "POST", "/v1/completions", `{"prompt":"p"}`, 400, "the field model is missing"},
		{"unknown model", "POST", "/v1/completions", `{"model":"gone","prompt":"p"}`, 404, `there is no model \"gone\"`},
		{"no prompt", "POST", "/v1/completions", `{"model":"ledger"}`, 400, "the field prompt is missing"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"ledger","messages":[]}`, 400, "the field messages is missing"},
		{"no tokens", "POST", "/v1/completions", `{"model":"ledger","prompt":"p","max_tokens":0}`, 400, "max_tokens must be at least 1"},
		{"wrong method", "GET", "/v1/completions", "", 405, "use POST"},
		{"unknown path", "GET", "/nowhere", "", 404, "there is nothing at /nowhere"},
		{"a path that only begins like a service", "GET", "/bookings", "", 404, "there is nothing at /bookings"},
		{"too large", "POST", "/v1/completions", strings.Repeat("x", 2<<20), 413, "the body is larger than 1048576 bytes"},
		{"a service that nobody runs", "GET", "/booking/x", "", 503, `"notRun"`},
		{"an announcement without a name", "POST", backend.PathAnnounce, `{"kind":"engine"}`, 400, "names host, address and kind"},
		{"an announcement that is no JSON", "POST", backend.PathAnnounce, `host`, 400, "not valid JSON"},
	}
	for _, tt := range tests {
		a := s.ask(0, tt.method, tt.path, "", tt.body)
		if a.status != tt.status || !strings.Contains(a.body, tt.want) {
			t.Errorf("%s: status %d %s, want %d with %s", tt.name, a.status, a.body, tt.status, tt.want)
		}
		if tt.status != 503 && strings.Contains(tt.path, "/v1/") && !a.notRun() && tt.status != 413 {
			t.Errorf("%s: %s does not say notRun", tt.name, a.body)
		}
	}
	rawTests := []struct{ name, text, want string }{
		{"negative length", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", "HTTP/1.1 400"},
		{"no HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
		{"slow header", "POST /v1/completions HTTP/1.1\r\nHost:", "HTTP/1.1 408"},
		{"a key in a malformed request", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"},
		{"unknown key", "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n\r\n", "HTTP/1.1 401"},
	}
	for _, tt := range rawTests {
		if got := s.raw(0, tt.text); !strings.HasPrefix(got, tt.want) {
			t.Errorf("%s: got %q, want %s", tt.name, got, tt.want)
		}
	}
	if a := s.ask(0, "GET", "/healthz", "", ""); a.status != 200 {
		t.Errorf("after all this the process answers %d", a.status)
	}
	if log := s.daemons[0].text(); strings.Contains(log, testKey) || strings.Contains(log, testToken) {
		t.Error("a secret appears in the log")
	}
}

// TestGoldenSession compares a whole session with its golden file: announcement, requests, streams,
// the log's lines for them, and the stop.
func TestGoldenSession(t *testing.T) {
	s := newSystem(t, 1)
	s.engine("engine-1", true)
	s.engine("engine-2", true)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.waitGroup(0)
	s.eventually("the service is known", func() bool { return s.ask(0, "GET", "/booking/warm", "", "").status == 200 })
	s.eventually("its log line is there", func() bool { return strings.Contains(s.daemons[0].text(), `"outcome":"answered"`) })
	skip := len(s.daemons[0].text())
	var b strings.Builder
	say := func(method, path, key, body string) {
		a := s.ask(0, method, path, key, body)
		fmt.Fprintf(&b, "> %s %s key=%q\n%s\n< %d\n%s\n", method, path, key, body, a.status, a.body)
	}
	say("GET", "/v1/models", "", "")
	say("POST", "/v1/chat/completions", "", `{"model":"ledger","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	say("POST", "/v1/chat/completions", "", `{"model":"ledger","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	say("POST", "/v1/completions", "", `{"model":"ledger","max_tokens":2,"prompt":"hello"}`)
	say("POST", "/v1/completions", "", `{"model":"ledger","stream":true,"max_tokens":2,"prompt":"hello"}`)
	say("POST", "/booking/confirm", "booking-7", "slot 7")
	say("POST", "/booking/confirm", "booking-7", "slot 7")
	say("POST", "/booking/confirm", "booking-7", "slot 8")
	say("POST", "/v1/completions", "", `{"model":"nobody","prompt":"p"}`)
	s.daemons[0].signal(syscall.SIGTERM)
	code := s.daemons[0].wait()
	for _, line := range strings.Split(s.daemons[0].text()[skip:], "\n") {
		b.WriteString(logLine(line))
	}
	fmt.Fprintf(&b, "exit %d\n", code)
	got := normal(b.String())
	const golden = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// logLine returns a request's line of the log without its times.
func logLine(line string) string {
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["message"] != "request" {
		return ""
	}
	return fmt.Sprintf("log: organisation=%v class=%v lane=%v attempts=%v target=%v outcome=%v reason=%v\n", fields["organisation"],
		fields["class"], fields["lane"], fields["attempts"], fields["target"], fields["outcome"], fields["reason"])
}

var (
	numbers = regexp.MustCompile(`[0-9a-f]{32}`)
	created = regexp.MustCompile(`"created":[0-9]+`)
)

func normal(text string) string {
	return created.ReplaceAllString(numbers.ReplaceAllString(text, "NUMBER"), `"created":0`)
}

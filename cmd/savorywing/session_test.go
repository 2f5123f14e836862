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

var update = flag.Bool("update", false, "rewrite the golden file")

// sendRaw sends text unchanged over a new connection to entry host i and returns the first line of the response. The
// result is empty if the other side closes the connection or sends nothing within testTimeout.
func (s *system) sendRaw(i int, text string) string {
	c, err := net.Dial("tcp", s.callers[i])
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// TestBadInput sends invalid input of callers and backend servers. Each must get an error that says what is wrong with
// it, the process must keep running, and no secret may appear in its log.
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
		{"a path that shares only a string prefix with a service", "GET", "/bookings", "", 404, "there is nothing at /bookings"},
		{"too large", "POST", "/v1/completions", strings.Repeat("x", 2<<20), 413, "the body is larger than 1048576 bytes"},
		{"a service without servers", "GET", "/booking/x", "", 503, `"notRun"`},
		{"an announcement without a name", "POST", backend.PathAnnounce, `{"kind":"engine"}`, 400, "names host, address and kind"},
		{"an announcement that is not JSON", "POST", backend.PathAnnounce, `host`, 400, "not valid JSON"},
	}
	for _, tt := range tests {
		r := s.send(0, tt.method, tt.path, "", tt.body)
		if r.status != tt.status || !strings.Contains(r.body, tt.want) {
			t.Errorf("%s: status %d %s, want %d with %s", tt.name, r.status, r.body, tt.status, tt.want)
		}
		if tt.status != 503 && strings.Contains(tt.path, "/v1/") && !r.isNotRun() && tt.status != 413 {
			t.Errorf("%s: %s lacks the error code notRun", tt.name, r.body)
		}
	}
	rawTests := []struct{ name, text, want string }{
		{"negative length", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", "HTTP/1.1 400"},
		{"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
		{"slow header", "POST /v1/completions HTTP/1.1\r\nHost:", "HTTP/1.1 408"},
		{"a key in a malformed request", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"},
		{"unknown key", "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n\r\n", "HTTP/1.1 401"},
	}
	for _, tt := range rawTests {
		if got := s.sendRaw(0, tt.text); !strings.HasPrefix(got, tt.want) {
			t.Errorf("%s: got %q, want %s", tt.name, got, tt.want)
		}
	}
	if r := s.send(0, "GET", "/healthz", "", ""); r.status != 200 {
		t.Errorf("/healthz answers with status %d after the invalid input, want 200", r.status)
	}
	if log := s.daemons[0].logText(); strings.Contains(log, testKey) || strings.Contains(log, testToken) {
		t.Error("a secret appears in the log")
	}
}

// TestGoldenSession compares a complete session with its golden file: announcements, requests, streams, their log lines
// and the planned stop.
func TestGoldenSession(t *testing.T) {
	s := newSystem(t, 1)
	s.engine("engine-1", true)
	s.engine("engine-2", true)
	s.service("booking-1", time.Millisecond)
	s.waitReady()
	s.waitGroup(0)
	s.eventually("the service is known", func() bool { return s.send(0, "GET", "/booking/warm", "", "").status == 200 })
	s.eventually("the log line of the request is written", func() bool { return strings.Contains(s.daemons[0].logText(), `"outcome":"answered"`) })
	skip := len(s.daemons[0].logText())
	var b strings.Builder
	exchange := func(method, path, key, body string) {
		r := s.send(0, method, path, key, body)
		fmt.Fprintf(&b, "> %s %s key=%q\n%s\n< %d\n%s\n", method, path, key, body, r.status, r.body)
	}
	exchange("GET", "/v1/models", "", "")
	exchange("POST", "/v1/chat/completions", "", `{"model":"ledger","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	exchange("POST", "/v1/chat/completions", "", `{"model":"ledger","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	exchange("POST", "/v1/completions", "", `{"model":"ledger","max_tokens":2,"prompt":"hello"}`)
	exchange("POST", "/v1/completions", "", `{"model":"ledger","stream":true,"max_tokens":2,"prompt":"hello"}`)
	exchange("POST", "/booking/confirm", "booking-7", "slot 7")
	exchange("POST", "/booking/confirm", "booking-7", "slot 7")
	exchange("POST", "/booking/confirm", "booking-7", "slot 8")
	exchange("POST", "/v1/completions", "", `{"model":"nobody","prompt":"p"}`)
	s.daemons[0].signal(syscall.SIGTERM)
	code := s.daemons[0].wait()
	for _, line := range strings.Split(s.daemons[0].logText()[skip:], "\n") {
		b.WriteString(requestLogLine(line))
	}
	fmt.Fprintf(&b, "exit %d\n", code)
	got := normalise(b.String())
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

// requestLogLine returns the log line of a request without its times, or nothing for any other line.
func requestLogLine(line string) string {
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["message"] != "request" {
		return ""
	}
	return fmt.Sprintf("log: organisation=%v class=%v lane=%v attempts=%v target=%v outcome=%v reason=%v\n", fields["organisation"],
		fields["class"], fields["lane"], fields["attempts"], fields["target"], fields["outcome"], fields["reason"])
}

var (
	idPattern      = regexp.MustCompile(`[0-9a-f]{32}`)
	createdPattern = regexp.MustCompile(`"created":[0-9]+`)
)

// normalise replaces random ids and times of creation by constants.
func normalise(text string) string {
	return createdPattern.ReplaceAllString(idPattern.ReplaceAllString(text, "NUMBER"), `"created":0`)
}

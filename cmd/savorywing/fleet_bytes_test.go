package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// wireRecord holds what entry hosts have sent to backend servers, one buffer for each connection.
type wireRecord struct {
	mu    sync.Mutex
	conns []*bytes.Buffer
}

func (r *wireRecord) wrap(d savorywing.Dialer) savorywing.Dialer { return recordingDialer{d, r} }

// request returns the request with an attempt ID as it was sent, or an empty one if none was.
func (r *wireRecord) request(id string) wireRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.conns {
		rest := b.Bytes()
		for len(rest) > 0 {
			next, n := parseWireRequest(rest)
			if n == 0 {
				break
			}
			if slices.ContainsFunc(next.lines, func(line string) bool { return strings.HasSuffix(line, ": "+id) }) {
				return next
			}
			rest = rest[n:]
		}
	}
	return wireRequest{}
}

// recordingDialer records what is written on the connections that it opens.
type recordingDialer struct {
	savorywing.Dialer
	record *wireRecord
}

func (d recordingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	b := &bytes.Buffer{}
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	d.record.conns = append(d.record.conns, b)
	return recordedConn{c, b, d.record}, nil
}

type recordedConn struct {
	net.Conn
	buffer *bytes.Buffer
	record *wireRecord
}

func (c recordedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.buffer.Write(b[:n])
	return n, err
}

func (c recordedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	return s.SyscallConn()
}

// wireRequest is a request as bytes: its first line, its header lines and its body.
type wireRequest struct {
	first string
	lines []string
	body  string
}

// values returns the values of a field in their order.
func (r wireRequest) values(name string) []string {
	var values []string
	for _, line := range r.lines {
		if field, value, _ := strings.Cut(line, ":"); strings.EqualFold(strings.TrimSpace(field), name) {
			values = append(values, strings.TrimSpace(value))
		}
	}
	return values
}

// parseWireRequest splits the first request of b, whose body has a length, and returns its size.
func parseWireRequest(b []byte) (wireRequest, int) {
	head, _, found := bytes.Cut(b, []byte("\r\n\r\n"))
	if !found {
		return wireRequest{}, 0
	}
	lines := strings.Split(string(head), "\r\n")
	r := wireRequest{first: lines[0], lines: lines[1:]}
	n, length := len(head)+4, 0
	for _, v := range r.values("Content-Length") {
		if _, err := fmt.Sscan(v, &length); err != nil {
			return wireRequest{}, 0
		}
	}
	if len(b) < n+length {
		return wireRequest{}, 0
	}
	r.body = string(b[n : n+length])
	return r, n + length
}

// bytesCase is a request of a caller as bytes.
type bytesCase struct {
	name, method, target string
	// fields are header lines beside Host, those of the dialect and those of the framing.
	fields []string
	body   string
	// chunks sends the body in chunks of this size; 0 sends it with a length, and negative sends neither.
	chunks int
	// trailer is sent after the last chunk, and extension with each chunk.
	trailer, extension string
	// want are the fields of which the server gets other values than the caller has sent.
	want map[string][]string
	// timeout is how long the caller waits; 0 for 2 s.
	timeout time.Duration
}

// encode returns the request.
func (c bytesCase) encode(id string, d savorywing.EmulatorDialect) []byte {
	var h fasthttp.RequestHeader
	timeout := c.timeout
	if timeout == 0 {
		timeout = 2 * time.Second
	}
	d.WriteCallerMetadata(&h, savorywing.CallerMetadata{AttemptID: id, APIKey: fleetKey, Timeout: timeout, LastEventID: -1})
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.target, fleetHost)
	for name, value := range h.All() {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	for _, line := range c.fields {
		fmt.Fprintf(&b, "%s\r\n", line)
	}
	switch {
	case c.chunks < 0:
		b.WriteString("\r\n")
	case c.chunks == 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for chunk := range slices.Chunk([]byte(c.body), c.chunks) {
			fmt.Fprintf(&b, "%x%s\r\n%s\r\n", len(chunk), c.extension, chunk)
		}
		fmt.Fprintf(&b, "0\r\n%s\r\n", c.trailer)
	}
	return b.Bytes()
}

const formBoundary = "7c1e0b52a9"

// testForm is a form with parts of several types.
func testForm() string {
	var b strings.Builder
	for _, part := range [][2]string{
		{`Content-Disposition: form-data; name="z"`, "1"},
		{"Content-Disposition: form-data; name=\"details\"; filename=\"a.json\"\r\nContent-Type: application/json", `{"price":120}`},
		{"content-disposition: form-data; name=\"lower\"\r\nX-Own:  spaced ", ""},
		{`Content-Disposition: form-data; name="a"`, "2"},
	} {
		fmt.Fprintf(&b, "--%s\r\n%s\r\n\r\n%s\r\n", formBoundary, part[0], part[1])
	}
	fmt.Fprintf(&b, "--%s--\r\nepilogue", formBoundary)
	return b.String()
}

var bytesCases = []bytesCase{
	{name: "form with a length", method: "POST", target: "/book/look/x", fields: []string{"Content-Type: multipart/form-data; boundary=" + formBoundary}, body: testForm()},
	{name: "form in chunks", method: "POST", target: "/book/look/x", fields: []string{"Content-Type: multipart/form-data; boundary=" + formBoundary}, body: testForm(), chunks: 50},
	{name: "form that breaks off", method: "POST", target: "/book/look/x", fields: []string{"Content-Type: multipart/form-data; boundary=" + formBoundary}, body: testForm()[:90]},
	{name: "no form in spite of its type", method: "PUT", target: "/book/look/x", fields: []string{"Content-Type: multipart/form-data; boundary=" + formBoundary}, body: "{}"},
	{name: "form with a quoted boundary", method: "POST", target: "/book/look/x", fields: []string{`Content-Type: Multipart/Form-Data; charset=utf-8; boundary="` + formBoundary + `"`}, body: testForm()},
	{name: "compressed form", method: "POST", target: "/book/look/x", fields: []string{"Content-Encoding: gzip", "Content-Type: multipart/form-data; boundary=" + formBoundary}, body: "\x1f\x8b\x00\xff"},
	{name: "form of a query", method: "POST", target: "/book/look/x", fields: []string{"Content-Type: application/x-www-form-urlencoded"}, body: "b=2&a=1&a=%zz&&"},
	{name: "compressed", method: "POST", target: "/book/look/x", fields: []string{"Content-Encoding: gzip"}, body: "\x1f\x8b\x00\xff\r\n\r\n"},
	{name: "no type", method: "POST", target: "/book/look/x", body: "plain"},
	{name: "empty with a length", method: "POST", target: "/book/look/x"},
	{name: "empty in chunks", method: "POST", target: "/book/look/x", chunks: 5},
	{name: "no framing", method: "POST", target: "/book/look/x", chunks: -1},
	{name: "GET", method: "GET", target: "/book/look/x", chunks: -1},
	{name: "GET with a body", method: "GET", target: "/book/look/x", body: "query"},
	{name: "GET with a body in chunks", method: "GET", target: "/book/look/x", body: "query", chunks: 2},
	{name: "DELETE", method: "DELETE", target: "/book/look/x", chunks: -1},
	{name: "own method", method: "PURGE", target: "/book/look/x", body: "x"},
	{name: "chunk extensions", method: "POST", target: "/book/look/x", body: "chunks with extensions", chunks: 4, extension: ";a=b"},
	{name: "expects to continue", method: "POST", target: "/book/look/x", fields: []string{"Expect: 100-continue"}, body: "x", want: map[string][]string{"Expect": nil}},
	{name: "large", method: "POST", target: "/book/look/x", body: strings.Repeat("0123456789abcdef", 64<<10)},
	{name: "large in chunks", method: "POST", target: "/book/look/x", body: strings.Repeat("0123456789abcdef", 64<<10), chunks: 7777},
	{name: "double slashes", method: "GET", target: "/book/look//a///b", chunks: -1},
	{name: "dots", method: "GET", target: "/book/look/./a/../b/.", chunks: -1},
	{name: "encoded", method: "GET", target: "/book/look/%2F%2e%2E/%41?%20=+&a&a=", chunks: -1},
	{name: "empty query", method: "GET", target: "/book/look/x?", chunks: -1},
	{name: "two question marks", method: "GET", target: "/book/look/x??a=?", chunks: -1},
	{name: "fragment", method: "GET", target: "/book/look/x#part", chunks: -1},
	{name: "no ASCII", method: "GET", target: "/book/look/\xc3\xa4|{}", chunks: -1},
	{name: "absolute", method: "GET", target: "http://" + fleetHost + "/book/look/x?a=1", chunks: -1},
	{name: "own fields", method: "POST", target: "/book/look/x", fields: []string{"X-Own: a", "x-own:b", "X-OWN:  c, d ", "X_Own: e", "Empty:", "Accept: */*", "User-Agent: own/1"}, body: "x"},
	{name: "cookies", method: "POST", target: "/book/look/x", fields: []string{"Cookie: b=2; a=1", "Cookie: c", "Cookie: d=\"x y\";;"}, body: "x"},
	{name: "forwarding fields", method: "POST", target: "/book/look/x", fields: []string{"X-Forwarded-For: 10.0.0.1", "Via: 1.1 a", "Forwarded: for=b"}, body: "x"},
	{name: "fields of the connection", method: "POST", target: "/book/look/x", fields: []string{"Connection: keep-alive, X-Hop", "X-Hop: 1", "Keep-Alive: timeout=9", "TE: trailers", "Upgrade: x"}, body: "x",
		want: map[string][]string{"Connection": nil, "X-Hop": nil, "Keep-Alive": nil, "TE": nil, "Upgrade": nil}},
}

// exchangeBytes sends the bytes of a request to an entry host and returns the status of the response.
func (f *fleetEnv) exchangeBytes(entry int, b []byte) (int, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(8 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := c.Write(b); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(c)
	for {
		var resp fasthttp.Response
		if err := resp.Read(reader); err != nil {
			return 0, err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return resp.StatusCode(), nil
		}
	}
}

// TestFleetRequestBytes guards against requests that reach a server with another method, target, field or body than the caller
// has sent, at the host that received them or at another one that sends them on.
func TestFleetRequestBytes(t *testing.T) {
	record := &wireRecord{}
	f := newFleetEnv(t, 3, 2, 0, withPaths, func(f *fleetEnv) { f.wrapDialer = record.wrap })
	for entry := range f.entries {
		f.eventually("a booking", func() bool { return f.send(entry, "/book/x", "", fleetKey, nil).status == fasthttp.StatusOK })
	}
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			f.paths[0].Set(standin.CutReset)
			f.eventually("requests are forwarded", func() bool { return f.send(0, "/book/look/x", "", fleetKey, nil).status == fasthttp.StatusOK })
		}
		for _, tt := range bytesCases {
			t.Run(fmt.Sprintf("%s, forwarded %t", tt.name, forwarded), func(t *testing.T) {
				id := fmt.Sprintf("bytes-%t-%s", forwarded, strings.ReplaceAll(tt.name, " ", "-"))
				sent := tt.encode(id, f.dialect)
				status, err := f.exchangeBytes(0, sent)
				if err != nil || status != fasthttp.StatusOK {
					t.Fatalf("status %d, error %v", status, err)
				}
				checkWireRequest(t, tt, record.request(id))
			})
		}
	}
}

// checkWireRequest compares a request as a server got it with that of the caller.
func checkWireRequest(t *testing.T, sent bytesCase, got wireRequest) {
	t.Helper()
	if want := fmt.Sprintf("%s %s HTTP/1.1", sent.method, sent.target); got.first != want {
		t.Errorf("the server got %q, want %q", got.first, want)
	}
	if got.body != sent.body {
		t.Errorf("the server got a body of %d bytes, %.300q, want %d, %.300q", len(got.body), got.body, len(sent.body), sent.body)
	}
	fields := wireRequest{lines: append([]string{"Host: " + fleetHost}, sent.fields...)}
	for _, line := range fields.lines {
		name, _, _ := strings.Cut(line, ":")
		want, changed := sent.want[name]
		if !changed {
			want = fields.values(name)
		}
		if values := got.values(name); !slices.Equal(values, want) {
			t.Errorf("the server got %s with %q, want %q", name, values, want)
		}
	}
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// response is what a client got.
type response struct {
	status int
	header http.Header
	body   []byte
	after  time.Duration
	err    error
}

func (r response) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", r.after.Milliseconds(), r.err)
	}
	return fmt.Sprintf("status %d after %d ms", r.status, r.after.Milliseconds())
}

var attempts atomic.Uint64

// nextID returns the id of a new request.
func nextID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1)) }

// send sends the bytes of a request on a new connection and reads its answer.
func send(address string, raw []byte, timeout time.Duration) response {
	start := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return response{err: err, after: time.Since(start)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(timeout))
	if _, err := c.Write(raw); err != nil {
		return response{err: err, after: time.Since(start)}
	}
	return receive(bufio.NewReader(c), start)
}

func receive(reader *bufio.Reader, start time.Time) response {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{err: err, after: time.Since(start)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{status: resp.StatusCode, header: resp.Header, body: body, after: time.Since(start), err: err}
}

// rawRequest returns the bytes of a request. lines are further lines of its header.
func rawRequest(method, path, id, key string, body []byte, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Savorywing-Attempt-Id: %s\r\n", method, path, host, id)
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	standin "savorywing.example/savorywing/standin/fleet"
)

// TestFleetOldCaller guards against callers of HTTP/1.0 who get the sizes of chunks as a part of a body, or a part of a response as
// complete.
func TestFleetOldCaller(t *testing.T) {
	t.Parallel()
	f := newBrokenFleet(t)
	f.inBothWays(func(way string, entry int) {
		for _, path := range []string{"/book/x", "/book/look/x", "/talk/x"} {
			for _, a := range earlyAnswers {
				for _, whole := range []bool{true, false} {
					f.setAllFaults(standin.Faults{Answer: func(c *net.TCPConn, request standin.RequestStart) {
						readBody(c, request.Unread)
						a.write(c, request.Fields, whole)
						if !whole {
							_ = c.SetLinger(0)
						}
					}})
					name := fmt.Sprintf("%s, %s, %s, whole %t", way, path, a.name, whole)
					head, body, err := f.exchangeOld(entry, path, fmt.Sprint("old-", entry, path, a.name, whole))
					isSuccess := bytes.HasPrefix(head, []byte("HTTP/1.1 200")) || bytes.HasPrefix(head, []byte("HTTP/1.0 200"))
					if whole && (err != nil || !isSuccess || string(body) != wholeEvents) {
						t.Errorf("%s: %q, %q, error %v", name, head, body, err)
					}
					if !whole && isSuccess && err == nil {
						t.Errorf("%s: a part of the response is complete: %q, %q", name, head, body)
					}
				}
			}
		}
	})
}

// exchangeOld sends a request of HTTP/1.0 and returns the response as a client of that version reads it: to the end of the connection.
func (f *brokenFleet) exchangeOld(entry int, path, id string) (head, body []byte, err error) {
	m := savorywing.CallerMetadata{AttemptID: id, APIKey: fleetKey, Timeout: 2 * time.Second, LastEventID: -1}
	if path == "/talk/x" {
		m.Model, m.PromptTokens, m.MaxOutputTokens = smallModel, 500, 60
	}
	var h fasthttp.RequestHeader
	f.dialect.WriteCallerMetadata(&h, m)
	h.SetMethod(http.MethodPost)
	h.SetRequestURI(path)
	h.SetHost(fleetHost)
	h.SetContentLength(0)
	b := bytes.Replace(h.Header(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", f.entryIP(entry), f.port+2), time.Second)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(8 * time.Second)); err != nil {
		return nil, nil, err
	}
	if _, err := c.Write(b); err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(bufio.NewReader(c))
	head, body, _ = bytes.Cut(text, []byte("\r\n\r\n"))
	return head, body, err
}

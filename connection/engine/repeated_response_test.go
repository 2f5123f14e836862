package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/clock"
)

// repeat is when a faulty server writes an earlier refusal once more.
type repeat int

const (
	repeatNever repeat = iota
	// repeatAtOnce writes it right after the first one.
	repeatAtOnce
	// repeatBefore writes it once the next request has arrived, before the response, and repeatTwice writes it twice.
	repeatBefore
	repeatTwice
	// repeatInHeader and repeatInBody write it inside the next response.
	repeatInHeader
	repeatInBody
	// repeatAfter writes it right after the next response.
	repeatAfter
)

// repeatingServer refuses the first request. It runs all others, and repeats the refusal on the connection that carried it.
type repeatingServer struct {
	when    repeat
	refused atomic.Bool
	// runs counts the requests that were run.
	runs atomic.Int64
}

// respond returns the bytes that are sent for the next request of a connection; refusal is that sent on it before.
func (s *repeatingServer) respond(id, refusal string) (response, refused string) {
	if s.refused.CompareAndSwap(false, true) {
		first := response503(id)
		if s.when == repeatAtOnce {
			return first + first, first
		}
		return first, first
	}
	s.runs.Add(1)
	const head, field, body = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "0\r\n\r\n"
	number := numberField(id)
	switch {
	case refusal == "":
	case s.when == repeatBefore:
		return refusal + head + number + field + body, refusal
	case s.when == repeatTwice:
		return refusal + refusal + head + number + field + body, refusal
	case s.when == repeatInHeader:
		return head + refusal + number + field + body, refusal
	case s.when == repeatInBody:
		return head + number + field + refusal + body, refusal
	case s.when == repeatAfter:
		return head + number + field + body + refusal, refusal
	}
	return head + number + field + body, refusal
}

func numberField(id string) string {
	if id == "" {
		return ""
	}
	return "Number: " + id + "\r\n"
}

func response503(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + numberField(id) + "Content-Length: 4\r\n\r\nfull"
}

func (s *repeatingServer) start(t *testing.T) string {
	return serveConns(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		refusal := ""
		for {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			var response string
			response, refusal = s.respond(string(req.Header.Peek("Number")), refusal)
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	})
}

// serveConns serves each connection with a function and closes it afterwards.
func serveConns(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				serve(c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// numberedCall is a call with an attempt ID, which the header carries unless it is empty.
func numberedCall(address, id string) Call {
	c := call(address, time.Minute)
	c.AttemptID = id
	if id != "" {
		c.Header.Set("Number", id)
	}
	return c
}

// exchange sends a request and returns the status and the body of the response.
func exchange(c *Client, call Call) (int, string, error) {
	response, err := c.Do(context.Background(), call)
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return response.Header.StatusCode(), string(body), err
}

// TestRepeatedRefusal guards against requests that count as refused, though they were run, since a server repeats the refusal
// of an earlier request on the same connection.
func TestRepeatedRefusal(t *testing.T) {
	ids := []struct{ name, first, second string }{
		{"another ID", "a", "b"},
		{"the same ID", "a", "a"},
		{"no ID", "", ""},
		{"no ID after one", "a", ""},
		{"an ID after none", "", "b"},
	}
	times := []struct {
		name string
		when repeat
		// lost reports whether the response to the second request may be unreadable.
		lost bool
	}{
		{"never", repeatNever, false},
		{"at once", repeatAtOnce, false},
		{"before the response", repeatBefore, false},
		{"twice before the response", repeatTwice, false},
		{"in the header", repeatInHeader, true},
		{"in the body", repeatInBody, true},
		{"after the response", repeatAfter, false},
	}
	for _, id := range ids {
		for _, tt := range times {
			t.Run(fmt.Sprintf("%s, %s", id.name, tt.name), func(t *testing.T) {
				s := &repeatingServer{when: tt.when}
				address := s.start(t)
				c := New(clock.Boottime{}, echoDialect{})
				if status, _, err := exchange(c, numberedCall(address, id.first)); err != nil || status != fasthttp.StatusServiceUnavailable {
					t.Fatalf("the first request: status %d, error %v", status, err)
				}
				time.Sleep(20 * time.Millisecond)
				for n := int64(1); n <= 2; n++ {
					status, body, err := exchange(c, numberedCall(address, id.second))
					served := status == fasthttp.StatusOK && err == nil && body == "hello"
					if !served && (!tt.lost || err == nil) {
						t.Errorf("request %d: status %d, body %q, error %v, %d runs", n+1, status, body, err, s.runs.Load())
					}
					if errors.Is(err, ErrNotSent) || s.runs.Load() != n {
						t.Errorf("request %d: %d runs, error %v", n+1, s.runs.Load(), err)
					}
				}
			})
		}
	}
}

// TestRefusalBeforeRequest guards against taking what a server writes on a new connection, before it has received anything,
// for the response to the request.
func TestRefusalBeforeRequest(t *testing.T) {
	for _, tt := range []struct{ name, text, id string }{
		{"a refusal without an ID", response503(""), ""},
		{"a refusal with the ID", response503("a"), "a"},
		{"the end of the connection", "", "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			address := serveConns(t, func(c net.Conn) {
				if _, err := io.WriteString(c, tt.text); err != nil || tt.text == "" {
					return
				}
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) == nil {
					requests.Add(1)
				}
			})
			call := numberedCall(address, tt.id)
			call.Confirm = func() bool {
				time.Sleep(20 * time.Millisecond)
				return true
			}
			status, _, err := exchange(New(clock.Boottime{}, echoDialect{}), call)
			time.Sleep(20 * time.Millisecond)
			if !errors.Is(err, ErrNotSent) || requests.Load() > 0 {
				t.Errorf("status %d, error %v, %d requests arrived; want ErrNotSent and none", status, err, requests.Load())
			}
		})
	}
}

// TestInformationalResponses guards against informational responses that are taken for the response to the request.
func TestInformationalResponses(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"100", "HTTP/1.1 100 Continue\r\n\r\n", fasthttp.StatusOK},
		{"102", "HTTP/1.1 102 Processing\r\n\r\n", fasthttp.StatusOK},
		{"103", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", fasthttp.StatusOK},
		{"103 with the attempt ID", "HTTP/1.1 103 Early Hints\r\nNumber: n1\r\n\r\n", fasthttp.StatusOK},
		{"a repeated 100", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2), fasthttp.StatusOK},
		{"101, which no request asks for", "HTTP/1.1 101 Switching Protocols\r\nNumber: n1\r\n\r\n", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address, requests := serveScript(t, tt.text+complete, complete)
			c := New(clock.Boottime{}, echoDialect{})
			status, _, err := exchange(c, call(address, time.Minute))
			if status != tt.want || (err != nil) != (tt.want == 0) || errors.Is(err, ErrNotSent) {
				t.Errorf("status %d, error %v, want %d", status, err, tt.want)
			}
			if requests.Load() != 1 {
				t.Errorf("%d requests arrived, want 1", requests.Load())
			}
		})
	}
}

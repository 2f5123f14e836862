package ingress

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/clock"
)

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestUnreadableRequestNotLogged guards against callers' keys in the log, which errors of the parser quote.
func TestUnreadableRequestNotLogged(t *testing.T) {
	const key = "secret-key"
	tests := []struct{ name, request string }{
		{"a header line without a colon", "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization Bearer " + key + "\r\n\r\n"},
		{"an invalid length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + key + "\r\n\r\n"},
		{"no method", "/" + key + "\r\nHost: h\r\n\r\n"},
		{"an unknown protocol", "GET /a " + key + "\r\nHost: h\r\n\r\n"},
		{"an invalid chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + key + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log syncBuffer
			limits := func() Limits {
				return Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			}
			s := New(clock.Boottime{}, handlerFunc(echo), limits, zerolog.New(&log))
			if err := s.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			c, r := dial(t, s.listeners[0].Addr().String())
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := resp.Read(r); err != nil || resp.StatusCode() != fasthttp.StatusBadRequest {
				t.Errorf("status %d, error %v, want 400", resp.StatusCode(), err)
			}
			_ = c.Close()
			s.Close()
			if got := log.String(); strings.Contains(got, key) || !strings.Contains(got, "requestUnreadable") {
				t.Errorf("the log has the caller's key, or no line: %s", got)
			}
		})
	}
}

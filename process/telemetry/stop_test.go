package telemetry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
)

// TestStopDoesNotWaitForScrapers guards against a daemon that doesn't end since a scraper has sent half a request.
func TestStopDoesNotWaitForScrapers(t *testing.T) {
	tests := []struct{ name, request string }{
		{"nothing sent", ""},
		{"half a header", "GET /metrics HTTP/1.1\r\nHo"},
		{"a connection that is kept", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := l.Addr().String()
			_ = l.Close()
			telemetry := New(clock.System{}, zerolog.Nop())
			if err := telemetry.Start(address); err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				telemetry.Stop()
				close(stopped)
			}()
			select {
			case <-stopped:
			case <-time.After(3 * time.Second):
				t.Error("the stop didn't end within 3 s")
			}
		})
	}
}

package ingress

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"savorywing.example/savorywing"
)

// TestEndCause checks that a handler can tell whether its caller disconnected or the server closed the connection.
func TestEndCause(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *Server, c io.Closer)
		want error
	}{
		{"the caller disconnects", func(_ *Server, c io.Closer) { _ = c.Close() }, ErrCallerGone},
		{"the server closes", func(s *Server, _ io.Closer) { go s.Close() }, ErrServerClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, cause := make(chan struct{}), make(chan error, 1)
			s, address := serve(t, func(ctx context.Context, _ savorywing.Exchange) {
				close(started)
				<-ctx.Done()
				cause <- context.Cause(ctx)
			})
			c, _ := dial(t, address)
			if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-started
			tt.end(s, c)
			select {
			case got := <-cause:
				if !errors.Is(got, tt.want) {
					t.Errorf("got cause %v, want %v", got, tt.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("the request's context was not cancelled")
			}
		})
	}
}

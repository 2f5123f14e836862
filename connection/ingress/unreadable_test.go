package ingress

import (
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestUnreadableRequestAnswered checks that a caller gets a response for a request that can't be read, also while it is still
// sending it.
func TestUnreadableRequestAnswered(t *testing.T) {
	tests := []struct {
		name, request string
		want          int
	}{
		{"half a header", "POST /a HTTP/1.1\r\nHo", fasthttp.StatusRequestTimeout},
		{"half a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nhi", fasthttp.StatusRequestTimeout},
		{"nothing after Expect: 100-continue", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 20\r\n\r\n", fasthttp.StatusContinue},
		{"a body above the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 4000000), fasthttp.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, echo)
			c, r := dial(t, address)
			go func() {
				// The server may close the connection before it has read everything.
				_, _ = io.WriteString(c, tt.request)
			}()
			var resp fasthttp.Response
			if err := resp.Header.Read(r); err != nil || resp.StatusCode() != tt.want {
				t.Fatalf("status %d, error %v, want %d", resp.StatusCode(), err, tt.want)
			}
			if tt.want != fasthttp.StatusContinue {
				return
			}
			if err := resp.Header.Read(r); err != nil || resp.StatusCode() != fasthttp.StatusRequestTimeout {
				t.Errorf("after 100: status %d, error %v, want 408", resp.StatusCode(), err)
			}
		})
	}
}

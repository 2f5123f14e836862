package ingress

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

// TestContinueAfterIdleTime checks that a request with "Expect: 100-continue" is served although the time limit of the
// connection's last write is over.
func TestContinueAfterIdleTime(t *testing.T) {
	_, address := serve(t, func(ctx context.Context, x savorywing.Exchange) {
		echo(ctx, x)
		if err := x.(*Exchange).conn.conn.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Error(err)
		}
	})
	c, r := dial(t, address)
	if _, err := io.WriteString(c, firstRequest); err != nil {
		t.Fatal(err)
	}
	if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v, want 200", status, err)
	}
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var h fasthttp.ResponseHeader
	if err := h.Read(r); err != nil || h.StatusCode() != fasthttp.StatusContinue {
		t.Fatalf("status %d, error %v, want 100", h.StatusCode(), err)
	}
	if _, err := io.WriteString(c, "hi"); err != nil {
		t.Fatal(err)
	}
	if status, err := readResponse(c, r); err != nil || status != fasthttp.StatusOK {
		t.Errorf("status %d, error %v, want 200", status, err)
	}
}

package controlapi

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/wire"
)

// TestClientMovesOn checks after which responses an order is given to the next control host, and which end the call.
func TestClientMovesOn(t *testing.T) {
	for _, tt := range []struct {
		status int
		final  bool
	}{
		{fasthttp.StatusServiceUnavailable, false}, {fasthttp.StatusRequestTimeout, false}, {fasthttp.StatusTooManyRequests, false},
		{fasthttp.StatusBadRequest, true}, {fasthttp.StatusNotFound, true},
	} {
		serve := func(status int) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }}
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = s.Shutdown() })
			return l.Addr().String()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := NewClient(platform.Dialect{}, []string{serve(tt.status), serve(fasthttp.StatusOK)}).Evacuate(ctx, wire.Evacuate{DataCentre: "a", On: true})
		cancel()
		if errors.Is(err, ErrRefused) != tt.final || (!tt.final && err != nil) {
			t.Errorf("status %d: got %v", tt.status, err)
		}
	}
}

package controlapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/clock"
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

// waitingHandler holds orders up until their context ends.
type waitingHandler struct {
	Handler
	begun, ended chan struct{}
}

func (h waitingHandler) Evacuate(ctx context.Context, _ wire.Evacuate) error {
	close(h.begun)
	<-ctx.Done()
	close(h.ended)
	return ctx.Err()
}

// TestOrderEndsWithItsCaller guards against an order that takes effect after its operator has given it to another host, and perhaps a later
// one after that.
func TestOrderEndsWithItsCaller(t *testing.T) {
	h := waitingHandler{begun: make(chan struct{}), ended: make(chan struct{})}
	address := freeAddress(t)
	s := New(clock.Boottime{}, platform.Dialect{}, h, zerolog.Nop())
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var req fasthttp.Request
	platform.Dialect{}.WriteEvacuation(&req.Header, wire.Evacuate{DataCentre: "a", On: true})
	req.SetHost("h")
	if _, err := req.WriteTo(c); err != nil {
		t.Fatal(err)
	}
	<-h.begun
	_ = c.Close()
	<-h.ended
}

// TestStatusThatIsNone guards against an order that counts as acknowledged by a response whose status is none.
func TestStatusThatIsNone(t *testing.T) {
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
			var req fasthttp.Request
			if req.Read(bufio.NewReader(c)) == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
			}
			_ = c.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if err := NewClient(platform.Dialect{}, []string{l.Addr().String()}).Evacuate(ctx, wire.Evacuate{DataCentre: "a", On: true}); err == nil {
		t.Error("an order was acknowledged with status 000")
	}
}

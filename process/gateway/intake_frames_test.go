package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/version/catalogue"
	"savorywing.example/savorywing/version/instance"
	"savorywing.example/savorywing/wire"
)

// newTaker returns a host with a memory of 8 MB that takes requests of others, and a client of it.
func newTaker(t *testing.T) (*Gateway, func(bytes int) (*forward.Session, error)) {
	t.Helper()
	s := &instance.Settings{Role: "entry", IP: "127.0.0.1", PeerPorts: []int{0}, CPUShare: 1, MemoryMB: 8, MaxDescriptors: 400}
	s.Defaults()
	g, err := New(s, platform.Dialect{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	doc, err := catalogue.New(catalogue.Document{Limits: catalogue.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}})
	if err != nil {
		t.Fatal(err)
	}
	g.catalogue.Store(doc)
	g.subscription.version, g.subscription.confirmedAt = 7, g.clock.Now()
	address := serveForwards(t, func(c *forward.Conn) { g.serveForwarded(context.Background(), c) }, forward.WithMaxFrame(forward.MaxQuestion))
	client := forwardClient(g)
	return g, func(bytes int) (*forward.Session, error) {
		s, err := client.Offer(context.Background(), address, 5*time.Second, wire.ForwardOffer{Host: "h", Version: 7, Bytes: bytes})
		if err == nil {
			t.Cleanup(s.Close)
		}
		return s, err
	}
}

// forwardedPost returns a request with a body of a size.
func forwardedPost(size int) wire.ForwardedRequest {
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodPost)
	h.SetRequestURI("/x")
	h.SetHost("x.example")
	h.SetContentLength(size)
	return wire.ForwardedRequest{Header: h.Header(), Body: make([]byte, size)}
}

// TestFramesOfOthersBounded guards against another host that makes this one hold more than what it has room for: by offers, and by
// frames that are larger than their offers state.
func TestFramesOfOthersBounded(t *testing.T) {
	t.Run("offers", func(t *testing.T) {
		g, offer := newTaker(t)
		var refused forward.RefusedError
		if _, err := offer(g.limits().MaxBodyBytes + g.limits().MaxHeaderBytes + 1); !errors.As(err, &refused) || refused.Reason != refusedTooLarge {
			t.Errorf("an offer over the limits: %v", err)
		}
		taken := 0
		for range 5 {
			switch _, err := offer(256 << 10); {
			case err == nil:
				taken++
			case !errors.As(err, &refused) || refused.Reason != refusedBusy:
				t.Errorf("an offer for which there is no room: %v", err)
			}
		}
		if taken != 1 {
			t.Errorf("%d of 5 large offers taken, there is room for one", taken)
		}
		if u := g.memory.Usage(); u.Bytes > u.Limits.Bytes/2 {
			t.Errorf("%d bytes of %d are held for offers", u.Bytes, u.Limits.Bytes)
		}
	})
	for _, tt := range []struct {
		name         string
		stated, sent int
		want         string
	}{
		{"as stated", 200 << 10, 200 << 10, ""},
		{"more than stated", 10, 200 << 10, refusedTooLarge},
		{"far more than stated", 10, 2 << 20, refusedTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, offer := newTaker(t)
			s, err := offer(tt.stated)
			if err != nil {
				t.Fatal(err)
			}
			// Sending fails if the frame isn't read to its end.
			_ = s.Send(forwardedPost(tt.sent))
			part, err := s.Next(5 * time.Second)
			if err != nil || part.Declined != tt.want {
				t.Errorf("declined with %q, error %v, want %q", part.Declined, err, tt.want)
			}
			s.Close()
			if u := g.memory.Usage(); u.Limits.Bytes == 0 || u.Bytes > u.Limits.Bytes {
				t.Errorf("%+v", u)
			}
		})
	}
}

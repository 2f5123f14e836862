package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/wire"
)

// serveHost serves each connection as the n-th of a host, and returns a client, the host's address and the number of
// connections.
func serveHost(t *testing.T, serve func(n int64, c *Conn)) (*Client, string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns atomic.Int64
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		u := websocket.FastHTTPUpgrader{}
		if err := u.Upgrade(ctx, func(ws *websocket.Conn) {
			c := NewConn(ws)
			serve(conns.Add(1), c)
			_ = c.Close()
		}); err != nil {
			t.Error(err)
		}
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	client := NewClient(clock.Boottime{}, func(ctx context.Context, address string) (*Conn, error) {
		ws, resp, err := websocket.DefaultDialer.DialContext(ctx, "ws://"+address+Path, nil)
		if err != nil {
			return nil, err
		}
		_ = resp.Body.Close()
		return NewConn(ws), nil
	})
	return client, l.Addr().String(), &conns
}

var (
	acceptance = wire.Frame{ForwardReply: &wire.ForwardReply{}}
	lastPart   = wire.Frame{ForwardedPart: &wire.ForwardedPart{Body: []byte("done"), End: true}}
	workPart   = wire.Frame{ForwardedPart: &wire.ForwardedPart{}}
)

// serveRequests accepts offers and answers requests until the connection ends, n of them at most. It returns the number of
// requests that it received.
func serveRequests(c *Conn, n int) int {
	received := 0
	for received < n {
		f, err := c.Receive(time.Second)
		if err != nil {
			return received
		}
		reply := acceptance
		if f.ForwardedRequest != nil {
			reply = lastPart
			received++
		}
		if c.Send(reply) != nil {
			return received
		}
	}
	return received
}

// handOver offers a request, sends it and reads its response.
func handOver(c *Client, address string) error {
	s, err := c.Offer(context.Background(), address, time.Second, wire.ForwardOffer{Host: "h", Bytes: 10})
	if err != nil {
		return err
	}
	if err := s.Send(wire.ForwardedRequest{Header: []byte("x")}); err != nil {
		return err
	}
	part, err := s.Next(time.Second)
	if err != nil {
		return err
	}
	if !part.End || string(part.Body) != "done" {
		return errors.New("an unexpected part")
	}
	s.Release()
	return nil
}

// TestKeptSessionEnds guards against requests that are lost since a kept connection ends, or carries what was left of an
// earlier request, when the next one begins.
func TestKeptSessionEnds(t *testing.T) {
	const pause = 20 * time.Millisecond
	for _, tt := range []struct {
		name string
		// end follows the first request on the first connection.
		end   func(c *Conn)
		conns int64
	}{
		{"kept", func(c *Conn) { serveRequests(c, 1) }, 1},
		{"closed while idle", func(*Conn) {}, 2},
		{"closed after the offer", func(c *Conn) { _, _ = c.Receive(time.Second) }, 2},
		{"a part comes late", func(c *Conn) { _ = c.Send(workPart); serveRequests(c, 1) }, 2},
		{"the last part comes again", func(c *Conn) { _ = c.Send(lastPart); serveRequests(c, 1) }, 2},
		{"an earlier request is declined", func(c *Conn) {
			_ = c.Send(wire.Frame{ForwardedPart: &wire.ForwardedPart{Declined: "cutOff", End: true}})
			serveRequests(c, 1)
		}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client, address, conns := serveHost(t, func(n int64, c *Conn) {
				serveRequests(c, 1)
				if n == 1 {
					tt.end(c)
				}
			})
			for n := range 2 {
				if err := handOver(client, address); err != nil {
					t.Errorf("request %d: %v", n+1, err)
				}
				time.Sleep(pause)
			}
			if conns.Load() != tt.conns {
				t.Errorf("%d connections, want %d", conns.Load(), tt.conns)
			}
		})
	}
}

// TestSendFailsOnlyIfNotReceived guards against requests that are said not to have reached a host that has received them: the
// host ends the connection at some moment after it has accepted an offer.
func TestSendFailsOnlyIfNotReceived(t *testing.T) {
	const requests = 400
	var received atomic.Int64
	client, address, _ := serveHost(t, func(_ int64, c *Conn) {
		if _, err := c.Receive(time.Second); err != nil || c.Send(acceptance) != nil {
			return
		}
		// The connection is closed on return.
		if f, err := c.Receive(1 + rand.N(2*time.Millisecond)); err == nil && f.ForwardedRequest != nil {
			received.Add(1)
		}
	})
	failed, lost := int64(0), int64(0)
	for n := range requests {
		s, err := client.Offer(context.Background(), address, time.Second, wire.ForwardOffer{Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(rand.N(2 * time.Millisecond))
		before := received.Load()
		err = s.Send(wire.ForwardedRequest{Body: []byte(strings.Repeat("x", (n%8)<<17))})
		if err == nil {
			if _, err := s.Next(time.Second); err == nil {
				t.Error("a response of a host that has closed the connection")
			}
			lost++
		}
		s.Close()
		if err != nil {
			failed++
			time.Sleep(5 * time.Millisecond)
			if received.Load() > before {
				t.Errorf("request %d: %v, and it was received", n, err)
			}
		}
	}
	t.Logf("%d of %d not received for certain, %d lost, %d received", failed, requests, lost, received.Load())
	if failed == 0 || lost == 0 {
		t.Error("one of the two cases didn't occur")
	}
}

// TestCloseIdleDuringOffers guards against connections that are ended as idle while a request on them begins.
func TestCloseIdleDuringOffers(t *testing.T) {
	client, address, conns := serveHost(t, func(_ int64, c *Conn) { serveRequests(c, 1<<30) })
	stop := make(chan struct{})
	var closer, callers sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				client.CloseIdle()
			}
		}
	})
	for range 4 {
		callers.Go(func() {
			for n := range 200 {
				if err := handOver(client, address); err != nil {
					t.Errorf("request %d: %v", n, err)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	closer.Wait()
	t.Logf("%d connections for 800 requests", conns.Load())
}

package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing/connection/forward"
	"savorywing.example/savorywing/wire"
)

// serveForwards serves the connections of other entry hosts with a function, and returns the address.
func serveForwards(t *testing.T, serve func(c *forward.Conn), opts ...forward.Option) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		u := websocket.FastHTTPUpgrader{}
		if err := u.Upgrade(ctx, func(ws *websocket.Conn) {
			c := forward.NewConn(ws, opts...)
			serve(c)
			_ = c.Close()
		}); err != nil {
			t.Error(err)
		}
	}}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// forwardClient returns a host's client of others.
func forwardClient(g *Gateway) *forward.Client {
	return forward.NewClient(g.clock, func(ctx context.Context, address string) (*forward.Conn, error) {
		ws, resp, err := websocket.DefaultDialer.DialContext(ctx, "ws://"+address+forward.Path, nil)
		if err != nil {
			return nil, err
		}
		_ = resp.Body.Close()
		return forward.NewConn(ws), nil
	})
}

// offerTo returns a session with a host that has accepted an offer, and that serves what follows with a function.
func offerTo(t *testing.T, g *Gateway, serve func(c *forward.Conn)) *forward.Session {
	t.Helper()
	address := serveForwards(t, func(c *forward.Conn) {
		if _, err := c.Receive(time.Second); err == nil && c.Send(wire.Frame{ForwardReply: &wire.ForwardReply{}}) == nil {
			serve(c)
		}
	})
	session, err := forwardClient(g).Offer(context.Background(), address, time.Second, wire.ForwardOffer{Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(session.Close)
	return session
}

// TestForwardedParts guards against bytes that another host hands back and that don't belong to the caller's stream.
func TestForwardedParts(t *testing.T) {
	head := func(status int, contentType string) []byte {
		h := &fasthttp.ResponseHeader{}
		h.SetStatusCode(status)
		h.SetContentType(contentType)
		h.SetContentLength(-1)
		return append([]byte{}, h.Header()...)
	}
	const busy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\nbusy\n"
	stream := head(fasthttp.StatusOK, "text/event-stream")
	begun := wire.ForwardedPart{Header: stream, Length: -1, Body: []byte(eventRange(0, 1))}
	part := func(text string) wire.ForwardedPart { return wire.ForwardedPart{Body: []byte(text)} }
	end := wire.ForwardedPart{End: true}
	for _, tt := range []struct {
		name string
		// resumed reports whether the caller has the first two events from another host.
		resumed bool
		parts   []wire.ForwardedPart
		want    string
		err     error
	}{
		{"a stream", false, []wire.ForwardedPart{begun, part(eventRange(2, 3)), {}, end}, eventRange(0, 3), nil},
		{"resumed", true, []wire.ForwardedPart{part(eventRange(2, 3)), end}, eventRange(0, 3), nil},
		{"resumed, no event is left", true, []wire.ForwardedPart{end}, eventRange(0, 1), nil},
		{"resumed, a header", true, []wire.ForwardedPart{begun, end}, eventRange(0, 1), errForwardLost},
		{"resumed, an error", true, []wire.ForwardedPart{{Header: head(503, "text/plain"), Length: 4, Body: []byte("busy"), End: true}}, eventRange(0, 1), errForwardLost},
		{"resumed, declined", true, []wire.ForwardedPart{{Declined: "cutOff", End: true}}, eventRange(0, 1), errDeclined},
		{"a header again", false, []wire.ForwardedPart{begun, begun, end}, eventRange(0, 1), errForwardLost},
		{"the text of an error", false, []wire.ForwardedPart{begun, part(busy), end}, eventRange(0, 1), errForwardLost},
		{"the text of an error at the end", false, []wire.ForwardedPart{begun, {Body: []byte(busy), End: true}}, eventRange(0, 1), errForwardLost},
		{"the text of an error with the header", false, []wire.ForwardedPart{{Header: stream, Length: -1, Body: []byte(busy)}, end}, "", errForwardLost},
		{"a missing event", false, []wire.ForwardedPart{begun, part(eventRange(3, 3)), end}, eventRange(0, 1), errForwardLost},
		{"events again", false, []wire.ForwardedPart{begun, part(eventRange(1, 2)), end}, eventRange(0, 1), errForwardLost},
		{"resumed, from the beginning", true, []wire.ForwardedPart{part(eventRange(0, 3)), end}, eventRange(0, 1), errForwardLost},
		{"a part of an event", false, []wire.ForwardedPart{begun, part("id: 2\ndata"), end}, eventRange(0, 1), errForwardLost},
		{"ended", false, []wire.ForwardedPart{begun}, eventRange(0, 1), errForwardLost},
		{"ended before the response", false, nil, "", errForwardLost},
		{"another content", false, []wire.ForwardedPart{{Header: head(200, "application/json"), Length: 2, Body: []byte("{}"), End: true}}, "{}", nil},
		{"a failure", false, []wire.ForwardedPart{{Header: head(500, "text/plain"), Length: 4, Body: []byte("fail"), End: true}}, "fail", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			s := offerTo(t, g, func(c *forward.Conn) {
				if f, err := c.Receive(time.Second); err != nil || f.ForwardedRequest == nil || f.ForwardedRequest.Resumed != tt.resumed {
					t.Errorf("got %+v, error %v", f, err)
				}
				for _, p := range tt.parts {
					if err := c.Send(wire.Frame{ForwardedPart: &p}); err != nil {
						t.Error(err)
					}
				}
			})
			x := &recordedExchange{arrival: g.clock.Now()}
			r := g.newRequest(x)
			r.route = &streamingRoute
			if tt.resumed {
				x.started, x.remaining, r.lastEventID = true, -1, 1
				x.body.WriteString(eventRange(0, 1))
			}
			_, err := r.exchangeForwarded(s)
			if !errors.Is(err, tt.err) || (err != nil) != (tt.err != nil) || x.body.String() != tt.want || x.complete != (tt.err == nil) {
				t.Errorf("error %v, complete %v, body %q, want %v, %q", err, x.complete, x.body.String(), tt.err, tt.want)
			}
		})
	}
}

// TestLateRequestDeclined guards against requests that count as lost, though they have never run, since they reach another
// host too late after it has accepted them, as from a host that was suspended, or as it stops.
func TestLateRequestDeclined(t *testing.T) {
	for _, tt := range []struct {
		name string
		wait time.Duration
		ends bool
		want error
	}{
		{"in time", 0, false, nil},
		{"too late", requestTimeout + 200*time.Millisecond, false, errDeclined},
		{"the host ends what is left", 50 * time.Millisecond, true, errDeclined},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			taker := newTestGateway(t)
			served := make(chan struct{})
			s := offerTo(t, taker, func(c *forward.Conn) {
				defer close(served)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				frames := make(chan wire.Frame)
				go func() {
					if f, err := c.Receive(0); err == nil {
						select {
						case frames <- f:
						case <-ctx.Done():
						}
					}
				}()
				if tt.ends {
					time.AfterFunc(tt.wait/2, cancel)
				}
				// offerTo has accepted the offer.
				if err := taker.awaitRequest(ctx, c, wire.ForwardOffer{}, taker.memory.Announce(1), frames); err != nil && !errors.Is(err, errNoRequest) {
					t.Errorf("awaiting the request: %v", err)
				}
			})
			time.Sleep(tt.wait)
			x := &recordedExchange{arrival: taker.clock.Now()}
			x.request.Header.SetRequestURI("/x")
			x.request.Header.SetHost("x.example")
			r := newTestGateway(t).newRequest(x)
			if _, err := r.exchangeForwarded(s); !errors.Is(err, tt.want) || (err != nil) != (tt.want != nil) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			<-served
		})
	}
}

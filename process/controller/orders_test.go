package controller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/descriptors"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/queue"
)

// TestRepeatedOrderReply guards against orders whose outcome is that of an earlier order, since a server repeats its reply on
// the same connection.
func TestRepeatedOrderReply(t *testing.T) {
	const accepted, conflict = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	replies := make(chan string, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r, sent := bufio.NewReader(conn), ""
				for {
					var req fasthttp.Request
					if req.Read(r) != nil {
						_ = conn.Close()
						return
					}
					reply := <-replies
					if _, err := io.WriteString(conn, sent+reply); err != nil {
						t.Error(err)
					}
					sent = reply
				}
			}()
		}
	}()
	c := &Controller{clock: clock.Boottime{}, log: zerolog.Nop(), dialect: platform.Dialect{}, engines: engine.New(clock.Boottime{}, platform.Dialect{}), ctx: context.Background()}
	for _, tt := range []struct {
		reply string
		want  savorywing.OrderOutcome
	}{{conflict, savorywing.OutcomeConflict}, {accepted, savorywing.OutcomeAccepted}} {
		replies <- tt.reply
		if got, _ := c.sendOrder(savorywing.FleetOrder{Action: savorywing.ActionJoin, Server: "i-1", Address: l.Addr().String(), Group: "g"}); got != tt.want {
			t.Errorf("got %v, want %v", got, tt.want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOrdersAreBounded plans orders to many silent servers at once: no more are in flight than the budget allows, and a newer
// order to a server replaces the one that waits.
func TestOrdersAreBounded(t *testing.T) {
	const maxOrders, servers = 3, 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	bodies := make(chan string, 2*servers)
	var mu sync.Mutex
	inFlight, most := 0, 0
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				mu.Lock()
				inFlight++
				most = max(most, inFlight)
				mu.Unlock()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) == nil {
					bodies <- string(req.Body())
				}
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				inFlight--
				mu.Unlock()
				_, _ = io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		clock: clock.Boottime{}, log: zerolog.Nop(), dialect: platform.Dialect{}, engines: engine.New(clock.Boottime{}, platform.Dialect{}),
		ctx: ctx, urgent: queue.New[event](64), orders: queue.NewMailbox[string, queuedOrder](64), table: fleet.NewTable(),
		budget: descriptors.Budget{MaxOrders: maxOrders}, mayOrder: func(term uint64) bool { return term == 7 },
	}
	order := func(server int, term, epoch uint64) savorywing.FleetOrder {
		return savorywing.FleetOrder{Action: savorywing.ActionLeave, Server: fmt.Sprint("i-", server), Address: l.Addr().String(), Group: "g", Epoch: epoch, FencingToken: term}
	}
	for i := range servers {
		c.submitOrder(order(i, 7, 1))
		c.submitOrder(order(i, 7, 2))
	}
	c.submitOrder(order(servers, 6, 1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sendOrders()
	}()
	for range servers {
		if e, ok := (<-c.urgent.Out()).(outcomeEvent); !ok || e.outcome != savorywing.OutcomeAccepted || e.order.Epoch != 2 {
			t.Errorf("got %+v", e)
		}
	}
	cancel()
	<-done
	mu.Lock()
	defer mu.Unlock()
	if len(bodies) != servers || most > maxOrders || most < 2 {
		t.Errorf("%d orders, at most %d at once; want %d, at most %d at once", len(bodies), most, servers, maxOrders)
	}
}

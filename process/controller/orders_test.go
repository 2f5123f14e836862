package controller

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/engine"
	"savorywing.example/savorywing/platform"
	"savorywing.example/savorywing/process/clock"
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

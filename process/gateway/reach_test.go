package gateway

import (
	"fmt"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"savorywing.example/savorywing/process/placement"
	"savorywing.example/savorywing/wire"
)

// serveAnswer accepts connections and sends a text on each, after its first bytes have been read.
func serveAnswer(t *testing.T, text string) string {
	t.Helper()
	return serveAnswers(t, text, math.MaxInt64, new(atomic.Int64))
}

// serveAnswers is serveAnswer for the first n connections. It closes all later ones, and counts the queries.
func serveAnswers(t *testing.T, text string, n int64, queries *atomic.Int64) string {
	t.Helper()
	return startServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		b := make([]byte, 1024)
		if _, err := c.Read(b); err != nil || queries.Add(1) > n || text == "CLOSE" {
			return
		}
		_, _ = c.Write([]byte(text))
		_, _ = c.Read(b)
	})
}

// TestOnlyAnswersCount guards against servers that count as reached because something accepts connections at their addresses.
func TestOnlyAnswersCount(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\n{}"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"answered", "HTTP/1.1 200 OK\r\n" + end, []string{"s"}},
		{"answered by a server that knows no such query", "HTTP/1.1 404 Not Found\r\n" + end, []string{"s"}},
		{"accepted and silent", "", []string{}},
		{"accepted and closed", "CLOSE", []string{}},
		{"half an answer", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", []string{}},
		{"an error of a gateway", "HTTP/1.1 502 Bad Gateway\r\n" + end, []string{}},
		{"no answer in the protocol", "garbage\r\n\r\n", []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			address := serveAnswer(t, tt.text)
			g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Address: address, Handle: 1}}, nil)
			q := wire.ReachQuery{Servers: []wire.ServerAddress{{ID: "s", Address: address}, {ID: "t", Address: address}}}
			if got := g.answerReach(q); got.Reason != "" || !slices.Equal(got.Reached, tt.want) {
				t.Errorf("%+v, want %v", got, tt.want)
			}
		})
	}
}

// TestPathsLostWhileAsked guards against a server that counts as ended because a host that lost all its paths while it asked
// had reached the other servers before.
func TestPathsLostWhileAsked(t *testing.T) {
	tests := []struct {
		name string
		// answers is the number of status queries that each reference server answers, ended whether the server asked for has.
		answers int64
		ended   bool
		want    []string
		queries int64
	}{
		{"paths lost meanwhile", 1, true, []string{}, 2},
		{"server ended", 10, true, []string{"i-0", "i-1"}, 2},
		{"all reached", 10, false, []string{"ended", "i-0", "i-1"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			text := answer
			if tt.ended {
				text = "CLOSE"
			}
			q := wire.ReachQuery{Servers: []wire.ServerAddress{{ID: "ended", Address: serveAnswer(t, text)}}}
			queries := make([]atomic.Int64, 2)
			for i := range queries {
				q.Servers = append(q.Servers, wire.ServerAddress{ID: fmt.Sprint("i-", i), Address: serveAnswers(t, answer, tt.answers, &queries[i])})
			}
			var list []wire.Endpoint
			for i, s := range q.Servers {
				list = append(list, wire.Endpoint{ID: s.ID, Address: s.Address, Handle: uint64(1 + i)})
			}
			g.balancer.UpdateEndpoints(true, list, nil)
			got := g.answerReach(q)
			slices.Sort(got.Reached)
			if got.Reason != "" || !slices.Equal(got.Reached, tt.want) {
				t.Errorf("%+v, want %v", got, tt.want)
			}
			for i := range queries {
				if n := queries[i].Load(); n != tt.queries {
					t.Errorf("%d queries to i-%d, want %d", n, i, tt.queries)
				}
			}
		})
	}
}

// TestReachFromAnswers checks that servers that have just answered aren't asked, and what bounds that.
func TestReachFromAnswers(t *testing.T) {
	const address = "127.0.0.1:1"
	recent := queryTimeout / 2
	tests := []struct {
		name     string
		ago      time.Duration
		withinMs int64
		refused  bool
		reached  bool
	}{
		{"just answered", recent, queryTimeout.Milliseconds(), false, true},
		{"answered on an open connection, to a host whose new ones are refused", recent, queryTimeout.Milliseconds(), true, false},
		{"an older daemon asks", recent, 0, false, false},
		{"answered long ago", 2 * queryTimeout, queryTimeout.Milliseconds(), false, false},
		{"answered long ago, and a larger number", 2 * queryTimeout, math.MaxInt64, false, false},
		{"a negative number", recent, math.MinInt64, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.balancer.UpdateEndpoints(true, []wire.Endpoint{{ID: "s", Address: address, Handle: 1}}, nil)
			g.answers.Record(g.clock.Now().Add(-tt.ago), "s")
			q := wire.ReachQuery{Servers: []wire.ServerAddress{{ID: "s", Address: address, Refused: tt.refused}}, WithinMs: tt.withinMs}
			reached, open := g.evidence(q)
			if got := len(reached) == 1; got != tt.reached || got == (len(open) == 1) {
				t.Errorf("reached %v, to be asked %v, want reached: %v", reached, open, tt.reached)
			}
		})
	}
}

// TestRefusedOrSilent checks what a host tells others of a server that hasn't answered it.
func TestRefusedOrSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	// The port of a connection refuses others, and no listener can get it meanwhile.
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	closed := conn.LocalAddr().String()
	tests := []struct {
		name, address string
		want          bool
	}{
		{"refused", closed, true},
		{"closed", serveAnswer(t, "CLOSE"), true},
		{"silent", serveAnswer(t, ""), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			missed := newTestGateway(t).askServers([]placement.Target{{ID: "s", Address: tt.address}}, func() {})
			if len(missed) != 1 || missed[0].Refused != tt.want {
				t.Errorf("%+v, want one server, refused: %v", missed, tt.want)
			}
		})
	}
}

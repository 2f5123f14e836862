package engine

import (
	"fmt"
	"net"
	"testing"
	"time"

	"savorywing.example/savorywing/process/clock"
)

// TestPooledConnections guards against hosts that together keep more idle connections to a server than it accepts.
func TestPooledConnections(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		maxPooled, opened, want int
	}{
		{"no bound", 0, 4, 4},
		{"no bound, many", 0, 2 * maxIdlePerAddress, maxIdlePerAddress},
		{"fewer than the bound", 8, 4, 4},
		{"more than the bound", 3, 8, 3},
		{"a bound beyond the default", 100, 2 * maxIdlePerAddress, maxIdlePerAddress},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(clock.System{})
			for range tt.opened {
				conn, peer := net.Pipe()
				t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
				p.put(&link{conn: conn, address: "a", maxPooled: tt.maxPooled}, time.Minute)
			}
			if got := len(p.idle["a"]); got != tt.want {
				t.Errorf("%d idle connections, want %d", got, tt.want)
			}
		})
	}
}

// TestPooledConnectionsOfAll guards against a host whose idle connections to many servers take the descriptors of its callers.
func TestPooledConnectionsOfAll(t *testing.T) {
	const maxIdle = 5
	p := newPool(clock.System{})
	p.maxIdle = maxIdle
	put := func(address string) {
		conn, peer := net.Pipe()
		t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
		p.put(&link{conn: conn, address: address}, time.Minute)
	}
	count := func() int {
		n := 0
		for _, list := range p.idle {
			n += len(list)
		}
		return n
	}
	for i := range 3 * maxIdle {
		put(fmt.Sprint(i % 4))
	}
	if n := count(); n != maxIdle || p.size != n {
		t.Errorf("%d idle connections, %d counted, want %d", n, p.size, maxIdle)
	}
	p.pop("0", "")
	p.closeIdle("1")
	if n := count(); p.size != n {
		t.Errorf("%d idle connections, %d counted", n, p.size)
	}
	p.closeAllIdle()
	if put("0"); p.size != 1 || count() != 1 {
		t.Errorf("%d idle connections, %d counted, want 1", count(), p.size)
	}
}

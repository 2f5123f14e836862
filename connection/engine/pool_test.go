package engine

import (
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

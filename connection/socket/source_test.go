package socket

import (
	"net"
	"testing"
)

type peerConn struct {
	net.Conn
	address net.Addr
}

func (c peerConn) RemoteAddr() net.Addr { return c.address }

// TestSource checks which peers count as one.
func TestSource(t *testing.T) {
	for _, tt := range []struct{ address, want string }{
		{"192.0.2.1", "192.0.2.1"},
		{"::ffff:192.0.2.1", "192.0.2.1"},
		{"2001:db8:1:2:3::4", "2001:db8:1:2::"},
		{"2001:db8:1:2:5::6", "2001:db8:1:2::"},
		{"fe80::1%lo", "fe80::"},
	} {
		a, err := net.ResolveTCPAddr("tcp", net.JoinHostPort(tt.address, "80"))
		if err != nil {
			t.Fatal(err)
		}
		if got := Source(peerConn{address: a}).String(); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.address, got, tt.want)
		}
	}
	if got := Source(peerConn{address: &net.UnixAddr{}}); got.IsValid() {
		t.Errorf("got %s without an address", got)
	}
}

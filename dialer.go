package savorywing

import (
	"context"
	"net"
)

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

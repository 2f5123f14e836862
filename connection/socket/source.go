package socket

import (
	"net"
	"net/netip"
)

// sourcePrefix is the length of the prefix of IPv6 addresses that is taken for one source, since a caller may use all addresses of it.
const sourcePrefix = 64

// Source returns the address that stands for all connections of a connection's peer; the zero value if it has none.
func Source(c net.Conn) netip.Addr {
	tcp, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	ip := tcp.AddrPort().Addr().Unmap().WithZone("")
	if ip.Is6() {
		return netip.PrefixFrom(ip, sourcePrefix).Masked().Addr()
	}
	return ip
}

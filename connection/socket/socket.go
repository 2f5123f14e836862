// Package socket sets options of TCP sockets that the standard library doesn't know.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for dialers and listeners that ends a connection whose peer
// acknowledges nothing for d. Connections inherit it from their listener.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

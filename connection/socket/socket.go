// Package socket sets options of TCP sockets for which the standard library has no setting.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for dialers and listeners that sets TCP_USER_TIMEOUT: the kernel closes a
// connection whose peer leaves sent data unacknowledged for d. Accepted connections inherit it from their listener.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

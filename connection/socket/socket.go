// Package socket sets options of TCP sockets for which the standard library has no setting.
package socket

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control sets options of a socket before it listens or dials. Accepted connections inherit them from their listener.
type Control func(network, address string, raw syscall.RawConn) error

// Controls returns a Control that sets the options of several.
func Controls(controls ...Control) Control {
	return func(network, address string, raw syscall.RawConn) error {
		for _, c := range controls {
			if err := c(network, address, raw); err != nil {
				return err
			}
		}
		return nil
	}
}

// UserTimeout sets TCP_USER_TIMEOUT: the kernel closes a connection whose peer leaves sent data unacknowledged for d.
func UserTimeout(d time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		return setOptions(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// Buffers sets the sizes of the receive buffer and the send buffer, in bytes; 0 for the system's. The kernel lets them grow to
// megabytes otherwise, and holds up to twice the size. It must be set before the handshake, in which the first window is offered.
func Buffers(size int) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		if size <= 0 {
			return nil
		}
		return setOptions(raw, func(fd int) error {
			if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
				return err
			}
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		})
	}
}

// RaiseReceiveBuffer raises the receive buffer of an open connection, with the window that its peer is offered.
func RaiseReceiveBuffer(c net.Conn, size int) error {
	return control(c, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size); err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.SOL_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

// RaiseSendBuffer raises the send buffer of an open connection.
func RaiseSendBuffer(c net.Conn, size int) error {
	return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size) })
}

func setOptions(raw syscall.RawConn, set func(fd int) error) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = set(int(fd)) }); err != nil {
		return err
	}
	return optionErr
}

// pieceBytes is the size of the pieces of WritePieces.
const pieceBytes = 16 << 10

// WritePieces writes b in pieces and returns how much was written. The segments of a long write wait for delayed acknowledgements
// where only few of them fit into the send buffer.
func WritePieces(w io.Writer, b []byte) (int, error) {
	written := 0
	for {
		n, err := w.Write(b[written:min(len(b), written+pieceBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Input is what a connection has received that has not been read.
type Input int

// Inputs of a connection.
const (
	// InputNone means that nothing has been received.
	InputNone Input = iota
	// InputBytes means that bytes have been received.
	InputBytes
	// InputEnd means that the peer has closed the connection.
	InputEnd
)

// Peek returns what a connection has received, without waiting and whatever its deadlines. The error is that of a connection
// that has failed, such as by a reset.
func Peek(c net.Conn) (Input, error) {
	input := InputNone
	err := control(c, func(fd int) error {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return nil
		case err != nil:
			return err
		case n > 0:
			input = InputBytes
		default:
			input = InputEnd
		}
		return nil
	})
	return input, err
}

// stateCloseWait is the state of a connection that the peer has closed, and this side hasn't (TCP_CLOSE_WAIT).
const stateCloseWait = 8

// IsClosedByPeer reports whether the peer has closed its side of an open connection in order, and nothing has reset it since.
func IsClosedByPeer(c net.Conn) (bool, error) {
	closed := false
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO)
		if err == nil {
			closed = info.State == stateCloseWait
		}
		return err
	})
	return closed, err
}

// control calls f with the file descriptor of a socket, whatever its deadlines.
func control(socket any, f func(fd int) error) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.New("socket.control: no file descriptor")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

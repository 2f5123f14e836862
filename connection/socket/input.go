package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasInput reports whether a connection has received bytes that have not been read.
func HasInput(c net.Conn) (bool, error) {
	has := false
	err := control(c, func(fd int) error {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		has = n > 0
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		return err
	})
	return has, err
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

package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// dropNewHandshakes is a socket filter that drops segments with SYN and without ACK. The offset is that of the flags in the
// TCP header, at which the segment begins.
var dropNewHandshakes = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: 0x12},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: 0x02},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffff},
}

// RefuseHandshakes makes a listener accept no new handshakes, while those that have begun are completed. Closing the listener
// would reset the connections that are not accepted yet.
func RefuseHandshakes(l net.Listener) error {
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropNewHandshakes)), Filter: &dropNewHandshakes[0]})
	})
}

// SetBacklog bounds the connections that wait to be accepted. What each of them has sent is held for this process.
func SetBacklog(l net.Listener, n int) error {
	return control(l, func(fd int) error { return unix.Listen(fd, n) })
}

// HasConnection reports whether a listener has a connection to accept.
func HasConnection(l net.Listener) (bool, error) {
	has := false
	err := control(l, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		has = n > 0
		return err
	})
	return has, err
}

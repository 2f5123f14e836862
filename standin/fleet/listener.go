package fleet

import (
	"io"
	"net"
	"time"
)

// faultyListener accepts connections of which a server may stop reading, or on which it answers at once.
type faultyListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, server: l.server}, nil
}

type faultyConn struct {
	net.Conn
	server *Server
	// read is the number of bytes that were read.
	read int
}

// unreadPollInterval is how often a connection that isn't read looks whether the server's faults have changed.
const unreadPollInterval = 10 * time.Millisecond

// Read implements net.Conn. It waits while the server's faults allow no more bytes.
func (c *faultyConn) Read(p []byte) (int, error) {
	for !c.mayRead() {
		time.Sleep(unreadPollInterval)
	}
	n, err := c.Conn.Read(p)
	c.read += n
	if c.answer(p[:n]) {
		return 0, io.EOF
	}
	return n, err
}

func (c *faultyConn) mayRead() bool {
	c.server.fleet.mu.Lock()
	defer c.server.fleet.mu.Unlock()
	most := c.server.faults.ReadAtMost
	return most <= 0 || c.read < most || c.server.dead
}

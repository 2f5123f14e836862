package backend

import (
	"errors"
	"io"
	"net"
)

// StrictConn is a connection whose close is never taken for the end of a response. fasthttp takes a close
// between two chunks for the end of the body.
type StrictConn struct {
	net.Conn
}

// Read returns io.ErrUnexpectedEOF in place of io.EOF when the connection was closed.
func (s StrictConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

package backend

import (
	"errors"
	"io"
	"net"
)

// StrictConn is a connection whose end is never taken for the end of an answer: the HTTP library reads the
// end of a connection between two chunks as the end of the body.
type StrictConn struct {
	net.Conn
}

// Read returns io.ErrUnexpectedEOF where the connection ends.
func (s StrictConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

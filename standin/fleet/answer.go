package fleet

import (
	"bufio"
	"bytes"
	"net"

	"github.com/valyala/fasthttp"
)

// Answer writes a server's answer to a request of which the header has been read. The connection is closed when it returns.
type Answer func(c *net.TCPConn, r RequestStart)

// RequestStart is what a server knows of a request of which the header has been read.
type RequestStart struct {
	// Fields are the header fields that sign an answer to it, each with its CRLF.
	Fields []byte
	// Unread is how many bytes of its body haven't been read.
	Unread int
}

// answer lets the answer of the server's faults take over the connection if input begins a request, and reports whether it did.
func (c *faultyConn) answer(input []byte) bool {
	s := c.server
	s.fleet.mu.Lock()
	write := s.faults.Answer
	s.fleet.mu.Unlock()
	if write == nil {
		return false
	}
	conn, ok := c.Conn.(*net.TCPConn)
	var h fasthttp.RequestHeader
	r := bufio.NewReaderSize(bytes.NewReader(input), len(input))
	if err := h.Read(r); !ok || err != nil {
		return false
	}
	attemptID := string(h.Peek(attemptIDHeader(s.dialect())))
	if attemptID == "" || s.dialect().IsStatusQuery(&h) || s.dialect().IsOrder(&h) {
		return false
	}
	s.fleet.mu.Lock()
	s.fleet.runCounts[attemptID]++
	s.fleet.mu.Unlock()
	var signed fasthttp.ResponseHeader
	signed.SetNoDefaultContentType(true)
	s.dialect().SignResponse(&signed, attemptID, signaturePrefix+s.id)
	if s.Engine {
		signed.SetContentType("text/event-stream")
	}
	write(conn, RequestStart{Fields: bytes.TrimSuffix(headerFields(&signed), []byte("\r\n")), Unread: max(0, h.ContentLength()-r.Buffered())})
	return true
}

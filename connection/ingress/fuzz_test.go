package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/clock"
)

// FuzzReadRequest checks that any bytes are rejected, or read as a request within the limits.
func FuzzReadRequest(f *testing.F) {
	const maxHeaderBytes, maxBodyBytes = 6000, 100
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		server, client := net.Pipe()
		defer func() { _ = server.Close() }()
		go func() {
			defer func() { _ = client.Close() }()
			go func() { _, _ = io.Copy(io.Discard, client) }()
			_, _ = client.Write(b)
		}()
		limits := Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: time.Second}
		s := New(clock.System{}, handlerFunc(echo), func() Limits { return limits }, zerolog.Nop())
		c := newConn(s, server, s.handler, s.memory)
		x := &Exchange{conn: c, server: s}
		if err := c.readRequest(x, limits); err != nil {
			return
		}
		if n := len(x.request.Header.RawHeaders()); n > maxHeaderBytes {
			t.Errorf("accepted a header of %d bytes", n)
		}
		if n := len(x.request.Body()); n > maxBodyBytes {
			t.Errorf("accepted a body of %d bytes", n)
		}
	})
}

package operator

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestStatusThatIsNone checks that no response with a status that is none is taken for a success.
func TestStatusThatIsNone(t *testing.T) {
	for line, ok := range map[string]bool{"HTTP/1.1 200 OK": true, "HTTP/1.1 000 OK": false, "HTTP/1.1 600 OK": false, "HTTP/9.9 200 OK": false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) == nil {
					_, _ = io.WriteString(c, line+"\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
				}
				_ = c.Close()
			}
		}()
		var v struct{}
		if err := NewClient(l.Addr().String(), "token").Get(PathStatus, &v); (err == nil) != ok {
			t.Errorf("%s: error %v", line, err)
		}
		_ = l.Close()
	}
}

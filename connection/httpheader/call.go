package httpheader

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Call sends a request on a connection of its own and returns the response, of which the body has at most maxBodyBytes. It takes
// dialTimeout at most to connect, and timeout in all. Informational responses aren't expected.
func Call(address string, req *fasthttp.Request, dialTimeout, timeout time.Duration, maxBodyBytes int) (*fasthttp.Response, error) {
	req.Header.SetConnectionClose()
	deadline := time.Now().Add(timeout)
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := req.WriteTo(conn); err != nil {
		return nil, err
	}
	resp, r := &fasthttp.Response{}, bufio.NewReader(conn)
	if err := ReadResponse(&resp.Header, r); err != nil {
		return nil, err
	}
	if resp.StatusCode() < fasthttp.StatusOK {
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode())
	}
	if err := resp.ReadBody(r, maxBodyBytes); err != nil {
		return nil, err
	}
	return resp, nil
}

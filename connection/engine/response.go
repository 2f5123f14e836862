package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
)

const maxDiscard = 1 << 20

// Response is the answer to one request; Read yields its body as it arrives.
type Response struct {
	Header   fasthttp.ResponseHeader
	Metadata savorywing.ResponseMetadata

	client *Client
	link   *link
	stop   func() bool
	// wrote gets the outcome of writing a long body; nil if all was written before.
	wrote  <-chan error
	body   io.Reader
	length int
	read   int
	// whole tells that the body was read to its stated end.
	whole  bool
	closed bool
}

// lengthUnknown and lengthToEnd are fasthttp's marks for chunked bodies and for those that end with the connection.
const (
	lengthChunked = -1
	lengthToEnd   = -2
)

func (a *Response) begin(noBody bool) {
	status := a.Header.StatusCode()
	a.length = a.Header.ContentLength()
	switch {
	case noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || a.length == 0:
		a.length, a.whole = 0, true
	case a.length == lengthChunked:
		a.body = httputil.NewChunkedReader(a.link.reader)
	case a.length > 0:
		a.body = io.LimitReader(a.link.reader, int64(a.length))
	default:
		a.length = lengthToEnd
		a.body = a.link.reader
	}
}

// Length returns the stated length of the body in bytes; negative if none is stated.
func (a *Response) Length() int { return a.length }

// Complete tells whether the body was read to its end.
func (a *Response) Complete() bool { return a.whole }

// SetReadDeadline bounds the wait for the next bytes, by the machine's clock.
func (a *Response) SetReadDeadline(t time.Time) error { return a.link.conn.SetReadDeadline(t) }

// Read returns the next bytes of the body; io.EOF only at its stated end. A body without a stated length
// ends whole only if the connection was closed in order.
func (a *Response) Read(p []byte) (int, error) {
	if a.whole {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	a.read += n
	switch {
	case err == nil && a.length > 0 && a.read == a.length:
		a.whole = true
	case errors.Is(err, io.EOF):
		if a.length > 0 && a.read < a.length {
			return n, fmt.Errorf("Response.Read: %w", ErrTruncated)
		}
		a.endChunks()
		a.whole = true
		if n > 0 {
			return n, nil
		}
	case err != nil:
		return n, fmt.Errorf("Response.Read: %w: %w", ErrTruncated, err)
	}
	return n, err
}

// endChunks takes the empty line behind the last chunk, so that the connection can be used again.
func (a *Response) endChunks() {
	if a.length != lengthChunked {
		return
	}
	line, err := a.link.reader.ReadSlice('\n')
	if err != nil || len(line) > len("\r\n") {
		a.length = lengthToEnd // trailers or a break: the connection is not used again
	}
}

// discard reads a foreign answer to its end and tells whether the connection can go on.
func (a *Response) discard() bool {
	if a.length == lengthToEnd || a.length > maxDiscard {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a, maxDiscard))
	return err == nil && n < maxDiscard && a.whole
}

// Close keeps the connection for another request if the answer was read whole, and ends it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	alive := a.stop == nil || a.stop()
	if !alive || !a.whole || a.length == lengthToEnd || a.Header.ConnectionClose() || !a.isWritten() {
		_ = a.link.conn.Close()
		return
	}
	a.client.pool.put(a.link, a.Metadata.IdleTimeout)
}

// isWritten tells whether the request's body is out.
func (a *Response) isWritten() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}

// CloseIdle closes the idle connections to an address, whose server has failed.
func (c *Client) CloseIdle(address string) { c.pool.drop(address) }

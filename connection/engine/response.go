package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
)

// maxDiscardBytes is the largest body of another request's response that is read to keep the connection.
const maxDiscardBytes = 1 << 20

// Response is the response to one request. Read returns its body as it arrives.
type Response struct {
	Header   fasthttp.ResponseHeader
	Metadata savorywing.ResponseMetadata

	client    *Client
	link      *link
	attemptID string
	// stop detaches the connection from the context of the request, and reports whether the context had not
	// been cancelled yet.
	stop func() bool
	// upload is the writing of a long body; nil if the body was written before the header was read.
	upload  *upload
	body    io.Reader
	framing Framing
	// length is the stated length of the body; negative if none is stated.
	length    int
	bytesRead int
	// complete reports whether the body was read to its end, as Read defines it.
	complete bool
	// failed is the error of the body, which is returned again.
	failed error
	// hasRemainder reports whether bytes of the response may follow its last chunk.
	hasRemainder bool
	// closes reports whether the server closes the connection after the response.
	closes bool
	closed bool
}

// Framing is how a response states the end of its body.
type Framing string

// Framings of responses.
const (
	// FramingLength is a stated length, which is 0 for responses that have no body.
	FramingLength Framing = "length"
	// FramingChunked is chunked transfer encoding, whose last chunk ends the body.
	FramingChunked Framing = "chunked"
	// FramingUntilClose is the end of the connection. Nothing distinguishes it from the end of a server that has
	// failed, unless the connection is reset.
	FramingUntilClose Framing = "untilClose"
)

// contentLengthChunked is what fasthttp returns as the content length of chunked bodies.
const contentLengthChunked = -1

func (r *Response) initBody(noBody bool) {
	status := r.Header.StatusCode()
	r.framing, r.length = FramingLength, r.Header.ContentLength()
	switch {
	case noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || r.length == 0:
		r.length, r.complete = 0, true
	case r.length == contentLengthChunked:
		r.framing, r.body = FramingChunked, httputil.NewChunkedReader(r.link.reader)
	case r.length > 0:
		r.body = io.LimitReader(r.link.reader, int64(r.length))
	default:
		r.framing, r.body = FramingUntilClose, r.link.reader
	}
}

// Framing returns how the end of the body is stated.
func (r *Response) Framing() Framing { return r.framing }

// Length returns the stated length of the body in bytes, or a negative number if none is stated.
func (r *Response) Length() int { return r.length }

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }

// SetReadDeadline sets the deadline for reading the next bytes. It is a time on the system clock (time.Now), not on
// the Client's Clock.
func (r *Response) SetReadDeadline(t time.Time) error { return r.link.conn.SetReadDeadline(t) }

// Read returns the next bytes of the body, and io.EOF at its end: after the stated length, after the last chunk, or,
// if the header states neither, when the connection is closed without an error. Any other end is an error that wraps
// ErrTruncated.
func (r *Response) Read(p []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	if r.failed != nil {
		return 0, r.failed
	}
	n, err := r.body.Read(p)
	r.bytesRead += n
	isEnd := errors.Is(err, io.EOF)
	switch {
	case err == nil && r.length > 0 && r.bytesRead == r.length:
		r.complete = true
		return n, nil
	case isEnd && r.length > 0 && r.bytesRead < r.length:
		err = ErrTruncated
	case isEnd:
		if err = r.checkClose(); err == nil {
			r.endChunks()
			r.complete = true
			if n > 0 {
				return n, nil
			}
			return 0, io.EOF
		}
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if err != nil {
		r.failed = fmt.Errorf("Response.Read: %w", err)
		r.client.report(r.link.address, r.attemptID, err)
	}
	return n, r.failed
}

// resetTimeout is how long the rest of the request's body may take to meet a reset after the peer has closed its side.
const resetTimeout = 100 * time.Millisecond

// checkClose returns an error unless the peer has closed the connection in order, where its end is that of the body. A reset is
// reported only once: if the goroutine that writes the body of the request gets it, the next read returns io.EOF.
func (r *Response) checkClose() error {
	if r.framing != FramingUntilClose {
		return nil
	}
	if r.upload != nil {
		if err := r.link.conn.SetWriteDeadline(time.Now().Add(resetTimeout)); err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		<-r.upload.done
	}
	closed, err := socket.IsClosedByPeer(r.link.conn)
	if err == nil && !closed {
		err = errReset
	}
	if err != nil {
		return fmt.Errorf("%w: %w", err, ErrTruncated)
	}
	return nil
}

// endChunks reads the empty line after the last chunk, so that the connection can be reused. It isn't reused after
// trailers or an error.
func (r *Response) endChunks() {
	if r.framing != FramingChunked {
		return
	}
	line, err := r.link.reader.ReadSlice('\n')
	r.hasRemainder = err != nil || len(line) > len("\r\n")
}

// discard reads another request's response to its end and reports whether the connection can be used further.
func (r *Response) discard() bool {
	if r.framing == FramingUntilClose || r.length > maxDiscardBytes {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes && r.complete && !r.hasRemainder
}

const (
	// maxDrainBytes and drainTimeout bound how much of a body that nobody needs is read to keep the connection.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
)

// Drain reads what is left of a body that nobody needs, so that the connection can be reused. Close closes the connection
// if the body doesn't end soon.
func (r *Response) Drain() error {
	if r.framing == FramingUntilClose && !r.complete {
		return nil
	}
	if err := r.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return fmt.Errorf("Response.Drain: %w", err)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDrainBytes)); err != nil {
		return fmt.Errorf("Response.Drain: %w", err)
	}
	return nil
}

// Close returns the connection to the pool if the response was read to its end, and closes it otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	alive := r.stop == nil || r.stop()
	if !alive || !r.complete || r.hasRemainder || r.link.isLast || r.framing == FramingUntilClose || r.closes || !r.isWritten() {
		_ = r.link.conn.Close()
		return
	}
	r.client.pool.put(r.link, r.Metadata.IdleTimeout)
}

// isWritten reports whether the body of the request was written without an error.
func (r *Response) isWritten() bool {
	if r.upload == nil {
		return true
	}
	select {
	case <-r.upload.done:
		return r.upload.err == nil
	default:
		return false
	}
}

// CloseIdle closes the pooled idle connections to an address. It is called when the server there has failed.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }

// CloseAllIdle closes all pooled idle connections.
func (c *Client) CloseAllIdle() { c.pool.closeAllIdle() }

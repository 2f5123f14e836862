package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"

	"github.com/valyala/fasthttp"
)

const (
	// yieldBytes is how much is read of one connection before others may run.
	yieldBytes = 16 << 10
	// headerCopies is how often a header that has a buffer of its own is held: there and by the parser.
	headerCopies = 2
)

// yieldingReader lets other goroutines run each time that it has read yieldBytes. The reads of a body that arrives as fast as it is read
// never wait, and so would keep small requests waiting, above all on one core.
type yieldingReader struct {
	net.Conn
	read int
}

// Read implements io.Reader.
func (r *yieldingReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if r.read += n; r.read >= yieldBytes {
		r.read = 0
		runtime.Gosched()
	}
	return n, err
}

func (c *conn) readRequest(x *Exchange, limits Limits) error {
	if err := c.readHeader(x, limits); err != nil {
		return err
	}
	if x.request.MayContinue() {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if n := x.request.Header.ContentLength(); n == 0 || n < contentLengthChunked {
		return x.request.ContinueReadBody(c.reader, limits.MaxBodyBytes, false)
	}
	// A body is read as it is, whatever its type: a form would be taken apart and written anew.
	r := bodyReader{reader: c.reader, max: limits.MaxBodyBytes, grow: c.growBody, growCalm: c.growBodyCalm, shrink: c.shrinkBody, raise: c.raiseReceiveBuffer}
	body, err := r.read(&x.request.Header)
	if err != nil {
		return err
	}
	x.request.SetBodyRaw(body)
	return nil
}

// contentLengthChunked is what fasthttp returns as the content length of chunked bodies.
const contentLengthChunked = -1

// readHeader reads a header of at most MaxHeaderBytes, or readBufferBytes if there is no limit. The parser leaves one that
// doesn't fit into the buffer unread.
func (c *conn) readHeader(x *Exchange, limits Limits) error {
	limit := min(limits.MaxHeaderBytes, maxHeaderBytes)
	if limit <= 0 {
		limit = readBufferBytes
	}
	err := x.request.Header.Read(c.reader)
	var smallBuffer *fasthttp.ErrSmallBuffer
	if errors.As(err, &smallBuffer) && limit > c.reader.Size() {
		if err := c.growBuffer(limit); err != nil {
			return err
		}
		err = x.request.Header.Read(c.reader)
	}
	if errors.As(err, &smallBuffer) || len(x.request.Header.RawHeaders()) > limit {
		return errHeaderTooLarge
	}
	if err != nil {
		return err
	}
	return c.checkFields(&x.request.Header)
}

var (
	// errHeaderTooLarge replaces the parser's error, which quotes the header and so the caller's key.
	errHeaderTooLarge = errors.New("the request header exceeds the limit")
	// errFieldName is the error of a field's name with a space, by which servers may know another field.
	errFieldName  = errors.New("a header field has a space in its name")
	contentLength = []byte(fasthttp.HeaderContentLength)
)

// checkFields checks what the parser doesn't. A request with both a length and chunks, which others may read by its
// length, is the last one on its connection (RFC 9112, section 6.1).
func (c *conn) checkFields(h *fasthttp.RequestHeader) error {
	isChunked := h.ContentLength() < 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte("\n")) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		if isField && bytes.ContainsAny(name, " \t") {
			return errFieldName
		}
		if isChunked && bytes.EqualFold(name, contentLength) {
			c.closeAfter = true
		}
	}
	return nil
}

// growBuffer replaces the reader by one with a larger buffer. What the old one holds is read first. Most callers' headers
// fit into the small buffer that a connection begins with.
func (c *conn) growBuffer(size int) error {
	if err := c.memory.grow(c, headerCopies*size, c.receiveBy); err != nil {
		return err
	}
	b, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(b), c.input), size)
	return nil
}

package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/valyala/fasthttp"
)

const (
	// firstBodyBytes is the largest buffer for a body before any of it has arrived, and minBodyBytes the smallest one of a body
	// in chunks.
	firstBodyBytes = 16 << 10
	minBodyBytes   = 512
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
)

// errChunk means that a body in chunks is malformed.
var errChunk = errors.New("a chunk of the body is malformed")

// bodyReader reads one request's body into a buffer that grows with the bytes that arrive.
type bodyReader struct {
	reader *bufio.Reader
	// max is the largest body, or 0 for no bound.
	max int
	// grow asks for more bytes before they are allocated, and shrink gives them back. growCalm is grow for bytes that haven't
	// arrived yet, and reports whether there is room for those.
	grow     func(n int) error
	growCalm func(n int) bool
	shrink   func(n int)
	// raise is called before n bytes are received at once.
	raise func(n int)
	b     []byte
}

// read returns the body of a request whose header has been read. Trailers are added to the header.
func (r *bodyReader) read(h *fasthttp.RequestHeader) ([]byte, error) {
	if length := h.ContentLength(); length >= 0 {
		err := r.append(length, true)
		return r.b, err
	}
	for {
		size, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if size == 0 {
			err := r.readTrailer(h)
			return r.b, err
		}
		if err := r.append(size, false); err != nil {
			return nil, err
		}
		if err := r.readLineEnd(); err != nil {
			return nil, err
		}
	}
}

// append reads n bytes, which are the last ones of the body or not.
func (r *bodyReader) append(n int, isLast bool) error {
	if r.max > 0 && n > r.max-len(r.b) {
		return fasthttp.ErrBodyTooLarge
	}
	for n > 0 {
		if len(r.b) == cap(r.b) {
			if err := r.extend(n, isLast); err != nil {
				return err
			}
		}
		free := r.b[len(r.b):min(cap(r.b), len(r.b)+n)]
		read, err := r.reader.Read(free)
		r.b, n = r.b[:len(r.b)+read], n-read
		if err != nil && n > 0 {
			return unexpectedEnd(err)
		}
	}
	return nil
}

// extend makes the buffer larger, of which n bytes more are known to come.
func (r *bodyReader) extend(n int, isLast bool) error {
	size := max(2*cap(r.b), min(n, firstBodyBytes), minBodyBytes)
	whole := len(r.b) + n
	if isLast && r.growCalm(whole) {
		size = whole
	} else {
		if isLast {
			size = min(size, whole)
		}
		if err := r.grow(size); err != nil {
			return err
		}
	}
	r.raise(size)
	b := make([]byte, len(r.b), size)
	copy(b, r.b)
	r.shrink(cap(r.b))
	r.b = b
	return nil
}

// readChunkSize reads the line with the size of a chunk. Its extensions are skipped.
func (r *bodyReader) readChunkSize() (int, error) {
	size, digits := 0, 0
	for {
		c, err := r.reader.ReadByte()
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		d, isDigit := hexDigit(c)
		if !isDigit {
			if digits == 0 {
				return 0, fmt.Errorf("%w: no size", errChunk)
			}
			return size, r.skipExtensions(c)
		}
		if digits++; digits > maxSizeDigits {
			return 0, fmt.Errorf("%w: its size has too many digits", errChunk)
		}
		size = size<<4 | d
	}
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

// skipExtensions reads to the end of the line after a chunk's size; c is the first byte after it. Spaces may only come
// before the end of the line, and a line feed only as the end: others may read such a line as two.
func (r *bodyReader) skipExtensions(c byte) error {
	isExtension, isSpace := false, false
	for c != '\r' {
		switch {
		case c == '\n':
			return fmt.Errorf("%w: a line feed in the line with its size", errChunk)
		case isExtension:
		case c == ' ' || c == '\t':
			isSpace = true
		case c == ';' && !isSpace:
			isExtension = true
		default:
			return fmt.Errorf("%w: an unexpected byte after its size", errChunk)
		}
		var err error
		if c, err = r.reader.ReadByte(); err != nil {
			return unexpectedEnd(err)
		}
	}
	return r.expect('\n')
}

func (r *bodyReader) readLineEnd() error {
	if err := r.expect('\r'); err != nil {
		return err
	}
	return r.expect('\n')
}

func (r *bodyReader) expect(want byte) error {
	c, err := r.reader.ReadByte()
	if err != nil {
		return unexpectedEnd(err)
	}
	if c != want {
		return fmt.Errorf("%w: no end of the line", errChunk)
	}
	return nil
}

func (r *bodyReader) readTrailer(h *fasthttp.RequestHeader) error {
	if len(r.b) == 0 {
		h.SetContentLength(0)
	}
	err := h.ReadTrailer(r.reader)
	if errors.Is(err, fasthttp.ErrTimeout) {
		return os.ErrDeadlineExceeded
	}
	return unexpectedEnd(err)
}

// unexpectedEnd returns the error of a read inside a request, after which the end of the connection is unexpected.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

package httpheader

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
)

// ErrStatusLine means that bytes that should be a response don't begin like one. Whether the request has run isn't known.
var ErrStatusLine = NewRefusal("statusLine", "the response has no valid status line")

// statusLine is how a response begins: the version, the status and what follows it. Each byte has those that may be in its place.
var statusLine = []string{"H", "T", "T", "P", "/", "1", ".", "01", " ", "12345", "0123456789", "0123456789", " \r\n"}

// ReadResponse reads the header of a response, or of an informational one. fasthttp returns status 200 where a header states 000,
// accepts any status of three digits and any version, names of fields with blanks, and chunks in HTTP/1.0: everything that reads a
// response reads its header here.
func ReadResponse(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	if err := skipEmptyLines(r); errors.Is(err, ErrStatusLine) {
		return err
	} else if err != nil {
		return h.Read(r) // which returns the same error
	}
	for i, allowed := range statusLine {
		b, err := r.Peek(i + 1)
		if err != nil {
			return h.Read(r)
		}
		if strings.IndexByte(allowed, b[i]) < 0 {
			return fmt.Errorf("%w: %.*q", ErrStatusLine, maxQuoted, b)
		}
	}
	if err := awaitHeader(r); err != nil {
		if errors.As(err, new(*Refusal)) {
			return err
		}
		return h.Read(r) // which returns the same error
	}
	if err := h.Read(r); err != nil {
		return fmt.Errorf("%w: %w", ErrHeader, err)
	}
	return nil
}

// maxQuoted is the largest part of an invalid line that its error quotes, in bytes.
const maxQuoted = 32

// maxEmptyBytes bounds the empty lines before a response, in bytes.
const maxEmptyBytes = 64

// skipEmptyLines discards empty lines before a response. Some servers send one after a body.
func skipEmptyLines(r *bufio.Reader) error {
	for range maxEmptyBytes {
		b, err := r.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		if _, err := r.Discard(1); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: only empty lines", ErrStatusLine)
}

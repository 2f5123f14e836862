package httpheader

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ErrField means that a line of a header is no field: its name holds a byte that no name may hold, such as a blank before the colon, or
// it continues the line before it, which HTTP no longer allows. fasthttp takes a name with blanks, and removes those at its end.
var ErrField = NewRefusal("field", "the response has an invalid field")

// ErrFraming means that a response of HTTP/1.0, which has no transfer codings, states one: where its body ends isn't known. fasthttp
// ignores the field.
var ErrFraming = NewRefusal("framing", "the response has a transfer coding that its version doesn't have")

// ErrHeader means that fasthttp can't read the header of a response, or that it is larger than the buffer.
var ErrHeader = NewRefusal("header", "the response has an invalid header")

// awaitHeader reads until r holds the whole header of a response, and checks the lines of it that follow the status line. An error that
// wraps no Refusal is that of r.
func awaitHeader(r *bufio.Reader) error {
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		isWhole, err := checkFields(b)
		if isWhole || err != nil {
			return err
		}
		if errors.Is(readErr, bufio.ErrBufferFull) {
			return fmt.Errorf("%w: %w", ErrHeader, readErr)
		}
		if readErr != nil {
			return readErr
		}
	}
}

// checkFields checks the complete lines of a header, of which b is the beginning, and reports whether the header is complete.
func checkFields(b []byte) (isWhole bool, err error) {
	isOld := bytes.HasPrefix(b, []byte("HTTP/1.0"))
	_, rest, _ := bytes.Cut(b, []byte("\n"))
	for {
		line, next, found := bytes.Cut(rest, []byte("\n"))
		if !found {
			return false, nil
		}
		line, rest = bytes.TrimSuffix(line, []byte("\r")), next
		if len(line) == 0 {
			return true, nil
		}
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		if !hasColon || !isToken(name) {
			return false, fmt.Errorf("%w: %.*q", ErrField, maxQuoted, line)
		}
		if isOld && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			return false, fmt.Errorf("%w: %.*q", ErrFraming, maxQuoted, line)
		}
	}
}

// isToken reports whether a name consists of the bytes that RFC 9110 allows in one.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !isLetter && (c < '0' || c > '9') && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

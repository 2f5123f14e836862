// Package httpheader reads headers of responses, makes single calls by them, and changes headers of HTTP messages that are passed
// on, without changing what is left of them.
package httpheader

import (
	"bufio"
	"bytes"
	"fmt"
)

// header is the header of a request or a response of fasthttp.
type header interface {
	AppendBytes(dst []byte) []byte
	Read(r *bufio.Reader) error
}

// Remove removes the fields for which remove returns true, all lines of them, and keeps the order of the others. The
// methods of fasthttp change the order of lines with the same name when they delete another one. remove gets the name in
// the case in which the header has it.
func Remove(h header, remove func(name []byte) bool) error {
	b := h.AppendBytes(nil)
	kept := make([]byte, 0, len(b))
	for i, line := range bytes.SplitAfter(b, []byte("\r\n")) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		if i > 0 && isField && remove(name) {
			continue
		}
		kept = append(kept, line...)
	}
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(kept), len(kept))); err != nil {
		return fmt.Errorf("httpheader.Remove: %w", err)
	}
	return nil
}

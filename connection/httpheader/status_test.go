package httpheader

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestReadResponse checks which beginnings of responses are accepted.
func TestReadResponse(t *testing.T) {
	for _, tt := range []struct {
		line   string
		status int
	}{
		{"HTTP/1.1 200 OK", 200},
		{"HTTP/1.0 404 Not Found", 404},
		{"HTTP/1.1 204", 204},
		{"HTTP/1.1 100 Continue", 100},
		{"HTTP/1.1 599 ", 599},
		{"\r\n\nHTTP/1.1 200 OK", 200},
		{"HTTP/1.1 000 OK", 0},
		{"HTTP/1.1 0 OK", 0},
		{"HTTP/1.1 099 OK", 0},
		{"HTTP/1.1 600 OK", 0},
		{"HTTP/1.1 999 OK", 0},
		{"HTTP/1.1 20 OK", 0},
		{"HTTP/1.1 2000 OK", 0},
		{"HTTP/1.1 -20 OK", 0},
		{"HTTP/1.1  200 OK", 0},
		{"HTTP/1.1\t200 OK", 0},
		{"HTTP/1.1", 0},
		{"HTTP/2.0 200 OK", 0},
		{"HTTP/1.2 200 OK", 0},
		{"http/1.1 200 OK", 0},
		{"ICY 200 OK", 0},
		{"", 0},
	} {
		var h fasthttp.ResponseHeader
		err := ReadResponse(&h, bufio.NewReader(strings.NewReader(tt.line+"\r\nContent-Length: 0\r\n\r\n")))
		if tt.status == 0 && err == nil {
			t.Errorf("%q: status %d, want an error", tt.line, h.StatusCode())
		}
		if tt.status != 0 && (err != nil || h.StatusCode() != tt.status) {
			t.Errorf("%q: status %d, error %v, want %d", tt.line, h.StatusCode(), err, tt.status)
		}
	}
}

// TestReadResponseAtOnce checks that bytes that are no response are refused before more of them arrive.
func TestReadResponseAtOnce(t *testing.T) {
	for text, want := range map[string]error{"HTTP/1.1 0": ErrStatusLine, "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length : 3\r\n": ErrField, strings.Repeat("\r\n", 1<<10): ErrStatusLine} {
		r := bufio.NewReader(&unfinished{t: t, text: text})
		if err := ReadResponse(&fasthttp.ResponseHeader{}, r); !errors.Is(err, want) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
}

// unfinished is a reader from which nothing more than a text may be read.
type unfinished struct {
	t    *testing.T
	text string
}

func (u *unfinished) Read(p []byte) (int, error) {
	if u.text == "" {
		u.t.Fatal("more is read than is needed")
	}
	n := copy(p, u.text)
	u.text = u.text[n:]
	return n, nil
}

// FuzzReadResponse checks that any bytes are refused, or read as a response with a valid status and with the fields that they state.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.0 200\r\n\r\n", "\r\nHTTP/1.1 503 \r\nRetry-After: 1\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Pad: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabcd", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\n\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h fasthttp.ResponseHeader
		if err := ReadResponse(&h, bufio.NewReader(bytes.NewReader(b))); err != nil {
			return
		}
		if h.StatusCode() < 100 || h.StatusCode() > 599 {
			t.Errorf("accepted status %d", h.StatusCode())
		}
		if bytes.Contains(h.Protocol(), []byte("1.0")) && h.ContentLength() == -1 {
			t.Error("accepted chunks of HTTP/1.0")
		}
		for name := range h.All() {
			if !isToken(name) {
				t.Errorf("accepted the name %q", name)
			}
			if !bytes.Contains(bytes.ToLower(b), append(bytes.ToLower(name), ':')) && string(name) != fasthttp.HeaderConnection && string(name) != fasthttp.HeaderContentType {
				t.Errorf("made up the field %q", name)
			}
		}
	})
}

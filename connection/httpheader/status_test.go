package httpheader

import (
	"bufio"
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
	r := bufio.NewReader(&unfinished{t: t, text: "HTTP/1.1 0"})
	if err := ReadResponse(&fasthttp.ResponseHeader{}, r); !errors.Is(err, ErrStatusLine) {
		t.Errorf("got error %v, want %v", err, ErrStatusLine)
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

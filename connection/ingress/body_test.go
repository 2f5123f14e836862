package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/clock"
)

// FuzzReadBody checks that any bytes after a header are read as the HTTP library reads them, and that no more is held than has
// arrived, but for the first buffer.
func FuzzReadBody(f *testing.F) {
	const maxBody = 1000
	for _, s := range []string{"", "5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n", "5 \r\nhello\r\n0\r\n\r\n", "fffffffffffffff\r\n", "3e8\r\n", "5\nhello\n0\n\n", "5;\n"} {
		f.Add(-1, []byte(s))
	}
	f.Add(5, []byte("hello"))
	f.Add(5, []byte("hell"))
	f.Fuzz(func(t *testing.T, length int, b []byte) {
		if length == 0 || length < -1 {
			return
		}
		var got, want fasthttp.Request
		got.Header.SetMethod(fasthttp.MethodPost)
		got.Header.SetContentLength(length)
		got.Header.CopyTo(&want.Header)
		held, peak := 0, 0
		r := bodyReader{reader: bufio.NewReader(bytes.NewReader(b)), max: maxBody, growCalm: func(int) bool { return false }, raise: func(int) {}, shrink: func(n int) { held -= n }, grow: func(n int) error {
			held += n
			peak = max(peak, held)
			return nil
		}}
		body, err := r.read(&got.Header)
		reader := bufio.NewReader(bytes.NewReader(b))
		wantErr := want.ContinueReadBody(reader, maxBody, false)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("got error %v, the library %v", err, wantErr)
		}
		if err == nil && (!bytes.Equal(body, want.Body()) || r.reader.Buffered() != reader.Buffered()) {
			t.Errorf("got %q, %d bytes left, the library %q, %d left", body, r.reader.Buffered(), want.Body(), reader.Buffered())
		}
		if held != cap(r.b) || peak > max(2*firstBodyBytes, 3*len(b)) {
			t.Errorf("%d bytes are held, and were %d, of %d", held, peak, len(b))
		}
	})
}

// TestTurnedAway checks what callers get when there is no room for their bodies, and that others are served meanwhile.
func TestTurnedAway(t *testing.T) {
	const bound, size, callers = 256 << 10, 200 << 10, 5
	memory := NewMemory(clock.System{}, budget.Limits{Bytes: bound, MaxConns: 50})
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: size, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := New(clock.System{}, handlerFunc(echo), func() Limits { return limits }, zerolog.Nop(), WithMemory(memory))
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	address := s.listeners[0].Addr().String()
	var conns []net.Conn
	var readers []*bufio.Reader
	for range callers {
		c, r := dial(t, address)
		if _, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))); err != nil {
			t.Fatal(err)
		}
		conns, readers = append(conns, c), append(readers, r)
	}
	eventually(t, "all but one are turned away", func() bool { return memory.Usage().TurnedAway >= callers-1 })
	left := 0
	for i, r := range readers {
		if err := conns[i].SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(r); err != nil {
			left++
			continue
		}
		if resp.StatusCode() != fasthttp.StatusServiceUnavailable || len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 || !resp.ConnectionClose() {
			t.Errorf("got status %d, %s", resp.StatusCode(), resp.Header.String())
		}
	}
	if left > 1 {
		t.Errorf("%d requests are still received, want at most 1", left)
	}
	c, r := dial(t, address)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("status %d, error %v for a small request", resp.StatusCode(), err)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	eventually(t, "nothing is held", func() bool { return memory.Usage().Bytes == 0 })
}

// BenchmarkRequests measures requests on one connection, by the size of their bodies.
func BenchmarkRequests(b *testing.B) {
	limits := Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s := New(clock.System{}, handlerFunc(func(_ context.Context, x savorywing.Exchange) { x.WriteError(savorywing.ErrorResponse{Status: 200}) }),
		func() Limits { return limits }, zerolog.Nop())
	if err := s.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c, err := net.Dial("tcp", s.listeners[0].Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r, resp := bufio.NewReader(c), fasthttp.Response{}
			request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := resp.Read(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package ingress

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/process/budget"
	"savorywing.example/savorywing/process/clock"
)

// arrived is a connection whose bytes have all arrived, so that no read waits.
type arrived struct {
	net.Conn
	io.Reader
}

func (c arrived) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// TestReadsYield guards against a body that keeps a core from all other connections as long as its bytes arrive in time.
func TestReadsYield(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newServer(t, echo, Limits{})
	for _, hasLongHeader := range []bool{false, true} {
		c := newConn(s, arrived{Reader: bytes.NewReader(make([]byte, 4*yieldBytes))}, nil, s.memory)
		if hasLongHeader {
			if err := c.growBuffer(2 * readBufferBytes); err != nil {
				t.Fatal(err)
			}
		}
		var ran atomic.Bool
		go ran.Store(true)
		if _, err := io.CopyN(io.Discard, c.reader, 2*yieldBytes); err != nil {
			t.Fatal(err)
		}
		if !ran.Load() {
			t.Errorf("no other goroutine ran while %d bytes were read; long header %t", 2*yieldBytes, hasLongHeader)
		}
	}
}

// TestLittleReadAfterLastResponse guards against a crowd that is turned away and costs as much time as it can send bytes afterwards.
func TestLittleReadAfterLastResponse(t *testing.T) {
	const buffer, allowed = 4 << 10, lingerBytes + 256<<10
	s := New(clock.Boottime{}, handlerFunc(echo), func() Limits { return Limits{MaxBodyBytes: 100} }, zerolog.Nop(),
		WithMemory(NewMemory(clock.Boottime{}, budget.Limits{Buffer: buffer})))
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, r := dial(t, s.listeners[0].Addr().String())
	if err := c.(*net.TCPConn).SetWriteBuffer(buffer); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	sent, piece := 0, make([]byte, buffer)
	for began := time.Now(); time.Since(began) < 2*lingerTimeout; {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			break
		}
	}
	if sent > allowed {
		t.Errorf("%d bytes were read after the last response, %d allowed", sent, allowed)
	}
	if line, _ := r.ReadString('\n'); line != "HTTP/1.1 413 Request Entity Too Large\r\n" {
		t.Errorf("got %q, want status 413", line)
	}
}

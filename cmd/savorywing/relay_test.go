package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relay forwards connections to a target. It can fall silent: it then discards all bytes without closing a connection.
type relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// blocked silences every connection, open or new.
	blocked bool
	// generation is the generation of the connections that forward bytes. Connections of an earlier one stay silent.
	generation int
	conns      []net.Conn
	// keepsOpen keeps connections open whose target doesn't listen.
	keepsOpen bool
	// answerDelay is how long bytes from the target are on their way; the end of a connection isn't delayed.
	answerDelay time.Duration
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	t.Cleanup(r.close)
	go r.serve()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(c net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		if r.keepsOpen {
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
			return
		}
		_ = c.Close()
		return
	}
	r.mu.Lock()
	generation := r.generation
	r.conns = append(r.conns, c, out)
	r.mu.Unlock()
	go r.copy(out, c, generation, 0)
	r.copy(c, out, generation, r.answerDelay)
}

func (r *relay) copy(to, from net.Conn, generation int, delay time.Duration) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			if errors.Is(err, io.EOF) && !r.isSilent(generation) {
				_ = to.Close()
			}
			return
		}
		if r.isSilent(generation) {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (r *relay) isSilent(generation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked || generation != r.generation
}

// setBlocked silences all connections, or lets new connections through again. The open ones stay silent.
func (r *relay) setBlocked(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = on
	r.generation++
}

// silenceOpen silences the open connections for good. New ones work.
func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

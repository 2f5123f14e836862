package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a relay treats the bytes that it forwards.
type mode int

const (
	pass mode = iota
	// delay forwards every read after delayTime.
	delay
	// stalled keeps connections open and forwards nothing.
	stalled
	// oneWay forwards nothing from the backend server to its peer.
	oneWay
)

const (
	delayTime         = 30 * time.Millisecond
	stallPollInterval = 20 * time.Millisecond
	dialTimeout       = time.Second
	copyBufferBytes   = 16 << 10
)

// relay is a TCP proxy in front of one backend server that injects connection faults.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
}

func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("soak.newRelay: %w", err)
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	t, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go func() {
		r.copy(t, c, false)
		_ = t.Close()
	}()
	r.copy(c, t, true)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards bytes according to the mode; fromServer is the direction from the backend server to its peer.
func (r *relay) copy(to io.Writer, from io.Reader, fromServer bool) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		for m := r.currentMode(); m == stalled || (m == oneWay && fromServer); m = r.currentMode() {
			time.Sleep(stallPollInterval)
		}
		if r.currentMode() == delay {
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) currentMode() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) setMode(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// reset closes all open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *relay) close() {
	r.setMode(pass)
	_ = r.listener.Close()
	r.reset()
}

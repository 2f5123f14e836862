package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a relay does with bytes.
type mode int

const (
	pass mode = iota
	// delay holds every piece for a moment.
	delay
	// silence keeps connections open and moves nothing.
	silence
	// oneWay moves nothing from the backend server to its peer.
	oneWay
)

const (
	delayTime  = 30 * time.Millisecond
	silentPoll = 20 * time.Millisecond
	relayDial  = time.Second
	pieceBytes = 16 << 10
)

// relay stands before one backend server and harms its connections on request.
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
	t, err := net.DialTimeout("tcp", r.target, relayDial)
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

// copy moves bytes as the mode says; answers tells the direction.
func (r *relay) copy(to io.Writer, from io.Reader, answers bool) {
	b := make([]byte, pieceBytes)
	for {
		n, err := from.Read(b)
		for m := r.now(); m == silence || (m == oneWay && answers); m = r.now() {
			time.Sleep(silentPoll)
		}
		if r.now() == delay {
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

func (r *relay) now() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// reset ends all open connections with a reset.
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
	r.set(pass)
	_ = r.listener.Close()
	r.reset()
}

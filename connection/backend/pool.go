package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
)

const (
	maxIdlePerAddress = 8
	maxIdleTime       = 5 * time.Second
)

// link is a connection to a backend server. It carries one request at a time.
type link struct {
	net.Conn

	// socket is the connection below Conn.
	socket net.Conn
	client *Client
	// idleTimeout bounds the wait for bytes in each read.
	idleTimeout time.Duration
	reader      *bufio.Reader
	// hasWritten reports whether a write of the current request was attempted, so that bytes may have been sent.
	hasWritten bool
	idleSince  time.Time
}

// Read fails if no byte arrives within idleTimeout.
func (l *link) Read(p []byte) (int, error) {
	if err := l.SetReadDeadline(time.Now().Add(l.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := l.Conn.Read(p)
	l.client.received.Add(uint64(n))
	return n, err
}

// Write records that bytes of the request may have reached the backend server.
func (l *link) Write(p []byte) (int, error) {
	l.hasWritten = true
	l.client.sent.Add(uint64(len(p)))
	return socket.WritePieces(l.Conn, p)
}

// isUsable reports whether the backend server has neither closed an idle connection nor sent anything on it.
func (l *link) isUsable() bool {
	input, err := socket.Peek(l.socket)
	return err == nil && input == socket.InputNone
}

// pool keeps idle connections by address.
type pool struct {
	clock savorywing.Clock
	mu    sync.Mutex
	idle  map[string][]*link
	// maxIdle bounds the connections in idle, of which there are size; 0 for no bound.
	maxIdle, size int
}

func newPool(clock savorywing.Clock) *pool {
	return &pool{clock: clock, idle: map[string][]*link{}}
}

// take returns the most recently used idle connection, or nil. It closes connections that were idle for longer than
// maxIdleTime.
func (p *pool) take(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	for len(links) > 0 {
		l := links[len(links)-1]
		links = links[:len(links)-1]
		p.idle[address] = links
		p.size--
		if p.clock.Now().Sub(l.idleSince) <= maxIdleTime {
			return l
		}
		_ = l.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *pool) put(address string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress || (p.maxIdle > 0 && p.size >= p.maxIdle) || l.reader.Buffered() > 0 {
		_ = l.Close()
		return
	}
	l.idleSince = p.clock.Now()
	p.idle[address] = append(p.idle[address], l)
	p.size++
}

// closeIdle closes every idle connection to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		_ = l.Close()
	}
	p.size -= len(p.idle[address])
	delete(p.idle, address)
}

func newReader(l *link) *bufio.Reader { return bufio.NewReader(l) }

package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"savorywing.example/savorywing"
)

const (
	idlePerAddress = 8
	idleBound      = 5 * time.Second
)

// link is one connection to a backend server.
type link struct {
	net.Conn

	client *Client
	// gap bounds the silence before each read.
	gap    time.Duration
	reader *bufio.Reader
	// wrote tells that at least one byte of the current request was given to the connection.
	wrote     bool
	idleSince time.Time
}

// Read bounds every wait for bytes by the gap.
func (l *link) Read(p []byte) (int, error) {
	if err := l.SetReadDeadline(time.Now().Add(l.gap)); err != nil {
		return 0, err
	}
	n, err := l.Conn.Read(p)
	l.client.received.Add(uint64(n))
	return n, err
}

// Write records that bytes may have reached the backend server.
func (l *link) Write(p []byte) (int, error) {
	l.wrote = true
	l.client.sent.Add(uint64(len(p)))
	return l.Conn.Write(p)
}

// pool keeps idle connections by address.
type pool struct {
	clock savorywing.Clock
	mu    sync.Mutex
	idle  map[string][]*link
}

func newPool(clock savorywing.Clock) *pool {
	return &pool{clock: clock, idle: map[string][]*link{}}
}

// take returns the most recently used idle connection, or nil. Connections idle beyond the bound are closed.
func (p *pool) take(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	for len(links) > 0 {
		l := links[len(links)-1]
		links = links[:len(links)-1]
		p.idle[address] = links
		if p.clock.Now().Sub(l.idleSince) <= idleBound {
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
	if len(p.idle[address]) >= idlePerAddress || l.reader.Buffered() > 0 {
		_ = l.Close()
		return
	}
	l.idleSince = p.clock.Now()
	p.idle[address] = append(p.idle[address], l)
}

// drop closes every idle connection of an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		_ = l.Close()
	}
	delete(p.idle, address)
}

func newReader(l *link) *bufio.Reader { return bufio.NewReader(l) }

package engine

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorywing.example/savorywing"
)

const (
	// idlePerAddress bounds the kept connections to one backend server.
	idlePerAddress = 16
	// defaultIdle is kept when a backend server doesn't say how long.
	defaultIdle = 4 * time.Second
	// idleMargin is given away for the way to the backend server and its clock.
	idleMargin = 500 * time.Millisecond
)

// link is one connection to a backend server; it carries one request at a time.
type link struct {
	conn    net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleUntil bound its time in the pool.
	idleSince, idleUntil time.Time
}

// write sends the request. A long body goes on being written after it returns; the channel is closed with
// an error, if any, when it is out.
func (l *link) write(call Call) (<-chan error, error) {
	b := call.Header.AppendBytes(nil)
	if len(call.Body) <= inlineBody {
		b = append(b, call.Body...)
		if n, err := l.conn.Write(b); err != nil {
			return nil, sendError(n, err)
		}
		return nil, nil
	}
	if n, err := l.conn.Write(b); err != nil {
		return nil, sendError(n, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := l.conn.Write(call.Body)
		done <- err
	}()
	return done, nil
}

// sendError tells a write of which no byte was taken from one that got somewhere.
func sendError(n int, err error) error {
	if n == 0 {
		return notSentError{err}
	}
	return err
}

// notSentError wraps the cause of a write that took no byte.
type notSentError struct{ cause error }

func (e notSentError) Error() string { return ErrNotSent.Error() + ": " + e.cause.Error() }

func (e notSentError) Is(target error) bool { return target == ErrNotSent }

func (e notSentError) Unwrap() error { return e.cause }

// isUsable tells whether the peer has neither closed the connection nor sent bytes that nobody asked for.
func (l *link) isUsable() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	c, ok := l.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}

// pool holds idle connections, newest last.
type pool struct {
	clock savorywing.Clock
	mu    sync.Mutex
	idle  map[string][]*link
	swept time.Time
}

func newPool(clock savorywing.Clock) *pool {
	return &pool{clock: clock, idle: map[string][]*link{}}
}

// take returns the connection used last, if it is usable and wasn't idle for longer than maxIdle.
func (p *pool) take(address string, maxIdle time.Duration) *link {
	now := p.clock.Now()
	for {
		l := p.pop(address)
		if l == nil {
			return nil
		}
		if now.Before(l.idleUntil) && now.Sub(l.idleSince) <= maxIdle && l.isUsable() {
			return l
		}
		_ = l.conn.Close()
	}
}

func (p *pool) pop(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return l
}

// put keeps a connection for as long as the backend server does.
func (p *pool) put(l *link, stated time.Duration) {
	now := p.clock.Now()
	keep := defaultIdle
	if stated > 0 {
		keep = stated - idleMargin
	}
	l.idleSince, l.idleUntil = now, now.Add(keep)
	if err := l.conn.SetDeadline(time.Time{}); err != nil || keep <= 0 {
		_ = l.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if len(p.idle[l.address]) >= idlePerAddress {
		_ = l.conn.Close()
		return
	}
	p.idle[l.address] = append(p.idle[l.address], l)
}

// sweep closes what was idle for too long, at most once a second.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, l := range list {
			if now.Before(l.idleUntil) {
				kept = append(kept, l)
				continue
			}
			_ = l.conn.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// drop closes the idle connections to an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range list {
		_ = l.conn.Close()
	}
}

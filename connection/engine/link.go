package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
)

const (
	// maxIdlePerAddress bounds the idle connections to one backend server.
	maxIdlePerAddress = 16
	// defaultIdleTimeout applies when a backend server states no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated idle timeout: it allows for the network delay and for differences
	// between the clocks.
	idleMargin = 500 * time.Millisecond
	// maxRequestsPerLink bounds the requests on one connection, and so the memory for their attempt IDs.
	maxRequestsPerLink = 256
)

// link is a connection to a backend server. It carries one request at a time.
type link struct {
	conn    net.Conn
	address string
	reader  *bufio.Reader
	// maxPooled bounds the idle connections to the address; 0 for maxIdlePerAddress only.
	maxPooled int
	// idleSince is when the connection was put into the pool; it may be reused until idleUntil.
	idleSince, idleUntil time.Time
	// attempts holds a hash of the attempt ID of each request that the connection has carried, at most maxRequestsPerLink.
	// It changes only while the connection is in use.
	attempts []uint64
	// isLast reports whether the connection carries no request after the current one: the responses of later ones couldn't be
	// told from those to it.
	isLast bool
}

// mayCarry reports whether no response to an earlier request on the connection can be taken for the response to a request
// with this attempt ID. IDs are chosen by callers, who may use one again.
func (l *link) mayCarry(attemptID string) bool {
	if len(l.attempts) == 0 {
		return true
	}
	return attemptID != "" && !slices.Contains(l.attempts, xxhash.Sum64String(attemptID))
}

// begin records that the connection carries a request.
func (l *link) begin(attemptID string) {
	l.attempts = append(l.attempts, xxhash.Sum64String(attemptID))
	l.isLast = l.isLast || attemptID == "" || len(l.attempts) >= maxRequestsPerLink
}

// poolBound returns the number of idle connections to the address from which another one is closed instead of being kept.
func (l *link) poolBound() int {
	if l.maxPooled > 0 {
		return min(l.maxPooled, maxIdlePerAddress)
	}
	return maxIdlePerAddress
}

// upload is the writing of a body that goes on while the response is read. err is its outcome once done is closed.
type upload struct {
	done chan struct{}
	err  error
}

// write sends the request. A body longer than maxInlineBody is still being written when it returns; the upload is nil for a
// shorter one.
func (l *link) write(call Call) (*upload, error) {
	b := call.Header.AppendBytes(nil)
	if len(call.Body) <= maxInlineBody {
		b = append(b, call.Body...)
		if n, err := l.conn.Write(b); err != nil {
			return nil, sendError(n, err)
		}
		return nil, nil
	}
	if n, err := l.conn.Write(b); err != nil {
		return nil, sendError(n, err)
	}
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = socket.WritePieces(l.conn, call.Body)
	}()
	return u, nil
}

// sendError marks the error of a write as not sent if the connection accepted no byte.
func sendError(n int, err error) error {
	if n == 0 {
		return notSentError{err}
	}
	return err
}

// notSentError wraps the error of a write of which no byte was sent; it matches ErrNotSent.
type notSentError struct{ cause error }

func (e notSentError) Error() string { return ErrNotSent.Error() + ": " + e.cause.Error() }

func (e notSentError) Is(target error) bool { return target == ErrNotSent }

func (e notSentError) Unwrap() error { return e.cause }

// awaitClose waits for the peer to close the connection, on which nothing has been sent. It returns ErrClosedAtOnce if it
// does, and nil if it doesn't in this time. A connection that is reset proves nothing: servers reset those beyond their
// maximum.
func (l *link) awaitClose(wait time.Duration) error {
	if err := l.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := l.reader.Peek(1)
	switch {
	case errors.Is(err, io.EOF):
		return ErrClosedAtOnce
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	return l.conn.SetReadDeadline(time.Time{})
}

// isUsable reports whether the peer has neither closed the connection nor sent unexpected bytes.
func (l *link) isUsable() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	input, err := socket.Peek(l.conn)
	return err == nil && input == socket.InputNone
}

// pool holds idle connections by address, the most recently used last.
type pool struct {
	clock savorywing.Clock
	// maxIdle bounds the connections in idle; 0 for no bound.
	maxIdle int
	mu      sync.Mutex
	idle    map[string][]*link
	// size is the number of connections in idle.
	size      int
	lastSweep time.Time
}

func newPool(clock savorywing.Clock) *pool {
	return &pool{clock: clock, idle: map[string][]*link{}}
}

// take returns the most recently used connection that is usable for a request with this attempt ID and was not idle for
// longer than maxIdle, or nil. It closes the connections that can't be used for any request.
func (p *pool) take(address, attemptID string, maxIdle time.Duration) *link {
	now := p.clock.Now()
	for {
		l := p.pop(address, attemptID)
		if l == nil {
			return nil
		}
		if now.Before(l.idleUntil) && now.Sub(l.idleSince) <= maxIdle && l.isUsable() {
			return l
		}
		_ = l.conn.Close()
	}
}

func (p *pool) pop(address, attemptID string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, l := range slices.Backward(list) {
		if l.mayCarry(attemptID) {
			p.idle[address] = slices.Delete(list, i, i+1)
			p.size--
			return l
		}
	}
	return nil
}

// put makes a connection available until shortly before the backend server closes it. idleTimeout is the time stated by
// the server, or 0.
func (p *pool) put(l *link, idleTimeout time.Duration) {
	now := p.clock.Now()
	keepFor := defaultIdleTimeout
	if idleTimeout > 0 {
		keepFor = idleTimeout - idleMargin
	}
	l.idleSince, l.idleUntil = now, now.Add(keepFor)
	if err := l.conn.SetDeadline(time.Time{}); err != nil || keepFor <= 0 {
		_ = l.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if len(p.idle[l.address]) >= l.poolBound() || (p.maxIdle > 0 && p.size >= p.maxIdle) {
		_ = l.conn.Close()
		return
	}
	p.idle[l.address] = append(p.idle[l.address], l)
	p.size++
}

// sweep closes the connections past idleUntil. It runs at most once a second.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, l := range list {
			if now.Before(l.idleUntil) {
				kept = append(kept, l)
				continue
			}
			_ = l.conn.Close()
			p.size--
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.size -= len(list)
	p.mu.Unlock()
	for _, l := range list {
		_ = l.conn.Close()
	}
}

// closeAllIdle closes all idle connections.
func (p *pool) closeAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.size = map[string][]*link{}, 0
	p.mu.Unlock()
	for _, list := range idle {
		for _, l := range list {
			_ = l.conn.Close()
		}
	}
}

package fleet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Cut is how a host is cut off from servers.
type Cut int

// Cuts.
const (
	// NoCut means that the host reaches the servers.
	NoCut Cut = iota
	// CutSilent means that nothing arrives in either direction, and that no connection is opened.
	CutSilent
	// CutOneWay means that the host's bytes arrive at the servers and nothing comes back; no connection is opened.
	CutOneWay
	// CutReset means that connections are reset and new ones refused.
	CutReset
	// CutRefuse means that connections go on and new ones are refused.
	CutRefuse
)

// Path is a host's path to the emulated servers. It opens the host's connections, and may be cut.
type Path struct {
	mu    sync.Mutex
	cut   Cut
	spare map[string]bool
	conns map[*pathConn]bool
}

// NewPath returns a path that is not cut.
func NewPath() *Path { return &Path{conns: map[*pathConn]bool{}} }

// Set cuts the path, or restores it. The servers at the spared addresses are reached all the same.
func (p *Path) Set(cut Cut, spared ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.spare = cut, map[string]bool{}
	for _, address := range spared {
		p.spare[address] = true
	}
	for c := range p.conns {
		if !p.spare[c.RemoteAddr().String()] {
			c.apply(cut)
		}
	}
}

func (p *Path) to(address string) Cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spare[address] {
		return NoCut
	}
	return p.cut
}

// pathDialTimeout is the timeout of the dialer that this one stands for.
const pathDialTimeout = 700 * time.Millisecond

// DialContext implements savorywing.Dialer.
func (p *Path) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch p.to(address) {
	case CutSilent, CutOneWay:
		ctx, cancel := context.WithTimeout(ctx, pathDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case CutReset, CutRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case NoCut:
	}
	d := net.Dialer{Timeout: pathDialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("Path.DialContext: not a TCP connection")
	}
	c := &pathConn{TCPConn: tcp, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	return c, nil
}

// pathConn is a connection on a path. One that was silenced stays silent after the cut.
type pathConn struct {
	*net.TCPConn
	path   *Path
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	cut      Cut
	deadline time.Time
}

func (c *pathConn) apply(cut Cut) {
	c.mu.Lock()
	if cut == CutSilent || cut == CutOneWay || cut == CutReset {
		c.cut = cut
	}
	c.mu.Unlock()
	if cut == CutReset {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
}

func (c *pathConn) state() (Cut, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut, c.deadline
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	cut, _ := c.state()
	switch cut {
	case CutReset:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case CutSilent, CutOneWay:
		return 0, c.waitForEnd()
	case NoCut, CutRefuse:
	}
	return n, err
}

// waitForEnd waits until the connection is closed here or its read deadline passes.
func (c *pathConn) waitForEnd() error {
	for {
		_, deadline := c.state()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(pollInterval):
		}
	}
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	switch cut, _ := c.state(); cut {
	case CutSilent:
		return len(b), nil
	case CutReset:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case NoCut, CutOneWay, CutRefuse:
	}
	return c.TCPConn.Write(b)
}

// SetDeadline implements net.Conn.
func (c *pathConn) SetDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *pathConn) SetReadDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *pathConn) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}

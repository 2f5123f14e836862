package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Cut is how a host is cut off from servers.
type Cut int

// Cuts. Those with Accept behave like a proxy beside the host, which opens each connection whether it reaches the server or not.
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
	// CutAcceptSilent means that nothing arrives in either direction.
	CutAcceptSilent
	// CutAcceptOneWay means that the host's bytes arrive at the servers and nothing comes back.
	CutAcceptOneWay
	// CutAcceptReset means that connections are reset, new ones once something is sent on them.
	CutAcceptReset
	// CutAcceptClose means that connections are closed, new ones at once.
	CutAcceptClose
	// CutAcceptSilentThenReset means that connections are silent, and new ones are reset once something is sent on them.
	CutAcceptSilentThenReset
	// CutAcceptResetThenSilent means that connections are reset, and new ones are silent.
	CutAcceptResetThenSilent
	// CutAcceptRefuse means that connections go on, and new ones are reset once something is sent on them.
	CutAcceptRefuse
	// CutPause means that what servers send arrives only after the cut.
	CutPause
)

// effect is what a cut does to a connection.
type effect int

const (
	passes effect = iota
	// silences loses the bytes of both directions, and muffles those from the server.
	silences
	muffles
	resets
	// resetsOnWrite resets the connection once something is sent on it.
	resetsOnWrite
	closes
	// pauses holds back what the server sends until the cut ends.
	pauses
)

// cutEffects are the effects of a cut on open connections and on new ones.
type cutEffects struct {
	open, opened effect
	// dialError is the error of a dial, and waits reports whether the dial ends with its timeout; nil if it succeeds.
	dialError error
	waits     bool
}

var effects = map[Cut]cutEffects{
	NoCut:                    {},
	CutSilent:                {open: silences, dialError: os.ErrDeadlineExceeded, waits: true},
	CutOneWay:                {open: muffles, dialError: os.ErrDeadlineExceeded, waits: true},
	CutReset:                 {open: resets, dialError: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
	CutRefuse:                {dialError: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
	CutAcceptSilent:          {open: silences, opened: silences},
	CutAcceptOneWay:          {open: muffles, opened: muffles},
	CutAcceptReset:           {open: resets, opened: resetsOnWrite},
	CutAcceptClose:           {open: closes, opened: closes},
	CutAcceptSilentThenReset: {open: silences, opened: resetsOnWrite},
	CutAcceptResetThenSilent: {open: resets, opened: silences},
	CutAcceptRefuse:          {opened: resetsOnWrite},
	CutPause:                 {open: pauses, opened: pauses},
}

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
			c.apply(effects[cut].open)
		}
	}
}

func (p *Path) to(address string) Cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutTo(address)
}

// cutTo is to for callers that hold mu.
func (p *Path) cutTo(address string) Cut {
	if p.spare[address] {
		return NoCut
	}
	return p.cut
}

// pathDialTimeout is the timeout of the dialer that this one stands for.
const pathDialTimeout = 700 * time.Millisecond

// DialContext implements savorywing.Dialer.
func (p *Path) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	e := effects[p.to(address)]
	if e.dialError != nil {
		if e.waits {
			ctx, cancel := context.WithTimeout(ctx, pathDialTimeout)
			defer cancel()
			<-ctx.Done()
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: e.dialError}
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
	defer p.mu.Unlock()
	p.conns[c] = true
	// The path may have been cut during the dial.
	e = effects[p.cutTo(address)]
	if e.dialError != nil {
		c.apply(e.open)
	} else {
		c.apply(e.opened)
	}
	return c, nil
}

// pathConn is a connection on a path. One that was silenced stays silent after the cut.
type pathConn struct {
	*net.TCPConn
	path   *Path
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	effect   effect
	deadline time.Time
}

func (c *pathConn) apply(e effect) {
	c.mu.Lock()
	if e == passes && c.effect != pauses {
		c.mu.Unlock()
		return
	}
	c.effect = e
	c.mu.Unlock()
	if e == resets || e == closes {
		c.end(e)
	}
}

// end ends the connection to the server.
func (c *pathConn) end(e effect) {
	if e != closes {
		// Without it the server sees a normal end.
		_ = c.SetLinger(0)
	}
	_ = c.TCPConn.Close() // an error means that it is closed already
}

func (c *pathConn) state() (effect, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.effect, c.deadline
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	e, _ := c.state()
	for e == pauses {
		if pauseErr := c.waitBriefly(); pauseErr != nil {
			return 0, pauseErr
		}
		e, _ = c.state()
	}
	switch e {
	case resets:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case closes:
		return 0, io.EOF
	case silences, muffles:
		return 0, c.waitForEnd()
	case passes, resetsOnWrite, pauses:
	}
	return n, err
}

// waitForEnd waits until the connection is closed here or its read deadline passes.
func (c *pathConn) waitForEnd() error {
	for {
		if err := c.waitBriefly(); err != nil {
			return err
		}
	}
}

// waitBriefly waits for pollInterval, and returns an error once the connection is closed here or its read deadline passes.
func (c *pathConn) waitBriefly() error {
	if _, deadline := c.state(); !deadline.IsZero() && !time.Now().Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-time.After(pollInterval):
		return nil
	}
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	switch e, _ := c.state(); e {
	case silences:
		return len(b), nil
	case resets:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case closes:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	case resetsOnWrite:
		c.apply(resets)
		return len(b), nil
	case passes, muffles, pauses:
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

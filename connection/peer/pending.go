package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/budget"
)

const (
	// pendingBuffer is the size of the buffers of a connection until it has shown its token, in bytes. openReceiveBuffer and
	// openSendBuffer are those of a daemon's, whose frames may be long.
	pendingBuffer     = 16 << 10
	openReceiveBuffer = 64 << 10
	openSendBuffer    = 256 << 10
)

// pendingListener bounds the connections that haven't shown an accepted token yet. Among too many, the oldest is closed.
type pendingListener struct {
	net.Listener

	mu     sync.Mutex
	budget *budget.Budget
	conns  map[*budget.Share]*pendingConn
	// closed counts the connections that were closed since there were too many.
	closed int
	log    zerolog.Logger
}

func newPendingListener(l net.Listener, maxConns int, log zerolog.Logger) *pendingListener {
	return &pendingListener{
		Listener: l, budget: budget.New(budget.Limits{MaxConns: maxConns}), conns: map[*budget.Share]*pendingConn{},
		log: log.Sample(&zerolog.BurstSampler{Burst: refusalLines, Period: time.Minute}),
	}
}

// Accept implements net.Listener.
func (l *pendingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &pendingConn{TCPConn: tcp, listener: l}
	if away := l.add(c); away != nil {
		l.log.Warn().Str("event", "pendingClosed").Stringer("address", away.RemoteAddr()).Msg("closed a connection without a token since there are too many")
		_ = away.Close()
	}
	return c, nil
}

// add counts a connection and returns the one that must be closed for it; nil if there is room.
func (l *pendingListener) add(c *pendingConn) *pendingConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	o := l.budget.Open(now, now.Add(dialTimeout), socket.Source(c.TCPConn))
	if o.Share == nil {
		return c
	}
	c.share, l.conns[o.Share] = o.Share, c
	if o.Away == nil {
		return nil
	}
	l.closed++
	return l.remove(o.Away)
}

func (l *pendingListener) remove(s *budget.Share) *pendingConn {
	c := l.conns[s]
	l.budget.Close(s)
	delete(l.conns, s)
	c.share = nil
	return c
}

// release ends the count of a connection.
func (l *pendingListener) release(c *pendingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.share != nil {
		l.remove(c.share)
	}
}

// Closed returns the number of connections that were closed since there were too many.
func (l *pendingListener) Closed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// pendingConn is a connection of a pendingListener.
type pendingConn struct {
	*net.TCPConn
	listener *pendingListener
	// share is nil once the connection isn't counted any more; the listener's mutex guards it.
	share *budget.Share
}

// admit ends the bounds on a connection that has shown an accepted token.
func (c *pendingConn) admit() {
	c.listener.release(c)
	// With small buffers the connection works all the same.
	_ = socket.RaiseReceiveBuffer(c.TCPConn, openReceiveBuffer)
	_ = socket.RaiseSendBuffer(c.TCPConn, openSendBuffer)
}

// Close implements net.Conn.
func (c *pendingConn) Close() error {
	c.listener.release(c)
	return c.TCPConn.Close()
}

package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/connection/socket"
	"savorywing.example/savorywing/process/budget"
)

// errTurnedAway means that the connection must end, since the process has no room for what all its connections hold.
var errTurnedAway = errors.New("this host has no room for the request")

// Memory bounds what the connections of one or several servers hold together. It is safe for concurrent use.
type Memory struct {
	clock savorywing.Clock

	mu     sync.Mutex
	budget *budget.Budget
	conns  map[*budget.Share]*conn
	// turnedAway counts the connections that were turned away, refused or dropped.
	turnedAway int
}

// NewMemory returns a memory for connections within limits.
func NewMemory(clock savorywing.Clock, l budget.Limits) *Memory {
	return &Memory{clock: clock, budget: budget.New(l), conns: map[*budget.Share]*conn{}}
}

// Usage is the state of a Memory.
type Usage struct {
	// Bytes of Limits.Bytes are held, by Conns of Limits.MaxConns connections.
	Bytes, Conns int
	// MostOfSource is the number of connections of the address that has most, those that are being turned away included.
	MostOfSource int
	Limits       budget.Limits
	// TurnedAway is the number of connections that were turned away since the start.
	TurnedAway int
}

// limits returns the limits, which never change.
func (m *Memory) limits() budget.Limits { return m.budget.Limits() }

// Usage returns what is held.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{
		Bytes: m.budget.Used(), Conns: m.budget.Conns(), MostOfSource: m.budget.MostOfSource(), Limits: m.budget.Limits(), TurnedAway: m.turnedAway,
	}
}

// open admits a connection, and turns others away for it if there are too many.
func (m *Memory) open(c *conn, endsAt time.Time) budget.Admission {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.budget.IsFull() {
		m.recordStalls(now)
	}
	o := m.budget.Open(now, endsAt, socket.Source(c.conn))
	if o.Away != nil {
		m.turnAway(o.Away)
	}
	if o.Cut != nil {
		m.conns[o.Cut].cut()
	}
	m.signal()
	if o.Admission != budget.Admitted {
		m.turnedAway++
	}
	if o.Share != nil {
		c.share = o.Share
		m.conns[o.Share] = c
	}
	return o.Admission
}

// turnAway ends the connection of a share.
func (m *Memory) turnAway(s *budget.Share) {
	m.turnedAway++
	if s.IsCut() {
		m.conns[s].cut()
		return
	}
	m.conns[s].turnAway(s.Held())
}

// recordStalls records whose callers don't read.
func (m *Memory) recordStalls(now time.Time) {
	sinceEpoch := time.Since(epoch)
	for s, c := range m.conns {
		if since := time.Duration(c.writingSince.Load()); since > 0 {
			m.budget.Stall(s, now.Add(since-sinceEpoch))
		} else {
			m.budget.Stall(s, time.Time{})
		}
	}
}

// close ends the share of a connection.
func (m *Memory) close(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.share == nil {
		return
	}
	m.budget.Close(c.share)
	delete(m.conns, c.share)
	m.signal()
}

// signal wakes the connections up that wait for room and may have it.
func (m *Memory) signal() {
	for _, s := range m.budget.Ready() {
		select {
		case m.conns[s].roomChanged <- struct{}{}:
		default:
		}
	}
}

// wait, receive and serve record the state of a connection. Its reads fail once it is turned away.
func (m *Memory) wait(c *conn, endsAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Wait(c.share, m.clock.Now(), endsAt)
}

func (m *Memory) receive(c *conn, endsAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Receive(c.share, m.clock.Now(), endsAt)
}

// serve reports false if the connection is turned away.
func (m *Memory) serve(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Serve(c.share)
}

// grow lets a connection hold n bytes more, if need be once others that are turned away hold less. The error is errTurnedAway
// if there is no room, and that of a read at its deadline or on a closed connection otherwise.
func (m *Memory) grow(c *conn, n int, deadline time.Time) error {
	var timer *time.Timer
	for {
		m.mu.Lock()
		now := m.clock.Now()
		if !m.budget.Fits(c.share, n) {
			m.recordStalls(now)
		}
		verdict, away := m.budget.Grow(now, c.share, n)
		for _, s := range away {
			m.turnAway(s)
		}
		if verdict != budget.Granted {
			m.signal()
		}
		m.mu.Unlock()
		switch verdict {
		case budget.Granted:
			return nil
		case budget.TurnedAway:
			return errTurnedAway
		case budget.Awaiting:
		}
		if timer == nil {
			timer = time.NewTimer(time.Until(deadline))
			defer timer.Stop()
		}
		select {
		case <-c.roomChanged:
		case <-c.interrupted:
			if err := c.interruptCause(); err != nil {
				m.forgo(c)
				return err
			}
		case <-timer.C:
			m.forgo(c)
			return os.ErrDeadlineExceeded
		}
	}
}

// forgo ends the wait of a connection for room.
func (m *Memory) forgo(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Forgo(c.share)
	m.signal()
}

// growCalm lets a connection hold n bytes more that haven't arrived yet, and reports whether there is plenty of room.
func (m *Memory) growCalm(c *conn, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.GrowCalm(c.share, n)
}

// tryGrow lets a connection whose request is served hold n bytes more, and reports whether there is room.
func (m *Memory) tryGrow(c *conn, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.TryGrow(c.share, n)
}

// shrink gives n bytes of a connection back.
func (m *Memory) shrink(c *conn, n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(c.share, n)
	m.signal()
}

// raise counts the buffer of a connection that is raised for n bytes, until the connection ends. It reports false if the usual one is
// enough or must be.
func (m *Memory) raise(c *conn, n int) (size int, ok bool) {
	if !m.limits().IsLong(n) {
		return 0, false // most requests and responses, which needn't wait for the others
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Raise(c.share, n)
}

// raiseReceiveBuffer lets the caller send more of n bytes at a time, if there is room for that.
func (c *conn) raiseReceiveBuffer(n int) { c.raise(&c.receiveRaised, n, socket.RaiseReceiveBuffer) }

// raiseSendBuffer is raiseReceiveBuffer for a response.
func (c *conn) raiseSendBuffer(n int) { c.raise(&c.sendRaised, n, socket.RaiseSendBuffer) }

// raise raises a buffer for n bytes, once. Without it they only take longer.
func (c *conn) raise(raised *bool, n int, set func(nc net.Conn, size int) error) {
	if *raised {
		return
	}
	if size, ok := c.memory.raise(c, n); ok {
		*raised = true
		_ = set(c.conn, size)
	}
}

// turnAway ends the connection, which holds some bytes, from any goroutine. It reads until its own goroutine notices.
func (c *conn) turnAway(held int) {
	c.server.turnedAwayLog.Info().Str("event", "turnedAway").Stringer("address", c.conn.RemoteAddr()).Int("bytes", held).
		Msg("a connection ends since this host has no room for what its callers send")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turnedAway = true
	c.interrupt()
	c.setReadDeadline(time.Now())
}

// cut closes the connection, which is turned away, although its caller may not have its response.
func (c *conn) cut() {
	c.server.turnedAwayLog.Info().Str("event", "cut").Stringer("address", c.conn.RemoteAddr()).
		Msg("a connection is closed since its caller doesn't read, or others need its place")
	_ = c.conn.Close()
}

// interrupt wakes up the connection if it waits for room; c.mu is held.
func (c *conn) interrupt() { c.interruptOnce.Do(func() { close(c.interrupted) }) }

// interruptCause returns why the connection was interrupted.
func (c *conn) interruptCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.turnedAway:
		return errTurnedAway
	}
	return os.ErrDeadlineExceeded
}

// isTurnedAway reports whether the connection must end since there is no room for it.
func (c *conn) isTurnedAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.turnedAway
}

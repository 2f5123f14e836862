package forward

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"savorywing.example/savorywing/wire"
	"savorywing.example/savorywing/wire/codec"
)

// Path is the path at which daemons accept connections.
const Path = "/savorywing/v1/forward"

// writeTimeout ends a connection whose peer takes no bytes for so long, as when a caller reads too slowly.
const writeTimeout = 5 * time.Second

// keepAlive detects a lost peer within 5 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 1 * time.Second, Count: 3}

// Conn is a connection between two entry hosts. Send may be called from several goroutines, Receive from one.
type Conn struct {
	ws      *websocket.Conn
	writeMu sync.Mutex
}

// NewConn returns a connection on an open WebSocket.
func NewConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(codec.MaxFrame)
	if tcp, ok := ws.NetConn().(*net.TCPConn); ok {
		// Without keep-alive the connection works all the same.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	return &Conn{ws: ws}
}

// Send sends a frame. After an error, the other side has not received the whole frame, and the connection can't be used.
func (c *Conn) Send(f wire.Frame) error {
	b, err := codec.Encode(f)
	if err != nil {
		return fmt.Errorf("Conn.Send: %w", err)
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("Conn.Send: %w", err)
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return fmt.Errorf("Conn.Send: %w", err)
	}
	return nil
}

// Receive returns the next frame, or an error after a timeout; 0 for none. After an error the connection can't be used.
func (c *Conn) Receive(timeout time.Duration) (wire.Frame, error) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := c.ws.SetReadDeadline(deadline); err != nil {
		return wire.Frame{}, fmt.Errorf("Conn.Receive: %w", err)
	}
	_, b, err := c.ws.ReadMessage()
	if err != nil {
		return wire.Frame{}, fmt.Errorf("Conn.Receive: %w", err)
	}
	f, err := codec.DecodeFrame(b)
	if err == nil {
		err = f.RemoveInvalid()
	}
	if err != nil {
		return wire.Frame{}, fmt.Errorf("Conn.Receive: %w", err)
	}
	return f, nil
}

// Close closes the connection at once.
func (c *Conn) Close() error { return c.ws.Close() }

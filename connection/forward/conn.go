package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
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

const (
	// MaxQuestion is more than the bytes of any frame to which a host answers, other than an announced request.
	MaxQuestion = 64 << 10
	// firstPiece is the size of the first buffer for a frame, in bytes.
	firstPiece = 512
)

// ErrTooLarge means that a frame has more bytes than the connection takes. The rest of it isn't read.
var ErrTooLarge = errors.New("a frame is larger than expected")

// Conn is a connection between two entry hosts. Send may be called from several goroutines, Receive from one.
type Conn struct {
	ws      *websocket.Conn
	writeMu sync.Mutex
	// maxFrame is the largest frame that is received, in bytes, and expected that of the next one if it is more.
	maxFrame int
	expected atomic.Int64
}

// Option is an option of a Conn.
type Option func(*Conn)

// WithMaxFrame bounds the frames that are received, in bytes, unless Expect allows more.
func WithMaxFrame(n int) Option { return func(c *Conn) { c.maxFrame = n } }

// NewConn returns a connection on an open WebSocket.
func NewConn(ws *websocket.Conn, opts ...Option) *Conn {
	ws.SetReadLimit(codec.MaxFrame)
	if tcp, ok := ws.NetConn().(*net.TCPConn); ok {
		// Without keep-alive the connection works all the same.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	c := &Conn{ws: ws, maxFrame: codec.MaxFrame}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Expect lets the next frame have n bytes. It must be called before the other side is asked for that frame.
func (c *Conn) Expect(n int) { c.expected.Store(int64(n)) }

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
	b, err := c.read()
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

// read reads the next frame into a buffer that grows with the bytes that have arrived.
func (c *Conn) read() ([]byte, error) {
	_, r, err := c.ws.NextReader()
	if err != nil {
		return nil, err
	}
	limit := max(c.maxFrame, int(c.expected.Swap(0)))
	b := make([]byte, 0, firstPiece)
	for {
		if len(b) == cap(b) {
			grown := make([]byte, len(b), min(2*cap(b), limit+1))
			copy(grown, b)
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// Discard reads until the other side closes the connection, or for a time, so that a reset doesn't destroy what was sent last.
func (c *Conn) Discard(timeout time.Duration) {
	if err := c.ws.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	// An error means that the connection has ended, or that the time is over.
	_, _ = io.Copy(io.Discard, c.ws.NetConn())
}

// Close closes the connection at once.
func (c *Conn) Close() error { return c.ws.Close() }

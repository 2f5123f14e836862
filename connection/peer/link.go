package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"savorywing.example/savorywing/process/queue"
	"savorywing.example/savorywing/wire"
)

// link keeps a dialled connection to one other daemon, and redials it when the connection ends.
type link struct {
	mesh    *Mesh
	host    string
	address string
	ctx     context.Context
	stop    context.CancelFunc

	mu sync.Mutex
	// out is nil while there is no connection.
	out    *queue.Queue[*outgoing]
	nextID uint64
	// pending maps the ID of each call in flight on the open connection to the channel for its reply.
	pending map[uint64]chan wire.Frame
}

func newLink(m *Mesh, host, address string) *link {
	ctx, stop := context.WithCancel(m.ctx)
	return &link{mesh: m, host: host, address: address, ctx: ctx, stop: stop, pending: map[uint64]chan wire.Frame{}}
}

func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out != nil
}

func (l *link) run() {
	defer l.mesh.done.Done()
	delay := initialRedialDelay
	for l.ctx.Err() == nil {
		c, err := l.mesh.dial(l.address)
		if err == nil {
			l.serve(c)
			delay = initialRedialDelay
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (l *link) serve(c *websocket.Conn) {
	hello := wire.Frame{Hello: &wire.Hello{
		Host: l.mesh.cfg.Host, Boot: l.mesh.cfg.BootID, Protocol: Protocol, DataCentre: l.mesh.cfg.DataCentre,
	}}
	if err := l.mesh.writeFrame(c, hello); err != nil {
		_ = c.Close()
		return
	}
	out := queue.New[*outgoing](queueSize)
	quit := make(chan struct{})
	l.open(out)
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		l.mesh.writeLoop(c, out, quit)
	}()
	stop := context.AfterFunc(l.ctx, func() { _ = c.Close() })
	l.mesh.handler.HandleConnected(l.host)
	l.mesh.readLoop(c, l.receive)
	stop()
	l.close()
	l.mesh.handler.HandleDisconnected(l.host)
	close(quit)
	_ = c.Close()
	done.Wait()
}

func (l *link) open(out *queue.Queue[*outgoing]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

// close fails every call that is pending on the connection.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = nil
	for id, ch := range l.pending {
		close(ch)
		delete(l.pending, id)
	}
}

// receive delivers a reply to its call and any other frame to the handler. It always returns true, so that
// readLoop continues.
func (l *link) receive(f wire.Frame) bool {
	if !f.Reply {
		l.mesh.handler.HandleOneWay(l.host, f)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch, ok := l.pending[f.ID]; ok {
		delete(l.pending, f.ID)
		ch <- f
	}
	return true
}

func (l *link) send(f *outgoing) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enqueue(f)
}

func (l *link) enqueue(f *outgoing) error {
	if l.out == nil {
		return fmt.Errorf("%w: %s", ErrNotConnected, l.host)
	}
	if !l.out.Push(f) {
		return fmt.Errorf("%w: %s", ErrBusy, l.host)
	}
	return nil
}

func (l *link) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	ch, id, err := l.startCall(f)
	if err != nil {
		return wire.Frame{}, fmt.Errorf("Mesh.Call: %w", err)
	}
	select {
	case reply, ok := <-ch:
		if !ok {
			return wire.Frame{}, fmt.Errorf("Mesh.Call: the connection to %s was lost", l.host)
		}
		return reply, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
		return wire.Frame{}, fmt.Errorf("Mesh.Call: %s: %w", l.host, ctx.Err())
	}
}

func (l *link) startCall(f wire.Frame) (chan wire.Frame, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	f.ID = l.nextID
	if err := l.enqueue(&outgoing{frame: f}); err != nil {
		return nil, 0, err
	}
	ch := make(chan wire.Frame, 1)
	l.pending[f.ID] = ch
	return ch, f.ID, nil
}

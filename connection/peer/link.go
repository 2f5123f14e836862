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

// link is the dialled connection to one other daemon.
type link struct {
	mesh    *Mesh
	host    string
	address string
	ctx     context.Context
	stop    context.CancelFunc

	mu sync.Mutex
	// out is nil while there is no connection.
	out    *queue.Queue[wire.Frame]
	nextID uint64
	// waiting holds a channel for each call on the open connection.
	waiting map[uint64]chan wire.Frame
}

func newLink(m *Mesh, host, address string) *link {
	ctx, stop := context.WithCancel(m.ctx)
	return &link{mesh: m, host: host, address: address, ctx: ctx, stop: stop, waiting: map[uint64]chan wire.Frame{}}
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out != nil
}

func (l *link) run() {
	defer l.mesh.done.Done()
	pause := redialPause
	for l.ctx.Err() == nil {
		c, err := l.mesh.dial(l.address)
		if err == nil {
			l.serve(c)
			pause = redialPause
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestRedial)
	}
}

func (l *link) serve(c *websocket.Conn) {
	hello := wire.Frame{Hello: &wire.Hello{
		Host: l.mesh.cfg.Host, Boot: l.mesh.cfg.Boot, Protocol: Protocol, DataCentre: l.mesh.cfg.DataCentre,
	}}
	if err := l.mesh.writeFrame(c, hello); err != nil {
		_ = c.Close()
		return
	}
	out := queue.New[wire.Frame](ringSize)
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
	l.mesh.readLoop(c, l.take)
	stop()
	l.close()
	l.mesh.handler.HandleLost(l.host)
	close(quit)
	_ = c.Close()
	done.Wait()
}

func (l *link) open(out *queue.Queue[wire.Frame]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

// close ends every call that waits on the connection.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = nil
	for id, ch := range l.waiting {
		close(ch)
		delete(l.waiting, id)
	}
}

// take pairs a reply with its call; any other frame goes to the handler.
func (l *link) take(f wire.Frame) bool {
	if !f.Reply {
		l.mesh.handler.HandleOneWay(l.host, f)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch, ok := l.waiting[f.ID]; ok {
		delete(l.waiting, f.ID)
		ch <- f
	}
	return true
}

func (l *link) send(f wire.Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.push(f)
}

func (l *link) push(f wire.Frame) error {
	if l.out == nil {
		return fmt.Errorf("%w: %s", ErrNotConnected, l.host)
	}
	if !l.out.Push(f) {
		return fmt.Errorf("%w: %s", ErrBusy, l.host)
	}
	return nil
}

func (l *link) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	ch, id, err := l.begin(f)
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
		delete(l.waiting, id)
		l.mu.Unlock()
		return wire.Frame{}, fmt.Errorf("Mesh.Call: %s: %w", l.host, ctx.Err())
	}
}

func (l *link) begin(f wire.Frame) (chan wire.Frame, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	f.ID = l.nextID
	if err := l.push(f); err != nil {
		return nil, 0, err
	}
	ch := make(chan wire.Frame, 1)
	l.waiting[f.ID] = ch
	return ch, f.ID, nil
}

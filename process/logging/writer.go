// Package logging writes structured lines to standard output without ever making their author wait.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"savorywing.example/savorywing/process/queue"
)

const (
	// ringLines bounds the lines that wait for the output.
	ringLines = 4096
	// batchBytes is how much is written at once.
	batchBytes = 32 << 10
	// gatherTime is how long lines are gathered before they are written, to save writes.
	gatherTime = 50 * time.Millisecond
	// flushTime bounds the last write at a stop.
	flushTime = 300 * time.Millisecond
)

// Writer is a bounded queue before a slow or stuck output. Lines that find it full are counted and dropped;
// the number is written once there is room again.
type Writer struct {
	out     io.Writer
	lines   *queue.Queue[[]byte]
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter starts the thread that writes.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: queue.New[[]byte](ringLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full and have not been told of yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines.Out():
			batch = append(batch[:0], line...)
		case <-w.stop:
			w.write(w.gather(batch[:0]))
			return
		}
		select {
		case <-time.After(gatherTime):
		case <-w.stop:
		}
		w.write(w.gather(batch))
	}
}

// gather appends what waits, up to a batch.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines.Out():
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"event\":\"linesDropped\",\"count\":%d}\n", n)
	}
	return batch
}

func (w *Writer) write(batch []byte) {
	// There is nowhere to tell that the output itself fails.
	_, _ = w.out.Write(batch)
}

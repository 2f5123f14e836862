// Package logging writes structured log lines to standard output without blocking the goroutines that log.
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
	// maxQueuedLines bounds the lines that wait for the output.
	maxQueuedLines = 4096
	// batchBytes is the size from which a batch takes no more lines.
	batchBytes = 32 << 10
	// batchDelay is how long lines are collected before they are written, to save system calls.
	batchDelay = 50 * time.Millisecond
	// flushTimeout bounds the last write when the writer is closed.
	flushTimeout = 300 * time.Millisecond
)

// Writer is a bounded queue in front of an output that may be slow or stuck. Lines that find it full are counted
// and dropped. The count is written with the next batch.
type Writer struct {
	out     io.Writer
	lines   *queue.Queue[[]byte]
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: queue.New[[]byte](maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
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

// Dropped returns the number of lines that found the queue full and have not been reported in the output yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes one last batch of queued lines and waits for it at most flushTimeout. Further lines are lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
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
			w.write(w.fillBatch(batch[:0]))
			return
		}
		select {
		case <-time.After(batchDelay):
		case <-w.stop:
		}
		w.write(w.fillBatch(batch))
	}
}

// fillBatch appends queued lines to batch, up to batchBytes, and a line with the number of dropped lines if there
// are any.
func (w *Writer) fillBatch(batch []byte) []byte {
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
	// A failure of the log output itself can't be reported anywhere.
	_, _ = w.out.Write(batch)
}

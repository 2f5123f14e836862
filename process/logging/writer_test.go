package logging

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestWriterKeepsOrder(t *testing.T) {
	var out lockedBuffer
	w := NewWriter(&out)
	for i := range 100 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 100 || lines[0] != "line 0" || lines[99] != "line 99" {
		t.Errorf("got %d lines, %q to %q; want line 0 to line 99", len(lines), lines[0], lines[len(lines)-1])
	}
}

// TestWriterNeverBlocks fills a pipe that nobody reads: Write must drop lines instead of blocking, and Close must
// return.
func TestWriterNeverBlocks(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = pipe.Close() }()
	w := NewWriter(pipe)
	line := bytes.Repeat([]byte("x"), 1000)
	start := time.Now()
	for range 20000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("writing 20,000 lines to a full pipe took %v", elapsed)
	}
	if w.Dropped() == 0 {
		t.Error("no line counted as dropped")
	}
	start = time.Now()
	w.Close()
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("Close waited %v for the pipe", elapsed)
	}
	_ = r.Close()
}

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
		t.Errorf("%d lines, %q to %q", len(lines), lines[0], lines[len(lines)-1])
	}
}

// TestWriterNeverBlocks fills a pipe that nobody reads.
func TestWriterNeverBlocks(t *testing.T) {
	r, pipe, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = pipe.Close() }()
	w := NewWriter(pipe)
	line := bytes.Repeat([]byte("x"), 1000)
	began := time.Now()
	for range 20000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("20,000 lines to a full pipe took %v", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	began = time.Now()
	w.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("closing waited %v for the pipe", took)
	}
	_ = r.Close()
}

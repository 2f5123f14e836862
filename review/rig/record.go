package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-9s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

package gateway

import (
	"sync"
	"time"
)

// healthyLines bounds the log lines of requests that were served without trouble, in lines a second.
const healthyLines = 4

// troubledLines bounds the log lines of all other requests, in lines a second.
const troubledLines = 200

// sampler lets a bounded number of lines through each second.
type sampler struct {
	mu     sync.Mutex
	limit  int
	second int64
	n      int
}

func (s *sampler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Unix() != s.second {
		s.second, s.n = now.Unix(), 0
	}
	s.n++
	return s.n <= s.limit
}

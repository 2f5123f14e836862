package gateway

import (
	"sync"
	"time"
)

// maxServedLinesPerSecond bounds the log lines about requests that were served without a problem.
const maxServedLinesPerSecond = 4

// maxProblemLinesPerSecond bounds the log lines about all other requests.
const maxProblemLinesPerSecond = 200

// sampler limits the number of log lines per second.
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

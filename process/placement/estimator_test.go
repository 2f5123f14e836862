package placement

import (
	"testing"
	"time"
)

func TestWaitEstimator(t *testing.T) {
	record := func(e *WaitEstimator, n int, remaining time.Duration) {
		for range n {
			e.PriorWait("r", remaining)
		}
	}
	for _, tt := range []struct {
		name      string
		setup     func(e *WaitEstimator)
		remaining time.Duration
		want      time.Duration
	}{
		{"nothing known", func(*WaitEstimator) {}, time.Second, 0},
		{"too few requests", func(e *WaitEstimator) { record(e, 5, 6*time.Second) }, 5 * time.Second, 0},
		{"retry after a rejection", func(e *WaitEstimator) { record(e, 20, 6*time.Second) }, 5500 * time.Millisecond, 500 * time.Millisecond},
		{"first call", func(e *WaitEstimator) { record(e, 20, 6*time.Second) }, 6 * time.Second, 0},
		{"longer timeout than others", func(e *WaitEstimator) { record(e, 20, 6*time.Second) }, 9 * time.Second, 0},
		{"no timeout stated", func(e *WaitEstimator) { record(e, 20, 6*time.Second) }, 0, 0},
		{"all timeouts differ", func(e *WaitEstimator) {
			for i := range 200 {
				e.PriorWait("r", time.Duration(i)*time.Millisecond)
			}
		}, 50 * time.Millisecond, 0},
		{"timeout of all callers becomes shorter", func(e *WaitEstimator) { record(e, 200, 6*time.Second); record(e, 60, 2*time.Second) }, 1900 * time.Millisecond, 100 * time.Millisecond},
		{"a third are retries", func(e *WaitEstimator) {
			for i := range 100 {
				record(e, 2, 6*time.Second)
				e.PriorWait("r", 5*time.Second+time.Duration(i)*time.Millisecond)
			}
		}, 5 * time.Second, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := NewWaitEstimator()
			tt.setup(e)
			if got := e.PriorWait("r", tt.remaining); got != tt.want {
				t.Errorf("prior wait %v, want %v", got, tt.want)
			}
		})
	}
}

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

// TestWaitEstimatorSpread checks callers of whom no two state the same timeout: first attempts state 5.1 to 5.955 s.
func TestWaitEstimatorSpread(t *testing.T) {
	first := func(e *WaitEstimator, n int) {
		for i := range n {
			e.PriorWait("r", 5100*time.Millisecond+time.Duration(i*7%20)*45*time.Millisecond)
		}
	}
	returning := func(i int) time.Duration { return 4*time.Second + time.Duration(i%40)*15*time.Millisecond }
	for _, tt := range []struct {
		name      string
		setup     func(e *WaitEstimator)
		remaining time.Duration
		returned  bool
	}{
		{"few requests", func(e *WaitEstimator) { first(e, 15) }, 4 * time.Second, false},
		{"first attempt", func(e *WaitEstimator) { first(e, 100) }, 5100 * time.Millisecond, false},
		{"return", func(e *WaitEstimator) { first(e, 100) }, 4 * time.Second, true},
		{"return, and so do half of all others", func(e *WaitEstimator) {
			first(e, 100)
			for i := range 100 {
				first(e, 1)
				e.PriorWait("r", returning(i))
			}
		}, 4 * time.Second, true},
		{"half of all return, and it was never calm", func(e *WaitEstimator) {
			for i := range 100 {
				first(e, 1)
				e.PriorWait("r", returning(i))
			}
		}, 4100 * time.Millisecond, false},
		{"timeouts become shorter", func(e *WaitEstimator) {
			first(e, 100)
			for i := range 60 {
				e.PriorWait("r", 2*time.Second+time.Duration(i*7%20)*10*time.Millisecond)
			}
		}, 2 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := NewWaitEstimator()
			tt.setup(e)
			got := e.PriorWait("r", tt.remaining)
			if (got > 0) != tt.returned {
				t.Errorf("prior wait %v, want one: %v", got, tt.returned)
			}
			if actual := 5550*time.Millisecond - tt.remaining; tt.returned && (got < actual-100*time.Millisecond || got > actual+100*time.Millisecond) {
				t.Errorf("prior wait %v, want about %v", got, actual)
			}
		})
	}
}

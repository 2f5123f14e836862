package placement

import (
	"testing"
	"time"
)

func TestWaitEstimator(t *testing.T) {
	usual := func(p *WaitEstimator, n int, left time.Duration) {
		for range n {
			p.PriorWait("r", left)
		}
	}
	for _, tt := range []struct {
		name string
		set  func(p *WaitEstimator)
		left time.Duration
		want time.Duration
	}{
		{"nothing known", func(*WaitEstimator) {}, time.Second, 0},
		{"too few", func(p *WaitEstimator) { usual(p, 5, 6*time.Second) }, 5 * time.Second, 0},
		{"back after a refusal", func(p *WaitEstimator) { usual(p, 20, 6*time.Second) }, 5500 * time.Millisecond, 500 * time.Millisecond},
		{"first call", func(p *WaitEstimator) { usual(p, 20, 6*time.Second) }, 6 * time.Second, 0},
		{"more patient than others", func(p *WaitEstimator) { usual(p, 20, 6*time.Second) }, 9 * time.Second, 0},
		{"not said", func(p *WaitEstimator) { usual(p, 20, 6*time.Second) }, 0, 0},
		{"each says something else", func(p *WaitEstimator) {
			for i := range 200 {
				p.PriorWait("r", time.Duration(i)*time.Millisecond)
			}
		}, 50 * time.Millisecond, 0},
		{"all say less from now on", func(p *WaitEstimator) { usual(p, 200, 6*time.Second); usual(p, 60, 2*time.Second) }, 1900 * time.Millisecond, 100 * time.Millisecond},
		{"a third comes back", func(p *WaitEstimator) {
			for i := range 100 {
				usual(p, 2, 6*time.Second)
				p.PriorWait("r", 5*time.Second+time.Duration(i)*time.Millisecond)
			}
		}, 5 * time.Second, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := NewWaitEstimator()
			tt.set(p)
			if got := p.PriorWait("r", tt.left); got != tt.want {
				t.Errorf("waited %v, want %v", got, tt.want)
			}
		})
	}
}

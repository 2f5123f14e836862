package retry

import (
	"testing"
	"time"
)

// TestWindow checks the limit in every span of the window's length, under steady load and after a pause.
func TestWindow(t *testing.T) {
	const span, ratio, retryBurst = 10 * time.Second, 0.2, 3.0
	w := NewWindow(span, ratio)
	now := time.Unix(1000, 0)
	var firstSends, resends []time.Time
	count := func(list []time.Time) int {
		n := 0
		for _, at := range list {
			if now.Sub(at) < span {
				n++
			}
		}
		return n
	}
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		if i == 3000 {
			now = now.Add(time.Minute)
		}
		if i%4 == 0 {
			w.RecordFirstSend(now)
			firstSends = append(firstSends, now)
		}
		if w.Spend(now, retryBurst) {
			resends = append(resends, now)
		}
		// Buckets expire as a whole, so a span that isn't aligned with them may count up to one bucket more.
		if got, limit := count(resends), ratio*float64(count(firstSends))*1.1+retryBurst+1; float64(got) > limit*1.1 {
			t.Fatalf("%d resends within the span at step %d, at most %.0f", got, i, limit)
		}
	}
	if len(resends) < 300 {
		t.Errorf("%d resends in all: the budget is hardly used", len(resends))
	}
}

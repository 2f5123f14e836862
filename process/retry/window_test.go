package retry

import (
	"testing"
	"time"
)

// TestWindow demands the bound of every span of the window's length, at a steady load and after a pause.
func TestWindow(t *testing.T) {
	const span, share, slack = 10 * time.Second, 0.2, 3.0
	w := NewWindow(span, share)
	now := time.Unix(1000, 0)
	var firsts, repeats []time.Time
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
			firsts = append(firsts, now)
		}
		if w.Spend(now, slack) {
			repeats = append(repeats, now)
		}
		// Parts fall out whole, so up to one part more may be counted in a span that lies across them.
		if got, most := count(repeats), share*float64(count(firsts))*1.1+slack+1; float64(got) > most*1.1 {
			t.Fatalf("%d repeats within the span at step %d, at most %.0f", got, i, most)
		}
	}
	if len(repeats) < 300 {
		t.Errorf("%d repeats in all: the budget is hardly used", len(repeats))
	}
}

package logging

import (
	"fmt"
	"testing"
	"time"

	"savorywing.example/savorywing/process/clock"
)

// TestRepeatedEvents guards against a log that one source, or many, fill with the same event.
func TestRepeatedEvents(t *testing.T) {
	now := clock.NewManual(time.Unix(1000, 0))
	r := NewRepeats(now)
	count := func(source func(i int) string) (allowed int, omitted uint64) {
		for i := range 1000 {
			ok, n := r.Allow(source(i))
			if ok {
				allowed++
			}
			omitted += n
		}
		return allowed, omitted
	}
	same := func(int) string { return "one" }
	if got, _ := count(same); got != 1 {
		t.Errorf("%d events of one source were logged, want 1", got)
	}
	if got, omitted := count(func(i int) string { return fmt.Sprint(i) }); got != maxSources-1 || omitted != 999 {
		t.Errorf("%d events of 1000 sources were logged, and %d stated as omitted; want %d and 999", got, omitted, maxSources-1)
	}
	now.Advance(repeatInterval)
	if got, omitted := count(same); got != 1 || omitted != 1000-maxSources+1 {
		t.Errorf("after the interval, %d events of one source were logged, and %d stated as omitted; want 1 and %d", got, omitted, 1000-maxSources+1)
	}
}

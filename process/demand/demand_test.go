package demand

import (
	"testing"
	"time"
)

// TestUnserved checks that what isn't served lies between the mean excess and the demand, and falls with capacity.
func TestUnserved(t *testing.T) {
	for _, mean := range []float64{0, 0.5, 30, 900} {
		last := mean
		for capacity := 0.0; capacity < 2000; capacity += 25 {
			got := Unserved(mean, capacity)
			if got < max(0, mean-capacity)-1e-9 || got > last+0.4 {
				t.Fatalf("%v slots of demand, %v slots: %v aren't served, %v with fewer slots", mean, capacity, got, last)
			}
			last = got
		}
		if last > 1e-6 {
			t.Errorf("%v of %v aren't served with 2000 slots", last, mean)
		}
	}
}

// TestShortages replays needs of a model: a belief changes only once what contradicts it has lasted.
func TestShortages(t *testing.T) {
	for _, tt := range []struct {
		name        string
		need        func(at time.Duration) float64
		wantChanges int
	}{
		{"a peak of a second", func(at time.Duration) float64 { return step(at > 5*time.Second && at < 6*time.Second) }, 0},
		{"it swings each 1.5 s", func(at time.Duration) float64 { return step(at/(1500*time.Millisecond)%2 == 0) }, 0},
		{"it stays", func(at time.Duration) float64 { return step(at > 5*time.Second) }, 1},
		{"it stays, with pauses of 3 s", func(at time.Duration) float64 { return step(at > 5*time.Second && at%(6*time.Second) > 3*time.Second) }, 1},
		{"it ends", func(at time.Duration) float64 { return step(at > 5*time.Second && at < 15*time.Second) }, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s Shortages
			start, changes := time.Unix(1000, 0), 0
			for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
				need := tt.need(at)
				s.Observe(start.Add(at), "m", Model{Mean: need * 90, Planned: need * 100, Capacity: 100})
				changes += len(s.TakeChanges())
			}
			if changes != tt.wantChanges {
				t.Errorf("%d changes, want %d", changes, tt.wantChanges)
			}
		})
	}
}

func step(short bool) float64 {
	if short {
		return 1.6
	}
	return 0.6
}

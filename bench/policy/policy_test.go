package policy

import (
	"reflect"
	"testing"
	"time"
)

// TestDeterministic proves that a comparison gives the same table from the same seed.
func TestDeterministic(t *testing.T) {
	tests := []struct {
		name string
		run  func(seed uint64, length time.Duration) *Table
	}{
		{"admission", Admission},
		{"routing", Routing},
		{"retries", Retries},
		{"placement", Placement},
	}
	const length = 6 * time.Second
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, want := tt.run(3, length), tt.run(3, length)
			if !reflect.DeepEqual(got, want) {
				t.Errorf("two runs from one seed differ:\n%v\n%v", got.Rows, want.Rows)
			}
			if len(got.Rows) == 0 {
				t.Error("the table is empty")
			}
		})
	}
}

// TestPlacement compares the product's placement with the way it replaces, in a large fleet and a small one. What can be
// in time at most is one in pressure; three fifths of it are demanded when groups are overrun.
func TestPlacement(t *testing.T) {
	const length = 14 * time.Second
	for _, tt := range []struct {
		name     string
		shape    crowdShape
		pressure float64
		// want is the least part of all callers who are in time, and times how many as many as before.
		want, times float64
	}{
		{"large, usual", crowdShapes[0], 0.7, 0.97, 0.97},
		{"large, full", crowdShapes[0], 1.0, 0.6, 1},
		{"large, overrun", crowdShapes[0], 1.4, 0.6 / 1.4, 3},
		{"small, usual", crowdShapes[1], 0.7, 0.97, 0.97},
		{"small, full", crowdShapes[1], 1.0, 0.6, 1},
		{"small, overrun", crowdShapes[1], 1.4, 0.6 / 1.4, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := newCrowd(1, tt.shape, tt.pressure, crowdWays[0].way(tt.shape)).play(length)
			before := newCrowd(1, tt.shape, tt.pressure, crowdWays[1].way(tt.shape)).play(length)
			in, was := got.part(got.inTime), before.part(before.inTime)
			t.Logf("in time %.3f, late %.3f, lost %.3f; %s: %.3f, %.3f, %.3f", in, got.part(got.late), got.part(got.lost),
				crowdWays[1].name, was, before.part(before.late), before.part(before.lost))
			if in < tt.want || in < tt.times*was {
				t.Errorf("%.3f in time, want %.3f, and %.2f times %.3f", in, tt.want, tt.times, was)
			}
		})
	}
}

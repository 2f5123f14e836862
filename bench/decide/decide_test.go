package decide

import (
	"reflect"
	"testing"
	"time"
)

// TestRepeatable proves that a comparison gives the same table from the same seed.
func TestRepeatable(t *testing.T) {
	tests := []struct {
		name string
		run  func(seed uint64, length time.Duration) *Table
	}{
		{"admission", Admission},
		{"routing", Routing},
		{"retries", Retries},
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

package descriptors

import "testing"

// TestForControl checks that the budget leaves room for files and for the other daemons.
func TestForControl(t *testing.T) {
	tests := []struct {
		name        string
		n           int
		want        Budget
		leftAtLeast int
	}{
		{"unbounded", 0, Budget{0, 256}, 0},
		{"a small host", 100, Budget{16, 4}, 80},
		{"a large host", 4096, Budget{2307, 256}, 330 + 2*5 + 200},
	}
	for _, tt := range tests {
		if got := ForControl(tt.n); got != tt.want || tt.n-got.MaxCalls-got.MaxOrders < tt.leftAtLeast && tt.n > 0 {
			t.Errorf("%s: %+v, want %+v with %d left", tt.name, got, tt.want, tt.leftAtLeast)
		}
	}
}

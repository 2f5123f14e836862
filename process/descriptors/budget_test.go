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
		{"unbounded", 0, Budget{MaxOrders: 256, MaxPending: 256, MaxScrapes: 64}, 0},
		{"a small host", 100, Budget{MaxCalls: 16, MaxOrders: 4, MaxPending: 8, MaxScrapes: 4}, 68},
		{"a large host", 4096, Budget{MaxCalls: 2307, MaxOrders: 256, MaxPending: 256, MaxScrapes: 64}, 330 + 2*5 + 200},
	}
	for _, tt := range tests {
		got := ForControl(tt.n)
		if left := tt.n - got.MaxCalls - got.MaxOrders - got.MaxPending - got.MaxScrapes; got != tt.want || left < tt.leftAtLeast && tt.n > 0 {
			t.Errorf("%s: %+v, want %+v with %d left", tt.name, got, tt.want, tt.leftAtLeast)
		}
	}
}

// TestForEntry checks that an entry host's connections leave room for files and for those that it opens to control hosts, and that
// the memory and not the descriptors bounds its callers in the deployments in force.
func TestForEntry(t *testing.T) {
	for _, tt := range []struct {
		name                                string
		n, memoryCalls, callsAtLeast, files int
	}{
		{"a small host", 400, 288, 45, 200},
		{"the smallest of the deployments", 2870, 544, 544, 200},
		{"one of a large deployment", 4100, 736, 736, 200},
		{"one of the first deployments", 2940, 824, 807, 200},
		{"a host of 444 MB", 10762, 1776, 1776, 200},
		{"memory unknown", 2870, 0, 786, 200},
	} {
		b := ForEntry(tt.n, tt.memoryCalls)
		if all := int(callDescriptors*float64(b.MaxCalls)) + b.Forwards + b.MaxIdle + b.MaxPending + b.MaxScrapes + b.MaxChecks; b.MaxCalls < tt.callsAtLeast || all > tt.n-tt.files {
			t.Errorf("%s: %+v are %d", tt.name, b, all)
		}
	}
	if b := ForEntry(0, 100); b.MaxCalls != 100 || b.MaxIdle != 0 || b.MaxPending <= 0 {
		t.Errorf("without a bound: %+v", b)
	}
}

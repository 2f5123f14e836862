package reporting

import (
	"slices"
	"testing"
)

// TestHasMajority answers a cut through the control hosts: servers reach both sides, and only one side can have a leader.
func TestHasMajority(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"}
	for _, tt := range []struct {
		name    string
		members []string
		heard   []string
		want    bool
	}{
		{"all", five, five, true},
		{"three of five", five, []string{"a", "c", "e"}, true},
		{"two of five", five, []string{"a", "c"}, false},
		{"half", five[:4], []string{"a", "b"}, false},
		{"only one that isn't a member", five, []string{"f", "a", "b"}, false},
		{"a single one", five[:1], []string{"a"}, true},
		{"before the first membership", nil, nil, true},
	} {
		if got := HasMajority(tt.members, func(member string) bool { return slices.Contains(tt.heard, member) }); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

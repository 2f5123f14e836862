package residency

import "testing"

func TestArea(t *testing.T) {
	m := Map{"a": "north", "b": "north", "c": "south", "d": ""}
	for _, tt := range []struct {
		name       string
		area       Area
		dataCentre string
		want       bool
	}{
		{"no restriction", m.Within(nil, nil), "c", true},
		{"no restriction, unknown data centre", m.Within(), "x", true},
		{"route's region", m.Within([]string{"north"}, nil), "b", true},
		{"another region", m.Within([]string{"north"}, nil), "c", false},
		{"organisation's region", m.Within(nil, []string{"south"}), "c", true},
		{"both bind", m.Within([]string{"north", "south"}, []string{"south"}), "a", false},
		{"both allow", m.Within([]string{"north", "south"}, []string{"south"}), "c", true},
		{"nothing in common", m.Within([]string{"north"}, []string{"south"}), "a", false},
		{"unknown data centre", m.Within([]string{"north"}), "x", false},
		{"data centre without a region", m.Within([]string{"north", ""}), "d", false},
		{"restricted without known regions", Map(nil).Within([]string{"north"}), "a", false},
		{"around", m.Around("a"), "b", true},
		{"around, another region", m.Around("a"), "c", false},
		{"around an unknown data centre", m.Around("x"), "x", false},
		{"around without known regions", Map(nil).Around("a"), "c", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.area.Contains(tt.dataCentre); got != tt.want {
				t.Errorf("Contains(%q) = %v, want %v", tt.dataCentre, got, tt.want)
			}
		})
	}
}

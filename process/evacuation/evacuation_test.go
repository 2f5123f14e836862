package evacuation

import (
	"errors"
	"slices"
	"testing"

	"savorywing.example/savorywing/wire"
)

func begin(name string) wire.Evacuate  { return wire.Evacuate{DataCentre: name, On: true} }
func finish(name string) wire.Evacuate { return wire.Evacuate{DataCentre: name} }

// TestApply checks the set after orders, among them resent ones and those of two operators.
func TestApply(t *testing.T) {
	tests := []struct {
		name     string
		orders   []wire.Evacuate
		want     []string
		revision uint64
	}{
		{"no order", nil, nil, 0},
		{"finish without a begin", []wire.Evacuate{finish("a")}, nil, 0},
		{"begin", []wire.Evacuate{begin("a")}, []string{"a"}, 1},
		{"begin resent", []wire.Evacuate{begin("a"), begin("a")}, []string{"a"}, 1},
		{"two data centres", []wire.Evacuate{begin("b"), begin("a")}, []string{"a", "b"}, 2},
		{"finish resent", []wire.Evacuate{begin("a"), finish("a"), finish("a")}, nil, 2},
		{"finish of another one", []wire.Evacuate{begin("a"), finish("b")}, []string{"a"}, 1},
		{"one operator begins, another finishes", []wire.Evacuate{begin("a"), finish("a"), begin("a")}, []string{"a"}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s *Set
			for i, o := range tt.orders {
				before := s.Names()
				next := s.Apply(uint64(i+1), o)
				if !slices.Equal(s.Names(), before) {
					t.Fatalf("order %d changed the set that others hold", i)
				}
				s = next
			}
			if !slices.Equal(s.Names(), tt.want) || s.Revision() != tt.revision {
				t.Errorf("got %v of revision %d, want %v of %d", s.Names(), s.Revision(), tt.want, tt.revision)
			}
			if r := Restore(s.Wire()); !slices.Equal(r.Names(), s.Names()) || r.Revision() != s.Revision() {
				t.Errorf("restored %v of revision %d from %v", r.Names(), r.Revision(), s.Wire())
			}
		})
	}
}

// TestNewer guards against a host that goes back to an older set, for instance that of a former leader or of one without evacuations.
func TestNewer(t *testing.T) {
	held := Restore(&wire.Evacuations{Revision: 5, DataCentres: []string{"a"}})
	for _, tt := range []struct {
		name   string
		stated *wire.Evacuations
		covers bool
	}{
		{"none", nil, true},
		{"older", &wire.Evacuations{Revision: 4}, true},
		{"same", &wire.Evacuations{Revision: 5}, true},
		{"newer", &wire.Evacuations{Revision: 6}, false},
	} {
		if got := held.Newer(tt.stated); got.Covers("a") != tt.covers {
			t.Errorf("%s: got %v", tt.name, got.Names())
		}
	}
}

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name     string
		order    wire.Evacuate
		complete bool
		formats  []int
		want     error
	}{
		{"known", begin("a"), true, []int{LogFormat, LogFormat}, nil},
		{"known to a host that has just started", begin("a"), false, nil, nil},
		{"unknown", begin("x"), true, nil, ErrUnknown},
		{"unknown to a host that has just started", begin("x"), false, nil, ErrUnsure},
		{"finish of an unknown one", finish("x"), true, nil, ErrUnknown},
		{"evacuated, and nothing there makes itself known", finish("gone"), true, nil, nil},
		{"beside an older version", begin("a"), true, []int{LogFormat, 0}, ErrOldHost},
	} {
		v := View{
			Evacuated: (*Set)(nil).Apply(1, begin("gone")), IsKnown: func(name string) bool { return name == "a" }, Complete: tt.complete, Formats: tt.formats,
		}
		if err := Check(v, tt.order); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

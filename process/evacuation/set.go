// Package evacuation holds which data centres are evacuated, and decides which orders of operators can be obeyed. It is pure: orders of
// the replicated log in, sets out.
package evacuation

import (
	"slices"

	"savorywing.example/savorywing/wire"
)

// LogFormat is the format of the replicated log's commands that has evacuations. A control host that knows an earlier one rejects
// them and loses them in its snapshots.
const LogFormat = 1

// Set is the set of evacuated data centres. It never changes once made, so that goroutines may share it. A nil Set is the empty one
// before the first order.
type Set struct {
	// revision is the log index of the last change. It orders all sets of a deployment. Of several changes in one entry, only the
	// result is visible to others.
	revision uint64
	// names lists the data centres, sorted and each once.
	names []string
}

// Restore returns the set that a snapshot holds.
func Restore(w *wire.Evacuations) *Set {
	if w == nil {
		return nil
	}
	names := slices.Clone(w.DataCentres)
	slices.Sort(names)
	return &Set{revision: w.Revision, names: slices.Compact(names)}
}

// Apply returns the set after the order in the log entry with an index: the same one if the order has no effect.
func (s *Set) Apply(index uint64, o wire.Evacuate) *Set {
	if s.Covers(o.DataCentre) == o.On {
		return s
	}
	names := slices.Clone(s.Names())
	if at, found := slices.BinarySearch(names, o.DataCentre); found {
		names = slices.Delete(names, at, at+1)
	} else {
		names = slices.Insert(names, at, o.DataCentre)
	}
	return &Set{revision: index, names: names}
}

// IsSuperseded reports whether an order would change the set although it follows another one, so that it may be a copy that was held up
// on its way until a later order had been obeyed.
func (s *Set) IsSuperseded(o wire.Evacuate) bool {
	return o.Follows != nil && *o.Follows != s.Revision() && s.Covers(o.DataCentre) != o.On
}

// Newer returns the set that another daemon states if it is newer than s, which is returned otherwise.
func (s *Set) Newer(w *wire.Evacuations) *Set {
	if w == nil || w.Revision <= s.Revision() {
		return s
	}
	return Restore(w)
}

// Revision returns the log index of the last change, 0 before the first.
func (s *Set) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Covers reports whether a data centre is evacuated.
func (s *Set) Covers(name string) bool { return s != nil && slices.Contains(s.names, name) }

// Names returns the evacuated data centres, sorted. The list must not be modified.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return s.names
}

// Wire returns the set as it is stored and sent, nil before the first order.
func (s *Set) Wire() *wire.Evacuations {
	if s == nil {
		return nil
	}
	return &wire.Evacuations{Revision: s.revision, DataCentres: s.names}
}

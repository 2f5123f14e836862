// Package evacuation holds which data centres are evacuated, and decides which orders of operators can be obeyed. It is pure: orders of
// the replicated log in, sets out.
package evacuation

import (
	"maps"
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
	names    map[string]bool
}

// Restore returns the set that a snapshot holds.
func Restore(w *wire.Evacuations) *Set {
	if w == nil {
		return nil
	}
	s := &Set{revision: w.Revision, names: make(map[string]bool, len(w.DataCentres))}
	for _, name := range w.DataCentres {
		s.names[name] = true
	}
	return s
}

// Apply returns the set after the order in the log entry with an index: the same one if the order has no effect.
func (s *Set) Apply(index uint64, o wire.Evacuate) *Set {
	if s.Covers(o.DataCentre) == o.On {
		return s
	}
	next := &Set{revision: index, names: map[string]bool{}}
	if s != nil {
		maps.Copy(next.names, s.names)
	}
	if o.On {
		next.names[o.DataCentre] = true
	} else {
		delete(next.names, o.DataCentre)
	}
	return next
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
func (s *Set) Covers(name string) bool { return s != nil && s.names[name] }

// Names returns the evacuated data centres, sorted.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.names))
}

// Wire returns the set as it is stored and sent, nil before the first order.
func (s *Set) Wire() *wire.Evacuations {
	if s == nil {
		return nil
	}
	return &wire.Evacuations{Revision: s.revision, DataCentres: s.Names()}
}

package router

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func candidates(loads ...float64) []Candidate {
	list := make([]Candidate, len(loads))
	for i, load := range loads {
		list[i] = Candidate{ID: fmt.Sprintf("group-%d", i), ReportedLoad: load, Slots: 10, Local: true}
	}
	return list
}

func TestPick(t *testing.T) {
	Convey("Without candidates, none is picked", t, func() {
		for _, policy := range []Policy{Random, LeastLoad, TwoChoices, Affinity} {
			So(New(policy, 1).Pick(nil, 7), ShouldEqual, -1)
		}
	})
	Convey("The least loaded group is picked, and the local one among equals", t, func() {
		So(New(LeastLoad, 1).Pick(candidates(5, 2, 9), 0), ShouldEqual, 1)
		list := candidates(5, 5, 5)
		list[0].Local, list[2].Local = false, false
		So(New(LeastLoad, 1).Pick(list, 0), ShouldEqual, 1)
	})
	Convey("Two choices rarely pick the most loaded of many", t, func() {
		r := New(TwoChoices, 1)
		list := candidates(0, 0, 0, 0, 0, 0, 0, 10)
		worst := 0
		for range 1000 {
			if r.Pick(list, 0) == 7 {
				worst++
			}
		}
		So(worst, ShouldBeLessThan, 50)
	})
	Convey("Affinity", t, func() {
		Convey("is the same on every host", func() {
			list := candidates(1, 1, 1, 1, 1)
			for prefix := uint64(1); prefix < 50; prefix++ {
				So(New(Affinity, 1).Pick(list, prefix), ShouldEqual, New(Affinity, 2).Pick(list, prefix))
			}
		})
		Convey("distributes prefixes over all groups", func() {
			used := map[int]bool{}
			for prefix := uint64(1); prefix < 100; prefix++ {
				used[New(Affinity, 1).Pick(candidates(1, 1, 1, 1, 1), prefix)] = true
			}
			So(used, ShouldHaveLength, 5)
		})
		Convey("does not exceed the load limit", func() {
			r := New(Affinity, 1)
			list := candidates(1, 1, 1, 1, 1)
			preferred := r.Pick(list, 9)
			list[preferred].ReportedLoad = 9
			list[preferred].Cached = true
			So(r.Pick(list, 9), ShouldNotEqual, preferred)
		})
		Convey("prefers a group that caches the prefix", func() {
			list := candidates(1, 1, 1, 1, 1)
			other := (New(Affinity, 1).Pick(list, 9) + 1) % 5
			list[other].Cached = true
			So(New(Affinity, 1).Pick(list, 9), ShouldEqual, other)
		})
	})
}

func BenchmarkPick(b *testing.B) {
	r := New(Affinity, 1)
	list := candidates(make([]float64, 20)...)
	for i := range b.N {
		r.Pick(list, uint64(i)+1)
	}
}

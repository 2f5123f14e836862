package straggler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(0, 0)

// observe records a time between tokens of every group each 100 ms, for a number of seconds, and returns the time at the end.
func observe(d *Detector, now time.Time, seconds int, interToken func(group int) time.Duration) time.Time {
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for g := range 15 {
			d.Observe(now, fmt.Sprintf("group-%02d", g), interToken(g))
		}
	}
	return now
}

func TestDetector(t *testing.T) {
	normal := func(int) time.Duration { return 20 * time.Millisecond }
	Convey("A group at a quarter of its speed is ejected within 10 s and readmitted after it recovers", t, func() {
		d := NewDetector()
		now := observe(d, start, 10, normal)
		So(d.Ejected(), ShouldBeEmpty)
		slow := func(g int) time.Duration {
			if g == 4 {
				return 80 * time.Millisecond
			}
			return normal(g)
		}
		now = observe(d, now, 10, slow)
		So(d.Ejected(), ShouldResemble, []string{"group-04"})
		d.RecordProbe(now, "group-04")
		So(d.Usable(now, "group-04"), ShouldBeFalse)
		observe(d, now, 5, normal)
		So(d.Ejected(), ShouldBeEmpty)
	})
	Convey("No group is ejected while all are slow", t, func() {
		d := NewDetector()
		now := observe(d, start, 5, normal)
		observe(d, now, 10, func(int) time.Duration { return 200 * time.Millisecond })
		So(d.Ejected(), ShouldBeEmpty)
	})
	Convey("No more than a fifth is ejected at once", t, func() {
		d := NewDetector()
		observe(d, start, 20, func(g int) time.Duration {
			if g < 6 {
				return 100 * time.Millisecond
			}
			return 20 * time.Millisecond
		})
		So(len(d.Ejected()), ShouldEqual, 3)
	})
	Convey("A group without observations for a minute no longer counts as a peer", t, func() {
		d := NewDetector()
		now := observe(d, start, 2, normal)
		d.Observe(now, "gone", 20*time.Millisecond)
		observe(d, now, 61, normal)
		So(d.records, ShouldHaveLength, 15)
	})
	Convey("An ejected group gets a probe at intervals", t, func() {
		d := NewDetector()
		now := observe(d, start, 10, func(g int) time.Duration {
			if g == 0 {
				return time.Second
			}
			return 20 * time.Millisecond
		})
		So(d.Usable(now.Add(probeInterval), "group-00"), ShouldBeTrue)
		d.RecordProbe(now.Add(probeInterval), "group-00")
		So(d.Usable(now.Add(probeInterval), "group-00"), ShouldBeFalse)
	})
}

package straggler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(0, 0)

// drive gives every group a time between tokens each 100 ms, for a number of seconds.
func drive(d *Detector, now time.Time, seconds int, between func(group int) time.Duration) time.Time {
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for g := range 15 {
			d.Observe(now, fmt.Sprintf("group-%02d", g), between(g))
		}
	}
	return now
}

func TestDetector(t *testing.T) {
	normal := func(int) time.Duration { return 20 * time.Millisecond }
	Convey("A group at a quarter of its speed is out within 10 s and comes back", t, func() {
		d := NewDetector()
		now := drive(d, start, 10, normal)
		So(d.Ejected(), ShouldBeEmpty)
		slow := func(g int) time.Duration {
			if g == 4 {
				return 80 * time.Millisecond
			}
			return normal(g)
		}
		now = drive(d, now, 10, slow)
		So(d.Ejected(), ShouldResemble, []string{"group-04"})
		d.RecordProbe(now, "group-04")
		So(d.Usable(now, "group-04"), ShouldBeFalse)
		drive(d, now, 5, normal)
		So(d.Ejected(), ShouldBeEmpty)
	})
	Convey("A slow moment of everything ejects nothing", t, func() {
		d := NewDetector()
		now := drive(d, start, 5, normal)
		drive(d, now, 10, func(int) time.Duration { return 200 * time.Millisecond })
		So(d.Ejected(), ShouldBeEmpty)
	})
	Convey("No more than a fifth is ejected at once", t, func() {
		d := NewDetector()
		drive(d, start, 20, func(g int) time.Duration {
			if g < 6 {
				return 100 * time.Millisecond
			}
			return 20 * time.Millisecond
		})
		So(len(d.Ejected()), ShouldEqual, 3)
	})
	Convey("A group that is gone no longer counts as a peer", t, func() {
		d := NewDetector()
		now := drive(d, start, 2, normal)
		d.Observe(now, "gone", 20*time.Millisecond)
		drive(d, now, 61, normal)
		So(d.records, ShouldHaveLength, 15)
	})
	Convey("An ejected group gets a probe now and then", t, func() {
		d := NewDetector()
		now := drive(d, start, 10, func(g int) time.Duration {
			if g == 0 {
				return time.Second
			}
			return 20 * time.Millisecond
		})
		So(d.Usable(now.Add(probeEvery), "group-00"), ShouldBeTrue)
		d.RecordProbe(now.Add(probeEvery), "group-00")
		So(d.Usable(now.Add(probeEvery), "group-00"), ShouldBeFalse)
	})
}

package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
)

// TestClockContract drives every clock: time never goes back, and After fires once its time has come.
func TestClockContract(t *testing.T) {
	manual := NewManual(time.Unix(0, 0))
	clocks := map[string]struct {
		clock savorywing.Clock
		pass  func()
	}{
		"system":   {System{}, func() {}},
		"boottime": {Boottime{}, func() {}},
		"manual":   {manual, func() { manual.Advance(time.Millisecond) }},
	}
	for name, c := range clocks {
		Convey("The clock "+name, t, func() {
			before := c.clock.Now()
			fired := c.clock.After(time.Millisecond)
			c.pass()
			at := <-fired
			So(at.Before(before.Add(time.Millisecond)), ShouldBeFalse)
			So(c.clock.Now().Before(at), ShouldBeFalse)
		})
	}
}

package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
)

// TestClockContract checks that no clock goes backwards, and that After fires no earlier than its time.
func TestClockContract(t *testing.T) {
	manual := NewManual(time.Unix(0, 0))
	clocks := map[string]struct {
		clock   savorywing.Clock
		advance func()
	}{
		"system":   {System{}, func() {}},
		"boottime": {Boottime{}, func() {}},
		"manual":   {manual, func() { manual.Advance(time.Millisecond) }},
	}
	for name, c := range clocks {
		Convey("The clock "+name, t, func() {
			before := c.clock.Now()
			fired := c.clock.After(time.Millisecond)
			c.advance()
			at := <-fired
			So(at.Before(before.Add(time.Millisecond)), ShouldBeFalse)
			So(c.clock.Now().Before(at), ShouldBeFalse)
		})
	}
}

package deadline

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func window(from, to string, firstToken time.Duration, days ...string) Window {
	w := Window{Days: days, FirstToken: firstToken, BetweenTokens: time.Second, CompleteResponse: time.Minute}
	if err := w.From.UnmarshalText([]byte(from)); err != nil {
		panic(err)
	}
	if err := w.To.UnmarshalText([]byte(to)); err != nil {
		panic(err)
	}
	return w
}

// clockChangeClass returns a class in Tallinn with a separate window for each part of the night in which clocks change.
func clockChangeClass() Class {
	return Class{TimeZone: "Europe/Tallinn", Windows: map[string]Window{
		"evening": window("04:00", "02:30", 1*time.Second),
		"late":    window("02:30", "03:30", 2*time.Second),
		"early":   window("03:30", "04:00", 3*time.Second),
	}}
}

// TestScheduleAt covers the changes to and from summer time: in Tallinn, clocks skip from 03:00 to 04:00 on
// 28 March 2027, and go back from 04:00 to 03:00 on 31 October 2027, so that an hour is repeated.
func TestScheduleAt(t *testing.T) {
	audit := Class{TimeZone: "Asia/Kolkata", Windows: map[string]Window{
		"audit": window("07:00", "10:00", 1*time.Second, "mon"),
		"rest":  window("10:00", "07:00", 2*time.Second, "mon"),
		"week":  window("07:00", "07:00", 3*time.Second, "tue", "wed", "thu", "fri", "sat", "sun"),
	}}
	tests := []struct {
		name  string
		class Class
		at    string
		want  time.Duration
	}{
		{"before the change to summer time", clockChangeClass(), "2027-03-28T00:59:59Z", 2 * time.Second},
		{"the skipped hour", clockChangeClass(), "2027-03-28T01:00:00Z", 1 * time.Second},
		{"02:45 before the change to summer time", clockChangeClass(), "2027-03-28T00:45:00Z", 2 * time.Second},
		{"02:45 before the repeated hour", clockChangeClass(), "2027-10-30T23:45:00Z", 2 * time.Second},
		{"03:15, the first time", clockChangeClass(), "2027-10-31T00:15:00Z", 2 * time.Second},
		{"03:45, the first time", clockChangeClass(), "2027-10-31T00:45:00Z", 3 * time.Second},
		{"03:15, the second time", clockChangeClass(), "2027-10-31T01:15:00Z", 2 * time.Second},
		{"03:45, the second time", clockChangeClass(), "2027-10-31T01:45:00Z", 3 * time.Second},
		{"04:00 after the repeated hour", clockChangeClass(), "2027-10-31T02:00:00Z", 1 * time.Second},
		{"audit morning in Gujarat", audit, "2026-12-07T01:30:00Z", 1 * time.Second},
		{"a minute before the audit, still Sunday's window", audit, "2026-12-07T01:29:59Z", 3 * time.Second},
		{"after the audit", audit, "2026-12-07T04:30:00Z", 2 * time.Second},
		{"Monday's window runs past midnight", audit, "2026-12-07T19:00:00Z", 2 * time.Second},
		{"Tuesday", audit, "2026-12-08T01:30:00Z", 3 * time.Second},
	}
	for _, tt := range tests {
		Convey("At "+tt.name, t, func() {
			So(tt.class.Validate(), ShouldBeEmpty)
			s, err := NewSchedule(tt.class)
			So(err, ShouldBeNil)
			at, err := time.Parse(time.RFC3339, tt.at)
			So(err, ShouldBeNil)
			So(s.At(at).FirstToken, ShouldEqual, tt.want)
		})
	}
}

func TestClassValidate(t *testing.T) {
	tests := []struct {
		name   string
		class  Class
		reason string
	}{
		{"an hour is not covered", Class{TimeZone: "UTC", Windows: map[string]Window{
			"a": window("08:00", "07:00", time.Second),
		}}, "no window covers sun 07:00"},
		{"windows overlap", Class{TimeZone: "UTC", Windows: map[string]Window{
			"a": window("00:00", "24:00", time.Second), "b": window("12:00", "13:00", time.Second),
		}}, "overlaps window a on sun 12:00"},
		{"the time zone is unknown", Class{TimeZone: "Gujarat", Windows: map[string]Window{
			"a": window("00:00", "24:00", time.Second),
		}}, `unknown time zone "Gujarat"`},
		{"the day is unknown", Class{TimeZone: "UTC", Windows: map[string]Window{
			"a": window("00:00", "24:00", time.Second, "monday"),
		}}, `unknown day "monday"; days are mon to sun`},
		{"a time is zero", Class{TimeZone: "UTC", Windows: map[string]Window{
			"a": window("00:00", "24:00", 0),
		}}, "firstToken, betweenTokens and wholeAnswer must be above 0"},
		{"there is no window", Class{TimeZone: "UTC"}, "no window covers sun 00:00"},
	}
	for _, tt := range tests {
		Convey("When "+tt.name, t, func() {
			problems := tt.class.Validate()
			So(problems, ShouldHaveLength, 1)
			So(problems[0].Reason, ShouldEqual, tt.reason)
		})
	}
}

func TestTimeOfDay(t *testing.T) {
	Convey("Invalid times of day are rejected", t, func() {
		for _, text := range []string{"7:00", "24:01", "07:60", "-1:00", "noon", "07:00:00", ""} {
			var at TimeOfDay
			So(at.UnmarshalText([]byte(text)), ShouldNotBeNil)
		}
	})
}

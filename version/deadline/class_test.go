package deadline

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func window(from, to string, first time.Duration, days ...string) Window {
	w := Window{Days: days, FirstToken: first, BetweenTokens: time.Second, CompleteResponse: time.Minute}
	if err := w.From.UnmarshalText([]byte(from)); err != nil {
		panic(err)
	}
	if err := w.To.UnmarshalText([]byte(to)); err != nil {
		panic(err)
	}
	return w
}

// tallinn has a window of its own for each part of the night in which clocks change.
func tallinn() Class {
	return Class{TimeZone: "Europe/Tallinn", Windows: map[string]Window{
		"evening": window("04:00", "02:30", 1*time.Second),
		"late":    window("02:30", "03:30", 2*time.Second),
		"early":   window("03:30", "04:00", 3*time.Second),
	}}
}

// TestScheduleAt has a row for every hour that summer time makes special: on 28 March 2027 clocks in
// Tallinn go from 03:00 to 04:00, on 31 October 2027 from 04:00 back to 03:00.
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
		{"before spring forward", tallinn(), "2027-03-28T00:59:59Z", 2 * time.Second},
		{"the missing hour is skipped", tallinn(), "2027-03-28T01:00:00Z", 1 * time.Second},
		{"02:45 in winter time", tallinn(), "2027-03-28T00:45:00Z", 2 * time.Second},
		{"02:45 before the hour that comes twice", tallinn(), "2027-10-30T23:45:00Z", 2 * time.Second},
		{"03:15, the first time", tallinn(), "2027-10-31T00:15:00Z", 2 * time.Second},
		{"03:45, the first time", tallinn(), "2027-10-31T00:45:00Z", 3 * time.Second},
		{"03:15, the second time", tallinn(), "2027-10-31T01:15:00Z", 2 * time.Second},
		{"03:45, the second time", tallinn(), "2027-10-31T01:45:00Z", 3 * time.Second},
		{"04:00 after both", tallinn(), "2027-10-31T02:00:00Z", 1 * time.Second},
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
	Convey("Only real times of day are read", t, func() {
		for _, text := range []string{"7:00", "24:01", "07:60", "-1:00", "noon", "07:00:00", ""} {
			var at TimeOfDay
			So(at.UnmarshalText([]byte(text)), ShouldNotBeNil)
		}
	})
}

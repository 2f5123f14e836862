package deadline

import (
	"fmt"
	"sort"
	"time"
	_ "time/tzdata" // Hosts may lack a time zone database.
)

const (
	daysPerWeek    = 7
	minutesPerHour = 60
	minutesPerDay  = 24 * minutesPerHour
)

// Timeouts are the times that a caller waits for a response.
type Timeouts struct {
	// FirstToken and CompleteResponse count from the request's arrival.
	FirstToken time.Duration
	// BetweenTokens is the longest time between two tokens.
	BetweenTokens    time.Duration
	CompleteResponse time.Duration
}

// Window states the timeouts for some hours of some days of the week.
type Window struct {
	// Days are names from mon to sun; an empty list means every day.
	Days []string `yaml:"days"`
	// From and To are local times; To is excluded. A window whose To is not after its From runs past midnight, and
	// belongs to the day on which it starts.
	From             TimeOfDay     `yaml:"from"`
	To               TimeOfDay     `yaml:"to"`
	FirstToken       time.Duration `yaml:"firstToken"`
	BetweenTokens    time.Duration `yaml:"betweenTokens"`
	CompleteResponse time.Duration `yaml:"wholeAnswer"`
}

// Class is a class of callers with the same timeouts.
type Class struct {
	// TimeZone is an IANA time zone name such as Asia/Kolkata.
	TimeZone string `yaml:"timeZone"`
	// Windows must cover every minute of the week exactly once.
	Windows map[string]Window `yaml:"windows"`
}

// Problem is one error in a class.
type Problem struct {
	// Field is the dotted path of the value within the class.
	Field  string
	Reason string
}

// TimeOfDay is a local time in minutes since midnight. 24:00 is allowed as the end of a window.
type TimeOfDay int

// UnmarshalText parses a time such as 07:30.
func (t *TimeOfDay) UnmarshalText(text []byte) error {
	var h, m int
	if n, err := fmt.Sscanf(string(text), "%d:%d", &h, &m); n != 2 || err != nil || len(text) != len("00:00") {
		return fmt.Errorf("%q is not a time of day such as 07:30", text)
	}
	if h < 0 || m < 0 || m >= minutesPerHour || h*minutesPerHour+m > minutesPerDay {
		return fmt.Errorf("%q is not a time of day such as 07:30", text)
	}
	*t = TimeOfDay(h*minutesPerHour + m)
	return nil
}

// String returns the time in the form 07:30.
func (t TimeOfDay) String() string {
	return fmt.Sprintf("%02d:%02d", int(t)/minutesPerHour, int(t)%minutesPerHour)
}

// dayNames is indexed by time.Weekday.
var dayNames = [daysPerWeek]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// weekdayIndex returns the index of a day's name in dayNames, or -1.
func weekdayIndex(name string) int {
	for i, n := range dayNames {
		if n == name {
			return i
		}
	}
	return -1
}

// forEachMinute calls f for every minute of the week that w covers. Minutes count from Sunday 00:00.
func (w Window) forEachMinute(f func(minute int)) {
	for day, name := range dayNames {
		if !w.coversDay(name) {
			continue
		}
		end := int(w.To)
		if w.To <= w.From {
			end += minutesPerDay
		}
		for m := int(w.From); m < end; m++ {
			f((day*minutesPerDay + m) % (daysPerWeek * minutesPerDay))
		}
	}
}

func (w Window) coversDay(name string) bool {
	if len(w.Days) == 0 {
		return true
	}
	for _, d := range w.Days {
		if d == name {
			return true
		}
	}
	return false
}

func (c Class) windowNames() []string {
	names := make([]string, 0, len(c.Windows))
	for name := range c.Windows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Validate returns all errors in the class. Coverage of the week is checked only if there are no others.
func (c Class) Validate() []Problem {
	var problems []Problem
	if _, err := time.LoadLocation(c.TimeZone); err != nil || c.TimeZone == "" {
		problems = append(problems, Problem{"timeZone", fmt.Sprintf("unknown time zone %q", c.TimeZone)})
	}
	for _, name := range c.windowNames() {
		problems = append(problems, c.Windows[name].validate("windows."+name)...)
	}
	if len(problems) > 0 {
		return problems
	}
	return c.validateCoverage()
}

func (w Window) validate(field string) []Problem {
	var problems []Problem
	for _, day := range w.Days {
		if weekdayIndex(day) < 0 {
			problems = append(problems, Problem{field + ".days", fmt.Sprintf("unknown day %q; days are mon to sun", day)})
		}
	}
	if w.FirstToken <= 0 || w.BetweenTokens <= 0 || w.CompleteResponse <= 0 {
		problems = append(problems, Problem{field, "firstToken, betweenTokens and wholeAnswer must be above 0"})
	}
	if w.CompleteResponse < w.FirstToken {
		problems = append(problems, Problem{field + ".wholeAnswer", "must not be shorter than firstToken"})
	}
	return problems
}

// validateCoverage checks that each minute of the week is covered by exactly one window.
func (c Class) validateCoverage() []Problem {
	var coveredBy [daysPerWeek * minutesPerDay]string
	for _, name := range c.windowNames() {
		overlap := ""
		c.Windows[name].forEachMinute(func(minute int) {
			if coveredBy[minute] != "" && coveredBy[minute] != name && overlap == "" {
				overlap = fmt.Sprintf("overlaps window %s on %s", coveredBy[minute], minuteName(minute))
			}
			coveredBy[minute] = name
		})
		if overlap != "" {
			return []Problem{{"windows." + name, overlap}}
		}
	}
	for minute, name := range coveredBy {
		if name == "" {
			return []Problem{{"windows", "no window covers " + minuteName(minute)}}
		}
	}
	return nil
}

func minuteName(minute int) string {
	return fmt.Sprintf("%s %s", dayNames[minute/minutesPerDay], TimeOfDay(minute%minutesPerDay))
}

// Schedule holds the timeouts of a class for each minute of the week.
type Schedule struct {
	location *time.Location
	// week is indexed by minute of the week, counted from Sunday 00:00 local time.
	week [daysPerWeek * minutesPerDay]*Timeouts
}

// NewSchedule returns the schedule of a class for which Validate has found no errors.
func NewSchedule(c Class) (*Schedule, error) {
	location, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return nil, fmt.Errorf("deadline.NewSchedule: %w", err)
	}
	s := &Schedule{location: location}
	for _, name := range c.windowNames() {
		w := c.Windows[name]
		timeouts := &Timeouts{FirstToken: w.FirstToken, BetweenTokens: w.BetweenTokens, CompleteResponse: w.CompleteResponse}
		w.forEachMinute(func(minute int) { s.week[minute] = timeouts })
	}
	for minute, timeouts := range s.week {
		if timeouts == nil {
			return nil, fmt.Errorf("deadline.NewSchedule: no window covers %s", minuteName(minute))
		}
	}
	return s, nil
}

// At returns the timeouts of a request that arrives at t.
func (s *Schedule) At(t time.Time) Timeouts {
	local := t.In(s.location)
	minute := int(local.Weekday())*minutesPerDay + local.Hour()*minutesPerHour + local.Minute()
	return *s.week[minute]
}

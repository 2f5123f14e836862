package deadline

import (
	"fmt"
	"sort"
	"time"
	_ "time/tzdata" // The hosts may lack a time zone database.
)

const (
	daysPerWeek    = 7
	minutesPerHour = 60
	minutesPerDay  = 24 * minutesPerHour
)

// Timeouts is how long a caller waits.
type Timeouts struct {
	// FirstToken and CompleteResponse count from the request's arrival.
	FirstToken       time.Duration
	BetweenTokens    time.Duration
	CompleteResponse time.Duration
}

// Window is a patience for some hours of some days.
type Window struct {
	// Days are mon to sun; none means every day.
	Days []string `yaml:"days"`
	// From and To are local times; a window that ends before it starts runs past midnight,
	// and belongs to the day on which it starts.
	From             TimeOfDay     `yaml:"from"`
	To               TimeOfDay     `yaml:"to"`
	FirstToken       time.Duration `yaml:"firstToken"`
	BetweenTokens    time.Duration `yaml:"betweenTokens"`
	CompleteResponse time.Duration `yaml:"wholeAnswer"`
}

// Class is a kind of caller.
type Class struct {
	// TimeZone is a name such as Asia/Kolkata.
	TimeZone string            `yaml:"timeZone"`
	Windows  map[string]Window `yaml:"windows"`
}

// Problem is one error in a class.
type Problem struct {
	Field  string
	Reason string
}

// TimeOfDay is a local time in minutes since midnight; 24:00 is allowed as an end.
type TimeOfDay int

// UnmarshalText reads a time such as 07:30.
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

// String returns the time as 07:30.
func (t TimeOfDay) String() string {
	return fmt.Sprintf("%02d:%02d", int(t)/minutesPerHour, int(t)%minutesPerHour)
}

// dayNames is indexed by time.Weekday.
var dayNames = [daysPerWeek]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func dayNumber(name string) int {
	for i, n := range dayNames {
		if n == name {
			return i
		}
	}
	return -1
}

// minutes calls f for every minute of the week, counted from Sunday midnight, that w covers.
func (w Window) minutes(f func(minute int)) {
	for day, name := range dayNames {
		if !w.onDay(name) {
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

func (w Window) onDay(name string) bool {
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

func (c Class) names() []string {
	names := make([]string, 0, len(c.Windows))
	for name := range c.Windows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Validate returns everything that is wrong with the class.
func (c Class) Validate() []Problem {
	var problems []Problem
	if _, err := time.LoadLocation(c.TimeZone); err != nil || c.TimeZone == "" {
		problems = append(problems, Problem{"timeZone", fmt.Sprintf("unknown time zone %q", c.TimeZone)})
	}
	for _, name := range c.names() {
		problems = append(problems, c.Windows[name].validate("windows."+name)...)
	}
	if len(problems) > 0 {
		return problems
	}
	return c.validateCover()
}

func (w Window) validate(field string) []Problem {
	var problems []Problem
	for _, day := range w.Days {
		if dayNumber(day) < 0 {
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

func (c Class) validateCover() []Problem {
	var owner [daysPerWeek * minutesPerDay]string
	for _, name := range c.names() {
		overlap := ""
		c.Windows[name].minutes(func(minute int) {
			if owner[minute] != "" && owner[minute] != name && overlap == "" {
				overlap = fmt.Sprintf("overlaps window %s on %s", owner[minute], minuteName(minute))
			}
			owner[minute] = name
		})
		if overlap != "" {
			return []Problem{{"windows." + name, overlap}}
		}
	}
	for minute, name := range owner {
		if name == "" {
			return []Problem{{"windows", "no window covers " + minuteName(minute)}}
		}
	}
	return nil
}

func minuteName(minute int) string {
	return fmt.Sprintf("%s %s", dayNames[minute/minutesPerDay], TimeOfDay(minute%minutesPerDay))
}

// Schedule answers which patience applies at a moment.
type Schedule struct {
	location *time.Location
	// week holds a patience for each minute from Sunday midnight.
	week [daysPerWeek * minutesPerDay]*Timeouts
}

// NewSchedule returns the schedule of a class that Validate found right.
func NewSchedule(c Class) (*Schedule, error) {
	location, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return nil, fmt.Errorf("deadline.NewSchedule: %w", err)
	}
	s := &Schedule{location: location}
	for _, name := range c.names() {
		w := c.Windows[name]
		p := &Timeouts{FirstToken: w.FirstToken, BetweenTokens: w.BetweenTokens, CompleteResponse: w.CompleteResponse}
		w.minutes(func(minute int) { s.week[minute] = p })
	}
	for minute, p := range s.week {
		if p == nil {
			return nil, fmt.Errorf("deadline.NewSchedule: no window covers %s", minuteName(minute))
		}
	}
	return s, nil
}

// At returns the patience of a request that arrives at t.
func (s *Schedule) At(t time.Time) Timeouts {
	local := t.In(s.location)
	minute := int(local.Weekday())*minutesPerDay + local.Hour()*minutesPerHour + local.Minute()
	return *s.week[minute]
}

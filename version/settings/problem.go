package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Position is the place in the files where a value was set.
type Position struct {
	File string
	Line int
}

// Problem is one error in the settings, with the position of the value to correct.
type Problem struct {
	Position

	// Field is the dotted path of the value.
	Field  string
	Reason string
}

// String returns file, line, field and reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// Problems are all errors found in one load of the settings.
type Problems []Problem

// Error implements error. The text has one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].File != p[j].File {
			return p[i].File < p[j].File
		}
		return p[i].Line < p[j].Line
	})
	return p
}

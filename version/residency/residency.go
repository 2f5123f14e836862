// Package residency decides in which regions a request may be handled. It has no state and no I/O.
package residency

import (
	"slices"
	"strings"
)

// Map is the region of each data centre. Data centres without an entry are in no known region.
type Map map[string]string

// Area is where a request may be handled. The zero value is everywhere.
type Area struct {
	regions Map
	// allowed holds the regions, if restricted is set. It may be empty: then the request may be handled nowhere.
	allowed    []string
	restricted bool
}

// Within returns the regions that all lists have in common. An empty list restricts nothing.
func (m Map) Within(lists ...[]string) Area {
	a := Area{regions: m}
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !a.restricted:
			a.allowed, a.restricted = list, true
		default:
			a.allowed = intersect(a.allowed, list)
		}
	}
	return a
}

// Around returns the region of a data centre. It is everywhere if no data centre's region is known.
func (m Map) Around(dataCentre string) Area {
	if len(m) == 0 {
		return Area{}
	}
	a := Area{regions: m, restricted: true}
	if region := m[dataCentre]; region != "" {
		a.allowed = []string{region}
	}
	return a
}

// IsRestricted reports whether there are regions in which the request may not be handled.
func (a Area) IsRestricted() bool { return a.restricted }

// Key identifies an area among those of one map; it is empty for everywhere.
func (a Area) Key() string {
	if !a.restricted {
		return ""
	}
	return "in:" + strings.Join(a.allowed, ",")
}

// Contains reports whether a request may be handled in a data centre. One whose region isn't known is in no restricted area.
func (a Area) Contains(dataCentre string) bool {
	if !a.restricted {
		return true
	}
	region := a.regions[dataCentre]
	return region != "" && slices.Contains(a.allowed, region)
}

func intersect(a, b []string) []string {
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// Package deadline determines the timeouts of a class of callers by local time and day of the week.
package deadline

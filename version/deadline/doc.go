// Package deadline decides how long a class of callers can wait, by local time and day.
package deadline

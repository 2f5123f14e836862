package controller

import (
	"testing"
	"time"

	"savorywing.example/savorywing/version/instance"
)

// TestLeaseLostForAMoment guards against a leader that forgets blocked requests and limits when it gets its lease back in the
// same term: entry hosts report these only to a leader of another term.
func TestLeaseLostForAMoment(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := &Controller{settings: &instance.Settings{}}
	c.beginTerm(now, 2)
	quarantine, limits := c.quarantine, c.limits
	for _, tt := range []struct {
		name string
		term uint64
		kept bool
	}{
		{"the same term", 2, true},
		{"another term", 3, false},
	} {
		c.beginTerm(now, tt.term)
		if got := c.quarantine == quarantine && c.limits == limits; got != tt.kept {
			t.Errorf("%s: kept %v, want %v", tt.name, got, tt.kept)
		}
	}
}

package listening

import (
	"testing"
	"time"
)

// TestGaps checks what counts as a gap: the end of a suspension, and the return of a majority, but not the start of a process.
func TestGaps(t *testing.T) {
	type observation struct {
		after   time.Duration
		inReach bool
	}
	const step = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		list []observation
		// want are the causes of the gaps that ended, and since is how long before the last observation the host began to listen.
		want  []string
		since time.Duration
		// waited is for how long a call that is handled at the last observation may have waited here.
		waited time.Duration
	}{
		{"always in reach", []observation{{step, true}, {step, true}, {step, true}}, nil, 2 * step, 0},
		{"a start out of reach", []observation{{step, false}, {step, false}, {step, true}, {step, true}}, nil, step, 0},
		{"a long step", []observation{{step, true}, {MaxGap, true}}, nil, MaxGap, 0},
		{"a suspension", []observation{{step, true}, {step, true}, {4 * time.Second, true}, {step, true}}, []string{"suspended"}, step, 4*time.Second + step},
		{"a suspension out of reach", []observation{{step, true}, {step, false}, {4 * time.Second, false}, {step, true}}, []string{"suspended", "outOfReach"}, 0, 4*time.Second + step},
		{"a suspension, and out of reach for a moment", []observation{{step, true}, {4 * time.Second, true}, {step, true}, {step, false}, {step, true}}, []string{"suspended", "outOfReach"}, 0, 4*time.Second + 3*step},
		{"a cut", []observation{{step, true}, {step, false}, {step, false}, {step, true}, {step, true}}, []string{"outOfReach"}, step, 3 * step},
		{"a cut goes on", []observation{{step, true}, {step, false}, {step, false}}, nil, 2 * step, 0},
	} {
		var tracker Tracker
		now := time.Unix(1_000_000, 0)
		var causes []string
		for _, o := range tt.list {
			now = now.Add(o.after)
			if g, ended := tracker.Observe(now, o.inReach); ended {
				causes = append(causes, g.Cause())
			}
		}
		if len(causes) != len(tt.want) || int(tracker.Gaps()) != len(tt.want) {
			t.Errorf("%s: gaps %v, want %v", tt.name, causes, tt.want)
			continue
		}
		for i := range causes {
			if causes[i] != tt.want[i] {
				t.Errorf("%s: gaps %v, want %v", tt.name, causes, tt.want)
			}
		}
		if got := now.Sub(tracker.Since()); got != tt.since {
			t.Errorf("%s: the host has listened for %s, want %s", tt.name, got, tt.since)
		}
		const settle, delay = time.Second, 10 * time.Second
		if got := now.Sub(tracker.EarliestSent(now, delay, settle)) - delay; got != tt.waited {
			t.Errorf("%s: a call may have waited for %s, want %s", tt.name, got, tt.waited)
		}
		if later := now.Add(settle); later.Sub(tracker.EarliestSent(later, delay, settle)) != delay {
			t.Errorf("%s: a call may have waited for longer, long after the gap", tt.name)
		}
	}
}

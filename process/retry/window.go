package retry

import "time"

// windowParts is the number of parts of a sliding window; older ones fall out one at a time.
const windowParts = 10

// Window bounds repeated sends over a sliding window to a share of the first sends and a slack.
type Window struct {
	part  time.Duration
	share float64
	// firsts and repeats count sends by part of the window; at is the newest part's number.
	firsts, repeats [windowParts]int
	at              int64
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration, share float64) *Window {
	return &Window{part: max(1, span/windowParts), share: share}
}

func (w *Window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.part)
	for i := min(at-w.at, windowParts); i > 0; i-- {
		slot := (at - i + 1) % windowParts
		w.firsts[slot], w.repeats[slot] = 0, 0
	}
	w.at = at
}

// RecordFirstSend counts a request that is sent for the first time.
func (w *Window) RecordFirstSend(now time.Time) {
	w.advance(now)
	w.firsts[w.at%windowParts]++
}

// Spend tells whether one more repeat fits beside slack, and counts it if so.
func (w *Window) Spend(now time.Time, slack float64) bool {
	w.advance(now)
	firsts, repeats := 0, 0
	for i := range windowParts {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > w.share*float64(firsts)+slack {
		return false
	}
	w.repeats[w.at%windowParts]++
	return true
}

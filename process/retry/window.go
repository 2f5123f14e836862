package retry

import "time"

// windowBuckets is the number of buckets of a sliding window, which expire one at a time.
const windowBuckets = 10

// Window limits resends within a sliding window to a ratio of the first sends, plus a burst.
type Window struct {
	bucketSize time.Duration
	ratio      float64
	// firstSends and resends count sends by bucket. newest is the number of the newest bucket, counted from the Unix epoch.
	firstSends, resends [windowBuckets]int
	newest              int64
}

// NewWindow returns an empty window of length span; ratio is the number of resends per first send.
func NewWindow(span time.Duration, ratio float64) *Window {
	return &Window{bucketSize: max(1, span/windowBuckets), ratio: ratio}
}

func (w *Window) advance(now time.Time) {
	newest := now.UnixNano() / int64(w.bucketSize)
	for i := min(newest-w.newest, windowBuckets); i > 0; i-- {
		bucket := (newest - i + 1) % windowBuckets
		w.firstSends[bucket], w.resends[bucket] = 0, 0
	}
	w.newest = newest
}

// RecordFirstSend counts a request that is sent for the first time.
func (w *Window) RecordFirstSend(now time.Time) {
	w.advance(now)
	w.firstSends[w.newest%windowBuckets]++
}

// Spend reports whether one more resend is allowed, given retryBurst resends on top of the ratio, and counts it if so.
func (w *Window) Spend(now time.Time, retryBurst float64) bool {
	w.advance(now)
	firstSends, resends := 0, 0
	for i := range windowBuckets {
		firstSends += w.firstSends[i]
		resends += w.resends[i]
	}
	if float64(resends+1) > w.ratio*float64(firstSends)+retryBurst {
		return false
	}
	w.resends[w.newest%windowBuckets]++
	return true
}

package clock

import "time"

// remoteWindow is the time for at least which the shortest delay of a message is remembered. Clocks may drift apart meanwhile.
const remoteWindow = 10 * time.Second

// Remote maps times of another host's clock to this host's. The clocks need not agree: the message with the shortest delay shows
// the difference between them, up to that delay. The zero value knows of no message.
type Remote struct {
	// newer and older are the smallest differences between the arrival and the stamp of a message. older is dropped when newer
	// takes its place.
	newer, older time.Duration
	rotatedAt    time.Time
	lastStamp    int64
}

// SentAt returns when a message was sent that arrived now, by this host's clock. The stamp is the time of the other host's
// clock when it sent the message, in nanoseconds. Messages arrive in the order in which they were sent.
func (r *Remote) SentAt(now time.Time, stamp int64) time.Time {
	difference := time.Duration(now.UnixNano() - stamp)
	if r.rotatedAt.IsZero() || stamp < r.lastStamp {
		// The other host's clock began anew, or was set back.
		r.newer, r.older, r.rotatedAt = difference, difference, now
	}
	if now.Sub(r.rotatedAt) >= remoteWindow {
		r.older, r.newer, r.rotatedAt = r.newer, difference, now
	}
	r.newer, r.lastStamp = min(r.newer, difference), stamp
	return time.Unix(0, stamp).Add(min(r.newer, r.older))
}

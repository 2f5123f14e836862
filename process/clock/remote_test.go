package clock

import (
	"testing"
	"time"
)

// TestRemote checks that messages that are under way for long don't look as if they were sent later.
func TestRemote(t *testing.T) {
	type message struct {
		// sentAt is a time of this host's clock.
		sentAt, delay time.Duration
		// difference is that of this host's clock to the other one.
		difference time.Duration
		// want is the time at which the message appears to have been sent.
		want time.Duration
	}
	const ms = time.Millisecond
	for _, tt := range []struct {
		name     string
		messages []message
	}{
		{"same delays", []message{{0, ms, 0, ms}, {50 * ms, ms, 0, 51 * ms}}},
		{"a late message", []message{{0, ms, 0, ms}, {50 * ms, 400 * ms, 0, 51 * ms}}},
		{"a late message first", []message{{0, 400 * ms, 0, 400 * ms}, {450 * ms, ms, 0, 451 * ms}, {500 * ms, 400 * ms, 0, 501 * ms}}},
		{"another clock", []message{{0, ms, time.Hour, ms}, {50 * ms, 400 * ms, time.Hour, 51 * ms}}},
		{"a clock that began anew", []message{{0, ms, 0, ms}, {50 * ms, 2 * ms, time.Hour, 52 * ms}, {60 * ms, 300 * ms, time.Hour, 62 * ms}}},
		{"a clock that was set forward", []message{{0, ms, 0, ms}, {50 * ms, 2 * ms, -time.Hour, 52 * ms}}},
		{"a clock that drifts away", []message{
			{0, ms, 0, ms}, {remoteWindow + ms, ms, 5 * ms, remoteWindow + ms - 4*ms}, {2*remoteWindow + 2*ms, ms, 5 * ms, 2*remoteWindow + 3*ms},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var r Remote
			start := time.Unix(1_000_000, 0)
			for i, m := range tt.messages {
				got := r.SentAt(start.Add(m.sentAt+m.delay), start.Add(m.sentAt-m.difference).UnixNano()).Sub(start)
				if got != m.want {
					t.Errorf("message %d: sent at %v, want %v", i, got, m.want)
				}
			}
		})
	}
}

package peer

import "sync/atomic"

// Traffic counts what crosses connections; it only grows and is safe for concurrent use.
type Traffic struct {
	sent, received, messages atomic.Uint64
}

// TrafficCount is a reading of Traffic, in bytes and messages.
type TrafficCount struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Messages uint64 `json:"messages"`
}

func (t *Traffic) send(n int) {
	t.sent.Add(uint64(n))
	t.messages.Add(1)
}

func (t *Traffic) receive(n int) { t.received.Add(uint64(n)) }

// Count returns a reading.
func (t *Traffic) Count() TrafficCount {
	return TrafficCount{Sent: t.sent.Load(), Received: t.received.Load(), Messages: t.messages.Load()}
}

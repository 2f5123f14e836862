package peer

import "sync/atomic"

// Traffic counts the bytes and messages of all connections since the start. It is safe for concurrent use.
type Traffic struct {
	sent, received, messages atomic.Uint64
}

// TrafficSnapshot is a snapshot of Traffic: bytes sent and received, and messages sent.
type TrafficSnapshot struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	Messages uint64 `json:"messages"`
}

func (t *Traffic) send(n int) {
	t.sent.Add(uint64(n))
	t.messages.Add(1)
}

func (t *Traffic) receive(n int) { t.received.Add(uint64(n)) }

// Count returns a snapshot.
func (t *Traffic) Count() TrafficSnapshot {
	return TrafficSnapshot{Sent: t.sent.Load(), Received: t.received.Load(), Messages: t.messages.Load()}
}

package ingress

import "savorywing.example/savorywing/process/budget"

// Announcement is what the request of another host holds of a Memory, from before its first byte is read.
type Announcement struct {
	memory *Memory
	share  *budget.Share
}

// Announce makes room for a request of n bytes of another host, or returns nil if there is none. Nobody is turned away for it.
func (m *Memory) Announce(n int) *Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := m.budget.Announce(n)
	if share == nil {
		return nil
	}
	return &Announcement{memory: m, share: share}
}

// Keep gives back what is more than n bytes.
func (a *Announcement) Keep(n int) {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Shrink(a.share, max(0, a.share.Held()-n))
	a.memory.signal()
}

// End gives everything back.
func (a *Announcement) End() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Close(a.share)
	a.memory.signal()
}

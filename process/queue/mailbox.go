package queue

import "sync"

// Mailbox is a bounded queue that holds the newest value of each key: a value that still waits is replaced by the next
// one of its key, and keeps its place. It suits reports of a state, each of which makes the earlier ones obsolete.
type Mailbox[K comparable, V any] struct {
	ready chan struct{}

	mu       sync.Mutex
	capacity int
	values   map[K]V
	// order lists the keys of values, the one that has waited for longest first.
	order []K
	// replaced and rejected count the values that another one of their key made obsolete, and those for which there was no room; they
	// never decrease.
	replaced, rejected uint64
}

// NewMailbox returns a mailbox for at most n keys.
func NewMailbox[K comparable, V any](n int) *Mailbox[K, V] {
	return &Mailbox[K, V]{ready: make(chan struct{}, 1), capacity: n, values: map[K]V{}}
}

// Put adds a value, or replaces the waiting one of its key, and reports whether there was room for it. It never blocks.
func (m *Mailbox[K, V]) Put(key K, v V) bool {
	return m.PutNewer(key, v, func(_, _ V) bool { return true })
}

// PutNewer is Put for values that may arrive out of order: a waiting one stays unless v replaces it.
func (m *Mailbox[K, V]) PutNewer(key K, v V, replaces func(v, waiting V) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, waiting := m.values[key]; waiting {
		m.replaced++
		if !replaces(v, old) {
			return true
		}
		m.values[key] = v
		return true
	}
	if len(m.values) >= m.capacity {
		m.rejected++
		return false
	}
	m.values[key] = v
	m.order = append(m.order, key)
	m.signal()
	return true
}

// Ready returns a channel from which the consumer receives when values may be waiting.
func (m *Mailbox[K, V]) Ready() <-chan struct{} { return m.ready }

// Take removes and returns up to n values, those that have waited for longest first, with their keys. If more are
// waiting, Ready signals again.
func (m *Mailbox[K, V]) Take(n int) (keys []K, values []V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n = min(n, len(m.order))
	keys = append(keys, m.order[:n]...)
	m.order = append(m.order[:0], m.order[n:]...)
	for _, k := range keys {
		values = append(values, m.values[k])
		delete(m.values, k)
	}
	if len(m.order) > 0 {
		m.signal()
	}
	return keys, values
}

func (m *Mailbox[K, V]) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Len returns the number of values that wait.
func (m *Mailbox[K, V]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.order)
}

// Counts returns how many values another one of their key made obsolete, and for how many there was no room.
func (m *Mailbox[K, V]) Counts() (replaced, rejected uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replaced, m.rejected
}

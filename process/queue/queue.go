// Package queue passes values between goroutines through a bounded queue that rejects values when it is full.
package queue

import "sync/atomic"

// Queue is a bounded queue for many producers and one consumer.
type Queue[T any] struct {
	ch chan T
	// rejected counts the values rejected because the queue was full; it never decreases.
	rejected atomic.Uint64
}

// New returns a queue with capacity n.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{ch: make(chan T, n)}
}

// Push adds a value and reports whether there was room for it. It never blocks.
func (q *Queue[T]) Push(v T) bool {
	select {
	case q.ch <- v:
		return true
	default:
		q.rejected.Add(1)
		return false
	}
}

// Out returns the channel from which the consumer receives.
func (q *Queue[T]) Out() <-chan T { return q.ch }

// Drain returns first and the values that are waiting, up to n values in all.
func (q *Queue[T]) Drain(first T, n int) []T {
	batch := []T{first}
	for len(batch) < n {
		select {
		case v := <-q.ch:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}

// Rejected returns the number of values rejected because the queue was full.
func (q *Queue[T]) Rejected() uint64 { return q.rejected.Load() }

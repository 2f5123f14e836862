// Package queue joins two duties by a bounded queue that refuses when it is full.
package queue

import "sync/atomic"

// Queue is a bounded queue for many producers and one consumer.
type Queue[T any] struct {
	ch chan T
	// refused counts values that found the queue full; it only grows.
	refused atomic.Uint64
}

// New returns a queue that holds n values.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{ch: make(chan T, n)}
}

// Push adds a value and tells whether there was room. It never blocks.
func (r *Queue[T]) Push(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Out returns the channel that the consumer reads.
func (r *Queue[T]) Out() <-chan T { return r.ch }

// Drain returns first and what else waits, up to n values in all.
func (r *Queue[T]) Drain(first T, n int) []T {
	batch := []T{first}
	for len(batch) < n {
		select {
		case v := <-r.ch:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}

// Refused returns how many values found the queue full.
func (r *Queue[T]) Refused() uint64 { return r.refused.Load() }

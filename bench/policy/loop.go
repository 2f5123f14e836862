package policy

import (
	"container/heap"
	"time"
)

// eventLoop runs events in the order of their virtual times.
type eventLoop struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newEventLoop() *eventLoop { return &eventLoop{now: time.Unix(0, 0)} }

// after runs f after d of virtual time.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: l.now.Add(d), sequence: l.lastSequence, run: f})
}

// every runs f every d of virtual time until it returns false.
func (l *eventLoop) every(d time.Duration, f func() bool) {
	l.after(d, func() {
		if f() {
			l.every(d, f)
		}
	})
}

// run runs all events up to the given virtual time since the start.
func (l *eventLoop) run(until time.Duration) {
	end := time.Unix(0, 0).Add(until)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e, ok := heap.Pop(&l.events).(event)
		if !ok {
			return
		}
		l.now = e.at
		e.run()
	}
}

func (l *eventLoop) elapsed() time.Duration { return l.now.Sub(time.Unix(0, 0)) }

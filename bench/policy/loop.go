package policy

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their virtual times.
type loop struct {
	now    time.Time
	events eventHeap
	next   uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
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

func newLoop() *loop { return &loop{now: time.Unix(0, 0)} }

// after runs f once d of virtual time has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.next++
	heap.Push(&l.events, event{at: l.now.Add(d), order: l.next, run: f})
}

// every runs f again and again, until it says stop.
func (l *loop) every(d time.Duration, f func() bool) {
	l.after(d, func() {
		if f() {
			l.every(d, f)
		}
	})
}

// run runs events until the virtual time until.
func (l *loop) run(until time.Duration) {
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

func (l *loop) elapsed() time.Duration { return l.now.Sub(time.Unix(0, 0)) }

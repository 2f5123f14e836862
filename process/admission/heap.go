package admission

import (
	"container/heap"
	"time"
)

// itemHeap is a heap of waiting requests, ordered by deadline, or in order of admission if firstCome is set.
type itemHeap struct {
	items     []*Item
	firstCome bool
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.firstCome || a.Deadline.Equal(b.Deadline) {
		return a.sequence < b.sequence
	}
	return a.Deadline.Before(b.Deadline)
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.index = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return item
}

func (h *itemHeap) push(item *Item) { heap.Push(h, item) }

func (h *itemHeap) pop() *Item {
	item := h.items[0]
	heap.Remove(h, 0)
	return item
}

// removeID removes the request with an ID and reports whether there was one.
func (h *itemHeap) removeID(id string) bool {
	for _, item := range h.items {
		if item.ID == id {
			heap.Remove(h, item.index)
			return true
		}
	}
	return false
}

// countUntil returns the number of requests whose deadline is not after d.
func (h *itemHeap) countUntil(d time.Time) int {
	n := 0
	for _, item := range h.items {
		if !item.Deadline.After(d) {
			n++
		}
	}
	return n
}

// removeExpired removes and returns the requests whose deadline is before d.
func (h *itemHeap) removeExpired(d time.Time) []*Item {
	var expired, kept []*Item
	if !h.firstCome {
		for len(h.items) > 0 && h.items[0].Deadline.Before(d) {
			expired = append(expired, h.pop())
		}
		return expired
	}
	for _, item := range h.items {
		if item.Deadline.Before(d) {
			expired = append(expired, item)
		} else {
			kept = append(kept, item)
		}
	}
	if len(expired) > 0 {
		h.items = kept
		heap.Init(h)
	}
	return expired
}

package admission

import (
	"container/heap"
	"time"
)

// itemHeap orders waiting requests by deadline, or by arrival for first come.
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
		return a.order < b.order
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

// before counts the requests whose deadline is not after d.
func (h *itemHeap) before(d time.Time) int {
	n := 0
	for _, item := range h.items {
		if !item.Deadline.After(d) {
			n++
		}
	}
	return n
}

// expired removes and returns the requests whose deadline is before d.
func (h *itemHeap) expired(d time.Time) []*Item {
	var gone, kept []*Item
	if !h.firstCome {
		for len(h.items) > 0 && h.items[0].Deadline.Before(d) {
			gone = append(gone, h.pop())
		}
		return gone
	}
	for _, item := range h.items {
		if item.Deadline.Before(d) {
			gone = append(gone, item)
		} else {
			kept = append(kept, item)
		}
	}
	if len(gone) > 0 {
		h.items = kept
		heap.Init(h)
	}
	return gone
}

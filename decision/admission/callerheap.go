package admission

import "container/heap"

// callerHeap is a heap of the callers with ready tasks, ordered by start tag.
type callerHeap []*caller

var _ heap.Interface = (*callerHeap)(nil)

// Len implements heap.Interface.
func (h callerHeap) Len() int { return len(h) }

// Less implements heap.Interface. Names break ties to make the order
// deterministic.
func (h callerHeap) Less(i, k int) bool {
	if h[i].startTag != h[k].startTag {
		return h[i].startTag < h[k].startTag
	}
	return h[i].name < h[k].name
}

// Swap implements heap.Interface.
func (h callerHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *callerHeap) Push(item any) {
	added := item.(*caller)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.heapIndex = -1
	return removed
}

package admission

import "container/heap"

// jobHeap is a heap of the jobs of one caller with ready tasks, ordered by order
// key.
type jobHeap []*job

var _ heap.Interface = (*jobHeap)(nil)

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface. Job IDs break ties to make the order
// deterministic.
func (h jobHeap) Less(i, k int) bool {
	a, b := h[i].orderKey(), h[k].orderKey()
	if a != b {
		return a < b
	}
	return string(h[i].key.ID[:]) < string(h[k].key.ID[:])
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(item any) {
	added := item.(*job)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.heapIndex = -1
	return removed
}

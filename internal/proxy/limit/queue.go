package limit

// waiterHeap is a heap of waiters, ordered by deadline and then by arrival. Waiters without a
// deadline come last. It implements heap.Interface.
type waiterHeap struct {
	entries  []*waiter
	sequence uint64
}

// nextSequence returns the sequence number of the next waiter.
func (h *waiterHeap) nextSequence() uint64 {
	h.sequence++
	return h.sequence
}

// Len implements heap.Interface.
func (h *waiterHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *waiterHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if a.deadline.Equal(b.deadline) {
		return a.sequence < b.sequence
	}
	if a.deadline.IsZero() || b.deadline.IsZero() {
		return b.deadline.IsZero()
	}
	return a.deadline.Before(b.deadline)
}

// Swap implements heap.Interface.
func (h *waiterHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index = i
	h.entries[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(item any) {
	entry := item.(*waiter)
	entry.index = len(h.entries)
	h.entries = append(h.entries, entry)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(h.entries) - 1
	entry := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	entry.index = -1
	return entry
}

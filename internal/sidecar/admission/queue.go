package admission

import (
	"math/bits"
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	ticket Ticket
	order  uint64
	index  int
	result chan error
	// entered is when it joined the queue, predicted the wait expected then.
	entered   time.Time
	predicted time.Duration
}

// before orders by priority, then what comes first before what comes back, then
// by the order of magnitude of the work, then by the time to start by, then by
// arrival.
func (w *waiter) before(other *waiter) bool {
	if w.ticket.Priority != other.ticket.Priority {
		return w.ticket.Priority < other.ticket.Priority
	}
	if w.ticket.Returning != other.ticket.Returning {
		return other.ticket.Returning
	}
	if own, others := magnitude(w.ticket.Work), magnitude(other.ticket.Work); own != others {
		return own < others
	}
	if !w.ticket.StartBy.Equal(other.ticket.StartBy) {
		return w.ticket.StartBy.Before(other.ticket.StartBy)
	}
	return w.order < other.order
}

// magnitude is the number of binary digits of the work in milliseconds.
func magnitude(work time.Duration) int { return bits.Len64(uint64(max(work, 0) / time.Millisecond)) }

// waiters is a heap with the next request first.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(entry any) {
	added := entry.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	removed.index = -1
	return removed
}

// last returns the request that would be served after all others.
func (w waiters) last() *waiter {
	latest := w[0]
	for _, entry := range w[1:] {
		if latest.before(entry) {
			latest = entry
		}
	}
	return latest
}

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

// before orders by priority, then what can still be answered in time before what
// cannot, then what comes first before what comes back, then by the order of
// magnitude of the work, then by the time to start by, then by arrival.
func (w *waiter) before(other *waiter, now time.Time) bool {
	if w.ticket.Priority != other.ticket.Priority {
		return w.ticket.Priority < other.ticket.Priority
	}
	if late, othersLate := w.late(now), other.late(now); late != othersLate {
		return othersLate
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

// late reports whether work would begin too late for an answer in time. A
// server that is behind serves everyone late when it takes such requests in the
// order in which they came.
func (w *waiter) late(now time.Time) bool { return now.After(w.ticket.StartBy) }

// magnitude is the number of binary digits of the work in milliseconds.
func magnitude(work time.Duration) int { return bits.Len64(uint64(max(work, 0) / time.Millisecond)) }

// waiters are the requests in the queue, in no order: who is next changes with
// time.
type waiters []*waiter

// add puts a request into the queue.
func (w *waiters) add(entry *waiter) {
	entry.index = len(*w)
	*w = append(*w, entry)
}

// holds reports whether the request is still in the queue.
func (w waiters) holds(entry *waiter) bool {
	return entry.index >= 0 && entry.index < len(w) && w[entry.index] == entry
}

// remove takes a request out of the queue, in which it is.
func (w *waiters) remove(entry *waiter) {
	last := len(*w) - 1
	moved := (*w)[last]
	(*w)[entry.index] = moved
	moved.index = entry.index
	(*w)[last] = nil
	*w = (*w)[:last]
	entry.index = -1
}

// next returns the request that is served first, last the one that is served
// after all others. The queue is not empty.
func (w waiters) next(now time.Time) *waiter {
	return w.extreme(func(a, b *waiter) bool { return a.before(b, now) })
}

func (w waiters) last(now time.Time) *waiter {
	return w.extreme(func(a, b *waiter) bool { return b.before(a, now) })
}

// extreme returns the request that comes before all others.
func (w waiters) extreme(before func(a, b *waiter) bool) *waiter {
	found := w[0]
	for _, entry := range w[1:] {
		if before(entry, found) {
			found = entry
		}
	}
	return found
}

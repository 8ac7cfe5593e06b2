package admission

import (
	"cmp"
	"container/list"
	"math/bits"
	"slices"
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	ticket Ticket
	result chan error
	// entered is when it joined the queue, predicted the wait expected then.
	entered   time.Time
	predicted time.Duration
	// work is how long it is expected to hold a slot.
	work time.Duration
	// group is the one that it waits in, place its place there; nil while it does
	// not wait.
	group *group
	place *list.Element
}

// rank orders requests of different kinds.
type rank struct {
	// level is that of the precedence.
	level     int
	magnitude int
}

// rankOf orders by precedence, then by the order of magnitude of the work.
func rankOf(ticket Ticket) rank {
	return rank{level: ticket.precedence().Level(), magnitude: magnitude(ticket.Work)}
}

// magnitude is the number of binary digits of the work in milliseconds.
func magnitude(work time.Duration) int { return bits.Len64(uint64(max(work, 0) / time.Millisecond)) }

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.level, other.level), cmp.Compare(r.magnitude, other.magnitude))
}

// group holds the waiting requests of one rank.
type group struct {
	rank rank
	// waiters are *waiter, the newest in front.
	waiters *list.List
	// work is the sum over the waiters.
	work time.Duration
}

// queue holds the waiting requests: by rank, and within one the newest first. A
// back end that is behind and takes the oldest first serves everyone at the last
// moment, and late as soon as anything takes longer than expected; so it goes on
// after the cause of the backlog has passed. Taking the newest first it serves
// most at once and refuses the rest. Each operation takes time in proportion to
// the number of ranks, which is small, and not to that of the requests.
type queue struct {
	// groups are ordered by rank; none is empty.
	groups []*group
	length int
}

// find returns the index of the rank's group, or where it belongs.
func (q *queue) find(wanted rank) (int, bool) {
	return slices.BinarySearchFunc(q.groups, wanted, func(held *group, wanted rank) int { return held.rank.compare(wanted) })
}

// add puts a request into the queue.
func (q *queue) add(entry *waiter) {
	wanted := rankOf(entry.ticket)
	index, found := q.find(wanted)
	if !found {
		q.groups = slices.Insert(q.groups, index, &group{rank: wanted, waiters: list.New()})
	}
	entry.group = q.groups[index]
	entry.place = entry.group.waiters.PushFront(entry)
	entry.group.work += entry.work
	q.length++
}

// holds reports whether the request is still in the queue.
func (q *queue) holds(entry *waiter) bool { return entry.group != nil }

// remove takes a request out of the queue, in which it is.
func (q *queue) remove(entry *waiter) {
	left := entry.group
	left.waiters.Remove(entry.place)
	left.work -= entry.work
	entry.group, entry.place = nil, nil
	q.length--
	if left.waiters.Len() == 0 {
		index, _ := q.find(left.rank)
		q.groups = slices.Delete(q.groups, index, index+1)
	}
}

// next returns the request that is served first, last the one that is served
// after all others; nil when the queue is empty.
func (q *queue) next() *waiter {
	if q.length == 0 {
		return nil
	}
	return q.groups[0].waiters.Front().Value.(*waiter)
}

func (q *queue) last() *waiter {
	if q.length == 0 {
		return nil
	}
	return q.groups[len(q.groups)-1].waiters.Back().Value.(*waiter)
}

// workBefore returns the work of the requests that are served before a new one
// of that rank.
func (q *queue) workBefore(wanted rank) time.Duration {
	total := time.Duration(0)
	for _, held := range q.groups {
		if held.rank.compare(wanted) >= 0 {
			break
		}
		total += held.work
	}
	return total
}

// work returns the work of all requests.
func (q *queue) work() time.Duration {
	total := time.Duration(0)
	for _, held := range q.groups {
		total += held.work
	}
	return total
}

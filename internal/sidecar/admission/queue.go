package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"math/bits"
	"slices"
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	ticket RequestInfo
	result chan error
	// entered is when it joined the queue, predicted the wait expected then.
	entered   time.Time
	predicted time.Duration
	// work is how long it is expected to hold a slot, charged what its tenant was charged for it.
	work, charged time.Duration
	// standing is that of its tenant.
	standing *standing
	kind     *kind
	// behind: it comes after those of its group that wait already.
	behind bool
	// group is the one that it waits in, place its place there; nil while it does
	// not wait.
	group *group
	place *list.Element
}

// magnitude is the number of binary digits of the work in milliseconds.
func magnitude(work time.Duration) int { return bits.Len64(uint64(max(work, 0) / time.Millisecond)) }

// group holds the waiting requests of one flow whose work is of one order of magnitude.
type group struct {
	flow      *flow
	magnitude int
	// waiters are *waiter, the newest in front.
	waiters list.List
	// work is the sum over the waiters.
	work time.Duration
}

// queue holds the waiting requests: by the level of their precedence, within one by whose turn it
// is (see flow), within that by the order of magnitude of the work, and then the newest first. A
// back end that is behind and takes the oldest first serves everyone at the last
// moment, and late as soon as anything takes longer than expected; so it goes on
// after the cause of the backlog has passed. Taking the newest first it serves
// most at once and refuses the rest. Without tenants there is one flow a level. Each operation takes
// time in proportion to the number of levels and magnitudes, which is small, and to the logarithm of that of
// the tenants that wait.
type queue struct {
	// levels are ordered; none is empty.
	levels    []*level
	length    int
	standings standings
	// flows and groups are kept for use again.
	flows  spare[flow]
	groups spare[group]
}

// spare holds values for use again. With tenants flows come and go with nearly every request.
type spare[T any] struct{ held []*T }

// mostSpare bounds the values that are kept.
const mostSpare = 256

func (s *spare[T]) get() *T {
	last := len(s.held) - 1
	if last < 0 {
		return new(T)
	}
	taken := s.held[last]
	s.held = s.held[:last]
	return taken
}

func (s *spare[T]) put(unused *T) {
	if len(s.held) < mostSpare {
		s.held = append(s.held, unused)
	}
}

// find returns the index of the level, or where it belongs.
func (q *queue) find(number int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, number, func(held *level, wanted int) int { return cmp.Compare(held.number, wanted) })
}

// add puts a request into the queue.
func (q *queue) add(entry *waiter) {
	number := entry.ticket.precedence().Level()
	waitsIn := entry.standing.flow(number)
	known := waitsIn != nil
	if !known {
		waitsIn = q.newFlow(entry.standing, number)
	}
	entry.group = waitsIn.groupOf(entry.ticket, &q.groups)
	if entry.behind {
		entry.place = entry.group.waiters.PushBack(entry)
	} else {
		entry.place = entry.group.waiters.PushFront(entry)
	}
	waitsIn.changed(entry.group, entry.work, 1)
	if known {
		heap.Fix(&waitsIn.level.excess, waitsIn.excess)
	} else {
		waitsIn.level.add(waitsIn)
	}
	entry.standing.waiting++
	entry.kind.waiting++
	q.length++
}

// holds reports whether the request is still in the queue.
func (q *queue) holds(entry *waiter) bool { return entry.group != nil }

// remove takes a request out of the queue, in which it is.
func (q *queue) remove(entry *waiter) {
	left := entry.group
	waitedIn := left.flow
	left.waiters.Remove(entry.place)
	waitedIn.changed(left, -entry.work, -1)
	entry.group, entry.place = nil, nil
	entry.standing.waiting--
	entry.kind.waiting--
	q.length--
	if left.waiters.Len() == 0 {
		waitedIn.drop(left, &q.groups)
	}
	if waitedIn.length > 0 {
		heap.Fix(&waitedIn.level.excess, waitedIn.excess)
		return
	}
	q.retire(waitedIn)
}

// newFlow returns an empty flow of the tenant, which is not yet in the level's heaps.
func (q *queue) newFlow(of *standing, number int) *flow {
	index, found := q.find(number)
	if !found {
		q.levels = slices.Insert(q.levels, index, &level{number: number})
	}
	created := q.flows.get()
	created.standing, created.level = of, q.levels[index]
	of.flows = append(of.flows, created)
	return created
}

// retire takes an empty flow out of its level, and the level out when it is empty.
func (q *queue) retire(empty *flow) {
	emptied, of := empty.level, empty.standing
	emptied.remove(empty)
	index := slices.Index(of.flows, empty)
	of.flows = slices.Delete(of.flows, index, index+1)
	empty.standing, empty.level = nil, nil
	q.flows.put(empty)
	if len(emptied.turns) == 0 {
		index, _ := q.find(emptied.number)
		q.levels = slices.Delete(q.levels, index, index+1)
	}
}

// inTurn reports whether a request gets its slot by turn: no tenant waits at its level that has had less.
func (q *queue) inTurn(entry *waiter) bool {
	index, found := q.find(entry.ticket.precedence().Level())
	return !found || q.levels[index].turns[0].standing.had >= entry.standing.had
}

// next returns the request that is served first; nil when the queue is empty.
func (q *queue) next() *waiter {
	if q.length == 0 {
		return nil
	}
	return q.levels[0].turns[0].first()
}

// last returns the request that is refused first: the one that is served after all others, but for
// those that are kept since their kind is overdue. It is nil when there is none.
func (q *queue) last(now time.Time) *waiter {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if last := q.levels[i].last(now); last != nil {
			return last
		}
	}
	return nil
}

// before reports whether a waiting request is served before a new one.
func (q *queue) before(waiting, entry *waiter) bool {
	order := cmp.Compare(waiting.group.flow.level.number, entry.ticket.precedence().Level())
	switch {
	case order != 0:
		return order < 0
	case waiting.standing != entry.standing:
		return waiting.standing.had < entry.standing.had
	}
	return entry.follows(waiting.group)
}

// follows reports whether a new request comes after those of a group of its flow.
func (w *waiter) follows(waiting *group) bool {
	own := magnitude(w.ticket.Work)
	return waiting.magnitude < own || waiting.magnitude == own && w.behind
}

// workBefore returns the work of the requests that are served before a new one.
func (q *queue) workBefore(entry *waiter) time.Duration {
	wanted := entry.ticket.precedence().Level()
	total := time.Duration(0)
	for _, held := range q.levels {
		switch {
		case held.number > wanted:
			return total
		case held.number < wanted:
			total += held.work
		default:
			total += held.workBefore(entry)
		}
	}
	return total
}

// lengthBefore returns how many requests are served before a new one, at most.
func (q *queue) lengthBefore(entry *waiter) int {
	if q.length == 0 {
		return 0
	}
	wanted := entry.ticket.precedence().Level()
	total := q.lengthUpTo(wanted - 1)
	if index, found := q.find(wanted); found {
		total += q.levels[index].lengthBefore(entry)
	}
	return total
}

// lengthUpTo returns how many requests wait at the level and at those before it.
func (q *queue) lengthUpTo(number int) (total int) {
	for _, held := range q.levels {
		if held.number > number {
			break
		}
		total += held.length
	}
	return total
}

// work returns the work of all requests.
func (q *queue) work() time.Duration {
	total := time.Duration(0)
	for _, held := range q.levels {
		total += held.work
	}
	return total
}

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
	info   RequestInfo
	result chan error
	// entered is the arrival time of the request, predicted the wait that was expected then.
	entered   time.Time
	predicted time.Duration
	// work is the time that it is expected to hold a slot, charged the amount that its tenant was
	// charged for it.
	work, charged time.Duration
	// account is the account of its tenant.
	account *account
	kind    *kind
	// fifo: the request is queued behind the requests of its group that already wait, instead of ahead of
	// them.
	fifo bool
	// group is the group in which it waits, element its position there; both are nil while it does not
	// wait.
	group   *group
	element *list.Element
}

// magnitude returns the number of binary digits of the work in milliseconds.
func magnitude(work time.Duration) int { return bits.Len64(uint64(max(work, 0) / time.Millisecond)) }

// group holds the waiting requests of one flow whose work is of one order of magnitude.
type group struct {
	flow      *flow
	magnitude int
	// waiters holds *waiter in the order in which they are served, by default the newest first.
	waiters list.List
	// work is the sum over the waiters.
	work time.Duration
}

// queue holds the waiting requests. They are ordered by precedence level, within a level by fair queueing
// (see flow), within a flow by order of magnitude of the work, and then the newest first. An overloaded
// back end that serves the oldest first serves everyone at the last moment, and late as soon as anything
// takes longer than expected; this persists after the cause of the backlog is gone. With the newest
// first, most requests are served at once and the rest is refused. Without tenants there is one flow per
// level. Each operation takes time proportional to the number of levels and magnitudes, which is small,
// and to the logarithm of the number of waiting tenants.
type queue struct {
	// levels are ordered by number; none is empty.
	levels   []*level
	length   int
	accounts accounts
	// flows and groups hold unused values for reuse.
	flows  freeList[flow]
	groups freeList[group]
}

// freeList keeps unused values for reuse: with tenants, flows are created and removed with nearly every
// request.
type freeList[T any] struct{ items []*T }

// maxFree bounds the number of values kept.
const maxFree = 256

func (s *freeList[T]) get() *T {
	last := len(s.items) - 1
	if last < 0 {
		return new(T)
	}
	taken := s.items[last]
	s.items = s.items[:last]
	return taken
}

func (s *freeList[T]) put(unused *T) {
	if len(s.items) < maxFree {
		s.items = append(s.items, unused)
	}
}

// findLevel returns the index of the level, or the index at which to insert it.
func (q *queue) findLevel(number int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, number, func(existing *level, wanted int) int { return cmp.Compare(existing.number, wanted) })
}

// add adds a request to the queue.
func (q *queue) add(entry *waiter) {
	number := entry.info.precedence().Level()
	tenantFlow := entry.account.flow(number)
	known := tenantFlow != nil
	if !known {
		tenantFlow = q.newFlow(entry.account, number)
	}
	entry.group = tenantFlow.ensureGroup(entry.info, &q.groups)
	if entry.fifo {
		entry.element = entry.group.waiters.PushBack(entry)
	} else {
		entry.element = entry.group.waiters.PushFront(entry)
	}
	tenantFlow.adjust(entry.group, entry.work, 1)
	if known {
		heap.Fix(&tenantFlow.level.excess, tenantFlow.excess)
	} else {
		tenantFlow.level.add(tenantFlow)
	}
	entry.account.waiting++
	entry.kind.waiting++
	q.length++
}

// holds reports whether the request is still in the queue.
func (q *queue) holds(entry *waiter) bool { return entry.group != nil }

// remove removes a request that is in the queue.
func (q *queue) remove(entry *waiter) {
	oldGroup := entry.group
	oldFlow := oldGroup.flow
	oldGroup.waiters.Remove(entry.element)
	oldFlow.adjust(oldGroup, -entry.work, -1)
	entry.group, entry.element = nil, nil
	entry.account.waiting--
	entry.kind.waiting--
	q.length--
	if oldGroup.waiters.Len() == 0 {
		oldFlow.removeGroup(oldGroup, &q.groups)
	}
	if oldFlow.length > 0 {
		heap.Fix(&oldFlow.level.excess, oldFlow.excess)
		return
	}
	q.removeFlow(oldFlow)
}

// newFlow returns an empty flow of the tenant, which is not in the heaps of the level yet.
func (q *queue) newFlow(owner *account, number int) *flow {
	index, found := q.findLevel(number)
	if !found {
		q.levels = slices.Insert(q.levels, index, &level{number: number})
	}
	created := q.flows.get()
	created.account, created.level = owner, q.levels[index]
	owner.flows = append(owner.flows, created)
	return created
}

// removeFlow removes an empty flow from its level, and the level if it is empty then.
func (q *queue) removeFlow(empty *flow) {
	oldLevel, owner := empty.level, empty.account
	oldLevel.remove(empty)
	index := slices.Index(owner.flows, empty)
	owner.flows = slices.Delete(owner.flows, index, index+1)
	empty.account, empty.level = nil, nil
	q.flows.put(empty)
	if len(oldLevel.turns) == 0 {
		index, _ := q.findLevel(oldLevel.number)
		q.levels = slices.Delete(q.levels, index, index+1)
	}
}

// inTurn reports whether granting the request a slot follows the fair order: no tenant with a lower
// virtual time waits at its level.
func (q *queue) inTurn(entry *waiter) bool {
	index, found := q.findLevel(entry.info.precedence().Level())
	return !found || q.levels[index].turns[0].account.virtualTime >= entry.account.virtualTime
}

// next returns the request that is served first, nil if the queue is empty.
func (q *queue) next() *waiter {
	if q.length == 0 {
		return nil
	}
	return q.levels[0].turns[0].first()
}

// last returns the request that is refused first: the one that is served last, except for those that are
// exempt because their kind is overdue. It is nil if there is none.
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
	order := cmp.Compare(waiting.group.flow.level.number, entry.info.precedence().Level())
	switch {
	case order != 0:
		return order < 0
	case waiting.account != entry.account:
		return waiting.account.virtualTime < entry.account.virtualTime
	}
	return entry.follows(waiting.group)
}

// follows reports whether a new request is served after those of a group of its flow.
func (w *waiter) follows(waiting *group) bool {
	own := magnitude(w.info.Work)
	return waiting.magnitude < own || waiting.magnitude == own && w.fifo
}

// workBefore returns the work of the requests that are served before a new one.
func (q *queue) workBefore(entry *waiter) time.Duration {
	wanted := entry.info.precedence().Level()
	total := time.Duration(0)
	for _, current := range q.levels {
		switch {
		case current.number > wanted:
			return total
		case current.number < wanted:
			total += current.work
		default:
			total += current.workBefore(entry)
		}
	}
	return total
}

// lengthBefore returns an upper bound of the number of requests that are served before a new one.
func (q *queue) lengthBefore(entry *waiter) int {
	if q.length == 0 {
		return 0
	}
	wanted := entry.info.precedence().Level()
	total := q.lengthUpTo(wanted - 1)
	if index, found := q.findLevel(wanted); found {
		total += q.levels[index].lengthBefore(entry)
	}
	return total
}

// lengthUpTo returns the number of requests that wait at the level and at those before it.
func (q *queue) lengthUpTo(number int) (total int) {
	for _, current := range q.levels {
		if current.number > number {
			break
		}
		total += current.length
	}
	return total
}

// work returns the work of all requests.
func (q *queue) work() time.Duration {
	total := time.Duration(0)
	for _, current := range q.levels {
		total += current.work
	}
	return total
}

package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// flow holds the waiting requests of one tenant at one precedence level. The next slot goes to the flow
// whose tenant has the lowest virtual time. A request that must be refused is taken from the flow whose
// tenant would have the highest virtual time if all of its requests were served.
type flow struct {
	account *account
	level   *level
	// groups are ordered by magnitude; none is empty.
	groups []*group
	length int
	// work is the sum over the requests.
	work time.Duration
	// turn and excess are the indexes of the flow in the two heaps of its level.
	turn, excess int
}

// ensureGroup returns the group that the request belongs to and creates it if it is missing.
func (f *flow) ensureGroup(info RequestInfo, unused *freeList[group]) *group {
	wanted := magnitude(info.Work)
	index, found := slices.BinarySearchFunc(f.groups, wanted, func(existing *group, wanted int) int { return cmp.Compare(existing.magnitude, wanted) })
	if !found {
		created := unused.get()
		created.flow, created.magnitude = f, wanted
		f.groups = slices.Insert(f.groups, index, created)
	}
	return f.groups[index]
}

// findGroup returns the group of the magnitude, nil if there is none.
func (f *flow) findGroup(magnitude int) *group {
	for _, existing := range f.groups {
		if existing.magnitude == magnitude {
			return existing
		}
	}
	return nil
}

// removeGroup removes an empty group.
func (f *flow) removeGroup(empty *group, unused *freeList[group]) {
	index := slices.Index(f.groups, empty)
	f.groups = slices.Delete(f.groups, index, index+1)
	empty.flow = nil
	unused.put(empty)
}

// adjust updates the sums after requests with that total work were added to the group, or removed from
// it. The caller restores the order of the excess heap.
func (f *flow) adjust(changed *group, work time.Duration, requests int) {
	changed.work += work
	f.work += work
	f.length += requests
	f.level.work += work
	f.level.length += requests
}

// first returns the request that is served first.
func (f *flow) first() *waiter { return f.groups[0].waiters.Front().Value.(*waiter) }

// last returns the request of the flow that is refused first, nil if all are exempt.
func (f *flow) last(now time.Time) *waiter {
	for i := len(f.groups) - 1; i >= 0; i-- {
		if last := f.groups[i].waiters.Back().Value.(*waiter); !last.kind.exempt(1, now) {
			return last
		}
	}
	return nil
}

// projectedTime returns the virtual time that the tenant would have if all requests of the flow were
// served.
func (f *flow) projectedTime() time.Duration {
	if f.account.hasTenant() {
		return f.account.virtualTime + f.work
	}
	return f.account.virtualTime + f.work/time.Duration(max(f.length, 1))
}

// workBefore returns the work of the flow's requests of smaller magnitudes.
func (f *flow) workBefore(limit int) time.Duration {
	total := time.Duration(0)
	for _, existing := range f.groups {
		if existing.magnitude >= limit {
			break
		}
		total += existing.work
	}
	return total
}

// level holds the waiting requests of one precedence level.
type level struct {
	number int
	// turns and excess hold the same flows: one with the next flow to be served at the top, the other
	// with the first to be refused.
	turns  turns
	excess excess
	// work is the sum over all requests, virtualTime the sum of the virtual times of the tenants of the
	// flows.
	work, virtualTime time.Duration
	// length is the number of waiting requests.
	length int
}

// last returns the request of the level that is refused first, nil if all are exempt.
func (l *level) last(now time.Time) *waiter {
	if last := l.excess[0].last(now); last != nil {
		return last
	}
	var largest *flow
	for _, candidate := range l.excess[1:] {
		if (largest == nil || candidate.projectedTime() > largest.projectedTime()) && candidate.last(now) != nil {
			largest = candidate
		}
	}
	if largest == nil {
		return nil
	}
	return largest.last(now)
}

func (l *level) add(added *flow) {
	l.virtualTime += added.account.virtualTime
	heap.Push(&l.turns, added)
	heap.Push(&l.excess, added)
}

func (l *level) remove(removed *flow) {
	l.virtualTime -= removed.account.virtualTime
	heap.Remove(&l.turns, removed.turn)
	heap.Remove(&l.excess, removed.excess)
}

// recordCharge updates the level after the virtual time of the flow's tenant has changed.
func (l *level) recordCharge(owned *flow, change time.Duration) {
	l.virtualTime += change
	heap.Fix(&l.turns, owned.turn)
	heap.Fix(&l.excess, owned.excess)
}

// workBefore estimates the work at the level that is served before a new request. Every other tenant is
// served until it has reached the virtual time of the new request's tenant. This is computed from the
// mean over the tenants, so that it takes constant time whatever their number.
func (l *level) workBefore(entry *waiter) time.Duration {
	others, work, virtualTime := len(l.turns), l.work, l.virtualTime
	own := time.Duration(0)
	if tenantFlow := entry.account.flow(l.number); tenantFlow != nil {
		others, work, virtualTime = others-1, work-tenantFlow.work, virtualTime-entry.account.virtualTime
		own = tenantFlow.workBefore(magnitude(entry.info.Work))
	}
	deficit := time.Duration(others)*entry.account.virtualTime - virtualTime
	return own + min(max(deficit, 0), work)
}

// lengthBefore returns an upper bound of the number of requests of the level that are served before a new
// request: all of other tenants, and those of its own tenant that it follows.
func (l *level) lengthBefore(entry *waiter) int {
	tenantFlow := entry.account.flow(l.number)
	if tenantFlow == nil {
		return l.length
	}
	before := l.length - tenantFlow.length
	for _, waitingGroup := range tenantFlow.groups {
		if entry.follows(waitingGroup) {
			before += waitingGroup.waiters.Len()
		}
	}
	return before
}

// turns is a min-heap of flows by the virtual times of their tenants.
type turns []*flow

// Len implements heap.Interface.
func (t turns) Len() int { return len(t) }

// Less implements heap.Interface.
func (t turns) Less(i, j int) bool { return t[i].account.virtualTime < t[j].account.virtualTime }

// Swap implements heap.Interface.
func (t turns) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].turn, t[j].turn = i, j
}

// Push implements heap.Interface.
func (t *turns) Push(added any) {
	added.(*flow).turn = len(*t)
	*t = append(*t, added.(*flow))
}

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return popped
}

// excess is a max-heap of flows by their projected times.
type excess []*flow

// Len implements heap.Interface.
func (e excess) Len() int { return len(e) }

// Less implements heap.Interface.
func (e excess) Less(i, j int) bool { return e[i].projectedTime() > e[j].projectedTime() }

// Swap implements heap.Interface.
func (e excess) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].excess, e[j].excess = i, j
}

// Push implements heap.Interface.
func (e *excess) Push(added any) {
	added.(*flow).excess = len(*e)
	*e = append(*e, added.(*flow))
}

// Pop implements heap.Interface.
func (e *excess) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return popped
}

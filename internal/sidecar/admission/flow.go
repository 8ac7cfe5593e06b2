package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// flow holds the waiting requests of one tenant at one level. The next slot goes to the flow whose
// tenant has had the least; the request that is refused for want of room is of the flow whose tenant
// would have had the most if all of its requests were served.
type flow struct {
	account *account
	level   *level
	// groups are ordered by magnitude; none is empty.
	groups []*group
	length int
	// work is the sum over the requests.
	work time.Duration
	// turn and excess are the flow's places in the heaps of its level.
	turn, excess int
}

// ensureGroup returns the group that the request belongs to.
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

// findGroup returns the group of the magnitude, nil when there is none.
func (f *flow) findGroup(magnitude int) *group {
	for _, existing := range f.groups {
		if existing.magnitude == magnitude {
			return existing
		}
	}
	return nil
}

// removeGroup takes out an empty group.
func (f *flow) removeGroup(empty *group, unused *freeList[group]) {
	index := slices.Index(f.groups, empty)
	f.groups = slices.Delete(f.groups, index, index+1)
	empty.flow = nil
	unused.put(empty)
}

// adjust takes in that requests with so much work have come to the group, or have left it. The
// flow's place in the heap of excesses is mended by its caller.
func (f *flow) adjust(changed *group, work time.Duration, requests int) {
	changed.work += work
	f.work += work
	f.length += requests
	f.level.work += work
	f.level.length += requests
}

// first returns the request that is served first, last the one that is refused first.
func (f *flow) first() *waiter { return f.groups[0].waiters.Front().Value.(*waiter) }

func (f *flow) last(now time.Time) *waiter {
	for i := len(f.groups) - 1; i >= 0; i-- {
		if last := f.groups[i].waiters.Back().Value.(*waiter); !last.kind.exempt(1, now) {
			return last
		}
	}
	return nil
}

// projectedTime is what the tenant would have had if all requests of the flow were served.
func (f *flow) projectedTime() time.Duration {
	if f.account.hasTenant() {
		return f.account.virtualTime + f.work
	}
	return f.account.virtualTime + f.work/time.Duration(max(f.length, 1))
}

// workBefore returns the work of the flow's requests of smaller magnitudes.
func (f *flow) workBefore(limit int) time.Duration {
	total := time.Duration(0)
	for _, held := range f.groups {
		if held.magnitude >= limit {
			break
		}
		total += held.work
	}
	return total
}

// level holds the waiting requests of one precedence level.
type level struct {
	number int
	// turns and excess hold the same flows: the next to be served in front, and the first to be refused.
	turns  turns
	excess excess
	// work is the sum over all requests, virtualTime what the tenants of the flows have virtualTime.
	work, virtualTime time.Duration
	// length is how many requests there are.
	length int
}

// last returns the request of the level that is refused first, nil when all are kept.
func (l *level) last(now time.Time) *waiter {
	if last := l.excess[0].last(now); last != nil {
		return last
	}
	var most *flow
	for _, candidate := range l.excess[1:] {
		if (most == nil || candidate.projectedTime() > most.projectedTime()) && candidate.last(now) != nil {
			most = candidate
		}
	}
	if most == nil {
		return nil
	}
	return most.last(now)
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

// recordCharge takes in that the flow's tenant has had more, or less, than was known.
func (l *level) recordCharge(owned *flow, change time.Duration) {
	l.virtualTime += change
	heap.Fix(&l.turns, owned.turn)
	heap.Fix(&l.excess, owned.excess)
}

// workBefore returns the work at the level that is served before a new request. Each other tenant
// gets slots until it has had as much as the new request's: by the mean over them, so that it takes
// the same time whatever their number.
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

// lengthBefore returns how many requests of the level are served before a new request, at most: those of
// other tenants, and of its own those that it follows.
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

// turns is a heap of flows by what their tenants have had.
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

// excess is a heap of flows by what their tenants would have had with all of their requests, the most first.
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

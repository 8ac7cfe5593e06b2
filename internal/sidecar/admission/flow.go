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
	standing *standing
	level    *level
	// groups are ordered by magnitude; none is empty.
	groups []*group
	length int
	// work is the sum over the requests.
	work time.Duration
	// turn and excess are the flow's places in the heaps of its level.
	turn, excess int
}

// groupOf returns the group that the request belongs to.
func (f *flow) groupOf(ticket RequestInfo, unused *spare[group]) *group {
	wanted := magnitude(ticket.Work)
	index, found := slices.BinarySearchFunc(f.groups, wanted, func(held *group, wanted int) int { return cmp.Compare(held.magnitude, wanted) })
	if !found {
		created := unused.get()
		created.flow, created.magnitude = f, wanted
		f.groups = slices.Insert(f.groups, index, created)
	}
	return f.groups[index]
}

// holds returns the group of the magnitude, nil when there is none.
func (f *flow) holds(magnitude int) *group {
	for _, held := range f.groups {
		if held.magnitude == magnitude {
			return held
		}
	}
	return nil
}

// drop takes out an empty group.
func (f *flow) drop(empty *group, unused *spare[group]) {
	index := slices.Index(f.groups, empty)
	f.groups = slices.Delete(f.groups, index, index+1)
	empty.flow = nil
	unused.put(empty)
}

// changed takes in that requests with so much work have come to the group, or have left it. The
// flow's place in the heap of excesses is mended by its caller.
func (f *flow) changed(in *group, work time.Duration, requests int) {
	in.work += work
	f.work += work
	f.length += requests
	f.level.work += work
	f.level.length += requests
}

// first returns the request that is served first, last the one that is refused first.
func (f *flow) first() *waiter { return f.groups[0].waiters.Front().Value.(*waiter) }

func (f *flow) last(now time.Time) *waiter {
	for i := len(f.groups) - 1; i >= 0; i-- {
		if last := f.groups[i].waiters.Back().Value.(*waiter); !last.kind.kept(1, now) {
			return last
		}
	}
	return nil
}

// asked is what the tenant would have had if all requests of the flow were served.
func (f *flow) asked() time.Duration {
	if f.standing.named() {
		return f.standing.had + f.work
	}
	return f.standing.had + f.work/time.Duration(max(f.length, 1))
}

// workBefore returns the work of the flow's requests of smaller magnitudes.
func (f *flow) workBefore(wanted int) time.Duration {
	total := time.Duration(0)
	for _, held := range f.groups {
		if held.magnitude >= wanted {
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
	// work is the sum over all requests, had what the tenants of the flows have had.
	work, had time.Duration
	// length is how many requests there are.
	length int
}

// last returns the request of the level that is refused first, nil when all are kept.
func (l *level) last(now time.Time) *waiter {
	if last := l.excess[0].last(now); last != nil {
		return last
	}
	var most *flow
	for _, held := range l.excess[1:] {
		if (most == nil || held.asked() > most.asked()) && held.last(now) != nil {
			most = held
		}
	}
	if most == nil {
		return nil
	}
	return most.last(now)
}

func (l *level) add(added *flow) {
	l.had += added.standing.had
	heap.Push(&l.turns, added)
	heap.Push(&l.excess, added)
}

func (l *level) remove(removed *flow) {
	l.had -= removed.standing.had
	heap.Remove(&l.turns, removed.turn)
	heap.Remove(&l.excess, removed.excess)
}

// charged takes in that the flow's tenant has had more, or less, than was known.
func (l *level) charged(of *flow, change time.Duration) {
	l.had += change
	heap.Fix(&l.turns, of.turn)
	heap.Fix(&l.excess, of.excess)
}

// workBefore returns the work at the level that is served before a new request. Each other tenant
// gets slots until it has had as much as the new request's: by the mean over them, so that it takes
// the same time whatever their number.
func (l *level) workBefore(entry *waiter) time.Duration {
	others, work, had := len(l.turns), l.work, l.had
	own := time.Duration(0)
	if waitsIn := entry.standing.flow(l.number); waitsIn != nil {
		others, work, had = others-1, work-waitsIn.work, had-entry.standing.had
		own = waitsIn.workBefore(magnitude(entry.ticket.Work))
	}
	behind := time.Duration(others)*entry.standing.had - had
	return own + min(max(behind, 0), work)
}

// lengthBefore returns how many requests of the level are served before a new request, at most: those of
// other tenants, and of its own those that it follows.
func (l *level) lengthBefore(entry *waiter) int {
	waitsIn := entry.standing.flow(l.number)
	if waitsIn == nil {
		return l.length
	}
	before := l.length - waitsIn.length
	for _, held := range waitsIn.groups {
		if entry.follows(held) {
			before += held.waiters.Len()
		}
	}
	return before
}

// turns is a heap of flows by what their tenants have had.
type turns []*flow

// Len implements heap.Interface.
func (t turns) Len() int { return len(t) }

// Less implements heap.Interface.
func (t turns) Less(i, j int) bool { return t[i].standing.had < t[j].standing.had }

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
func (e excess) Less(i, j int) bool { return e[i].asked() > e[j].asked() }

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

package admission

import "time"

// kind is what requests of one class and of one order of magnitude of work have in common: those of one
// route, mostly. A more urgent class, or shorter work, may take all slots for as long as it lasts; a
// kind that has come for mostInVain without a slot gets the next one.
type kind struct {
	class     *class
	magnitude int
	// since is when it got a slot last, or began to come; came is when it came last. Both are zero
	// before the first request that is bounded.
	since, came time.Time
	// waiting is how many of its requests wait.
	waiting int
}

// mostInVain is for how long requests of a kind may come without one getting a slot.
const mostInVain = time.Second

// grantsPerOverdue is for how many slots given one may go to a kind that is overdue: with many kinds
// and few slots they would otherwise take them all.
const grantsPerOverdue = 20

// kind returns that of the magnitude.
func (c *class) kind(magnitude int) *kind {
	for _, held := range c.kinds {
		if held.magnitude == magnitude {
			return held
		}
	}
	added := &kind{class: c, magnitude: magnitude}
	c.kinds = append(c.kinds, added)
	return added
}

// comes takes in that a request comes that is bounded.
func (k *kind) comes(now time.Time) {
	if k.since.IsZero() || now.Sub(k.came) >= mostInVain {
		k.since = now
	}
	k.came = now
}

// overdue reports whether the kind is to get the next slot.
func (k *kind) overdue(now time.Time) bool {
	return !k.since.IsZero() && now.Sub(k.since) >= mostInVain && now.Sub(k.came) < mostInVain
}

// kept reports whether a request of the kind stays in the queue though it would wait too long: it is
// overdue, and no more of it wait than the given number.
func (k *kind) kept(most int, now time.Time) bool { return k.waiting <= most && k.overdue(now) }

// overdue returns the request of the kind that is overdue for the longest time, nil when there is none.
func (q *queue) overdue(now time.Time) *waiter {
	var longest *kind
	for _, competes := range q.standings.classes {
		for _, held := range competes.kinds {
			if held.waiting > 0 && held.overdue(now) && (longest == nil || held.since.Before(longest.since)) {
				longest = held
			}
		}
	}
	if longest == nil {
		return nil
	}
	return q.firstOf(longest)
}

// firstOf returns the waiting request of a kind that is served first.
func (q *queue) firstOf(wanted *kind) *waiter {
	for _, held := range q.levels {
		var best *group
		for _, waits := range held.turns {
			if waits.standing.class != wanted.class || best != nil && waits.standing.had >= best.flow.standing.had {
				continue
			}
			if found := waits.holds(wanted.magnitude); found != nil {
				best = found
			}
		}
		if best != nil {
			return best.waiters.Front().Value.(*waiter)
		}
	}
	return nil
}

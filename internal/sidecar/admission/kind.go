package admission

import "time"

// kind is what requests of one class and of one order of magnitude of work have in common: those of one
// route, mostly. A more urgent class, or shorter work, may take all slots for as long as it lasts; a
// kind that has come for mostInVain without a slot gets the next one.
type kind struct {
	class     *class
	magnitude int
	// lastGrant is when it got a slot last, or began to come; lastArrival is when it lastArrival last. Both are zero
	// before the first request that is bounded.
	lastGrant, lastArrival time.Time
	// waiting is how many of its requests wait.
	waiting int
}

// starvationBound is for how long requests of a kind may come without one getting a slot.
const starvationBound = time.Second

// grantsPerOverdue is for how many slots given one may go to a kind that is overdue: with many kinds
// and few slots they would otherwise take them all.
const grantsPerOverdue = 20

// kind returns that of the magnitude.
func (c *class) kind(magnitude int) *kind {
	for _, existing := range c.kinds {
		if existing.magnitude == magnitude {
			return existing
		}
	}
	added := &kind{class: c, magnitude: magnitude}
	c.kinds = append(c.kinds, added)
	return added
}

// recordArrival takes in that a request recordArrival that is bounded.
func (k *kind) recordArrival(now time.Time) {
	if k.lastGrant.IsZero() || now.Sub(k.lastArrival) >= starvationBound {
		k.lastGrant = now
	}
	k.lastArrival = now
}

// overdue reports whether the kind is to get the next slot.
func (k *kind) overdue(now time.Time) bool {
	return !k.lastGrant.IsZero() && now.Sub(k.lastGrant) >= starvationBound && now.Sub(k.lastArrival) < starvationBound
}

// exempt reports whether a request of the kind stays in the queue though it would wait too long: it is
// overdue, and no more of it wait than the given number.
func (k *kind) exempt(limit int, now time.Time) bool { return k.waiting <= limit && k.overdue(now) }

// overdue returns the request of the kind that is overdue for the longest time, nil when there is none.
func (q *queue) overdue(now time.Time) *waiter {
	var longest *kind
	for _, class := range q.accounts.classes {
		for _, candidate := range class.kinds {
			if candidate.waiting > 0 && candidate.overdue(now) && (longest == nil || candidate.lastGrant.Before(longest.lastGrant)) {
				longest = candidate
			}
		}
	}
	if longest == nil {
		return nil
	}
	return q.firstOfKind(longest)
}

// firstOfKind returns the waiting request of a kind that is served first.
func (q *queue) firstOfKind(wanted *kind) *waiter {
	for _, currentLevel := range q.levels {
		var best *group
		for _, tenantFlow := range currentLevel.turns {
			if tenantFlow.account.class != wanted.class || best != nil && tenantFlow.account.virtualTime >= best.flow.account.virtualTime {
				continue
			}
			if found := tenantFlow.findGroup(wanted.magnitude); found != nil {
				best = found
			}
		}
		if best != nil {
			return best.waiters.Front().Value.(*waiter)
		}
	}
	return nil
}

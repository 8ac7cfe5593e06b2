package admission

import "time"

// kind groups the requests of one class and one order of magnitude of work; mostly those of one route. A
// more urgent class, or shorter work, may take all slots for as long as its load lasts. A kind whose
// requests have kept arriving for starvationBound without a slot gets the next one.
type kind struct {
	class     *class
	magnitude int
	// lastGrant is the time at which the kind last got a slot, or began to arrive; lastArrival is
	// the arrival time of its last request. Both are zero before the first request with
	// PreventStarvation.
	lastGrant, lastArrival time.Time
	// waiting is the number of its waiting requests.
	waiting int
}

// starvationBound is the maximum time for which requests of a kind may keep arriving without one
// getting a slot.
const starvationBound = time.Second

// grantsPerOverdue is the number of grants of which one may go to an overdue kind: with many kinds and
// few slots, overdue kinds would otherwise take all slots.
const grantsPerOverdue = 20

// kind returns the kind of the magnitude and creates it if it is missing.
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

// recordArrival records the arrival of a request with PreventStarvation.
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

// exempt reports whether a request of the kind stays in the queue although it would wait too long: the
// kind is overdue, and no more than that many of its requests wait.
func (k *kind) exempt(limit int, now time.Time) bool { return k.waiting <= limit && k.overdue(now) }

// overdue returns the first request of the kind that has been overdue for the longest time, nil if there
// is none.
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

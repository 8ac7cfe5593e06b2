package admission

import (
	"math"
	"time"
)

// reserve is the number of slots that are kept free for the most urgent requests. Requests are not
// preempted: when long, less urgent requests hold every slot, a short urgent one waits for the first of
// them to end. The reserve grows when urgent requests start too late, and shrinks when they start in time
// or do not arrive. The caller holds the lock.
type reserve struct {
	// urgent is the most urgent recent priority, seen the time of its last arrival; zero before the
	// first.
	urgent int
	seen   time.Time
	// size is the reserve in slots at the time updated.
	size    float64
	updated time.Time
}

const (
	// reserveIncrement and reserveDecrement are the changes of the reserve after an urgent request that
	// started late, or in time: with one late in 25, the reserve stays as it is.
	reserveIncrement = 0.25
	reserveDecrement = 0.01
	// maxReserveShare is the largest part of the slots that is reserved.
	maxReserveShare = 1.0 / 3
	// reserveHalfLife is the half-life with which the reserve decays.
	reserveHalfLife = 3 * time.Second
	// urgentRetention is the time for which a priority is remembered as the most urgent.
	urgentRetention = 5 * time.Second
)

// observeArrival records the arrival of a request of the priority.
func (r *reserve) observeArrival(priority int, now time.Time) {
	if r.seen.IsZero() || priority <= r.urgent || now.Sub(r.seen) > urgentRetention {
		r.urgent, r.seen = priority, now
	}
}

// observeStart records whether a request of the priority started late.
func (r *reserve) observeStart(priority int, late bool, slots int, now time.Time) {
	if priority > r.urgent {
		return
	}
	change := -reserveDecrement
	if late {
		change = reserveIncrement
	}
	r.size = min(max(r.sizeAt(now)+change, 0), float64(slots)*maxReserveShare)
	r.updated = now
}

// reservedAgainst returns the number of slots that a request of the priority must leave free.
func (r *reserve) reservedAgainst(priority int, now time.Time) int {
	if priority <= r.urgent {
		return 0
	}
	return int(r.sizeAt(now))
}

// sizeAt returns the size at that time.
func (r *reserve) sizeAt(now time.Time) float64 {
	return r.size * math.Exp2(-float64(now.Sub(r.updated))/float64(reserveHalfLife))
}

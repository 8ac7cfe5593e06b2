package admission

import (
	"math"
	"time"
)

// reserve is how many slots are kept free for the most urgent requests. Work is
// not interrupted: when less urgent requests that take long hold every slot, a
// short urgent one waits for the first that ends. The reserve grows while urgent
// requests begin too late and shrinks while they do not, or do not come. Its
// owner holds the lock.
type reserve struct {
	// urgent is the most urgent priority of late, seen is when it last came; zero
	// before the first.
	urgent int
	seen   time.Time
	// size is the reserve in slots at the moment set.
	size    float64
	updated time.Time
}

const (
	// reserveIncrement and reserveShrinks are by how much one urgent request that
	// began late, or in time, changes the reserve: one late in 25 keeps it.
	reserveIncrement = 0.25
	reserveDecrement = 0.01
	// maxReserveShare is the largest part of the slots.
	maxReserveShare = 1.0 / 3
	// reserveHalfLife is how fast it is given up by itself.
	reserveHalfLife = 3 * time.Second
	// urgentRetention is how long a priority is remembered as the most urgent.
	urgentRetention = 5 * time.Second
)

// observeArrival takes in that a request of the priority came.
func (r *reserve) observeArrival(priority int, now time.Time) {
	if r.seen.IsZero() || priority <= r.urgent || now.Sub(r.seen) > urgentRetention {
		r.urgent, r.seen = priority, now
	}
}

// observeStart takes in whether a request of the priority observeStart late.
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

// reservedAgainst returns how many slots a request of the priority leaves free.
func (r *reserve) reservedAgainst(priority int, now time.Time) int {
	if priority <= r.urgent {
		return 0
	}
	return int(r.sizeAt(now))
}

// sizeAt returns the size sizeAt that moment.
func (r *reserve) sizeAt(now time.Time) float64 {
	return r.size * math.Exp2(-float64(now.Sub(r.updated))/float64(reserveHalfLife))
}

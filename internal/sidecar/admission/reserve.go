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
	size float64
	set  time.Time
}

const (
	// reserveGrows and reserveShrinks are by how much one urgent request that
	// began late, or in time, changes the reserve: one late in 25 keeps it.
	reserveGrows   = 0.25
	reserveShrinks = 0.01
	// reserveMost is the largest part of the slots.
	reserveMost = 1.0 / 3
	// reserveHalfLife is how fast it is given up by itself.
	reserveHalfLife = 3 * time.Second
	// urgentMemory is how long a priority is remembered as the most urgent.
	urgentMemory = 5 * time.Second
)

// note takes in that a request of the priority came.
func (r *reserve) note(priority int, now time.Time) {
	if r.seen.IsZero() || priority <= r.urgent || now.Sub(r.seen) > urgentMemory {
		r.urgent, r.seen = priority, now
	}
}

// began takes in whether a request of the priority began late.
func (r *reserve) began(priority int, late bool, slots int, now time.Time) {
	if priority > r.urgent {
		return
	}
	change := -reserveShrinks
	if late {
		change = reserveGrows
	}
	r.size = min(max(r.at(now)+change, 0), float64(slots)*reserveMost)
	r.set = now
}

// kept returns how many slots a request of the priority leaves free.
func (r *reserve) kept(priority int, now time.Time) int {
	if priority <= r.urgent {
		return 0
	}
	return int(r.at(now))
}

// at returns the size at that moment.
func (r *reserve) at(now time.Time) float64 {
	return r.size * math.Exp2(-float64(now.Sub(r.set))/float64(reserveHalfLife))
}

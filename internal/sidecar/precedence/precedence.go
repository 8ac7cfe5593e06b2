// Package precedence orders requests that compete for a back end's slots. A caller's node tells
// with the request what it goes by (package hop); the queue at the back end's node orders by it. The
// package is pure.
package precedence

// Precedence is what of a request decides when it gets room.
type Precedence struct {
	// Nested: a request that is at work waits for it. Refused, it would throw away what that has
	// worked.
	Nested bool
	// Priority is that of the route or tenant; zero is the most urgent.
	Priority int
	// OverShare: the request's tenant has more than its share of the service's room.
	OverShare bool
	// Returning: the caller was refused before and has come back.
	Returning bool
}

// levelsPerPriority is how many levels there are for each priority.
const levelsPerPriority = 4

// Level is a precedence as one number; zero comes first.
func (p Precedence) Level() int {
	if p.Nested {
		return 0
	}
	level := 1 + p.Priority*levelsPerPriority
	if p.OverShare {
		level += 2
	}
	if p.Returning {
		level++
	}
	return level
}

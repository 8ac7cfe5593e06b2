// Package precedence orders requests that compete for the slots of a back end. The caller's node sends
// the precedence with the request (package hop); the queue at the back end's node orders requests by it.
// The package does no I/O.
package precedence

// Precedence holds the properties of a request that determine when it gets a slot.
type Precedence struct {
	// Nested: a running request waits for this one. Refusing it would waste the work done so far.
	Nested bool
	// Priority is the priority of the route or tenant; zero is the most urgent.
	Priority int
	// OverShare: the tenant of the request uses more than its share of the service's capacity.
	OverShare bool
	// Returning: the caller was refused before and retries.
	Returning bool
}

// levelsPerPriority is the number of levels of each priority.
const levelsPerPriority = 4

// Level returns the precedence as a single number; zero comes first.
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

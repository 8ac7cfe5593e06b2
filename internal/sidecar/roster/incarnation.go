package roster

import "strconv"

// Incarnation is one start of a back end. Its process may start again under the id that it
// had; it then holds and knows nothing of before, and its sequence starts anew.
type Incarnation struct {
	ID string
	// Born is the moment of its start by the back end's clock, in milliseconds of the time of
	// day; zero where the platform does not tell. Two starts have different ones, and the later
	// start mostly, but for steps of that clock, the higher one.
	Born int64
}

// String names the incarnation; where the platform does not tell of starts it is the id.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// before reports whether the incarnation is known to have started before the other one.
func (i Incarnation) before(other Incarnation) bool {
	return i.Born != 0 && other.Born != 0 && i.Born < other.Born
}

// Incarnation returns which start of the back end this is.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

package roster

import "strconv"

// Incarnation identifies one start of a back end. A process may restart under the id that it had;
// it then has no state from before, and its heartbeat sequence starts anew.
type Incarnation struct {
	ID string
	// Born is the start time by the back end's clock, in milliseconds since the Unix epoch, or zero
	// if the platform does not report it. Two starts have different values, and the later start has
	// the higher one unless the clock was set back.
	Born int64
}

// String returns the id, followed by the start time if the platform reports it.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// before reports whether the incarnation is known to have started earlier than the other one.
func (i Incarnation) before(other Incarnation) bool {
	return i.Born != 0 && other.Born != 0 && i.Born < other.Born
}

// Incarnation returns the incarnation of the back end that the endpoint describes.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

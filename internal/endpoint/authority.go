package endpoint

import (
	"math"
	"time"
)

// sequenceStep keeps an authority's sequence numbers even.
const sequenceStep = 2

// Authority is the one source of an endpoint's state: the proxy beside it. It
// is not safe for concurrent use.
type Authority struct {
	current Update
	// leaving: the platform lists the machine as leaving. Nothing the back
	// end says brings new work to it again.
	leaving bool
}

// NewAuthority starts with the given update's identity and state, at the first
// sequence of its incarnation.
func NewAuthority(initial Update) *Authority {
	initial.Sequence = sequenceStep
	return &Authority{current: initial}
}

// Current returns the authority's newest update.
func (a *Authority) Current() Update { return a.current }

// Set changes the state and returns the update to report; false when the state
// is already that. A machine that is leaving stays draining until it is down.
func (a *Authority) Set(state State) (Update, bool) {
	if a.leaving && state.AcceptsWork() {
		state = Draining
	}
	if a.current.State == state {
		return a.current, false
	}
	a.current.State = state
	a.current.Sequence += sequenceStep
	return a.current, true
}

// Reannounce returns the state under a new sequence, so that whoever lost sight of
// the authority learns that it lives.
func (a *Authority) Reannounce() Update {
	a.current.Sequence += sequenceStep
	return a.current
}

// Observe looks at an update that came from elsewhere. One about this very
// incarnation that is newer than its own was made by a relay: because it had
// lost sight of the authority, which the returned update refutes, or because
// the platform listed the machine as leaving, which the authority takes over.
// One about an incarnation that began later by this very clock is a
// predecessor's, from before the clock was set back: the authority takes a
// later incarnation than that.
func (a *Authority) Observe(now time.Time, update Update) (Update, bool) {
	if update.ID != a.current.ID {
		return Update{}, false
	}
	if a.fromPredecessor(now, update) {
		a.current.Incarnation = update.Incarnation + 1
		a.current.Sequence = sequenceStep
		return a.current, true
	}
	if update.Incarnation != a.current.Incarnation || update.Sequence <= a.current.Sequence {
		return Update{}, false
	}
	if update.State == Draining && update.IsRelayOverride() {
		a.markLeaving()
	}
	a.current.Sequence = update.Sequence - update.Sequence%sequenceStep + sequenceStep
	return a.current, true
}

// fromPredecessor reports whether a later incarnation is a predecessor's all the same.
// A successor's began by now; it is left alone, since this process was paused
// and replaced.
func (a *Authority) fromPredecessor(now time.Time, update Update) bool {
	later := update.Incarnation > a.current.Incarnation && update.Incarnation < math.MaxUint64
	return later && update.Incarnation > uint64(now.UnixMilli())
}

func (a *Authority) markLeaving() {
	a.leaving = true
	if a.current.State.AcceptsWork() {
		a.current.State = Draining
	}
}

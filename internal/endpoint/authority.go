package endpoint

import (
	"math"
	"time"
)

// sequenceStep is the increment of an authority's sequence numbers. It keeps them
// even; odd numbers are for the overrides of relays.
const sequenceStep = 2

// Authority produces the updates of an endpoint at the proxy beside it, which is
// the authoritative source of its state. It is not safe for concurrent use.
type Authority struct {
	current Update
	// leaving says that the platform lists the machine as leaving. The state
	// then never returns to one that accepts new work, whatever the back end
	// reports.
	leaving bool
}

// NewAuthority returns an authority that starts from the given update, with the
// first sequence number of its incarnation.
func NewAuthority(initial Update) *Authority {
	initial.Sequence = sequenceStep
	return &Authority{current: initial}
}

// Current returns the authority's newest update.
func (a *Authority) Current() Update { return a.current }

// Set changes the state and returns the update to report, or false if the state
// is unchanged. On a machine that is leaving, Draining replaces the states that
// accept work.
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

// Reannounce returns the unchanged state with a new sequence number, so that nodes
// which have lost contact with the authority learn that it is alive.
func (a *Authority) Reannounce() Update {
	a.current.Sequence += sequenceStep
	return a.current
}

// Observe handles an update received from another node and returns the update to
// report in response, if any.
//
// An update of the current incarnation that is newer than the authority's own
// was made by a relay. If the relay had lost contact with the authority, the
// returned update supersedes the override. If the platform listed the machine as
// leaving, the authority adopts the Draining state.
//
// An update whose incarnation lies in the future of the local clock comes from a
// predecessor that started before the clock was set back. The authority then
// switches to an incarnation above that one.
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

// fromPredecessor reports whether an update with a higher incarnation comes from
// a predecessor, which is the case if the incarnation lies in the future. One
// that does not is a successor's: this process was paused and replaced, and must
// not supersede it. The highest incarnation counts as neither, since none is
// above it.
func (a *Authority) fromPredecessor(now time.Time, update Update) bool {
	later := update.Incarnation > a.current.Incarnation && update.Incarnation < math.MaxUint64
	return later && update.Incarnation > uint64(now.UnixMilli())
}

// markLeaving records that the machine is leaving and drains the endpoint if it
// accepts work.
func (a *Authority) markLeaving() {
	a.leaving = true
	if a.current.State.AcceptsWork() {
		a.current.State = Draining
	}
}

package rollout

import "time"

// Causes of a move that is taken back.
const (
	CauseFaulty               = "several back ends of the version are faulty"
	CauseDeadlineMissed       = "not done by the deadline"
	CauseInsufficientEvidence = "too little was seen of the version, or it has too few back ends"
)

// expiry is how long after its deadline a move of which no end was heard is taken for
// taken back: news of an end takes that long to reach a node that hears it from its peers
// alone.
const expiryGrace = 1500 * time.Millisecond

// Evaluate returns the move after a look at what its back ends are called, and whether it
// changed. Every node does this by itself; nobody waits for the store to stop sending.
func (s State) Evaluate(tally Tally, now time.Time) (State, bool) {
	if s.Phase >= Condemned {
		return s, false
	}
	switch {
	case tally.Condemns():
		s.Phase, s.Recorded, s.Cause = Condemned, false, CauseFaulty
	case now.After(s.Deadline.Add(expiryGrace)) && !tally.onlyVersion():
		s.Phase, s.Recorded, s.Cause = Condemned, false, CauseDeadlineMissed
	default:
		return s, false
	}
	return s, true
}

// Start returns the move of an order that was heard at that moment. A version that is the
// only one in use has nothing to be tried against: its move is over at once.
func Start(order Order, tally Tally, now time.Time) State {
	state := NewState(order, now)
	if tally.onlyVersion() {
		state.Phase = Completed
	}
	return state
}

// DuePhase returns the phase that is to be written to the store now, and whether one is.
func (s State) DuePhase(tally Tally, limits Limits, now time.Time) (phase Phase, due bool) {
	switch {
	case s.Phase.Final():
		return s.Phase, !s.Recorded
	case s.Phase == Condemned:
		return RolledBack, true
	case tally.onlyVersion() && !now.Before(s.CompleteAt(limits)):
		return Completed, true
	case !now.Before(s.Deadline):
		return RolledBack, true
	case s.Phase == Promoting:
		return Completed, !now.Before(s.CompleteAt(limits))
	case !now.Before(s.CompleteAt(limits)):
		// Too late to begin: what others work on would be broken off.
		return RolledBack, true
	case !now.Before(s.PromoteAt(limits)) && tally.Promotes():
		return Promoting, true
	}
	return Trial, !s.Recorded
}

// WithRecordedPhase returns the move in a phase that the store has.
func (s State) WithRecordedPhase(phase Phase) State {
	switch {
	case phase != RolledBack || s.Cause != "":
	case s.Phase == Trial:
		s.Cause = CauseInsufficientEvidence
	default:
		s.Cause = CauseDeadlineMissed
	}
	s.Phase, s.Recorded = phase, true
	return s
}

package rollout

import "time"

// Causes of a rollback.
const (
	CauseFaulty               = "several back ends of the version are faulty"
	CauseDeadlineMissed       = "not done by the deadline"
	CauseInsufficientEvidence = "too little was seen of the version, or it has too few back ends"
)

// expiryGrace is the time past its deadline after which a rollout without a known result counts as
// rolled back. A node that receives the result from its peers alone may learn of it that much
// later.
const expiryGrace = 1500 * time.Millisecond

// Evaluate returns the state after an evaluation of the evidence, and whether it changed. Every
// node evaluates by itself, so that traffic to a bad version stops without a round trip to the
// store.
func (s State) Evaluate(tally Tally, now time.Time) (State, bool) {
	if s.Phase >= Condemned {
		return s, false
	}
	switch {
	case tally.Condemns():
		s.Phase, s.Recorded, s.Cause = Condemned, false, CauseFaulty
	case now.After(s.Deadline.Add(expiryGrace)) && tally.otherVersions() == othersInUse:
		s.Phase, s.Recorded, s.Cause = Condemned, false, CauseDeadlineMissed
	default:
		return s, false
	}
	return s, true
}

// Start returns the initial state for an order received at the given time. If no other version
// is in use, there is nothing to compare with and the rollout is completed at once.
func Start(order Order, tally Tally, now time.Time) State {
	state := NewState(order, now)
	if tally.OnlyVersion() {
		state.Phase = Completed
	}
	return state
}

// DuePhase returns the phase to write to the store now, and whether a write is due.
func (s State) DuePhase(tally Tally, limits Limits, now time.Time) (phase Phase, due bool) {
	switch {
	case s.Phase.Final():
		return s.Phase, !s.Recorded
	case s.Phase == Condemned:
		return RolledBack, true
	case s.Waits(tally, limits, now):
		return s.Phase, false
	case tally.OnlyVersion() && !now.Before(s.CompleteAt(limits)):
		return Completed, true
	case !now.Before(s.Deadline):
		return RolledBack, true
	case s.Phase == Promoting:
		return Completed, !now.Before(s.CompleteAt(limits))
	case !now.Before(s.CompleteAt(limits)):
		// Too late to promote: requests in progress on other versions would be interrupted.
		return RolledBack, true
	case !now.Before(s.PromoteAt(limits)) && tally.Promotes():
		return Promoting, true
	}
	return Trial, !s.Recorded
}

// Waits reports whether the result is due but this node cannot tell it: it may be the only version
// in use, which completes the rollout, or one without enough evidence, which rolls it back.
func (s State) Waits(tally Tally, limits Limits, now time.Time) bool {
	return s.Phase == Trial && tally.otherVersions() == othersUnknown && !now.Before(s.CompleteAt(limits))
}

// WithRecordedPhase returns the state with a phase that the store has recorded.
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

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
const expiry = 1500 * time.Millisecond

// Evaluate returns the move after a look at what its back ends are called, and whether it
// changed. Every node does this by itself; nobody waits for the store to stop sending.
func (m State) Evaluate(tally Tally, now time.Time) (State, bool) {
	if m.Phase >= Condemned {
		return m, false
	}
	switch {
	case tally.Condemns():
		m.Phase, m.Recorded, m.Cause = Condemned, false, CauseFaulty
	case now.After(m.Deadline.Add(expiry)) && !tally.last():
		m.Phase, m.Recorded, m.Cause = Condemned, false, CauseDeadlineMissed
	default:
		return m, false
	}
	return m, true
}

// Start returns the move of an order that was heard at that moment. A version that is the
// only one in use has nothing to be tried against: its move is over at once.
func Start(order Order, tally Tally, now time.Time) State {
	begun := NewState(order, now)
	if tally.last() {
		begun.Phase = Completed
	}
	return begun
}

// DuePhase returns the phase that is to be written to the store now, and whether one is.
func (m State) DuePhase(tally Tally, limits Limits, now time.Time) (phase Phase, due bool) {
	switch {
	case m.Phase.Final():
		return m.Phase, !m.Recorded
	case m.Phase == Condemned:
		return RolledBack, true
	case tally.last() && !now.Before(m.CompleteAt(limits)):
		return Completed, true
	case !now.Before(m.Deadline):
		return RolledBack, true
	case m.Phase == Promoting:
		return Completed, !now.Before(m.CompleteAt(limits))
	case !now.Before(m.CompleteAt(limits)):
		// Too late to begin: what others work on would be broken off.
		return RolledBack, true
	case !now.Before(m.PromoteAt(limits)) && tally.Promotes():
		return Promoting, true
	}
	return Trial, !m.Recorded
}

// WithRecordedPhase returns the move in a phase that the store has.
func (m State) WithRecordedPhase(phase Phase) State {
	switch {
	case phase != RolledBack || m.Cause != "":
	case m.Phase == Trial:
		m.Cause = CauseInsufficientEvidence
	default:
		m.Cause = CauseDeadlineMissed
	}
	m.Phase, m.Recorded = phase, true
	return m
}

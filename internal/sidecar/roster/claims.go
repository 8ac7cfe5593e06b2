package roster

import "time"

// Heartbeat is what a back end says at one moment.
type Heartbeat struct {
	Endpoint
	// WarmupLeft is how much longer the back end stays slow from its start.
	WarmupLeft time.Duration
}

// IncarnationTracker decides which incarnation is the back end's when heartbeats bear several. A
// heartbeat may come seconds late, from a back end that is no more: one alone
// does not take the place of one that is heard from, unless it started later.
type IncarnationTracker struct {
	// Interval is the usual time between two heartbeats.
	Interval time.Duration
	// lastHeard is when the current incarnation was last lastHeard in this life.
	lastHeard time.Time
	// candidate is another incarnation heard since then, that often.
	candidate           Endpoint
	candidateHeartbeats int
}

const (
	// maxSilentIntervals is how long the current incarnation may be silent before another
	// one takes its place at once.
	maxSilentIntervals = 3
	// minCandidateHeartbeats is how often a rival must be heard in a row.
	minCandidateHeartbeats = 2
)

// ApplyHeartbeat returns the record after a heartbeat, and whether it changed. A final incarnation
// stays final, and the highest sequence of one wins. One that says nothing of its start, while
// the back end does, is not the back end's.
func (c *IncarnationTracker) ApplyHeartbeat(record Record, heartbeat Heartbeat, now time.Time) (next Record, changed bool) {
	if record.HasEnded(heartbeat.Incarnation()) {
		return record, false
	}
	current := record.Endpoint
	if current == nil {
		return c.replace(record, heartbeat.Endpoint, now), true
	}
	currentIncarnation, reportedIncarnation := current.Incarnation(), heartbeat.Incarnation()
	replaces := false
	switch {
	case currentIncarnation == reportedIncarnation:
		return c.refresh(record, heartbeat.Endpoint, now)
	case reportedIncarnation.Born == 0 && currentIncarnation.Born != 0:
	case currentIncarnation.before(reportedIncarnation):
		replaces = true
	case reportedIncarnation.before(currentIncarnation):
		// A late word of an earlier start, unless the clock was set back.
		replaces = c.countCandidate(heartbeat.Endpoint) && (current.State == Gone || c.silent(now))
	default:
		replaces = current.State == Gone || c.silent(now) || c.countCandidate(heartbeat.Endpoint)
	}
	if !replaces {
		return record, false
	}
	return c.replace(record, heartbeat.Endpoint, now), true
}

// silent reports whether the current incarnation has not been heard for too long, or not
// at all in this life.
func (c *IncarnationTracker) silent(now time.Time) bool {
	return c.lastHeard.IsZero() || now.Sub(c.lastHeard) > maxSilentIntervals*c.Interval
}

// countCandidate counts a rival's heartbeat and reports whether it was heard often
// enough.
func (c *IncarnationTracker) countCandidate(candidate Endpoint) bool {
	if c.candidate.Incarnation() != candidate.Incarnation() {
		c.candidateHeartbeats = 0
	}
	c.candidateHeartbeats++
	c.candidate = candidate
	return c.candidateHeartbeats >= minCandidateHeartbeats
}

func (c *IncarnationTracker) refresh(record Record, reported Endpoint, now time.Time) (next Record, changed bool) {
	current := record.Endpoint
	if current.State == Gone || reported.Sequence < current.Sequence {
		return record, false
	}
	if current.State == Draining {
		reported.State = Draining // a heartbeat that was sent before may come after an answer that said so
	}
	c.lastHeard, c.candidateHeartbeats = now, 0
	changed = current.State != reported.State || current.Slots != reported.Slots || current.Service != reported.Service ||
		current.Version != reported.Version
	record.Endpoint = &reported
	return record, changed
}

func (c *IncarnationTracker) replace(record Record, reported Endpoint, now time.Time) Record {
	c.lastHeard, c.candidateHeartbeats = now, 0
	record.Endpoint = &reported
	return record
}

// MarkLost takes in that the process of a back end has ended: the next one to be heard takes its
// place at once. Back ends are back some seconds after an end and were refused, as another
// one than was known, for 1.4 to 1.7 s more, until their second heartbeat.
func (c *IncarnationTracker) MarkLost(record Record, incarnation string) {
	if record.Endpoint != nil && record.Endpoint.Incarnation().String() == incarnation {
		c.lastHeard = time.Time{}
	}
}

// Confirm takes in that the back end itself has given its id. A rival of that
// id takes the place at once.
func (c *IncarnationTracker) Confirm(record Record, id string, now time.Time) (next Record, changed bool) {
	current := record.Endpoint
	if current == nil || current.ID == id || c.candidate.ID != id || record.HasEnded(c.candidate.Incarnation()) {
		return record, false
	}
	return c.replace(record, c.candidate, now), true
}

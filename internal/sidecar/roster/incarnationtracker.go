package roster

import "time"

// Heartbeat is the state that a back end reports periodically.
type Heartbeat struct {
	Endpoint
	// WarmupLeft is the remaining time for which the back end is slow after its start.
	WarmupLeft time.Duration
	// Identity is what the back end beside the node says about the id.
	Identity Identity
}

// Identity is what the back end beside the node itself says about the id in a heartbeat.
type Identity int

const (
	// IdentityUnknown means that the back end was not asked or did not answer.
	IdentityUnknown Identity = iota
	// IdentityConfirmed means that the back end has that id.
	IdentityConfirmed
	// IdentityRefuted means that the back end has another id.
	IdentityRefuted
)

// Refusal is the reason why a heartbeat does not count; empty if it does.
type Refusal string

const (
	// RefusedService means that the heartbeat is of another service than that of the node.
	RefusedService Refusal = "service"
	// RefusedEnded means that the incarnation has ended.
	RefusedEnded Refusal = "ended"
	// RefusedSequence means that a later heartbeat of the incarnation has already arrived.
	RefusedSequence Refusal = "sequence"
	// RefusedInstance means that the back end itself reports another id.
	RefusedInstance Refusal = "instance"
	// RefusedUnconfirmed means that the incarnation is not the current one, and that nothing shows
	// that it has replaced it.
	RefusedUnconfirmed Refusal = "unconfirmed"
)

// IncarnationTracker decides which incarnation of the back end is current when heartbeats of
// several arrive. A heartbeat may arrive seconds late, from a process that no longer runs. Where the
// back end itself does not confirm the id, a single one therefore does not replace an incarnation
// that is still sending, unless it belongs to a later start.
type IncarnationTracker struct {
	// Interval is the expected time between two heartbeats.
	Interval time.Duration
	// lastHeartbeat is the time of the current incarnation's last heartbeat since this process
	// started. It is zero if none has arrived or the back end's process is known to have ended.
	lastHeartbeat time.Time
	// candidate is another incarnation that has sent heartbeats since then, candidateHeartbeats their
	// number in a row, and lastCountedAt the arrival of the last one that was counted.
	candidate           Endpoint
	candidateHeartbeats int
	lastCountedAt       time.Time
	// reportedID is the id that the back end itself last reported without a heartbeat of it, at
	// reportedAt; empty if the current incarnation was taken since.
	reportedID string
	reportedAt time.Time
	// unverified means that the current incarnation was taken while the back end's id was not known.
	unverified bool
}

const (
	// maxSilentIntervals is the maximum number of heartbeat intervals for which the current
	// incarnation may be silent before another one replaces it at once.
	maxSilentIntervals = 3
	// minCandidateHeartbeats is the number of consecutive heartbeats that a candidate must send.
	minCandidateHeartbeats = 2
	// minCandidateGap is the minimum time between two of them, as a fraction of an interval: late
	// heartbeats that were held up together also arrive together.
	minCandidateGap = 0.5
)

// ApplyHeartbeat returns the record after a heartbeat, whether it changed in a way that peers must
// learn of, and why the heartbeat does not count. An incarnation that has ended stays ended, and
// among heartbeats of one incarnation the highest sequence wins. A heartbeat without a start time is
// refused if the current incarnation has one.
func (c *IncarnationTracker) ApplyHeartbeat(record Record, heartbeat Heartbeat, now time.Time) (next Record, changed bool, refusal Refusal) {
	if record.HasEnded(heartbeat.Incarnation()) {
		return record, false, RefusedEnded
	}
	current := record.Endpoint
	heartbeat.Identity = c.identity(&heartbeat, now)
	switch {
	case current != nil && current.Incarnation() == heartbeat.Incarnation():
		return c.refresh(record, heartbeat.Endpoint, now)
	case heartbeat.Identity == IdentityRefuted:
		return record, false, RefusedInstance
	case current == nil || c.replaces(current, &heartbeat, now):
		c.unverified = heartbeat.Identity == IdentityUnknown
		return c.replace(record, heartbeat.Endpoint, now), true, ""
	}
	return record, false, RefusedUnconfirmed
}

// replaces reports whether the incarnation of a heartbeat replaces the current one.
func (c *IncarnationTracker) replaces(current *Endpoint, heartbeat *Heartbeat, now time.Time) bool {
	currentIncarnation, reportedIncarnation := current.Incarnation(), heartbeat.Incarnation()
	switch {
	case heartbeat.Identity == IdentityConfirmed && heartbeat.ID != current.ID:
		return true
	case reportedIncarnation.Born == 0 && currentIncarnation.Born != 0:
		return false
	case currentIncarnation.before(reportedIncarnation):
		return true
	case reportedIncarnation.before(currentIncarnation):
		// Either a late heartbeat of an earlier start, or the clock was set back.
		return c.countCandidate(heartbeat.Endpoint, now) && (current.State == Gone || c.silent(now))
	}
	return current.State == Gone || c.silent(now) || c.countCandidate(heartbeat.Endpoint, now)
}

// TakeUnverified returns the current endpoint if it was taken while the back end's id was not known,
// and nil otherwise or if it was returned before.
func (c *IncarnationTracker) TakeUnverified(record Record) *Endpoint {
	if !c.unverified {
		return nil
	}
	c.unverified = false
	return record.Endpoint
}

// silent reports whether the current incarnation has sent no heartbeat for too long, or none since
// this process started.
func (c *IncarnationTracker) silent(now time.Time) bool {
	return c.lastHeartbeat.IsZero() || now.Sub(c.lastHeartbeat) > maxSilentIntervals*c.Interval
}

// countCandidate counts a candidate's heartbeat and reports whether it has sent enough in a row to
// become the current incarnation.
func (c *IncarnationTracker) countCandidate(candidate Endpoint, now time.Time) bool {
	if c.candidate.Incarnation() != candidate.Incarnation() {
		c.candidateHeartbeats = 0
	}
	c.candidate = candidate
	gap := time.Duration(minCandidateGap * float64(c.Interval))
	if c.candidateHeartbeats == 0 || now.Sub(c.lastCountedAt) >= gap {
		c.candidateHeartbeats++
		c.lastCountedAt = now
	}
	return c.candidateHeartbeats >= minCandidateHeartbeats
}

func (c *IncarnationTracker) refresh(record Record, reported Endpoint, now time.Time) (next Record, changed bool, refusal Refusal) {
	current := record.Endpoint
	switch {
	case current.State == Gone:
		return record, false, RefusedEnded
	case reported.Sequence < current.Sequence:
		return record, false, RefusedSequence
	}
	if current.State == Draining {
		reported.State = Draining // an earlier heartbeat may arrive after a response that announced draining
	}
	c.lastHeartbeat, c.candidateHeartbeats = now, 0
	changed = current.State != reported.State || current.Slots != reported.Slots || current.Service != reported.Service ||
		current.Version != reported.Version
	record.Endpoint = &reported
	return record, changed, ""
}

func (c *IncarnationTracker) replace(record Record, reported Endpoint, now time.Time) Record {
	c.lastHeartbeat, c.candidateHeartbeats = now, 0
	c.reportedID = ""
	record.Endpoint = &reported
	return record
}

// MarkLost records that the process of an incarnation has ended, so that the next incarnation to
// send a heartbeat replaces it at once. Without this, back ends that restarted within seconds were
// refused as unknown for another 1.4 to 1.7 s, until their second heartbeat.
func (c *IncarnationTracker) MarkLost(record Record, incarnation string) {
	if record.Endpoint != nil && record.Endpoint.Incarnation().String() == incarnation {
		c.lastHeartbeat = time.Time{}
	}
}

// Confirm applies an id obtained from the back end itself, empty if it named none. A candidate with
// that id becomes the current incarnation at once. Without one, the next heartbeat with that id does.
func (c *IncarnationTracker) Confirm(record Record, id string, now time.Time) (next Record, changed bool) {
	current := record.Endpoint
	switch {
	case id == "" || current == nil || current.ID == id:
		return record, false
	case c.candidate.ID != id:
		c.reportedID, c.reportedAt = id, now
		return record, false
	case record.HasEnded(c.candidate.Incarnation()):
		return record, false
	}
	c.unverified = false
	return c.replace(record, c.candidate, now), true
}

// identity returns what the back end says about the id of a heartbeat, including what it reported
// before.
func (c *IncarnationTracker) identity(heartbeat *Heartbeat, now time.Time) Identity {
	recent := c.reportedID != "" && now.Sub(c.reportedAt) <= maxSilentIntervals*c.Interval
	if heartbeat.Identity == IdentityUnknown && heartbeat.ID == c.reportedID && recent {
		return IdentityConfirmed
	}
	return heartbeat.Identity
}

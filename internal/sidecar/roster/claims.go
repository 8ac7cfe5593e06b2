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
	// heard is when the current incarnation was last heard in this life.
	heard time.Time
	// rival is another incarnation heard since then, that often.
	rival      Endpoint
	rivalBeats int
}

const (
	// silentIntervals is how long the current incarnation may be silent before another
	// one takes its place at once.
	silentIntervals = 3
	// rivalBeatsNeeded is how often a rival must be heard in a row.
	rivalBeatsNeeded = 2
)

// ApplyHeartbeat returns the record after a heartbeat, and whether it changed. A final incarnation
// stays final, and the highest sequence of one wins. One that says nothing of its start, while
// the back end does, is not the back end's.
func (c *IncarnationTracker) ApplyHeartbeat(record Record, beat Heartbeat, now time.Time) (next Record, changed bool) {
	if record.HasEnded(beat.Incarnation()) {
		return record, false
	}
	held := record.Endpoint
	if held == nil {
		return c.install(record, beat.Endpoint, now), true
	}
	current, told := held.Incarnation(), beat.Incarnation()
	takes := false
	switch {
	case current == told:
		return c.renew(record, beat.Endpoint, now)
	case told.Born == 0 && current.Born != 0:
	case current.before(told):
		takes = true
	case told.before(current):
		// A late word of an earlier start, unless the clock was set back.
		takes = c.prevails(beat.Endpoint) && (held.State == Gone || c.silent(now))
	default:
		takes = held.State == Gone || c.silent(now) || c.prevails(beat.Endpoint)
	}
	if !takes {
		return record, false
	}
	return c.install(record, beat.Endpoint, now), true
}

// silent reports whether the current incarnation has not been heard for too long, or not
// at all in this life.
func (c *IncarnationTracker) silent(now time.Time) bool {
	return c.heard.IsZero() || now.Sub(c.heard) > silentIntervals*c.Interval
}

// prevails counts a rival's heartbeat and reports whether it was heard often
// enough.
func (c *IncarnationTracker) prevails(rival Endpoint) bool {
	if c.rival.Incarnation() != rival.Incarnation() {
		c.rivalBeats = 0
	}
	c.rivalBeats++
	c.rival = rival
	return c.rivalBeats >= rivalBeatsNeeded
}

func (c *IncarnationTracker) renew(record Record, fresh Endpoint, now time.Time) (next Record, changed bool) {
	held := record.Endpoint
	if held.State == Gone || fresh.Sequence < held.Sequence {
		return record, false
	}
	if held.State == Draining {
		fresh.State = Draining // a heartbeat that was sent before may come after an answer that said so
	}
	c.heard, c.rivalBeats = now, 0
	changed = held.State != fresh.State || held.Slots != fresh.Slots || held.Service != fresh.Service ||
		held.Version != fresh.Version
	record.Endpoint = &fresh
	return record, changed
}

func (c *IncarnationTracker) install(record Record, fresh Endpoint, now time.Time) Record {
	c.heard, c.rivalBeats = now, 0
	record.Endpoint = &fresh
	return record
}

// MarkLost takes in that the process of a back end has ended: the next one to be heard takes its
// place at once. Back ends are back some seconds after an end and were refused, as another
// one than was known, for 1.4 to 1.7 s more, until their second heartbeat.
func (c *IncarnationTracker) MarkLost(record Record, incarnation string) {
	if record.Endpoint != nil && record.Endpoint.Incarnation().String() == incarnation {
		c.heard = time.Time{}
	}
}

// Confirm takes in that the back end itself has given its id. A rival of that
// id takes the place at once.
func (c *IncarnationTracker) Confirm(record Record, id string, now time.Time) (next Record, changed bool) {
	held := record.Endpoint
	if held == nil || held.ID == id || c.rival.ID != id || record.HasEnded(c.rival.Incarnation()) {
		return record, false
	}
	return c.install(record, c.rival, now), true
}

package sidecar

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// The times of a planned stop, as fractions of the grace time. The table in
// docs/design/0006-drain.md lists them.
const (
	// announceShare is when peers are notified to send no more requests. Until then the back end's
	// slots are still useful, since local callers keep arriving for about that long.
	announceShare = 0.3
	// minimumShare bounds minDrainTime, for short grace times.
	minimumShare = 0.4
	// acceptShare is when new calls are refused. By then the platform has directed callers
	// elsewhere, unless most nodes of the zone are down; in that case the sooner this node restarts
	// the better.
	acceptShare = 0.4
	// closingShare is the last part of the grace time: when it begins the calls in flight are
	// cancelled, so that their callers get a response.
	closingShare = 0.05
	// maxClosing bounds that part, for long grace times.
	maxClosing = 300 * time.Millisecond
	// exitShare is the fraction of that part that is left for the end of the process: when it begins,
	// connections are closed, with what peers still wait for.
	exitShare = 0.4
)

// Bounds of steps that do not depend on the grace time. None of them ends a request.
const (
	// maxAnnounce bounds announceAt and maxAccept acceptUntil, for long grace times: how soon callers
	// are directed elsewhere does not depend on the grace time. A call that is accepted more than 3 s
	// after the stop signal may not be cancelled at all.
	maxAnnounce = 1800 * time.Millisecond
	maxAccept   = 2500 * time.Millisecond
	// drainPollInterval is the time between two checks whether the drain is done.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is the minimum time for which a stopping node keeps serving: the platform takes
	// that long to direct callers to another node.
	minDrainTime = 2300 * time.Millisecond
	// quietPeriod is the time without a call after which no more calls are expected.
	quietPeriod = 600 * time.Millisecond
	// withdrawTimeout bounds the removal of the node's record from the store, closeTimeout the
	// closing of the listeners.
	withdrawTimeout = 300 * time.Millisecond
	closeTimeout    = 250 * time.Millisecond
)

// stopPlan is the schedule of a planned stop. Times count from its start.
type stopPlan struct {
	// grace is the time until the process is killed.
	grace time.Duration
}

// at returns the time after a fraction of the grace time.
func (p stopPlan) at(share float64) time.Duration { return time.Duration(float64(p.grace) * share) }

// announceAt returns when the peers are notified.
func (p stopPlan) announceAt() time.Duration { return min(maxAnnounce, p.at(announceShare)) }

// acceptUntil returns how long new calls are accepted.
func (p stopPlan) acceptUntil() time.Duration { return min(maxAccept, p.at(acceptShare)) }

// minimum returns how long the node keeps serving at least, for calls that still arrive.
func (p stopPlan) minimum() time.Duration { return min(minDrainTime, p.at(minimumShare)) }

// closing returns the last part of the grace time.
func (p stopPlan) closing() time.Duration { return min(maxClosing, p.at(closingShare)) }

// cutoff returns when the remaining calls are cancelled.
func (p stopPlan) cutoff() time.Duration { return p.grace - p.closing() }

// closeBy returns the end of a step that begins after the elapsed time and may take up to timeout:
// no step goes on until the process is killed.
func (p stopPlan) closeBy(elapsed, timeout time.Duration) time.Duration {
	exit := time.Duration(float64(p.closing()) * exitShare)
	return min(elapsed+timeout, p.grace-exit)
}

// done reports whether the drain is done after the elapsed time: either the cutoff is reached, or
// nothing is in flight, the minimum has passed, and no call has arrived for quietPeriod or new
// calls are rejected anyway.
func (p stopPlan) done(elapsed time.Duration, idle bool, sinceCall time.Duration) bool {
	switch {
	case elapsed >= p.cutoff():
		return true
	case !idle || elapsed < p.minimum():
		return false
	}
	return sinceCall >= quietPeriod || elapsed >= p.acceptUntil()
}

// drainable is the part of a node that a planned stop uses.
type drainable interface {
	inFlight() int
	lastCall() time.Time
	rejectNew()
}

// waitIdle returns when the node may close its listeners. Peers may still send requests: once the
// node is found idle it rejects new ones, and those that arrived before that are still served.
func (p stopPlan) waitIdle(started time.Time, node drainable) {
	for !p.done(clock.Since(started), node.inFlight() == 0, clock.Since(node.lastCall())) {
		time.Sleep(drainPollInterval)
	}
	node.rejectNew()
	for node.inFlight() > 0 && clock.Since(started) < p.cutoff() {
		time.Sleep(drainPollInterval)
	}
}

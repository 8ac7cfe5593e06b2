package forward

import (
	"math"
	"time"
)

const (
	// minIdleBound is the shortest idle time that is considered as the cause of a
	// failed connection; connections idle for less are always reused.
	minIdleBound = 50 * time.Millisecond
	// idleMargin is the fraction of the idle time after which a connection failed
	// that becomes the new bound.
	idleMargin = 0.5
	// idleBoundDoubling is the time in which the bound doubles.
	idleBoundDoubling = 4 * time.Second
	// maxIdleNonRepeatable is the longest idle time of a connection that is reused
	// for a request that must not be retried.
	maxIdleNonRepeatable = 150 * time.Millisecond
)

// idleBound limits how long connections to a peer may have been idle to be
// reused. A peer may drop an idle connection silently, and the next request on
// it is lost. The bound is learned from such failures and grows back
// exponentially. The zero value is no bound.
type idleBound struct {
	// limit is the bound at setAt; zero if there is none.
	limit time.Duration
	setAt time.Time
}

// recordBreak lowers the bound after a connection failed at its first use
// following the given idle time.
func (b *idleBound) recordBreak(idleFor time.Duration, now time.Time) {
	if idleFor < minIdleBound {
		return
	}
	bound := max(time.Duration(float64(idleFor)*idleMargin), minIdleBound)
	if bound < b.allowed(now) {
		b.limit, b.setAt = bound, now
	}
}

// allowed returns the current bound.
func (b *idleBound) allowed(now time.Time) time.Duration {
	if b.limit == 0 {
		return math.MaxInt64
	}
	grown := float64(b.limit) * math.Exp2(float64(now.Sub(b.setAt))/float64(idleBoundDoubling))
	if grown >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(grown)
}

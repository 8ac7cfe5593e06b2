package forward

import (
	"math"
	"time"
)

const (
	// minIdleBound is the shortest rest that may be the reason for a connection that
	// broke; shorter ones are never refused.
	minIdleBound = 50 * time.Millisecond
	// idleMargin is the part of the rest at which a connection broke that is still
	// trusted.
	idleMargin = 0.5
	// idleBoundDoubling is how fast trust comes back: the bound doubles in this time.
	idleBoundDoubling = 4 * time.Second
	// maxIdleNonRepeatable is the longest rest of a connection that is used for a request that
	// may not be sent again.
	maxIdleNonRepeatable = 150 * time.Millisecond
)

// idleBound is how long connections to one peer may have rested to be used again.
// A peer may forget a resting connection without a word, and the next request
// on it is lost. The zero value is no bound.
type idleBound struct {
	// limit is the bound at the moment it was set; zero when there is none.
	limit time.Duration
	setAt time.Time
}

// recordBreak takes in that a connection recordBreak at its first use after a rest.
func (b *idleBound) recordBreak(idleFor time.Duration, now time.Time) {
	if idleFor < minIdleBound {
		return
	}
	bound := max(time.Duration(float64(idleFor)*idleMargin), minIdleBound)
	if bound < b.allowed(now) {
		b.limit, b.setAt = bound, now
	}
}

// allowed returns the bound as it is now.
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

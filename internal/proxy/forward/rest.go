package forward

import (
	"math"
	"time"
)

const (
	// leastRest is the shortest rest that may be the reason for a connection that
	// broke; shorter ones are never refused.
	leastRest = 50 * time.Millisecond
	// restMargin is the part of the rest at which a connection broke that is still
	// trusted.
	restMargin = 0.5
	// restDoubles is how fast trust comes back: the bound doubles in this time.
	restDoubles = 4 * time.Second
	// restOnce is the longest rest of a connection that is used for a request that
	// may not be sent again.
	restOnce = 150 * time.Millisecond
)

// restBound is how long connections to one peer may have rested to be used again.
// A peer may forget a resting connection without a word, and the next request
// on it is lost. The zero value is no bound.
type restBound struct {
	// limit is the bound at the moment it was set; zero when there is none.
	limit time.Duration
	set   time.Time
}

// broke takes in that a connection broke at its first use after a rest.
func (b *restBound) broke(rested time.Duration, now time.Time) {
	if rested < leastRest {
		return
	}
	trusted := max(time.Duration(float64(rested)*restMargin), leastRest)
	if trusted < b.allowed(now) {
		b.limit, b.set = trusted, now
	}
}

// allowed returns the bound as it is now.
func (b *restBound) allowed(now time.Time) time.Duration {
	if b.limit == 0 {
		return math.MaxInt64
	}
	grown := float64(b.limit) * math.Exp2(float64(now.Sub(b.set))/float64(restDoubles))
	if grown >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(grown)
}

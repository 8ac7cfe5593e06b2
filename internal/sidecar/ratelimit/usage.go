package ratelimit

import (
	"math"
	"time"
)

// usageTime is the time constant with which the use of a limit by class is averaged.
const usageTime = 2 * time.Second

// usage holds the rate of requests by class, as counts that decay exponentially over usageTime. The zero
// value has counted none.
type usage struct {
	counts  [classes]float64
	updated time.Time
	// lastConsumed is the time at which a request of each class last passed, lastAsked the time at
	// which one last asked to pass ahead of its turn.
	lastConsumed, lastAsked [classes]time.Time
}

// record counts a request of the class.
func (u *usage) record(class Class, now time.Time) {
	u.decay(now)
	u.counts[class]++
	u.lastConsumed[class] = now
}

// moreUrgentRate returns the requests per second of the more urgent classes.
func (u *usage) moreUrgentRate(class Class, now time.Time) (perSecond float64) {
	u.decay(now)
	for _, count := range u.counts[:class] {
		perSecond += count / usageTime.Seconds()
	}
	return perSecond
}

func (u *usage) decay(now time.Time) {
	passed := now.Sub(u.updated)
	if passed <= 0 {
		return
	}
	left := math.Exp(-passed.Seconds() / usageTime.Seconds())
	for i := range u.counts {
		u.counts[i] *= left
	}
	u.updated = now
}

// recordAttempt records that a request of the class asks to pass ahead of its turn.
func (u *usage) recordAttempt(class Class, now time.Time) { u.lastAsked[class] = now }

// hasWaitedLongest reports whether no other class that has asked within that time has waited longer.
func (u *usage) hasWaitedLongest(class Class, within time.Duration, now time.Time) bool {
	for other, lastAsked := range u.lastAsked {
		if now.Sub(lastAsked) < within && u.lastConsumed[other].Before(u.lastConsumed[class]) {
			return false
		}
	}
	return true
}

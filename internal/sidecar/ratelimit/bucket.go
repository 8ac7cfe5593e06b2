// Package ratelimit keeps to the rate that a back end names for itself, in requests a second from
// all nodes together. Limit decides: it is kept by the node beside the back end, which every request
// passes. Estimate is what another node knows of it, so as not to send in vain. The package is pure: it
// is told the time.
package ratelimit

import "time"

const (
	// minRate is the lowest rate, in requests a second, at which a back end is sent to: nothing but an
	// answer tells that its limit has ended.
	minRate = 0.25
	// burstTime is for how long a rate that was not used is kept for later, one request at least. A back
	// end that gets no more in any second than its limit has none of them refused.
	burstTime = time.Second
)

// bucket holds the requests that a rate allows now. The zero value is empty and stays so.
type bucket struct {
	// perSecond is the rate, size the most tokens that are held.
	perSecond, size float64
	// tokens at the moment at; below zero for requests that wait.
	tokens  float64
	updated time.Time
}

// setRate changes the rate. What the bucket holds stays, as far as there is room.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.refill(now)
	b.perSecond = max(perSecond, minRate)
	b.size = max(b.perSecond*burstTime.Seconds(), 1)
	b.tokens = min(b.tokens, b.size)
}

// refill adds the tokens of the time that has passed.
func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.updated); passed > 0 {
		b.tokens = min(b.tokens+b.perSecond*passed.Seconds(), b.size)
		b.updated = now
	}
}

// wait returns the time until the bucket holds that many tokens.
func (b *bucket) wait(tokens float64, now time.Time) time.Duration {
	b.refill(now)
	missing := tokens - b.tokens
	if missing <= 0 {
		return 0
	}
	// A timer of that length must not be early by the part of a nanosecond.
	return time.Duration(missing/b.perSecond*float64(time.Second)) + time.Nanosecond
}

// interval is the time between two requests at the rate.
func (b *bucket) interval() time.Duration {
	return time.Duration(float64(time.Second) / b.perSecond)
}

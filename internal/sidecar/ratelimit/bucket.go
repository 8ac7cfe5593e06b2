// Package ratelimit enforces the rate that a back end advertises for itself, in requests per second from
// all nodes together. Limit decides: it is kept by the node beside the back end, which every request
// passes. Estimate is another node's knowledge of the limit, so that it sends few requests that would be
// refused. The package does no I/O and takes the time as an argument.
package ratelimit

import "time"

const (
	// minRate is the lowest rate, in requests per second, at which requests are sent to a back end: only
	// a response can tell that its limit has ended.
	minRate = 0.25
	// burstTime is the time for which unused rate accumulates for a burst; at least one request is
	// kept. A back end that gets no more requests in any second than its limit has none of them
	// refused.
	burstTime = time.Second
)

// bucket is a token bucket. The zero value is empty and stays empty.
type bucket struct {
	// perSecond is the refill rate, size the capacity in tokens.
	perSecond, size float64
	// tokens is the fill level at the time updated; negative if requests wait.
	tokens  float64
	updated time.Time
}

// setRate changes the rate. The tokens in the bucket are kept, up to its new size.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.refill(now)
	b.perSecond = max(perSecond, minRate)
	b.size = max(b.perSecond*burstTime.Seconds(), 1)
	b.tokens = min(b.tokens, b.size)
}

// refill adds the tokens for the time that has passed.
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
	// The conversion truncates to whole nanoseconds; a timer must not fire early by a fraction of one.
	return time.Duration(missing/b.perSecond*float64(time.Second)) + time.Nanosecond
}

// interval is the time between two requests at the rate.
func (b *bucket) interval() time.Duration {
	return time.Duration(float64(time.Second) / b.perSecond)
}

package ratelimit

import (
	"slices"
	"time"
)

// Advertised is the rate limit that a response of a back end advertises. The zero value is no limit.
type Advertised struct {
	HasLimit bool
	// PerSecond is the number of requests per second that the back end accepts.
	PerSecond float64
}

// looserThan reports whether it allows more than the other one.
func (a Advertised) looserThan(other Advertised) bool {
	return other.HasLimit && (!a.HasLimit || a.PerSecond > other.PerSecond)
}

// Limit is the rate limit that a back end has advertised. In any Window it allows no more than four times
// the rate N, one burst and one request by minimum share: 5 N + 1, or 3 for a rate below minRate. The
// zero value allows everything. The caller holds a lock.
type Limit struct {
	advertised Advertised
	// changedAt is the time at which this limit was first advertised, confirmedAt the time at which
	// it was last.
	changedAt, confirmedAt time.Time
	// limitedSince is the time at which a limit was advertised after a time without one;
	// lastMinimumShare is the time at which a request last passed by its minimum share.
	limitedSince, lastMinimumShare time.Time
	bucket                         bucket
	recent                         recent
	usage                          usage
	schedule                       schedule
	// historyUnknown: it is not known which requests passed before the first limit.
	historyUnknown bool
}

// Restarted makes the limit start with an empty bucket: requests that passed before the node restarted
// are not known.
func (l *Limit) Restarted() { l.historyUnknown = true }

// Update applies the limit advertised in a response, given the times at which the request was sent and
// the response was received. Of two responses, the one written later applies. Where the order is not
// known, as for responses to concurrent requests, the stricter limit applies. Update reports whether the
// limit has changed.
func (l *Limit) Update(advertised Advertised, sent, answered time.Time) (changed bool) {
	switch {
	case advertised == l.advertised:
		l.confirmedAt, l.historyUnknown = answered, false
		return false
	case advertised.looserThan(l.advertised) && sent.Before(l.confirmedAt):
		return false
	}
	if !l.advertised.HasLimit {
		l.initialize(advertised.PerSecond, answered)
	}
	if advertised.HasLimit {
		l.bucket.setRate(advertised.PerSecond, answered)
	}
	l.advertised, l.changedAt, l.confirmedAt = advertised, answered, answered
	return true
}

// initialize fills the bucket as if the limit had applied during the last burstTime.
func (l *Limit) initialize(perSecond float64, now time.Time) {
	l.bucket, l.limitedSince = bucket{updated: now}, now
	l.bucket.setRate(perSecond, now)
	l.schedule = schedule{}
	if !l.historyUnknown {
		l.bucket.tokens = max(l.bucket.size-float64(l.recent.within(burstTime, now)), 0)
	}
	l.historyUnknown = false
}

// Reset removes the limit: another incarnation of the back end has advertised none.
func (l *Limit) Reset() {
	l.advertised, l.changedAt, l.confirmedAt = Advertised{}, time.Time{}, time.Time{}
}

// Advertised returns the limit in force and since when it applies.
func (l *Limit) Advertised() (advertised Advertised, changedAt time.Time) {
	return l.advertised, l.changedAt
}

// Ready reports whether a request may pass now.
func (l *Limit) Ready(now time.Time) bool { return l.Wait(0, now) == 0 }

// Consume counts a request of the class that passes.
func (l *Limit) Consume(class Class, now time.Time) {
	l.recent.record(now)
	if l.advertised.HasLimit {
		l.usage.record(class, now)
		l.bucket.refill(now)
		l.bucket.tokens--
	}
}

// Refund takes back a token of a request that passed but was not sent.
func (l *Limit) Refund(now time.Time) {
	if l.advertised.HasLimit {
		l.bucket.refill(now)
		l.bucket.tokens = min(l.bucket.tokens+1, l.bucket.size)
	}
}

// Wait returns the time until a request may pass that has that many others ahead of it.
func (l *Limit) Wait(ahead int, now time.Time) time.Duration {
	if !l.advertised.HasLimit {
		return 0
	}
	return l.bucket.wait(float64(ahead+1), now)
}

// minimumShare is the part of the limit that less urgent classes get however many more urgent requests
// arrive, so that none is starved.
const minimumShare = 0.2

// shareLeft estimates the part of the limit that more urgent classes, at their current rates, leave for a
// class.
func (l *Limit) shareLeft(class Class, now time.Time) float64 {
	return max(1-l.usage.moreUrgentRate(class, now)/l.bucket.perSecond, minimumShare)
}

// WaitForClass estimates the time until a request of the class may pass, with that many others ahead of
// it and more urgent ones arriving at their current rate.
func (l *Limit) WaitForClass(class Class, ahead int, now time.Time) time.Duration {
	wait := l.Wait(ahead, now)
	if wait == 0 {
		return 0
	}
	return time.Duration(float64(wait) / l.shareLeft(class, now))
}

// TakeMinimumShare reports whether a request of the class, which is about to pass, may do so ahead of its
// turn. This requires that for the interval of the minimum share no request of the class has passed and
// no other one has passed ahead of its turn, and that no other class that has asked recently has waited
// longer. At most one request is ahead of the limit.
func (l *Limit) TakeMinimumShare(class Class, now time.Time) bool {
	if !l.advertised.HasLimit {
		return false
	}
	l.bucket.refill(now)
	l.usage.recordAttempt(class, now)
	interval := time.Duration(float64(l.bucket.interval()) / minimumShare)
	lastConsumed := latest(l.usage.lastConsumed[class], l.limitedSince, l.lastMinimumShare)
	if l.bucket.tokens <= 0 || now.Sub(lastConsumed) < interval || !l.usage.hasWaitedLongest(class, 2*interval, now) {
		return false
	}
	l.lastMinimumShare = now
	return true
}

// latest returns the latest of the times.
func latest(moments ...time.Time) time.Time { return slices.MaxFunc(moments, time.Time.Compare) }

// Remaining returns the remaining number of requests of a peer that may pass now after that many others,
// negative if requests wait. While other peers have been given future retry times, the result is
// consistent with a retry time after theirs. It is meaningful only while a limit is advertised.
func (l *Limit) Remaining(peer string, class Class, ahead int, now time.Time) float64 {
	if l.schedule.outstanding(class, now) {
		return l.RemainingAfter(l.RetryAfter(peer, class, ahead, now))
	}
	if wait := l.WaitForClass(class, ahead, now); wait > 0 {
		return l.RemainingAfter(wait)
	}
	return l.bucket.tokens - float64(ahead)
}

// RemainingAfter returns the remaining number of requests at a back end that allows the next request after
// that time.
func (l *Limit) RemainingAfter(wait time.Duration) float64 {
	return 1 - wait.Seconds()*l.bucket.perSecond
}

// RetryAfter returns the delay after which a peer may retry a request that is refused now. Each peer gets
// a different retry time, so that they do not retry all at once.
func (l *Limit) RetryAfter(peer string, class Class, ahead int, now time.Time) time.Duration {
	interval := time.Duration(float64(l.bucket.interval()) / l.shareLeft(class, now))
	return l.schedule.next(peer, class, l.WaitForClass(class, ahead, now), interval, now)
}

// Recent returns the number of requests that passed within the last Window.
func (l *Limit) Recent(now time.Time) int { return l.recent.within(Window, now) }

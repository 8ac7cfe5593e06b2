package ratelimit

import (
	"slices"
	"time"
)

// Advertised is the limit that an answer of a back end names. The zero value names none.
type Advertised struct {
	HasLimit bool
	// PerSecond is how many requests a second the back end takes.
	PerSecond float64
}

// looserThan reports whether it allows more than the other one.
func (a Advertised) looserThan(other Advertised) bool {
	return other.HasLimit && (!a.HasLimit || a.PerSecond > other.PerSecond)
}

// Limit is the limit that a back end has named. In any Window it lets pass no more than four times the
// rate, one burst and one that is ahead of its turn: 5 N + 1, or 3 for a rate below leastRate. The zero
// value lets everything pass. Its owner holds a lock.
type Limit struct {
	advertised Advertised
	// changedAt is when it was first confirmedAt, confirmedAt when it was last.
	changedAt, confirmedAt time.Time
	// limitedSince is when a limit was named after a time without one, lastMinimumShare is when a request passed last before its
	// turn.
	limitedSince, lastMinimumShare time.Time
	bucket                         bucket
	recent                         recent
	usage                          usage
	schedule                       schedule
	// historyUnknown: what passed before the first limit is not known.
	historyUnknown bool
}

// Restarted has the limit begin without room: what passed before this life of the node is not known.
func (l *Limit) Restarted() { l.historyUnknown = true }

// Update takes in what an answer names, to a request that was sent, and answered, at these moments. Of two
// answers the later written holds. Where that is not known, as for answers to requests that were
// under way together, the stricter one does. It reports whether the limit has changed.
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

// initialize fills the bucket as if the limit had held in the last burstTime.
func (l *Limit) initialize(perSecond float64, now time.Time) {
	l.bucket, l.limitedSince = bucket{updated: now}, now
	l.bucket.setRate(perSecond, now)
	l.schedule = schedule{}
	if !l.historyUnknown {
		l.bucket.tokens = max(l.bucket.size-float64(l.recent.within(burstTime, now)), 0)
	}
	l.historyUnknown = false
}

// Reset forgets the limit: another incarnation of the back end has named none.
func (l *Limit) Reset() {
	l.advertised, l.changedAt, l.confirmedAt = Advertised{}, time.Time{}, time.Time{}
}

// Advertised returns the limit that holds, and since when.
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

// Refund takes back the count of a request that passed and was not sent.
func (l *Limit) Refund(now time.Time) {
	if l.advertised.HasLimit {
		l.bucket.refill(now)
		l.bucket.tokens = min(l.bucket.tokens+1, l.bucket.size)
	}
}

// Wait returns the time until a request may pass before which so many others do.
func (l *Limit) Wait(ahead int, now time.Time) time.Duration {
	if !l.advertised.HasLimit {
		return 0
	}
	return l.bucket.wait(float64(ahead+1), now)
}

// minimumShare is the part of the limit that less urgent classes get however many more urgent requests come:
// none is starved.
const minimumShare = 0.2

// shareLeft is the part of the limit that is expected to be shareLeft for a class by the more urgent ones that keep
// coming.
func (l *Limit) shareLeft(class Class, now time.Time) float64 {
	return max(1-l.usage.moreUrgentRate(class, now)/l.bucket.perSecond, minimumShare)
}

// WaitForClass returns the time until a request of the class is likely to pass, before which so many others do
// and the more urgent ones that keep coming.
func (l *Limit) WaitForClass(class Class, ahead int, now time.Time) time.Duration {
	wait := l.Wait(ahead, now)
	if wait == 0 {
		return 0
	}
	return time.Duration(float64(wait) / l.shareLeft(class, now))
}

// TakeMinimumShare reports whether a request of the class, which is about to pass, may do so before its turn: none of
// the class has passed for the interval of the least share, nor has another one before its turn, and no class
// that asks as well has waited longer. At most one is ahead of the limit.
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

// latest returns the last of the moments.
func latest(moments ...time.Time) time.Time { return slices.MaxFunc(moments, time.Time.Compare) }

// Room returns how many requests of a peer may pass now after so many others, below zero for those that
// wait. While other peers have been told times to come, it is told one behind them. It means something
// while a limit is named.
func (l *Limit) Room(peer string, class Class, ahead int, now time.Time) float64 {
	if l.schedule.outstanding(class, now) {
		return l.RoomIn(l.RetryAfter(peer, class, ahead, now))
	}
	if wait := l.WaitForClass(class, ahead, now); wait > 0 {
		return l.RoomIn(wait)
	}
	return l.bucket.tokens - float64(ahead)
}

// RoomIn returns the room at a back end with a request for which there will be room after that time.
func (l *Limit) RoomIn(wait time.Duration) float64 { return 1 - wait.Seconds()*l.bucket.perSecond }

// RetryAfter returns when a request that is refused now will have room, for a peer to come back then. Each
// peer is told a time of its own, so that they do not come back together.
func (l *Limit) RetryAfter(peer string, class Class, ahead int, now time.Time) time.Duration {
	interval := time.Duration(float64(l.bucket.interval()) / l.shareLeft(class, now))
	return l.schedule.next(peer, class, l.WaitForClass(class, ahead, now), interval, now)
}

// Recent returns how many requests passed in the last Window.
func (l *Limit) Recent(now time.Time) int { return l.recent.within(Window, now) }

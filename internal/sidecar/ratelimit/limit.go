package ratelimit

import "time"

// Advertised is the limit that an answer of a back end names. The zero value names none.
type Advertised struct {
	Named bool
	// PerSecond is how many requests a second the back end takes.
	PerSecond float64
}

// looser reports whether it allows more than the other one.
func (a Advertised) looser(other Advertised) bool {
	return other.Named && (!a.Named || a.PerSecond > other.PerSecond)
}

// Limit is the limit that a back end has named. In any Window it lets pass no more than four times the
// rate and one burst: 5 N, or 2 for a rate below leastRate. The zero value lets everything pass. Its
// owner holds a lock.
type Limit struct {
	advertised Advertised
	// since is when it was first heard, heard when it was last.
	since, heard time.Time
	bucket       bucket
	recent       recent
	schedule     schedule
	// unknown: what passed before the first limit is not known.
	unknown bool
}

// Restarted has the limit begin without room: what passed before this life of the node is not known.
func (l *Limit) Restarted() { l.unknown = true }

// Update takes in what an answer names, to a request that was sent, and answered, at these moments. Of two
// answers the later written holds. Where that is not known, as for answers to requests that were
// under way together, the stricter one does. It reports whether the limit has changed.
func (l *Limit) Update(advertised Advertised, sent, answered time.Time) (changed bool) {
	switch {
	case advertised == l.advertised:
		l.heard, l.unknown = answered, false
		return false
	case advertised.looser(l.advertised) && sent.Before(l.heard):
		return false
	}
	if !l.advertised.Named {
		l.begin(advertised.PerSecond, answered)
	}
	if advertised.Named {
		l.bucket.setRate(advertised.PerSecond, answered)
	}
	l.advertised, l.since, l.heard = advertised, answered, answered
	return true
}

// begin fills the bucket as if the limit had held in the last burstTime.
func (l *Limit) begin(perSecond float64, now time.Time) {
	l.bucket = bucket{at: now}
	l.bucket.setRate(perSecond, now)
	l.schedule = schedule{}
	if !l.unknown {
		l.bucket.tokens = max(l.bucket.size-float64(l.recent.within(burstTime, now)), 0)
	}
	l.unknown = false
}

// Reset forgets the limit: another incarnation of the back end has named none.
func (l *Limit) Reset() {
	l.advertised, l.since, l.heard = Advertised{}, time.Time{}, time.Time{}
}

// Advertised returns the limit that holds, and since when.
func (l *Limit) Advertised() (advertised Advertised, since time.Time) { return l.advertised, l.since }

// Ready reports whether a request may pass now.
func (l *Limit) Ready(now time.Time) bool { return l.Wait(0, now) == 0 }

// Pass counts a request that passes.
func (l *Limit) Pass(now time.Time) {
	l.recent.note(now)
	if l.advertised.Named {
		l.bucket.refill(now)
		l.bucket.tokens--
	}
}

// Return takes back the count of a request that passed and was not sent.
func (l *Limit) Return(now time.Time) {
	if l.advertised.Named {
		l.bucket.refill(now)
		l.bucket.tokens = min(l.bucket.tokens+1, l.bucket.size)
	}
}

// Wait returns the time until a request may pass before which so many others do.
func (l *Limit) Wait(ahead int, now time.Time) time.Duration {
	if !l.advertised.Named {
		return 0
	}
	return l.bucket.wait(float64(ahead+1), now)
}

// Room returns how many requests of a peer may pass now after so many others, below zero for those that
// wait. While other peers have been told times to come, it is told one behind them. It means something
// while a limit is named.
func (l *Limit) Room(peer string, class Class, ahead int, now time.Time) float64 {
	if l.schedule.outstanding(class, now) {
		return l.RoomIn(l.RetryAfter(peer, class, ahead, now))
	}
	l.bucket.refill(now)
	return l.bucket.tokens - float64(ahead)
}

// RoomIn returns the room at a back end with a request for which there will be room after that time.
func (l *Limit) RoomIn(wait time.Duration) float64 { return 1 - wait.Seconds()*l.bucket.perSecond }

// RetryAfter returns when a request that is refused now will have room, for a peer to come back then. Each
// peer is told a time of its own, so that they do not come back together.
func (l *Limit) RetryAfter(peer string, class Class, ahead int, now time.Time) time.Duration {
	return l.schedule.next(peer, class, l.Wait(ahead, now), l.bucket.interval(), now)
}

// Recent returns how many requests passed in the last Window.
func (l *Limit) Recent(now time.Time) int { return l.recent.within(Window, now) }

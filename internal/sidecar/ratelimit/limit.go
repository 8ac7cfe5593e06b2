package ratelimit

import "time"

// Word is what a back end's answer says of its limit. The zero value names none.
type Word struct {
	Named bool
	// PerSecond is how many requests a second the back end takes.
	PerSecond float64
}

// looser reports whether the word allows more than the other one.
func (w Word) looser(other Word) bool {
	return other.Named && (!w.Named || w.PerSecond > other.PerSecond)
}

// Limit is the limit that a back end has named. In any Window it lets pass no more than four times the
// rate and one burst: 5 N, or 2 for a rate below leastRate. The zero value lets everything pass. Its
// owner holds a lock.
type Limit struct {
	word Word
	// since is when the word was first heard, heard when it was last.
	since, heard time.Time
	bucket       bucket
	recent       recent
	promises     promises
	// unknown: what passed before the first word is not known.
	unknown bool
}

// Restarted has the limit begin without room: what passed before this life of the node is not known.
func (l *Limit) Restarted() { l.unknown = true }

// Hear takes in the word of an answer to a request that was sent, and answered, at these moments. Of two
// words the later written holds. Where that is not known, as for answers to requests that were
// under way together, the stricter one does. It reports whether the limit has changed.
func (l *Limit) Hear(word Word, sent, answered time.Time) (changed bool) {
	switch {
	case word == l.word:
		l.heard, l.unknown = answered, false
		return false
	case word.looser(l.word) && sent.Before(l.heard):
		return false
	}
	if !l.word.Named {
		l.begin(word.PerSecond, answered)
	}
	if word.Named {
		l.bucket.setRate(word.PerSecond, answered)
	}
	l.word, l.since, l.heard = word, answered, answered
	return true
}

// begin fills the bucket as if the limit had held in the last burstTime.
func (l *Limit) begin(perSecond float64, now time.Time) {
	l.bucket = bucket{at: now}
	l.bucket.setRate(perSecond, now)
	l.promises = promises{}
	if !l.unknown {
		l.bucket.tokens = max(l.bucket.size-float64(l.recent.within(burstTime, now)), 0)
	}
	l.unknown = false
}

// Reset forgets the limit: another incarnation of the back end has named none.
func (l *Limit) Reset() {
	l.word, l.since, l.heard = Word{}, time.Time{}, time.Time{}
}

// Word returns the word that holds, and since when.
func (l *Limit) Word() (word Word, since time.Time) { return l.word, l.since }

// Ready reports whether a request may pass now.
func (l *Limit) Ready(now time.Time) bool { return l.Wait(0, now) == 0 }

// Pass counts a request that passes.
func (l *Limit) Pass(now time.Time) {
	l.recent.note(now)
	if l.word.Named {
		l.bucket.refill(now)
		l.bucket.tokens--
	}
}

// Return takes back the count of a request that passed and was not sent.
func (l *Limit) Return(now time.Time) {
	if l.word.Named {
		l.bucket.refill(now)
		l.bucket.tokens = min(l.bucket.tokens+1, l.bucket.size)
	}
}

// Wait returns the time until a request may pass before which so many others do.
func (l *Limit) Wait(ahead int, now time.Time) time.Duration {
	if !l.word.Named {
		return 0
	}
	return l.bucket.wait(float64(ahead+1), now)
}

// Room returns how many requests of a peer may pass now after so many others, below zero for those that
// wait. While other peers have been told times to come, it is told one behind them. It means something
// while a limit is named.
func (l *Limit) Room(peer string, class Class, ahead int, now time.Time) float64 {
	if l.promises.outstanding(class, now) {
		return l.RoomIn(l.Promise(peer, class, ahead, now))
	}
	l.bucket.refill(now)
	return l.bucket.tokens - float64(ahead)
}

// RoomIn returns the room at a back end with a request for which there will be room after that time.
func (l *Limit) RoomIn(wait time.Duration) float64 { return 1 - wait.Seconds()*l.bucket.perSecond }

// Promise returns when a request that is refused now will have room, for a peer to come back then. Each
// peer is told a time of its own, so that they do not come back together.
func (l *Limit) Promise(peer string, class Class, ahead int, now time.Time) time.Duration {
	return l.promises.next(peer, class, l.Wait(ahead, now), l.bucket.interval(), now)
}

// Recent returns how many requests passed in the last Window.
func (l *Limit) Recent(now time.Time) int { return l.recent.within(Window, now) }

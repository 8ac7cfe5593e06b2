package admission

import (
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

// RateLimitError says that the back end's own limit has no room for a request within its maximum wait.
// The request has not run.
type RateLimitError struct {
	// Wait is the time until there is likely to be room.
	Wait time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("admission: the back end's limit has no room for %v", e.Wait)
}

// UpdateLimit takes in what an answer says of the back end's limit, as ratelimit.Limit does. After a change it
// returns what held before.
func (g *Gate) UpdateLimit(advertised ratelimit.Advertised, sent, answered time.Time) (before Limit, changed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held, since := g.limit.Advertised()
	if !g.limit.Update(advertised, sent, answered) {
		return Limit{}, false
	}
	g.limited.Store(advertised.HasLimit)
	g.displace()
	g.grant()
	return Limit{Advertised: held, Age: answered.Sub(since), Recent: g.limit.Recent(answered)}, true
}

// Restarted takes in that the back end may have named a limit before this life of the node.
func (g *Gate) Restarted() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.Restarted()
}

// ResetLimit forgets the limit: another incarnation is there.
func (g *Gate) ResetLimit() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.Reset()
	g.limited.Store(false)
	g.grant()
}

// Limit is a moment's state of the back end's limit.
type Limit struct {
	ratelimit.Advertised
	// Age is the time since the back end first said so.
	Age time.Duration
	// Recent is how many requests it got in the last ratelimit.Window.
	Recent int
}

// Limit returns the present state of the limit.
func (g *Gate) Limit() Limit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	advertised, since := g.limit.Advertised()
	return Limit{Advertised: advertised, Age: now.Sub(since), Recent: g.limit.Recent(now)}
}

// Limited reports whether the back end has named a limit.
func (g *Gate) Limited() bool { return g.limited.Load() }

// Room returns the rate of the back end's limit, in requests a second, and how many requests like the
// ticket's it has room for, below zero for those that wait; false without a limit. An error that refused
// the request tells the time that its peer was told.
func (g *Gate) Room(info RequestInfo, refused *RateLimitError) (perSecond, room float64, limited bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	advertised, _ := g.limit.Advertised()
	switch {
	case !advertised.HasLimit:
		return 0, 0, false
	case refused != nil:
		return advertised.PerSecond, g.limit.RoomIn(refused.Wait), true
	}
	ahead := g.waiting.lengthUpTo(info.precedence().Level())
	return advertised.PerSecond, g.limit.Room(info.Peer, info.class(), ahead, g.now()), true
}

// onlyRateLimited reports whether a request waits for the limit alone: what is ahead of it is worked off at a
// known rate, so that the oldest may go first and others are refused when they come. The lock is held.
func (g *Gate) onlyRateLimited(info RequestInfo) bool {
	return g.limited.Load() && g.running < g.slotsFor(info)
}

// checkRateLimit returns an error when the limit has no room for an entry within its maximum wait; the lock
// is held.
func (g *Gate) checkRateLimit(entry *waiter, ahead int, now time.Time) error {
	if g.limit.WaitForClass(entry.info.class(), ahead, now) <= entry.info.MaximumWait {
		return nil
	}
	return g.rateLimitError(entry.info, ahead, now)
}

// rateLimitError returns the error for a request before which so many others pass; the lock is held.
func (g *Gate) rateLimitError(info RequestInfo, ahead int, now time.Time) *RateLimitError {
	return &RateLimitError{Wait: g.limit.RetryAfter(info.Peer, info.class(), ahead, now)}
}

// class is the ticket's among those that a limit tells apart.
func (t RequestInfo) class() ratelimit.Class { return ratelimit.ClassOf(t.Nested, t.Priority) }

// timeoutError returns why an entry has waited for too long; the lock is held.
func (g *Gate) timeoutError(entry *waiter) error {
	now := g.now()
	if !g.limit.Ready(now) {
		return g.rateLimitError(entry.info, g.waiting.lengthBefore(entry), now)
	}
	g.reserve.observeStart(entry.info.Priority, true, g.slots, now)
	return ErrWaitTooLong
}

// scheduleWake grants slots once the limit has room for a request that waits; the lock is held.
func (g *Gate) scheduleWake(now time.Time) {
	wait := g.limit.Wait(0, now)
	switch {
	case wait == 0 || g.waiting.length == 0:
	case g.wakeTimer == nil:
		g.wakeTimer = time.AfterFunc(wait, g.onWake)
	default:
		g.wakeTimer.Reset(wait)
	}
}

func (g *Gate) onWake() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.grant()
}

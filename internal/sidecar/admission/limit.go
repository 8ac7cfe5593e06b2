package admission

import (
	"fmt"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

// RateLimitError reports that the rate limit of the back end does not allow a request within its maximum
// wait. The request has not run.
type RateLimitError struct {
	// Wait is the estimated time until the limit allows the request.
	Wait time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("admission: the back end's rate limit allows no request for %v", e.Wait)
}

// UpdateLimit updates the rate limit from a response of the back end, as ratelimit.Limit.Update does. If
// the limit has changed, it returns the previous one.
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

// Restarted records that the node has restarted: the back end may have advertised a limit before.
func (g *Gate) Restarted() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.Restarted()
}

// ResetLimit removes the limit because another incarnation of the back end is running.
func (g *Gate) ResetLimit() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.Reset()
	g.limited.Store(false)
	g.grant()
}

// Limit is a snapshot of the rate limit of the back end.
type Limit struct {
	ratelimit.Advertised
	// Age is the time since the back end first advertised this limit.
	Age time.Duration
	// Recent is the number of requests that it got within the last ratelimit.Window.
	Recent int
}

// Limit returns the current rate limit.
func (g *Gate) Limit() Limit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	advertised, since := g.limit.Advertised()
	return Limit{Advertised: advertised, Age: now.Sub(since), Recent: g.limit.Recent(now)}
}

// Limited reports whether the back end has advertised a rate limit.
func (g *Gate) Limited() bool { return g.limited.Load() }

// Remaining returns the rate of the limit, in requests per second, and the remaining number of requests
// like this one that it allows, which is negative if requests wait for it; limited is false if there is no
// limit. If the request was refused with an error, the result is consistent with the wait that the error
// reports to its peer.
func (g *Gate) Remaining(info RequestInfo, refused *RateLimitError) (perSecond, remaining float64, limited bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	advertised, _ := g.limit.Advertised()
	switch {
	case !advertised.HasLimit:
		return 0, 0, false
	case refused != nil:
		return advertised.PerSecond, g.limit.RemainingAfter(refused.Wait), true
	}
	ahead := g.waiting.lengthUpTo(info.precedence().Level())
	return advertised.PerSecond, g.limit.Remaining(info.Peer, info.class(), ahead, g.now()), true
}

// onlyRateLimited reports whether a request waits for the rate limit alone. The requests ahead are then
// served at a known rate, so that the queue can be first in, first out, and excess requests are refused
// on arrival. The lock is held.
func (g *Gate) onlyRateLimited(info RequestInfo) bool {
	return g.limited.Load() && g.running < g.slotsFor(info)
}

// checkRateLimit returns an error if the rate limit does not allow an entry within its maximum wait; the
// lock is held.
func (g *Gate) checkRateLimit(entry *waiter, ahead int, now time.Time) error {
	if g.limit.WaitForClass(entry.info.class(), ahead, now) <= entry.info.MaximumWait {
		return nil
	}
	return g.rateLimitError(entry.info, ahead, now)
}

// rateLimitError returns the error for a request that has that many others ahead of it; the lock is held.
func (g *Gate) rateLimitError(info RequestInfo, ahead int, now time.Time) *RateLimitError {
	return &RateLimitError{Wait: g.limit.RetryAfter(info.Peer, info.class(), ahead, now)}
}

// class returns the class of the request within the rate limit.
func (t RequestInfo) class() ratelimit.Class { return ratelimit.ClassOf(t.Nested, t.Priority) }

// timeoutError returns the reason why an entry has exceeded its maximum wait; the lock is held.
func (g *Gate) timeoutError(entry *waiter) error {
	now := g.now()
	if !g.limit.Ready(now) {
		return g.rateLimitError(entry.info, g.waiting.lengthBefore(entry), now)
	}
	g.reserve.observeStart(entry.info.Priority, true, g.slots, now)
	return ErrWaitTooLong
}

// scheduleWake sets the timer that grants slots once the rate limit allows a waiting request; the lock is
// held.
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

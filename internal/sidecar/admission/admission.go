// Package admission limits the concurrency of a back end and orders the requests that wait for it: by
// urgency, then by fair queueing between tenants (the tenant that has used the least slot time first),
// then shorter requests before longer ones, then the newest first. It estimates how long requests take
// and rejects early those that would wait too long.
package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/precedence"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

// Errors with which a request is refused. A refused request has not run.
var (
	// ErrWaitTooLong: the request would wait longer than its maximum wait.
	ErrWaitTooLong = errors.New("admission: the queue is too long")
	// ErrDisplaced: the request was removed from the queue in favor of requests that precede it: more
	// urgent ones, those of tenants that have used less, or shorter ones.
	ErrDisplaced = errors.New("admission: displaced by requests of higher precedence")
	// ErrClosed: the gate is closed and grants no more slots.
	ErrClosed = errors.New("admission: the gate is closed")
)

// RequestInfo describes a request that asks for a slot.
type RequestInfo struct {
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// Returning marks a request that was refused before and is retried by its caller. It is served after
	// requests that arrive for the first time: otherwise an overloaded server would serve everyone late
	// for as long as callers keep retrying.
	Returning bool
	// Nested and OverShare are as in precedence.Precedence.
	Nested, OverShare bool
	// Tenant is the tenant that the request belongs to; empty where tenants are not distinguished.
	Tenant string
	// PreventStarvation guarantees requests of this kind a slot after a bounded time, however urgent the
	// others are.
	PreventStarvation bool
	// Work is the expected time for which the back end works on the request. Among requests of equal
	// urgency much shorter ones go first: more requests are served that way, and calls that back ends
	// make while they work are short.
	Work time.Duration
	// MaximumWait is the maximum time that the request may wait: if it started later, its response would
	// be too late.
	MaximumWait time.Duration
	// Peer is the node that sent the request.
	Peer string
}

// precedence returns the precedence of the request among those that compete for slots.
func (t RequestInfo) precedence() precedence.Precedence {
	return precedence.Precedence{Nested: t.Nested, Priority: t.Priority, OverShare: t.OverShare, Returning: t.Returning}
}

// Gate grants slots, no faster than the rate limit that the back end has advertised. It is safe for
// concurrent use.
type Gate struct {
	now func() time.Time
	// limited reports whether the back end has advertised a rate limit. It is written with the lock held.
	limited atomic.Bool

	mutex   sync.Mutex // guards all below
	slots   int
	running int
	waiting queue
	// grants counts the slots granted; lastOverdueGrant is its value when a request of an overdue kind
	// was last granted one.
	grants, lastOverdueGrant int
	// service is the smoothed time for which a slot is held.
	service time.Duration
	// correction is the factor by which actual waits exceed those computed from the work queued ahead.
	correction float64
	reserve    reserve
	// limit is the rate limit that the back end has advertised; wakeTimer grants slots once it allows
	// requests again.
	limit     ratelimit.Limit
	wakeTimer *time.Timer
	// closed: no more slots are granted.
	closed bool
}

// New returns a gate without slots. The clock is clock.Now outside tests.
func New(now func() time.Time) *Gate { return &Gate{now: now, service: initialService, correction: 1} }

const (
	// initialService is assumed before the first request has ended.
	initialService = 50 * time.Millisecond
	// smoothing is the inverse of the weight that one request has in the smoothed service time.
	smoothing = 16
)

// Resize sets the number of slots.
func (g *Gate) Resize(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.grant()
}

// Close refuses all waiting and all future requests.
func (g *Gate) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	for g.waiting.length > 0 {
		dismissed := g.waiting.next()
		g.waiting.remove(dismissed)
		dismissed.result <- ErrClosed
	}
}

// Load is a snapshot of the state of a gate.
type Load struct {
	Running, Waiting, Slots int
	MeanHoldTime            time.Duration
}

// Load returns the current state.
func (g *Gate) Load() Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Load{Running: g.running, Waiting: g.waiting.length, Slots: g.slots, MeanHoldTime: g.service}
}

// Slot is a slot held by a request.
type Slot struct {
	gate    *Gate
	entry   *waiter
	started time.Time
}

// Acquire waits for a slot. If the context ends first, its error is returned.
func (g *Gate) Acquire(ctx context.Context, info RequestInfo) (*Slot, error) {
	entry, err := g.enter(info)
	if err != nil {
		return nil, err
	}
	err = g.wait(ctx, entry)
	if err != nil {
		return nil, err
	}
	return &Slot{gate: g, entry: entry, started: g.now()}, nil
}

// wait blocks until the entry has a slot, or returns the reason why it gets none.
func (g *Gate) wait(ctx context.Context, entry *waiter) error {
	select {
	case err := <-entry.result:
		return err
	default:
	}
	timer := clock.NewTimer(entry.info.MaximumWait)
	defer timer.Stop()
	select {
	case err := <-entry.result:
		return err
	case <-timer.C:
		g.mutex.Lock()
		g.updateCorrection(entry)
		cause := g.timeoutError(entry)
		g.mutex.Unlock()
		return g.withdraw(entry, cause)
	case <-ctx.Done():
		return g.withdraw(entry, ctx.Err())
	}
}

// enter grants a slot at once, adds the request to the queue or refuses it.
func (g *Gate) enter(info RequestInfo) (*waiter, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return nil, ErrClosed
	}
	now := g.now()
	g.reserve.observeArrival(info.Priority, now)
	entry := &waiter{info: info, work: g.workOf(info), result: make(chan error, 1), entered: now}
	entry.account = g.waiting.accounts.accountFor(info, now)
	entry.kind = entry.account.class.kind(magnitude(info.Work))
	if info.PreventStarvation {
		entry.kind.recordArrival(now)
	}
	entry.fifo = g.onlyRateLimited(info)
	if g.running < g.slotsFor(info) && g.limit.Ready(now) && !g.yields(entry) {
		g.start(entry)
		return entry, nil
	}
	if err := g.checkRateLimit(entry, g.waiting.lengthBefore(entry), now); err != nil {
		if g.running < g.slotsFor(info) && g.limit.TakeMinimumShare(info.class(), now) {
			g.start(entry)
			return entry, nil
		}
		return nil, err
	}
	entry.predicted = g.expectedWait(g.waiting.workBefore(entry), info)
	if entry.predicted > info.MaximumWait && !entry.kind.exempt(0, now) {
		g.reserve.observeStart(info.Priority, true, g.slots, now)
		return nil, ErrWaitTooLong
	}
	g.waiting.add(entry)
	g.displace()
	g.scheduleWake(now)
	return entry, nil
}

// slotsFor returns the number of slots that such requests may use. Nested calls may use all of them,
// because running requests wait for them.
func (g *Gate) slotsFor(info RequestInfo) int {
	if info.Nested {
		return g.slots
	}
	return g.slots - g.reserve.reservedAgainst(info.Priority, g.now())
}

// yields reports whether a waiting request precedes the new entry.
func (g *Gate) yields(entry *waiter) bool {
	next := g.waiting.next()
	return next != nil && g.waiting.before(next, entry)
}

// start grants the entry a slot.
func (g *Gate) start(entry *waiter) {
	g.reserve.observeStart(entry.info.Priority, false, g.slots, g.now())
	g.limit.Consume(entry.info.class(), g.now())
	g.running++
	g.grants++
	entry.kind.lastGrant = g.now()
	queued, byTurn := 0, g.waiting.inTurn(entry)
	if g.waiting.holds(entry) {
		queued = entry.group.flow.length
		g.waiting.remove(entry)
	}
	entry.account.begin(entry, queued, byTurn)
	entry.result <- nil
}

// expectedWait estimates the time until a request with that work ahead of it gets a slot: that work plus
// one service time for a running request, divided by the number of slots. The estimate is corrected by
// the ratio of actual to predicted waits of earlier requests, because back ends differ in speed and more
// urgent requests keep arriving.
func (g *Gate) expectedWait(before time.Duration, info RequestInfo) time.Duration {
	if g.slots == 0 {
		return time.Hour
	}
	ahead := float64(g.service + before)
	return time.Duration(ahead / float64(max(g.slotsFor(info), 1)) * g.correction)
}

// workOf returns how long a request is expected to hold a slot.
func (g *Gate) workOf(info RequestInfo) time.Duration {
	if info.Work > 0 {
		return info.Work
	}
	return g.service
}

const (
	// Bounds of the ratio that a single wait contributes to the correction.
	minCorrection, maxCorrection = 0.3, 5
	// minPrediction is the shortest predicted wait that contributes to the correction.
	minPrediction = 2 * time.Millisecond
)

// updateCorrection updates the correction from the time for which an entry has waited.
func (g *Gate) updateCorrection(entry *waiter) {
	if entry.predicted < minPrediction {
		return
	}
	ratio := float64(g.now().Sub(entry.entered)) / float64(entry.predicted) * g.correction
	ratio = min(max(ratio, minCorrection), maxCorrection)
	g.correction += (ratio - g.correction) / smoothing
}

// displace refuses requests at the end of the queue that would now wait longer than they may, because
// others were queued ahead of them.
func (g *Gate) displace() {
	for g.waiting.length > 1 {
		last := g.waiting.last(g.now())
		if last == nil {
			return
		}
		left := last.info.MaximumWait - g.now().Sub(last.entered)
		limited := g.limit.WaitForClass(last.info.class(), g.waiting.length-1, g.now()) > left
		if !limited && g.expectedWait(g.waiting.work()-last.work, last.info) <= left {
			return
		}
		g.waiting.remove(last)
		if limited {
			last.result <- g.rateLimitError(last.info, g.waiting.length, g.now())
			continue
		}
		last.result <- ErrDisplaced
	}
}

// withdraw removes an entry from the queue. If it was granted a slot in the meantime, the slot is freed.
func (g *Gate) withdraw(entry *waiter, cause error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.waiting.holds(entry) {
		g.waiting.remove(entry)
		return cause
	}
	if err := <-entry.result; err != nil {
		return err
	}
	g.running--
	entry.account.end(entry, 0, g.now())
	g.limit.Refund(g.now())
	g.grant()
	return cause
}

// Release frees the slot. served reports whether the time for which it was held is representative and
// counts toward the service time.
func (s *Slot) Release(served bool) {
	g := s.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	now := g.now()
	held := now.Sub(s.started)
	s.entry.account.end(s.entry, held, now)
	if served {
		g.service += (held - g.service) / smoothing
	}
	g.grant()
}

// Refund frees the slot of a request that was not sent to the back end, and returns its token to the rate
// limit.
func (s *Slot) Refund() {
	g := s.gate
	g.mutex.Lock()
	g.limit.Refund(g.now())
	g.mutex.Unlock()
	s.Release(false)
}

// next returns the request that gets a slot now, nil if none does. An overdue request may take any slot
// that is not needed by a nested call, but only once in grantsPerOverdue grants.
func (g *Gate) next() *waiter {
	next := g.waiting.next()
	if !next.info.Nested && g.running < g.slots && g.grants-g.lastOverdueGrant >= grantsPerOverdue {
		if overdue := g.waiting.overdue(g.now()); overdue != nil {
			g.lastOverdueGrant = g.grants
			return overdue
		}
	}
	if g.running < g.slotsFor(next.info) {
		return next
	}
	return nil
}

// grant gives free slots to waiting requests; the lock is held.
func (g *Gate) grant() {
	for g.waiting.length > 0 {
		if now := g.now(); !g.limit.Ready(now) {
			g.scheduleWake(now)
			return
		}
		next := g.next()
		if next == nil {
			return
		}
		g.updateCorrection(next)
		g.start(next)
	}
}

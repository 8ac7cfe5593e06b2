// Package admission bounds what a back end works on at once and orders what
// waits for it: the more urgent first, then that of the tenant which has had the least, then the shorter,
// then the newest. It knows how long requests take and refuses early what would wait too long.
package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/precedence"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
)

// Refusals. A refused request has not run.
var (
	// ErrWaitTooLong: the request would wait longer than it may.
	ErrWaitTooLong = errors.New("admission: the queue is too long")
	// ErrDisplaced: requests that come before it took its place: more urgent ones, those of tenants
	// that have had less, or shorter ones.
	ErrDisplaced = errors.New("admission: displaced by requests that come before it")
	// ErrClosed: no slot is given any more.
	ErrClosed = errors.New("admission: the node takes no requests any more")
)

// RequestInfo describes a request that wants a slot.
type RequestInfo struct {
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// Returning requests were refused before. They come after those that come for
	// the first time: a server that is behind would otherwise serve everyone
	// late for as long as callers come back.
	Returning bool
	// Nested and OverShare are as in precedence.Precedence.
	Nested, OverShare bool
	// Tenant is whose request it is; empty where nobody is told apart.
	Tenant string
	// PreventStarvation: no kind of request is to wait in vain for long, however urgent others are.
	PreventStarvation bool
	// Work is how long the back end is expected to work on the request. Of equal
	// urgency the much shorter go first: more of them are served, and calls that
	// back ends make while they work are short.
	Work time.Duration
	// MaximumWait is how long the request may wait: work that begins later comes too
	// late for an answer in time.
	MaximumWait time.Duration
	// Peer is the node that sent the request.
	Peer string
}

// precedence is the request's among those that compete for slots.
func (t RequestInfo) precedence() precedence.Precedence {
	return precedence.Precedence{Nested: t.Nested, Priority: t.Priority, OverShare: t.OverShare, Returning: t.Returning}
}

// Gate hands out slots, no faster than the back end's own limit allows. It is safe for concurrent use.
type Gate struct {
	now func() time.Time
	// limited: the back end has named a limit. It is changed with the lock held.
	limited atomic.Bool

	mutex   sync.Mutex // guards all below
	slots   int
	running int
	waiting queue
	// grants counts the slots given, lastOverdueGrant is what it was when a kind that was overdue last had one.
	grants, lastOverdueGrant int
	// service is the smoothed time a slot is held.
	service time.Duration
	// correction is how much longer requests wait than the work before them
	// makes expect.
	correction float64
	reserve    reserve
	// limit is the one that the back end has named, wake grants slots once it has room again.
	limit     ratelimit.Limit
	wakeTimer *time.Timer
	// closed: no slot is given any more.
	closed bool
}

// New returns a gate without slots. The clock is clock.Now outside tests.
func New(now func() time.Time) *Gate { return &Gate{now: now, service: initialService, correction: 1} }

const (
	// initialService is assumed before the first request has ended.
	initialService = 50 * time.Millisecond
	// smoothing is the weight of one request in the service time, as 1/n.
	smoothing = 16
)

// Resize sets how many slots there are.
func (g *Gate) Resize(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.grant()
}

// Close refuses what waits and whatever comes.
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

// Load is a moment's state of a gate.
type Load struct {
	Running, Waiting, Slots int
	ServiceTime             time.Duration
}

// Load returns the present state.
func (g *Gate) Load() Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Load{Running: g.running, Waiting: g.waiting.length, Slots: g.slots, ServiceTime: g.service}
}

// Slot is a held slot.
type Slot struct {
	gate    *Gate
	entry   *waiter
	started time.Time
}

// Acquire waits for a slot. The context bounds the wait; its error is returned
// when it ends first.
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

// wait returns once the entry has a slot, or why it has none.
func (g *Gate) wait(ctx context.Context, entry *waiter) error {
	select {
	case err := <-entry.result:
		return err
	default:
	}
	timer := time.NewTimer(entry.info.MaximumWait)
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

// enter takes a slot at once, joins the queue or refuses.
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

// slotsFor returns how many slots there are for such requests. Nested calls may have all: requests that
// are at work wait for them.
func (g *Gate) slotsFor(info RequestInfo) int {
	if info.Nested {
		return g.slots
	}
	return g.slots - g.reserve.reservedAgainst(info.Priority, g.now())
}

// yields reports whether a request that waits comes before the new entry.
func (g *Gate) yields(entry *waiter) bool {
	next := g.waiting.next()
	return next != nil && g.waiting.before(next, entry)
}

// start gives the entry a slot.
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

// expectedWait is the time until a slot for a request with that work before it:
// that, and the work of one that runs, over all slots. It is corrected by how
// long others waited compared to what was expected of them, since back ends
// differ in pace and more urgent requests keep coming.
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
	// A single wait moves the correction by no more than these bounds allow.
	minCorrection, maxCorrection = 0.3, 5
	// minPrediction is the shortest one that says something.
	minPrediction = 2 * time.Millisecond
)

// updateCorrection takes in how long an entry waited.
func (g *Gate) updateCorrection(entry *waiter) {
	if entry.predicted < minPrediction {
		return
	}
	ratio := float64(g.now().Sub(entry.entered)) / float64(entry.predicted) * g.correction
	ratio = min(max(ratio, minCorrection), maxCorrection)
	g.correction += (ratio - g.correction) / smoothing
}

// displace refuses requests at the end of the queue that would now wait longer
// than they may, since others came before them.
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

// withdraw takes an entry out. When it was granted meanwhile its slot is freed.
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

// Release frees the slot. served says that the time it was held tells how long
// requests take.
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

// Refund frees the slot of a request that was not sent to the back end.
func (s *Slot) Refund() {
	g := s.gate
	g.mutex.Lock()
	g.limit.Refund(g.now())
	g.mutex.Unlock()
	s.Release(false)
}

// next returns the request that gets a slot now, nil when none does. One of a kind that is overdue may
// have any, but not before nested calls, and not more than a small part of all slots given.
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

// grant gives free slots to those that wait; the lock is held.
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

// Package reader implements the state machine of a store reader: when to acquire
// one of the few reader slots, when to renew its lease, load, watch and poll, and
// how to back off. Its outputs are operations that the caller performs on the
// store, with at most one of each kind in progress; the caller must report the
// result of each in bounded time. Correctness does not depend on the lease, which
// only bounds the load on the store. A holder that cannot reach the store
// therefore keeps serving what it has. The package has no goroutine, clock or
// socket.
package reader

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Config holds the intervals and timeouts of a reader.
type Config struct {
	// LeaseTime is the time to live requested for the lease of a slot.
	LeaseTime time.Duration
	// RenewInterval is the time between renewals of the lease.
	RenewInterval time.Duration
	// PollInterval is the time between polls of the log, which detect entries
	// that the watch has missed.
	PollInterval time.Duration
	// RetryBase and RetryCap are the first and the largest upper bound of the
	// random backoff after a failure. The bound doubles with each failure in a
	// row, and half of RetryBase is added to the random wait.
	RetryBase time.Duration
	RetryCap  time.Duration
	// CandidateInterval is the mean time until a candidate tries again after it
	// found all slots taken. UrgentInterval is the same for Urgent candidates.
	CandidateInterval time.Duration
	UrgentInterval    time.Duration
}

// DefaultConfig returns the default intervals, which are chosen in
// docs/design/0004.
func DefaultConfig() Config {
	return Config{
		LeaseTime:         6 * time.Second,
		RenewInterval:     2 * time.Second,
		PollInterval:      2 * time.Second,
		RetryBase:         100 * time.Millisecond,
		RetryCap:          time.Second,
		CandidateInterval: 10 * time.Second,
		UrgentInterval:    time.Second,
	}
}

// Candidacy says whether and how eagerly a node tries to acquire a reader slot.
type Candidacy int

// The values of Candidacy.
const (
	// NotCandidate nodes do not try to acquire a slot.
	NotCandidate Candidacy = iota
	// Standby nodes try once every CandidateInterval on average.
	Standby
	// Leading nodes try immediately, then as often as Standby nodes.
	Leading
	// Urgent nodes have no parent. They try immediately, then once every
	// UrgentInterval on average.
	Urgent
)

// Operation is a kind of operation that the caller performs on the store.
type Operation string

// The operations and the methods of Core that report their results.
const (
	// Acquire tries to acquire a free slot with a new lease. The result is
	// reported with Acquired.
	Acquire Operation = "acquire"
	// Renew renews the lease. The result is reported with Renewed.
	Renew Operation = "renew"
	// Load reads the log after the version held, or the checkpoint and the log
	// after that. The result is reported with Loaded once the relay has applied
	// it.
	Load Operation = "load"
	// Watch starts a watch of the log after Request.Revision. The result is
	// reported with Watching, and the end of the watch with WatchEnded.
	Watch Operation = "watch"
	// Poll reads the log after the version held. The result is reported with
	// Polled.
	Poll Operation = "poll"
	// Release releases the slot. Its result is not reported.
	Release Operation = "release"
)

// Request is an operation with its argument.
type Request struct {
	Operation Operation
	// Revision is the store revision after which a watch starts.
	Revision uint64
}

// Outputs lists what the caller has to do after a call.
type Outputs struct {
	Requests []Request
	// CancelWatch says to cancel the running watch before any request is made.
	CancelWatch bool
}

// task is the schedule of one recurring operation.
type task struct {
	// dueAt is when the operation is due; zero if it is not scheduled.
	dueAt    time.Time
	running  bool
	failures int
}

// due reports whether the operation should be started.
func (t *task) due(now time.Time) bool {
	return !t.running && !t.dueAt.IsZero() && !now.Before(t.dueAt)
}

// Core is the state machine of a node as a candidate for a slot and as a reader.
// It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand

	candidacy Candidacy
	holding   bool
	loaded    bool
	watching  bool
	// revision is the store revision after which the next watch starts.
	revision uint64

	acquire, renew, load, watch, poll task

	outputs Outputs
}

// New returns a core that is not a candidate and holds no slot.
func New(config Config, random *rand.Rand) *Core {
	return &Core{config: config, random: random}
}

// Holding reports whether the node holds a slot as far as it knows. If the lease
// expired while the process was paused, the result is out of date until the next
// renewal completes.
func (c *Core) Holding() bool { return c.holding }

// SetCandidacy sets the candidacy of the node. It does not make the node release a
// slot that it holds.
func (c *Core) SetCandidacy(now time.Time, candidacy Candidacy) Outputs {
	if candidacy != c.candidacy {
		c.candidacy = candidacy
		c.scheduleAcquire(now)
	}
	return c.takeOutputs(now)
}

// scheduleAcquire schedules the first attempt after a change of candidacy.
func (c *Core) scheduleAcquire(now time.Time) {
	switch {
	case c.holding:
	case c.candidacy == NotCandidate:
		c.acquire.dueAt = time.Time{}
	case c.candidacy == Standby:
		if c.acquire.dueAt.IsZero() {
			c.acquire.dueAt = now.Add(c.randomAround(c.config.CandidateInterval))
		}
	default:
		c.acquire.dueAt = now
	}
}

// Acquired reports the result of Acquire; held says whether a slot was acquired.
func (c *Core) Acquired(now time.Time, held bool, err error) Outputs {
	c.acquire.running = false
	switch {
	case err != nil:
		c.retry(now, &c.acquire)
	case held:
		c.beginHolding(now)
	default:
		c.acquire.failures = 0
		c.acquire.dueAt = now.Add(c.randomAround(c.acquireInterval()))
	}
	if c.candidacy == NotCandidate {
		c.acquire.dueAt = time.Time{}
	}
	return c.takeOutputs(now)
}

// acquireInterval returns the mean time between attempts to acquire a slot.
func (c *Core) acquireInterval() time.Duration {
	if c.candidacy == Urgent {
		return c.config.UrgentInterval
	}
	return c.config.CandidateInterval
}

// beginHolding records that a slot was acquired and starts to load.
func (c *Core) beginHolding(now time.Time) {
	c.holding = true
	c.acquire = task{}
	c.renew.dueAt = now.Add(c.config.RenewInterval)
	c.load.dueAt = now
}

// Renewed reports the result of Renew. The slot is lost only if the store no longer
// knows the lease, not if the store cannot be reached.
func (c *Core) Renewed(now time.Time, err error) Outputs {
	c.renew.running = false
	switch {
	case !c.holding:
	case errors.Is(err, store.ErrLeaseNotFound):
		c.endHolding(now)
	case err != nil:
		c.retry(now, &c.renew)
	default:
		c.renew.failures = 0
		c.renew.dueAt = now.Add(c.config.RenewInterval)
	}
	return c.takeOutputs(now)
}

// endHolding records that the slot is lost. A node that is still a candidate tries
// to acquire one again after a short random wait.
func (c *Core) endHolding(now time.Time) {
	c.holding, c.loaded = false, false
	c.renew.dueAt, c.load.dueAt, c.watch.dueAt, c.poll.dueAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	c.outputs.CancelWatch = c.watching
	c.watching = false
	if c.candidacy != NotCandidate {
		c.acquire.dueAt = now.Add(c.jitter(c.config.RetryBase))
	}
}

// Loaded reports the result of Load and the store revision at which it was read.
func (c *Core) Loaded(now time.Time, revision uint64, err error) Outputs {
	c.load.running = false
	switch {
	case !c.holding:
	case err != nil:
		c.retry(now, &c.load)
	default:
		c.load = task{}
		c.loaded = true
		c.revision = revision
		c.watch.dueAt = now
		c.poll.dueAt = now.Add(c.config.PollInterval)
	}
	return c.takeOutputs(now)
}

// Watching reports whether the watch was started.
func (c *Core) Watching(now time.Time, err error) Outputs {
	c.watch.running = false
	switch {
	case !c.holding:
		c.outputs.CancelWatch = err == nil
	case err != nil:
		c.watchFailed(now, err)
	default:
		c.watch = task{}
		c.watching = true
	}
	return c.takeOutputs(now)
}

// WatchEnded reports the end of the running watch.
func (c *Core) WatchEnded(now time.Time, err error) Outputs {
	if c.watching {
		c.watching = false
		c.watchFailed(now, err)
	}
	return c.takeOutputs(now)
}

// watchFailed schedules a new watch from the last revision seen, or a load if the
// store has compacted that revision.
func (c *Core) watchFailed(now time.Time, err error) {
	if errors.Is(err, store.ErrCompacted) {
		c.poll.dueAt = time.Time{}
		c.reload(now)
		return
	}
	c.retry(now, &c.watch)
}

// WatchEvent records the store revision that the watch has reached.
func (c *Core) WatchEvent(revision uint64) {
	c.revision = max(c.revision, revision)
}

// Polled reports the result of Poll. If missed is set, the log held entries that
// the watch had not delivered, and the watch is started again. The revision is that
// of the store when the log was read.
func (c *Core) Polled(now time.Time, missed bool, revision uint64, err error) Outputs {
	c.poll.running = false
	switch {
	case !c.holding:
	case errors.Is(err, store.ErrCompacted):
		c.reload(now)
	case err != nil:
		c.retry(now, &c.poll)
	default:
		c.poll.failures = 0
		c.poll.dueAt = now.Add(c.config.PollInterval)
		if missed && c.watching {
			c.outputs.CancelWatch = true
			c.watching = false
			c.revision = max(c.revision, revision)
			c.watch.dueAt = now
		}
	}
	return c.takeOutputs(now)
}

// reload schedules a new load, since the log after the version held has been
// compacted.
func (c *Core) reload(now time.Time) {
	c.outputs.CancelWatch = c.watching
	c.watching, c.loaded = false, false
	c.watch.dueAt = time.Time{}
	c.load.dueAt = now
}

// Stop withdraws the candidacy and releases the slot, for a planned stop.
func (c *Core) Stop(now time.Time) Outputs {
	c.candidacy = NotCandidate
	if c.holding {
		c.endHolding(now)
		c.outputs.Requests = append(c.outputs.Requests, Request{Operation: Release})
	}
	c.acquire.dueAt = time.Time{}
	return c.takeOutputs(now)
}

// Tick starts the operations that are due.
func (c *Core) Tick(now time.Time) Outputs { return c.takeOutputs(now) }

// NextTick returns the time at which Tick must be called next, or the zero time if
// no operation is scheduled.
func (c *Core) NextTick() time.Time {
	var next time.Time
	for _, task := range []*task{&c.acquire, &c.renew, &c.load, &c.watch, &c.poll} {
		if !task.running && !task.dueAt.IsZero() && (next.IsZero() || task.dueAt.Before(next)) {
			next = task.dueAt
		}
	}
	return next
}

// takeOutputs starts the operations that are due and returns the outputs collected
// since the last call.
func (c *Core) takeOutputs(now time.Time) Outputs {
	c.start(now, &c.acquire, Request{Operation: Acquire})
	c.start(now, &c.renew, Request{Operation: Renew})
	c.start(now, &c.load, Request{Operation: Load})
	c.start(now, &c.watch, Request{Operation: Watch, Revision: c.revision})
	c.start(now, &c.poll, Request{Operation: Poll})
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

// start requests an operation if it is due.
func (c *Core) start(now time.Time, task *task, request Request) {
	if task.due(now) {
		task.running = true
		task.dueAt = time.Time{}
		c.outputs.Requests = append(c.outputs.Requests, request)
	}
}

// retry schedules a failed operation again with exponential backoff and jitter.
func (c *Core) retry(now time.Time, task *task) {
	bound := min(c.config.RetryBase<<min(task.failures, 10), c.config.RetryCap)
	task.failures++
	task.dueAt = now.Add(c.config.RetryBase/2 + c.jitter(bound))
}

// jitter returns a random duration from 0 up to the bound.
func (c *Core) jitter(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound) + 1))
}

// randomAround returns a random duration between half and one and a half times the
// mean.
func (c *Core) randomAround(mean time.Duration) time.Duration {
	return mean/2 + c.jitter(mean)
}

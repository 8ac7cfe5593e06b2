// Package reader is the decision core of a store reader: when to try for one
// of the few reader slots, when to renew its lease, load, watch and poll, and
// how to back off. The outputs are operations that the shell performs on the
// store, at most one of a kind at a time; each must be answered in bounded
// time. No promise rests on the lease: it only bounds the load on the store,
// so a holder that can't reach the store goes on serving what it has. The
// package has no goroutine, clock or socket.
package reader

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Config holds the intervals of a reader.
type Config struct {
	// LeaseTime is the time to live asked for a slot's lease.
	LeaseTime time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between checks that the watch has missed
	// nothing.
	PollInterval time.Duration
	// RetryBase and RetryCap bound the full-jitter wait after a failure.
	RetryBase time.Duration
	RetryCap  time.Duration
	// CandidateInterval is the mean wait of a candidate that found every
	// slot held; UrgentInterval the same for one without a parent.
	CandidateInterval time.Duration
	UrgentInterval    time.Duration
}

// DefaultConfig returns the values chosen in docs/design/0004.
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

// Candidacy says how a node stands toward the reader slots.
type Candidacy int

// The candidacies.
const (
	// NotCandidate does not try for a slot.
	NotCandidate Candidacy = iota
	// Standby looks for a free slot from time to time.
	Standby
	// Leading tries at once, then from time to time.
	Leading
	// Urgent tries at once and often: the node has no parent.
	Urgent
)

// Operation is something the shell does on the store.
type Operation string

// The operations.
const (
	// Acquire tries for a free slot with a new lease; answered by Acquired.
	Acquire Operation = "acquire"
	// Renew keeps the lease alive; answered by Renewed.
	Renew Operation = "renew"
	// Load reads what follows the version held, or the checkpoint and what
	// follows it; answered by Loaded once the relay has taken it in.
	Load Operation = "load"
	// Watch starts the watch of the log after Request.Revision; answered by
	// Watching, later by WatchEnded.
	Watch Operation = "watch"
	// Poll reads the log after the version held; answered by Polled.
	Poll Operation = "poll"
	// Release gives the slot back.
	Release Operation = "release"
)

// Request is one operation with its argument.
type Request struct {
	Operation Operation
	// Revision is where a watch starts.
	Revision uint64
}

// Outputs is what the shell has to do.
type Outputs struct {
	Requests []Request
	// CancelWatch ends the running watch, first.
	CancelWatch bool
}

// task is one recurring operation.
type task struct {
	dueAt    time.Time
	running  bool
	failures int
}

func (t *task) due(now time.Time) bool {
	return !t.running && !t.dueAt.IsZero() && !now.Before(t.dueAt)
}

// Core is the state of one candidate or reader. It is not safe for concurrent
// use.
type Core struct {
	config Config
	random *rand.Rand

	candidacy Candidacy
	holding   bool
	loaded    bool
	watching  bool
	revision  uint64

	acquire, renew, load, watch, poll task

	outputs Outputs
}

// New returns a core that is no candidate and holds nothing.
func New(config Config, random *rand.Rand) *Core {
	return &Core{config: config, random: random}
}

// Holding reports whether the core believes to hold a slot. After a pause the
// belief may be wrong until the next renewal is answered.
func (c *Core) Holding() bool { return c.holding }

// SetCandidacy says how this node stands toward the slots. A slot held is kept all
// the same.
func (c *Core) SetCandidacy(now time.Time, candidacy Candidacy) Outputs {
	if candidacy != c.candidacy {
		c.candidacy = candidacy
		c.scheduleAcquire(now)
	}
	return c.takeOutputs(now)
}

// scheduleAcquire plans the first attempt of a new candidacy.
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

// Acquired answers Acquire: held says whether a slot was won.
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

func (c *Core) acquireInterval() time.Duration {
	if c.candidacy == Urgent {
		return c.config.UrgentInterval
	}
	return c.config.CandidateInterval
}

func (c *Core) beginHolding(now time.Time) {
	c.holding = true
	c.acquire = task{}
	c.renew.dueAt = now.Add(c.config.RenewInterval)
	c.load.dueAt = now
}

// Renewed answers Renew. Only a lease that the store no longer knows ends the
// holding; a store that can't be reached does not.
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

// endHolding ends the holding; the node tries again for a slot at once, with jitter,
// when it is still a candidate.
func (c *Core) endHolding(now time.Time) {
	c.holding, c.loaded = false, false
	c.renew.dueAt, c.load.dueAt, c.watch.dueAt, c.poll.dueAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	c.outputs.CancelWatch = c.watching
	c.watching = false
	if c.candidacy != NotCandidate {
		c.acquire.dueAt = now.Add(c.jitter(c.config.RetryBase))
	}
}

// Loaded answers Load with the store's revision at that moment.
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

// Watching answers Watch.
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

// WatchEnded says that the running watch ended.
func (c *Core) WatchEnded(now time.Time, err error) Outputs {
	if c.watching {
		c.watching = false
		c.watchFailed(now, err)
	}
	return c.takeOutputs(now)
}

// watchFailed starts over: from the revision reached, or by loading when the
// store no longer has it.
func (c *Core) watchFailed(now time.Time, err error) {
	if errors.Is(err, store.ErrCompacted) {
		c.poll.dueAt = time.Time{}
		c.reload(now)
		return
	}
	c.retry(now, &c.watch)
}

// WatchEvent notes the revision that the watch has reached.
func (c *Core) WatchEvent(revision uint64) {
	c.revision = max(c.revision, revision)
}

// Polled answers Poll: missed says that the log held entries that the watch
// had not delivered, revision is the store's at that moment.
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

// reload loads anew: what is held lies before what the log still has.
func (c *Core) reload(now time.Time) {
	c.outputs.CancelWatch = c.watching
	c.watching, c.loaded = false, false
	c.watch.dueAt = time.Time{}
	c.load.dueAt = now
}

// Stop gives the slot back, for a planned stop.
func (c *Core) Stop(now time.Time) Outputs {
	c.candidacy = NotCandidate
	if c.holding {
		c.endHolding(now)
		c.outputs.Requests = append(c.outputs.Requests, Request{Operation: Release})
	}
	c.acquire.dueAt = time.Time{}
	return c.takeOutputs(now)
}

// Tick does whatever has come due.
func (c *Core) Tick(now time.Time) Outputs { return c.takeOutputs(now) }

// NextTick returns when Tick has to be called next; the zero time when nothing
// is due.
func (c *Core) NextTick() time.Time {
	var next time.Time
	for _, task := range []*task{&c.acquire, &c.renew, &c.load, &c.watch, &c.poll} {
		if !task.running && !task.dueAt.IsZero() && (next.IsZero() || task.dueAt.Before(next)) {
			next = task.dueAt
		}
	}
	return next
}

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

func (c *Core) start(now time.Time, task *task, request Request) {
	if task.due(now) {
		task.running = true
		task.dueAt = time.Time{}
		c.outputs.Requests = append(c.outputs.Requests, request)
	}
}

func (c *Core) retry(now time.Time, task *task) {
	bound := min(c.config.RetryBase<<min(task.failures, 10), c.config.RetryCap)
	task.failures++
	task.dueAt = now.Add(c.config.RetryBase/2 + c.jitter(bound))
}

func (c *Core) jitter(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound) + 1))
}

func (c *Core) randomAround(mean time.Duration) time.Duration {
	return mean/2 + c.jitter(mean)
}

// Package subscriber implements the child's side of a stream, for both proxies
// and control daemons, as a state machine without I/O. It decides which parent
// to attach to, when to switch to another, which content may be applied and
// what to report. It uses no goroutines, clocks or sockets, takes random numbers
// only from the source it is given, and is not safe for concurrent use.
package subscriber

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

type phase int

const (
	// idle: no parent is known, or the next connection attempt is not due yet.
	idle phase = iota
	// connecting: a connection attempt is in progress.
	connecting
	// attached: the parent accepted the stream.
	attached
)

// Core holds the connection, content and report state of one child.
type Core struct {
	config      Config
	node        distribution.Node
	kind        distribution.ChildKind
	entitlement projection.Entitlement
	random      *rand.Rand

	parents []Parent
	// cooldownUntil maps a node to the time until which it is skipped, while
	// there are other candidates, because it timed out.
	cooldownUntil map[string]time.Time
	// current is the parent of the attempt or stream; it may be stale in
	// phase idle. candidateIndex is the index in parents at which the next
	// attempt starts its search.
	current             Parent
	candidateIndex      int
	consecutiveFailures int
	phase               phase
	// attemptAt is when the next attempt is due in phase idle.
	attemptAt time.Time
	// deadline is when the attempt or stream times out.
	deadline   time.Time
	failbackAt time.Time
	// stableAt is when the stream has lasted long enough to reset
	// consecutiveFailures. A stream that ends earlier counts as one more
	// failure.
	stableAt time.Time
	// leaveStaleAt is when the child switches away from a detached or lagging
	// parent; staleMoves counts how often in a row this was scheduled.
	leaveStaleAt time.Time
	staleMoves   int
	source       distribution.Source

	// received is the newest content received on this stream and the base of
	// the parent's next delta; offered is the snapshot returned to be applied;
	// active is the one applied last.
	received *projection.Snapshot
	offered  *projection.Snapshot
	active   *projection.Snapshot
	// version is the version applied last.
	version uint64
	// helloVersion is the version sent in the hello of the attempt or stream.
	helloVersion uint64
	failure      *distribution.ApplyFailure
	// reapplyAt is when content that could not be applied is offered again.
	reapplyAt time.Time
	// needsSnapshot is set when received content did not match its digest or
	// base; the next hello then asks for a complete snapshot.
	needsSnapshot bool

	ownEndpoints  *endpoint.Table
	pendingReport distribution.Report
	reportAt      time.Time

	outputs Outputs
}

// New returns a child without content and without candidate parents.
func New(config Config, node distribution.Node, kind distribution.ChildKind, entitlement projection.Entitlement, random *rand.Rand) *Core {
	return &Core{
		config: config, node: node, kind: kind, entitlement: entitlement, random: random,
		ownEndpoints: endpoint.NewTable(), cooldownUntil: map[string]time.Time{},
	}
}

// Version returns the version applied last.
func (c *Core) Version() uint64 { return c.version }

// ActiveSnapshot returns the snapshot applied last. It is nil before the first
// one and for control children.
func (c *Core) ActiveSnapshot() *projection.Snapshot { return c.active }

// Parent returns the current parent and whether the child is attached to it.
func (c *Core) Parent() (Parent, bool) { return c.current, c.phase == attached }

// Source returns the parent's last report of its distance to the readers and
// its lag. Without a parent the source is detached.
func (c *Core) Source() distribution.Source {
	if c.phase != attached {
		return distribution.Source{Detached: true}
	}
	return c.source
}

// Parents replaces the candidates, most preferred first. A stream to a parent
// that is no longer a candidate is kept until it fails or until the child fails
// back to the preferred candidate. If the parent is detached from the readers,
// the child switches to the preferred candidate as soon as the stream is
// stable: otherwise two detached parents that each name the other first would
// make the child alternate between them without a delay.
func (c *Core) Parents(now time.Time, parents []Parent) Outputs {
	if slices.Equal(parents, c.parents) {
		return c.takeOutputs(now)
	}
	c.parents = slices.Clone(parents)
	c.candidateIndex = 0
	switch {
	case c.phase == idle && c.attemptAt.IsZero():
		c.attemptAt = now
	case c.phase == attached && c.source.Detached && len(parents) > 0 && parents[0] != c.current:
		c.leaveDetachedParent(now)
	case c.phase == attached:
		c.scheduleFailback(now)
	}
	return c.takeOutputs(now)
}

// leaveDetachedParent switches to the preferred parent, but not before
// stableAt.
func (c *Core) leaveDetachedParent(now time.Time) {
	if now.Before(c.stableAt) {
		c.failbackAt = c.stableAt
		return
	}
	c.moveTo(now, 0)
}

// Detach closes the attempt or stream and clears the candidates. No further
// attempt is made until Parents sets new ones.
func (c *Core) Detach(now time.Time) Outputs {
	if c.phase != idle {
		c.closeStream()
	}
	c.parents = nil
	c.attemptAt = time.Time{}
	return c.takeOutputs(now)
}

// Connected reports that the parent accepted the stream.
func (c *Core) Connected(now time.Time) Outputs {
	if c.phase != connecting {
		return c.takeOutputs(now)
	}
	c.phase = attached
	c.stableAt = now.Add(c.config.BackoffCap)
	c.leaveStaleAt = time.Time{}
	c.source = distribution.Source{Detached: true}
	c.deadline = now.Add(c.config.Silence)
	c.outputs.AttachedTo = c.current.Node
	c.scheduleFailback(now)
	c.scheduleFirstReport(now)
	return c.takeOutputs(now)
}

// scheduleFirstReport schedules the report of changes made after the hello was
// sent.
func (c *Core) scheduleFirstReport(now time.Time) {
	switch {
	case len(c.pendingReport.Endpoints)+len(c.pendingReport.Zones) > 0:
		c.scheduleReport(now)
	case c.version != c.helloVersion && c.kind == distribution.ChildProxy:
		c.scheduleReport(now.Add(c.lazyAckDelay()))
	default:
		c.scheduleReport(now.Add(c.keepAliveDelay()))
	}
}

// Refused reports that the parent rejected the attach request. The bound of the
// backoff is then at least retryAfter.
func (c *Core) Refused(now time.Time, retryAfter time.Duration) Outputs {
	if c.phase == connecting {
		c.closeAndRetry(now, retryAfter)
	}
	return c.takeOutputs(now)
}

// Disconnected reports that the attempt failed or the stream ended.
func (c *Core) Disconnected(now time.Time, _ error) Outputs {
	if c.phase != idle {
		c.closeAndRetry(now, 0)
	}
	return c.takeOutputs(now)
}

// closeAndRetry closes the attempt or stream and schedules the next attempt. In
// the first round, which tries each candidate once, the backoff is bounded by
// BackoffBase; the bound doubles with each further round, up to BackoffCap.
// Every delay has full jitter.
//
// After the loss of a stream the search restarts at the preferred candidate:
// the list puts nearby candidates first, which a network partition is least
// likely to separate from the child.
func (c *Core) closeAndRetry(now time.Time, retryAfter time.Duration) {
	if c.phase == attached {
		c.candidateIndex = 0
		if len(c.parents) > 0 && c.parents[0] == c.current {
			c.candidateIndex = 1
		}
	} else {
		c.candidateIndex++
	}
	c.closeStream()
	c.consecutiveFailures++
	if c.consecutiveFailures%max(1, len(c.parents)) == 0 {
		// Every candidate has failed, so none is skipped any longer.
		clear(c.cooldownUntil)
	}
	c.attemptAt = now.Add(c.backoff(retryAfter))
}

func (c *Core) closeStream() {
	if c.phase == attached {
		c.outputs.LostParent = c.current.Node
	}
	c.phase = idle
	c.deadline = time.Time{}
	c.failbackAt = time.Time{}
	c.leaveStaleAt = time.Time{}
	c.reapplyAt = time.Time{}
	c.outputs.Disconnect = true
	c.outputs.Report = nil
	c.received = nil
	c.pendingReport = distribution.Report{}
	c.reportAt = time.Time{}
}

// connectTimeout returns the timeout of the next attempt. It doubles after
// longTimeoutAfter failures, so that attempts can still succeed on a network
// that has become slow. It grows no further, since an attempt that began during
// a network partition must not last much longer than the partition.
func (c *Core) connectTimeout() time.Duration {
	if c.consecutiveFailures >= longTimeoutAfter {
		return 2 * c.config.ConnectTimeout
	}
	return c.config.ConnectTimeout
}

// longTimeoutAfter is the number of consecutive failures after which the connect
// timeout doubles.
const longTimeoutAfter = 3

func (c *Core) completedRounds() int { return c.consecutiveFailures / max(1, len(c.parents)) }

func (c *Core) backoff(retryAfter time.Duration) time.Duration {
	bound := c.config.BackoffBase << min(c.completedRounds(), 10)
	bound = min(max(bound, retryAfter), max(c.config.BackoffCap, retryAfter))
	return time.Duration(c.random.Int64N(int64(bound) + 1))
}

// scheduleFailback schedules the switch back to the preferred parent if the
// child is attached to another one. The delay is spread evenly between half and
// one and a half times FailbackInterval.
func (c *Core) scheduleFailback(now time.Time) {
	c.failbackAt = time.Time{}
	if len(c.parents) == 0 || c.parents[0] == c.current || c.config.FailbackInterval == 0 {
		return
	}
	half := int64(c.config.FailbackInterval) / 2
	c.failbackAt = now.Add(time.Duration(half + c.random.Int64N(2*half+1)))
}

// Tick performs the actions that are due.
func (c *Core) Tick(now time.Time) Outputs {
	switch {
	case c.phase == idle && isDue(now, c.attemptAt):
		c.startAttempt(now)
	case c.phase != idle && isDue(now, c.deadline):
		c.startCooldown(now)
		c.closeAndRetry(now, 0)
	case c.phase == attached && isDue(now, c.leaveStaleAt):
		c.moveTo(now, c.candidateIndex+1)
	case c.phase == attached && isDue(now, c.failbackAt):
		c.moveTo(now, 0)
	case c.phase == attached && isDue(now, c.reapplyAt):
		c.offerSnapshot(now, c.received)
	}
	return c.takeOutputs(now)
}

// moveTo closes the stream and immediately starts an attempt, beginning with the
// candidate at the given index.
func (c *Core) moveTo(now time.Time, index int) {
	c.closeStream()
	c.candidateIndex = index
	c.startAttempt(now)
}

func (c *Core) startAttempt(now time.Time) {
	if len(c.parents) == 0 {
		c.attemptAt = time.Time{}
		return
	}
	c.attemptAt = time.Time{}
	c.candidateIndex = c.chooseCandidate(now)
	c.current = c.parents[c.candidateIndex]
	c.phase = connecting
	c.helloVersion = c.version
	c.deadline = now.Add(c.connectTimeout())
	c.outputs.Connect = &Connect{Parent: c.current, Hello: c.hello()}
}

// startCooldown makes the child skip the candidate that timed out. If the
// timeout is noticed late, by Silence or more, the child itself was paused and
// the candidate is not skipped.
func (c *Core) startCooldown(now time.Time) {
	if now.Sub(c.deadline) < c.config.Silence {
		c.cooldownUntil[c.current.Node] = now.Add(c.config.CandidateCooldown)
	}
}

// chooseCandidate returns the index of the next candidate that is not in its
// cooldown, or of the next one if all are.
func (c *Core) chooseCandidate(now time.Time) int {
	first := c.candidateIndex % len(c.parents)
	for step := range c.parents {
		at := (first + step) % len(c.parents)
		if !now.Before(c.cooldownUntil[c.parents[at].Node]) {
			delete(c.cooldownUntil, c.parents[at].Node)
			return at
		}
	}
	return first
}

func (c *Core) hello() distribution.Hello {
	hello := distribution.Hello{
		Node: c.node, Kind: c.kind, Entitlement: c.entitlement,
		Version: c.version, Endpoints: c.ownEndpoints.All(),
	}
	if c.active != nil && !c.needsSnapshot {
		hello.Digest = c.active.Digest
	}
	return hello
}

// NextTick returns when Tick must be called next, or the zero time if nothing is
// scheduled.
func (c *Core) NextTick() time.Time {
	next := earliest(c.attemptAt, c.deadline)
	next = earliest(next, c.failbackAt)
	next = earliest(next, c.leaveStaleAt)
	next = earliest(next, c.reapplyAt)
	return earliest(next, c.reportAt)
}

// takeOutputs adds a due report to the outputs, then returns and clears them.
func (c *Core) takeOutputs(now time.Time) Outputs {
	c.flushReport(now)
	outputs := c.outputs
	c.outputs = Outputs{}
	return outputs
}

func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

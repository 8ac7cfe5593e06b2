// Package subscriber is the decision core of the child's side of a stream, for
// proxies and control daemons alike: which parent to attach to, when to move
// on, what may be applied, and what to report. It has no goroutine, clock or
// socket, draws only from the random source it is given, and is not safe for
// concurrent use.
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
	// idle: no parent is known, or the wait before an attempt runs.
	idle phase = iota
	// connecting: an attempt is under way.
	connecting
	// attached: the parent accepted the stream.
	attached
)

// Core is the state of one child.
type Core struct {
	config      Config
	node        distribution.Node
	kind        distribution.ChildKind
	entitlement projection.Entitlement
	random      *rand.Rand

	parents []Parent
	// cooldownUntil holds, by node, until when a candidate that stayed silent is
	// passed over while there is another.
	cooldownUntil map[string]time.Time
	// current is the parent of the attempt or stream, an index of parents;
	// it may be stale in phase idle.
	current             Parent
	candidateIndex      int
	consecutiveFailures int
	phase               phase
	// attemptAt is when the next attempt is due in phase idle.
	attemptAt time.Time
	// deadline is when the attempt or the silent stream is given up.
	deadline   time.Time
	failbackAt time.Time
	// stableAt is when the stream has lasted long enough for earlier
	// failures to be forgotten; one that ends at once counts as another.
	stableAt time.Time
	// leaveStaleAt is when a detached or lagging parent is left; behindMoves
	// counts such moves in a row.
	leaveStaleAt time.Time
	staleMoves   int
	source       distribution.Source

	// received is the newest content taken in on this stream, which the
	// parent's next delta starts from; offered is the one handed out to be
	// applied; inForce is the one applied last.
	received *projection.Snapshot
	offered  *projection.Snapshot
	active   *projection.Snapshot
	// version is the version in force.
	version uint64
	// helloVersion is the version in the hello of the attempt or stream.
	helloVersion uint64
	failure      *distribution.ApplyFailure
	// reapplyAt is when content that was refused is offered again.
	reapplyAt time.Time
	// needsSnapshot: the received content did not have its digest; the next
	// hello asks for a whole snapshot.
	needsSnapshot bool

	ownEndpoints  *endpoint.Table
	pendingReport distribution.Report
	reportAt      time.Time

	outputs Outputs
}

// New returns a child that holds nothing and knows no parent.
func New(config Config, node distribution.Node, kind distribution.ChildKind, entitlement projection.Entitlement, random *rand.Rand) *Core {
	return &Core{
		config: config, node: node, kind: kind, entitlement: entitlement, random: random,
		ownEndpoints: endpoint.NewTable(), cooldownUntil: map[string]time.Time{},
	}
}

// Version returns the version in force.
func (c *Core) Version() uint64 { return c.version }

// ActiveSnapshot returns the snapshot in force; nil before the first and for control
// children.
func (c *Core) ActiveSnapshot() *projection.Snapshot { return c.active }

// Parent returns the parent attached to; false while there is none.
func (c *Core) Parent() (Parent, bool) { return c.current, c.phase == attached }

// Source returns what the parent said of its own distance to the readers.
func (c *Core) Source() distribution.Source {
	if c.phase != attached {
		return distribution.Source{Detached: true}
	}
	return c.source
}

// Parents replaces the candidates, most preferred first. A stream to a parent
// that is no longer a candidate is kept until it fails or until the child
// returns to a preferred one; one that is cut off from the readers is left for
// the preferred candidate at once, or once the stream has lasted a while: two
// cut-off parents that each name the other first would hand the child back and
// forth without pause.
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

// leaveDetachedParent moves to the preferred parent, not before the stream is healthyAt.
func (c *Core) leaveDetachedParent(now time.Time) {
	if now.Before(c.stableAt) {
		c.failbackAt = c.stableAt
		return
	}
	c.moveTo(now, 0)
}

// Detach ends the attempt or stream and makes no further attempt until Parents
// names candidates again.
func (c *Core) Detach(now time.Time) Outputs {
	if c.phase != idle {
		c.closeStream()
	}
	c.parents = nil
	c.attemptAt = time.Time{}
	return c.takeOutputs(now)
}

// Connected says that the parent accepted the stream.
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

// scheduleFirstReport plans what the hello could not say any more.
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

// Refused says that the parent turned the attach down.
func (c *Core) Refused(now time.Time, retryAfter time.Duration) Outputs {
	if c.phase == connecting {
		c.closeAndRetry(now, retryAfter)
	}
	return c.takeOutputs(now)
}

// Disconnected says that the attempt failed or the stream ended.
func (c *Core) Disconnected(now time.Time, _ error) Outputs {
	if c.phase != idle {
		c.closeAndRetry(now, 0)
	}
	return c.takeOutputs(now)
}

// closeAndRetry ends the attempt or stream and schedules the next. The first attempts
// of a round, to each other candidate, follow with a short jitter; then the
// wait doubles up to the cap. Every wait has full jitter.
//
// After the loss of a stream the search begins at the preferred candidate
// again: the order puts near ones first, which a cut is least likely to have
// taken along.
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
		// All others failed as well: none is passed over any more.
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

// connectTimeout doubles after a few failures, so that a network that has become
// slow is not given up on for ever; no more than that, since an attempt begun
// during a cut must not outlast its healing by much.
func (c *Core) connectTimeout() time.Duration {
	if c.consecutiveFailures >= longTimeoutAfter {
		return 2 * c.config.ConnectTimeout
	}
	return c.config.ConnectTimeout
}

// longTimeoutAfter is the number of failures in a row after which an attempt is
// given more time.
const longTimeoutAfter = 3

func (c *Core) completedRounds() int { return c.consecutiveFailures / max(1, len(c.parents)) }

func (c *Core) backoff(retryAfter time.Duration) time.Duration {
	bound := c.config.BackoffBase << min(c.completedRounds(), 10)
	bound = min(max(bound, retryAfter), max(c.config.BackoffCap, retryAfter))
	return time.Duration(c.random.Int64N(int64(bound) + 1))
}

// scheduleFailback plans a return to the preferred parent when attached to
// another one.
func (c *Core) scheduleFailback(now time.Time) {
	c.failbackAt = time.Time{}
	if len(c.parents) == 0 || c.parents[0] == c.current || c.config.FailbackInterval == 0 {
		return
	}
	half := int64(c.config.FailbackInterval) / 2
	c.failbackAt = now.Add(time.Duration(half + c.random.Int64N(2*half+1)))
}

// Tick does whatever has come due.
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

// moveTo leaves the parent for the candidate at an index, at once.
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

// startCooldown has the silent candidate passed over for a while. A child that
// notices the silence late was paused itself and blames nobody.
func (c *Core) startCooldown(now time.Time) {
	if now.Sub(c.deadline) < c.config.Silence {
		c.cooldownUntil[c.current.Node] = now.Add(c.config.CandidateCooldown)
	}
}

// chooseCandidate returns the next candidate that did not stay silent a short while ago;
// when all did, the next one.
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

// NextTick returns when Tick has to be called next; the zero time when nothing
// is due.
func (c *Core) NextTick() time.Time {
	next := earliest(c.attemptAt, c.deadline)
	next = earliest(next, c.failbackAt)
	next = earliest(next, c.leaveStaleAt)
	next = earliest(next, c.reapplyAt)
	return earliest(next, c.reportAt)
}

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

package subscriber

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// The steps a received message can fail at.
const (
	stepDelta   = "delta"
	stepDigest  = "digest"
	stepClosure = "closure"
)

// maxStaleShift bounds how far the wait at a detached parent doubles when
// each candidate in turn proves detached.
const maxStaleShift = 1

var errNoBase = errors.New("the child holds nothing to start from")

// Received takes in a message of the stream.
func (c *Core) Received(now time.Time, message *distribution.Message) Outputs {
	if c.phase != attached {
		return c.takeOutputs(now)
	}
	c.deadline = now.Add(c.config.Silence)
	if !now.Before(c.stableAt) {
		c.consecutiveFailures = 0
	}
	if message.Source != nil {
		c.handleSource(now, *message.Source)
	}
	if c.phase == attached {
		c.outputs.Endpoints = message.Endpoints
		c.outputs.Heard = message.Heard
		c.outputs.Zones = message.Zones
		c.outputs.Readers = message.Readers
		c.handleContent(now, message)
	}
	if message.Goodbye && c.phase == attached {
		c.closeAndRetry(now, 0)
	}
	return c.takeOutputs(now)
}

// handleSource learns how fresh the parent is. One that lies too far from the
// readers is part of a loop, which a control child breaks; one that is detached or behind is given a while
// before the child looks at another.
func (c *Core) handleSource(now time.Time, source distribution.Source) {
	c.source = source
	c.outputs.Source = &source
	if c.kind == distribution.ChildControl && source.Hops > c.config.MaximumHops {
		c.closeAndRetry(now, 0)
		return
	}
	stale := source.Detached || source.Floor > 0
	switch {
	case !stale:
		c.leaveStaleAt = time.Time{}
		c.staleMoves = 0
	case c.leaveStaleAt.IsZero() && len(c.parents) > 1:
		wait := c.config.StaleParentTimeout << min(c.staleMoves, maxStaleShift)
		c.leaveStaleAt = now.Add(wait + time.Duration(c.random.Int64N(int64(wait)+1)))
		c.staleMoves++
	}
}

func (c *Core) handleContent(now time.Time, message *distribution.Message) {
	if c.kind == distribution.ChildControl {
		c.outputs.Checkpoint = message.Checkpoint
		c.outputs.Entries = message.Entries
		return
	}
	switch {
	case message.Snapshot != nil:
		c.handleSnapshot(now, message.Snapshot)
	case message.Delta != nil:
		c.handleDelta(now, message.Delta)
	case message.Version > c.newestVersion():
		c.handleVersion(now, message.Version)
	}
}

// base is the content that the parent takes this child to hold.
func (c *Core) base() *projection.Snapshot {
	if c.received != nil {
		return c.received
	}
	return c.active
}

func (c *Core) newestVersion() uint64 {
	if base := c.base(); base != nil {
		return base.Version
	}
	return 0
}

func (c *Core) handleSnapshot(now time.Time, snapshot *projection.Snapshot) {
	if err := snapshot.Verify(); err != nil {
		c.rejectContent(now, snapshot.Version, stepDigest, err)
		return
	}
	c.needsSnapshot = false
	c.offerSnapshot(now, snapshot)
}

func (c *Core) handleDelta(now time.Time, delta *projection.Delta) {
	base := c.base()
	if base == nil {
		c.rejectContent(now, delta.Version, stepDelta, errNoBase)
		return
	}
	next, err := base.ApplyDelta(delta)
	if err != nil {
		c.rejectContent(now, delta.Version, stepDelta, err)
		return
	}
	c.offerSnapshot(now, next)
}

// handleVersion advances the version of unchanged content.
func (c *Core) handleVersion(now time.Time, version uint64) {
	base := c.base()
	if base == nil {
		c.rejectContent(now, version, stepDelta, errNoBase)
		return
	}
	c.offerSnapshot(now, base.AtVersion(version))
}

// rejectContent handles content that is not what its parent says it is: the child
// reports it, leaves, and asks the next parent for a whole snapshot.
func (c *Core) rejectContent(now time.Time, version uint64, step string, cause error) {
	c.failure = &distribution.ApplyFailure{Version: version, Step: step, Reason: cause.Error()}
	c.needsSnapshot = true
	c.closeAndRetry(now, 0)
}

// offerSnapshot hands out content to be applied, unless it is not above what is in
// force or is not closed.
func (c *Core) offerSnapshot(now time.Time, snapshot *projection.Snapshot) {
	c.received = snapshot
	c.reapplyAt = time.Time{}
	if snapshot.Version <= c.version {
		return
	}
	if err := snapshot.Closed(); err != nil {
		c.recordFailure(now, distribution.ApplyFailure{Version: snapshot.Version, Step: stepClosure, Reason: err.Error()})
		return
	}
	c.offered = snapshot
	c.outputs.Apply = snapshot
}

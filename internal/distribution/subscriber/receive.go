package subscriber

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// The steps a received message can fail at.
const (
	stepDelta  = "delta"
	stepDigest = "digest"
	stepClosed = "closure"
)

// maximumBehindShift bounds how far the wait at a detached parent doubles when
// each candidate in turn proves detached.
const maximumBehindShift = 1

var errNoBase = errors.New("the child holds nothing to start from")

// Received takes in a message of the stream.
func (c *Core) Received(now time.Time, message *distribution.Message) Outputs {
	if c.phase != attached {
		return c.finish(now)
	}
	c.deadline = now.Add(c.config.Silence)
	if !now.Before(c.healthyAt) {
		c.failures = 0
	}
	if message.Source != nil {
		c.takeSource(now, *message.Source)
	}
	if c.phase == attached {
		c.outputs.Endpoints = message.Endpoints
		c.outputs.Heard = message.Heard
		c.outputs.Zones = message.Zones
		c.outputs.Readers = message.Readers
		c.takeContent(now, message)
	}
	if message.Goodbye && c.phase == attached {
		c.failed(now, 0)
	}
	return c.finish(now)
}

// takeSource learns how fresh the parent is. One that lies too far from the
// readers is part of a loop, which a control child breaks; one that is detached or behind is given a while
// before the child looks at another.
func (c *Core) takeSource(now time.Time, source distribution.Source) {
	c.source = source
	c.outputs.Source = &source
	if c.kind == distribution.ChildControl && source.Hops > c.config.MaximumHops {
		c.failed(now, 0)
		return
	}
	behind := source.Detached || source.Floor > 0
	switch {
	case !behind:
		c.behindAt = time.Time{}
		c.behindMoves = 0
	case c.behindAt.IsZero() && len(c.parents) > 1:
		wait := c.config.StaleParentTimeout << min(c.behindMoves, maximumBehindShift)
		c.behindAt = now.Add(wait + time.Duration(c.random.Int64N(int64(wait)+1)))
		c.behindMoves++
	}
}

func (c *Core) takeContent(now time.Time, message *distribution.Message) {
	if c.kind == distribution.ChildControl {
		c.outputs.Checkpoint = message.Checkpoint
		c.outputs.Entries = message.Entries
		return
	}
	switch {
	case message.Snapshot != nil:
		c.takeSnapshot(now, message.Snapshot)
	case message.Delta != nil:
		c.takeDelta(now, message.Delta)
	case message.Version > c.newestVersion():
		c.takeVersion(now, message.Version)
	}
}

// base is the content that the parent takes this child to hold.
func (c *Core) base() *projection.Snapshot {
	if c.received != nil {
		return c.received
	}
	return c.inForce
}

func (c *Core) newestVersion() uint64 {
	if base := c.base(); base != nil {
		return base.Version
	}
	return 0
}

func (c *Core) takeSnapshot(now time.Time, snapshot *projection.Snapshot) {
	if err := snapshot.Verify(); err != nil {
		c.distrust(now, snapshot.Version, stepDigest, err)
		return
	}
	c.distrusted = false
	c.offer(now, snapshot)
}

func (c *Core) takeDelta(now time.Time, delta *projection.Delta) {
	base := c.base()
	if base == nil {
		c.distrust(now, delta.Version, stepDelta, errNoBase)
		return
	}
	next, err := base.ApplyDelta(delta)
	if err != nil {
		c.distrust(now, delta.Version, stepDelta, err)
		return
	}
	c.offer(now, next)
}

// takeVersion advances the version of unchanged content.
func (c *Core) takeVersion(now time.Time, version uint64) {
	base := c.base()
	if base == nil {
		c.distrust(now, version, stepDelta, errNoBase)
		return
	}
	c.offer(now, base.AtVersion(version))
}

// distrust handles content that is not what its parent says it is: the child
// reports it, leaves, and asks the next parent for a whole snapshot.
func (c *Core) distrust(now time.Time, version uint64, step string, cause error) {
	c.failure = &distribution.ApplyFailure{Version: version, Step: step, Reason: cause.Error()}
	c.distrusted = true
	c.failed(now, 0)
}

// offer hands out content to be applied, unless it is not above what is in
// force or is not closed.
func (c *Core) offer(now time.Time, snapshot *projection.Snapshot) {
	c.received = snapshot
	c.applyAt = time.Time{}
	if snapshot.Version <= c.version {
		return
	}
	if err := snapshot.Closed(); err != nil {
		c.fail(now, distribution.ApplyFailure{Version: snapshot.Version, Step: stepClosed, Reason: err.Error()})
		return
	}
	c.offered = snapshot
	c.outputs.Apply = snapshot
}

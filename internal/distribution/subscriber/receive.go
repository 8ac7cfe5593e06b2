package subscriber

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// The steps at which received content can fail, as reported to the parent.
const (
	stepDelta   = "delta"
	stepDigest  = "digest"
	stepClosure = "closure"
)

// maxStaleShift limits how often StaleParentTimeout doubles when one candidate
// after the other turns out to be detached or lagging.
const maxStaleShift = 1

var errNoBase = errors.New("the child holds nothing to start from")

// Received handles a message of the stream. Any message restarts the silence
// timeout.
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

// handleSource records the parent's distance to the readers and its lag. A
// control child leaves a parent beyond MaximumHops at once, since it is assumed
// to be part of a loop. A parent that is detached or lagging is left after
// StaleParentTimeout, if there is another candidate.
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

// base returns the content that the parent assumes this child to hold.
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

// handleVersion offers the unchanged content at a newer version.
func (c *Core) handleVersion(now time.Time, version uint64) {
	base := c.base()
	if base == nil {
		c.rejectContent(now, version, stepDelta, errNoBase)
		return
	}
	c.offerSnapshot(now, base.WithVersion(version))
}

// rejectContent handles content that does not match its digest, or a delta that
// does not match its base: the child records the failure, closes the stream and
// asks the next parent for a complete snapshot.
func (c *Core) rejectContent(now time.Time, version uint64, step string, cause error) {
	c.failure = &distribution.ApplyFailure{Version: version, Step: step, Reason: cause.Error()}
	c.needsSnapshot = true
	c.closeAndRetry(now, 0)
}

// offerSnapshot returns a snapshot to be applied if it is newer than the applied
// version and every reference in it resolves within the snapshot.
func (c *Core) offerSnapshot(now time.Time, snapshot *projection.Snapshot) {
	c.received = snapshot
	c.reapplyAt = time.Time{}
	if snapshot.Version <= c.version {
		return
	}
	if err := snapshot.CheckReferences(); err != nil {
		c.recordFailure(now, distribution.ApplyFailure{Version: snapshot.Version, Step: stepClosure, Reason: err.Error()})
		return
	}
	c.offered = snapshot
	c.outputs.Apply = snapshot
}

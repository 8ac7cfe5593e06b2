package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Store is the part of the store that a controller uses.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, error)
	store.Writer
}

// Status is the progress of a rollout as recorded in the store.
type Status struct {
	Service, Version string
	// Revision is the revision of the order.
	Revision uint64
	Phase    rollout.Phase
	// Deadline is the end of the rollout by the wall clock of the node that wrote it.
	Deadline time.Time
}

// Codec defines the representation of statuses in the store. The caller of New provides it.
type Codec struct {
	// StatusKey returns the key of the status of a service's rollout.
	StatusKey    func(service string) string
	EncodeStatus func(Status) ([]byte, error)
	// DecodeStatus decodes a status. One that was not written by a node has no revision.
	DecodeStatus func([]byte) (Status, error)
}

const (
	writeTimeout = 500 * time.Millisecond
	// rankDelay is the delay by which each further reader acts later on a due write,
	// urgentDelay that near the deadline. All but the first usually find the write done.
	rankDelay   = 400 * time.Millisecond
	urgentDelay = 120 * time.Millisecond
	// clockTolerance is the maximum clock skew between two nodes. A node that reads an order
	// long after it was given, as after a restart of all nodes, takes the deadline from the
	// status; a smaller difference may be clock skew.
	clockTolerance = 4 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed write.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// writeDue starts writing the phase that is due if it is this node's turn. The lock must be
// held.
func (c *Controller) writeDue(ctx context.Context, active *activeRollout, tally rollout.Tally, now time.Time) {
	c.observeWait(active, active.Waits(tally, c.options.Limits(), now))
	phase, due := active.DuePhase(tally, c.options.Limits(), now)
	if !due {
		active.dueSince = time.Time{}
		return
	}
	if active.dueSince.IsZero() || active.due != phase {
		active.due, active.dueSince = phase, now
	}
	if active.writing || now.Before(active.notBefore) || !c.isTurn(active, phase, now) {
		return
	}
	active.writing, active.notBefore = true, now.Add(minRetryDelay)
	next := active.WithRecordedPhase(phase)
	go c.write(ctx, next)
}

// observeWait logs and counts that a node cannot tell the result of a rollout because it may not
// know all versions in use. The lock must be held.
func (c *Controller) observeWait(active *activeRollout, waits bool) {
	if waits && !active.waits {
		c.metrics.waits.Inc()
		c.options.Logger.Warn("roll-out waits until the versions in use are known", zap.String("service", active.Service),
			zap.String("software", active.Version), zap.Int("known", c.options.Members.View().Count()))
	}
	active.waits = waits
}

// isTurn reports whether this node is to write the due phase: the readers act one after the
// other, each if those before it have not.
func (c *Controller) isTurn(active *activeRollout, phase rollout.Phase, now time.Time) bool {
	own := c.options.Members.Own().Node
	readers := c.options.Readers()
	names := make([]string, len(readers))
	for i, record := range readers {
		names[i] = record.Node
	}
	slices.SortFunc(names, func(a, b string) int { return compareHashes(active.Service, a, b) })
	rank := slices.Index(names, own)
	if rank < 0 {
		return false
	}
	delay := rankDelay
	if phase == rollout.Promoting || phase == rollout.Completed {
		delay = urgentDelay
	}
	return now.Sub(active.dueSince) >= time.Duration(rank)*delay
}

// write records a phase in the store. It reads the key first: the compare-and-swap on its
// revision prevents conflicting decisions of two nodes, and prevents a write whose answer was
// lost from taking effect after a later one.
func (c *Controller) write(ctx context.Context, next rollout.State) {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	storedStatus, revision, err := c.storedStatus(writeCtx, next.Service)
	if err == nil && storedStatus.Revision == next.Revision && (storedStatus.Phase.Final() || storedStatus.Phase >= next.Phase) {
		c.writeSucceeded(next.WithRecordedPhase(storedStatus.Phase), clock.FromWallTime(storedStatus.Deadline))
		return
	}
	if err == nil {
		err = c.swapStatus(writeCtx, next, revision)
	}
	if err != nil {
		c.writeFailed(next, err)
		return
	}
	c.writeSucceeded(next, time.Time{})
}

// storedStatus reads the status of a service's rollout, and returns an empty one if there is
// none.
func (c *Controller) storedStatus(ctx context.Context, service string) (Status, uint64, error) {
	item, err := c.options.Store.Get(ctx, c.options.Codec.StatusKey(service))
	if errors.Is(err, store.ErrNotFound) {
		return Status{}, 0, nil
	}
	if err != nil {
		return Status{}, 0, err
	}
	status, err := c.options.Codec.DecodeStatus(item.Value)
	if err != nil {
		c.options.Logger.Warn("status of a roll-out cannot be read, it will be replaced",
			zap.String("service", service), zap.Error(err))
	}
	return status, item.Revision, nil
}

func (c *Controller) swapStatus(ctx context.Context, next rollout.State, revision uint64) error {
	value, err := c.options.Codec.EncodeStatus(Status{
		Service: next.Service, Version: next.Version, Revision: next.Order.Revision, Phase: next.Phase, Deadline: clock.WallTime(next.Deadline),
	})
	if err != nil {
		return err
	}
	_, err = c.options.Store.CompareAndSwap(ctx, store.Swap{
		Key: c.options.Codec.StatusKey(next.Service), ExpectedRevision: revision, Value: value,
	})
	return err
}

// writeSucceeded records that the store has the phase. deadline is the one read from the store;
// zero if this node wrote the status.
func (c *Controller) writeSucceeded(state rollout.State, deadline time.Time) {
	now := clock.Now()
	c.mu.Lock()
	active := c.rollouts[state.Service]
	if active == nil || active.Revision != state.Revision {
		c.mu.Unlock()
		return
	}
	active.writing, active.failures = false, 0
	if !deadline.IsZero() && active.Deadline.Sub(deadline) > clockTolerance {
		active.Deadline = deadline
	}
	merged, changed := active.Merge(state)
	if state.Phase.Final() {
		// A final phase in the store overrides the local one.
		changed = active.Phase != state.Phase
		merged.Phase, merged.Cause, merged.Recorded = state.Phase, state.Cause, true
	}
	active.State = merged
	if changed {
		c.enterPhase(active, now)
		c.updatePlans(now)
	}
	c.mu.Unlock()
	if changed {
		c.options.Broadcast()
	}
	c.signal()
}

// writeFailed logs a failed write and delays the next one.
func (c *Controller) writeFailed(state rollout.State, err error) {
	c.options.Logger.Warn("status of a roll-out not written", zap.String("service", state.Service),
		zap.Stringer("phase", state.Phase), zap.Error(err))
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.rollouts[state.Service]
	if active == nil || active.Revision != state.Revision {
		return
	}
	active.writing = false
	active.notBefore = clock.Now().Add(min(minRetryDelay<<min(active.failures, 4), maxRetryDelay))
	active.failures++
}

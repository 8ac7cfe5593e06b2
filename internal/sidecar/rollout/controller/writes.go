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

// Store is what a controller needs of the store.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, error)
	store.Writer
}

// Status is how far a move has come, as the store has it.
type Status struct {
	Service, Version string
	// Revision is that of the order.
	Revision uint64
	Phase    rollout.Phase
	// Deadline is the end of the move by the time of day of the node that wrote it.
	Deadline time.Time
}

// Codec turns orders and statuses into what the store holds. The assembly provides it.
type Codec struct {
	// StatusKey is where the status of a service's move lies.
	StatusKey    func(service string) string
	EncodeStatus func(Status) ([]byte, error)
	// DecodeStatus reads one. A status that was not written by a node has no revision.
	DecodeStatus func([]byte) (Status, error)
}

const (
	writeTimeout = 500 * time.Millisecond
	// rankDelay is how much later each further reader acts on what is due, urgentDelay
	// where the deadline is near. All but the first mostly find the work done.
	rankDelay   = 400 * time.Millisecond
	urgentDelay = 120 * time.Millisecond
	// clockTolerance is how far the times of day of two nodes may be apart. A node that
	// has read an order long after it was given, as after a restart of all, takes the
	// deadline from the status; a smaller difference may be one of clocks.
	clockTolerance = 4 * time.Second
	// retryBase and retryMost bound the pause after a failed write.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// act begins to write the phase that is due, when it is this node's turn; the lock is
// held.
func (c *Controller) writeDue(ctx context.Context, active *activeRollout, tally rollout.Tally, now time.Time) {
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

// turn reports whether this node is to write what has been due since then: the readers
// act one after the other, each when those before have not.
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

// write brings the store to a phase of a move. The key is read first: a condition on its
// revision keeps apart what two nodes decide, and keeps a write whose answer was lost from
// taking effect after a later one.
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

// stored reads the status of a service's move, an empty one when there is none.
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

// wrote takes in that the store has the phase. deadline is the one that the store had,
// zero when this node has just written its own.
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
		// What the store has is the end, whatever this node took for it.
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

// notWritten logs a failed write and has the next one wait.
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

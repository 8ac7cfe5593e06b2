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
	retryBase = 100 * time.Millisecond
	retryMost = time.Second
)

// act begins to write the phase that is due, when it is this node's turn; the lock is
// held.
func (c *Controller) act(ctx context.Context, held *carried, tally rollout.Tally, now time.Time) {
	phase, due := held.DuePhase(tally, c.options.Limits(), now)
	if !due {
		held.dueSince = time.Time{}
		return
	}
	if held.dueSince.IsZero() || held.due != phase {
		held.due, held.dueSince = phase, now
	}
	if held.writing || now.Before(held.notBefore) || !c.turn(held, phase, now) {
		return
	}
	held.writing, held.notBefore = true, now.Add(retryBase)
	next := held.WithRecordedPhase(phase)
	go c.write(ctx, next)
}

// turn reports whether this node is to write what has been due since then: the readers
// act one after the other, each when those before have not.
func (c *Controller) turn(held *carried, phase rollout.Phase, now time.Time) bool {
	own := c.options.Members.Own().Node
	readers := c.options.Readers()
	names := make([]string, len(readers))
	for i, record := range readers {
		names[i] = record.Node
	}
	slices.SortFunc(names, func(a, b string) int { return compareHashes(held.Service, a, b) })
	rank := slices.Index(names, own)
	if rank < 0 {
		return false
	}
	delay := rankDelay
	if phase == rollout.Promoting || phase == rollout.Completed {
		delay = urgentDelay
	}
	return now.Sub(held.dueSince) >= time.Duration(rank)*delay
}

// write brings the store to a phase of a move. The key is read first: a condition on its
// revision keeps apart what two nodes decide, and keeps a write whose answer was lost from
// taking effect after a later one.
func (c *Controller) write(ctx context.Context, next rollout.State) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, revision, err := c.stored(bounded, next.Service)
	if err == nil && stored.Revision == next.Revision && (stored.Phase.Final() || stored.Phase >= next.Phase) {
		c.wrote(next.WithRecordedPhase(stored.Phase), clock.FromWallTime(stored.Deadline))
		return
	}
	if err == nil {
		err = c.swap(bounded, next, revision)
	}
	if err != nil {
		c.notWritten(next, err)
		return
	}
	c.wrote(next, time.Time{})
}

// stored reads the status of a service's move, an empty one when there is none.
func (c *Controller) stored(ctx context.Context, service string) (Status, uint64, error) {
	found, err := c.options.Store.Get(ctx, c.options.Codec.StatusKey(service))
	if errors.Is(err, store.ErrNotFound) {
		return Status{}, 0, nil
	}
	if err != nil {
		return Status{}, 0, err
	}
	status, err := c.options.Codec.DecodeStatus(found.Value)
	if err != nil {
		c.options.Logger.Warn("status of a roll-out cannot be read, it will be replaced",
			zap.String("service", service), zap.Error(err))
	}
	return status, found.Revision, nil
}

func (c *Controller) swap(ctx context.Context, next rollout.State, revision uint64) error {
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
func (c *Controller) wrote(move rollout.State, deadline time.Time) {
	now := clock.Now()
	c.mu.Lock()
	held := c.moves[move.Service]
	if held == nil || held.Revision != move.Revision {
		c.mu.Unlock()
		return
	}
	held.writing, held.failures = false, 0
	if !deadline.IsZero() && held.Deadline.Sub(deadline) > clockTolerance {
		held.Deadline = deadline
	}
	merged, news := held.Merge(move)
	if move.Phase.Final() {
		// What the store has is the end, whatever this node took for it.
		news = held.Phase != move.Phase
		merged.Phase, merged.Cause, merged.Recorded = move.Phase, move.Cause, true
	}
	held.State = merged
	if news {
		c.entered(held, now)
		c.publish(now)
	}
	c.mu.Unlock()
	if news {
		c.options.Broadcast()
	}
	c.signal()
}

// notWritten logs a failed write and has the next one wait.
func (c *Controller) notWritten(move rollout.State, err error) {
	c.options.Logger.Warn("status of a roll-out not written", zap.String("service", move.Service),
		zap.Stringer("phase", move.Phase), zap.Error(err))
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.moves[move.Service]
	if held == nil || held.Revision != move.Revision {
		return
	}
	held.writing = false
	held.notBefore = clock.Now().Add(min(retryBase<<min(held.failures, 4), retryMost))
	held.failures++
}

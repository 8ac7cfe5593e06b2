package configuration

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

const (
	// readTimeout bounds one read of the store.
	readTimeout = 2 * time.Second
	// pauseBase and pauseMost bound the wait after a failure of the store.
	pauseBase = 100 * time.Millisecond
	pauseMost = 800 * time.Millisecond
	// refusedMost bounds it for a node that has a configuration: a newer one comes
	// from its peers, and every refused call is paid for.
	refusedMost = 3 * time.Second
	// turnInterval is the time between two looks at whether it is the node's turn
	// to read.
	turnInterval = 400 * time.Millisecond
	// startInterval is that time while there is no configuration.
	startInterval = 50 * time.Millisecond
)

// Place is where the store has what operators write.
type Place struct {
	// Key is that of the configuration. Prefix begins it, and the keys of all else that
	// operators write: one watch brings everything.
	Key, Prefix string
	// Other takes in what lies under another key; nil takes nothing.
	Other func(store.KeyValue)
	// Removed takes in that another key was removed at a revision; nil takes nothing.
	Removed func(key string, revision uint64)
	// Listed takes in all that lay under other keys at a revision: what is not among it is not
	// there; nil takes nothing.
	Listed func(found []store.KeyValue, revision uint64)
}

// take offers an item to whom it concerns. One that sets off a panic is left out, as one
// that cannot be read is: the error is in the log. It reports whether the item is not a
// configuration that was left out.
func (p *Place) take(item store.KeyValue, keeper *Keeper, source Source) bool {
	switch {
	case item.Key == p.Key:
		err := keeper.Offer(item.Value, source)
		return err == nil || errors.Is(err, ErrNotNewer)
	case p.Other != nil:
		_ = contain.Run("order", keeper.logger, func() { p.Other(item) })
	}
	return true
}

// takeRemoved passes on that a key was removed. The configuration is never without a version.
func (p *Place) takeRemoved(key string, revision uint64, keeper *Keeper) {
	if key != p.Key && p.Removed != nil {
		_ = contain.Run("removed order", keeper.logger, func() { p.Removed(key, revision) })
	}
}

// takeList passes on what a read of the whole place has found.
func (p *Place) takeList(found []store.KeyValue, revision uint64, keeper *Keeper) {
	if p.Listed != nil {
		_ = contain.Run("orders", keeper.logger, func() { p.Listed(found, revision) })
	}
}

// Follow keeps the keeper at what the store has under the key until the context
// ends. After every end of a watch the place is read anew: what was missed
// meanwhile must not stay unheard. While reads returns false the store is left
// alone.
func Follow(ctx context.Context, reader store.Reader, place Place, keeper *Keeper, reads func() bool, logger *zap.Logger) {
	backoff := pause.Backoff{Base: pauseBase, Max: pauseMost}
	healthy := true
	reading := true
	for ctx.Err() == nil {
		if turn := reads(); turn != reading {
			reading = turn
			logger.Info("turn to read the store", zap.Bool("reads", reading), zap.Uint64("inForce", keeper.Version()))
		}
		if !reading {
			pause.Wait(ctx, interval(keeper))
			continue
		}
		turn, end := whileReading(ctx, reads)
		var since time.Time // when the store answered, zero before
		answered := func() {
			if !healthy {
				logger.Info("store regained", zap.String("key", place.Key), zap.Uint64("inForce", keeper.Version()))
			}
			healthy = true
			since = clock.Now()
		}
		err := followOnce(turn, reader, &place, keeper, answered)
		ended := turn.Err() != nil
		end()
		if ctx.Err() != nil {
			return
		}
		if ended {
			continue
		}
		if err == nil || errors.Is(err, store.ErrCompacted) {
			answered()
			backoff.Reset()
			pause.Wait(ctx, pauseBase/2)
			continue
		}
		if healthy {
			logger.Warn("store lost", zap.String("key", place.Key), zap.Uint64("inForce", keeper.Version()), zap.Error(err))
		}
		healthy = false
		if !since.IsZero() && clock.Since(since) >= refusedMost {
			backoff.Reset()
		}
		if backoff.Max = pauseMost; keeper.Version() > 0 {
			backoff.Max = refusedMost
		}
		backoff.Pause(ctx)
	}
}

// interval is the time until the next look at whether it is the node's turn.
func interval(keeper *Keeper) time.Duration {
	if keeper.Version() == 0 {
		return startInterval
	}
	return turnInterval
}

// whileReading returns a context that ends when the node's turn to read does.
func whileReading(ctx context.Context, reads func() bool) (context.Context, context.CancelFunc) {
	turn, end := context.WithCancel(ctx)
	go func() {
		for turn.Err() == nil {
			pause.Wait(turn, turnInterval)
			if !reads() {
				end()
			}
		}
	}()
	return turn, end
}

// followOnce reads the place, then watches it until the watch ends; answered is called once the
// store has answered the read. A nil error means that the watch ended in order.
func followOnce(ctx context.Context, reader store.Reader, place *Place, keeper *Keeper, answered func()) error {
	after, err := readOnce(ctx, reader, place, keeper)
	if err != nil {
		return err
	}
	answered()
	watch, err := reader.Watch(ctx, place.Prefix, after)
	if err != nil {
		return err
	}
	defer watch.Close()
	taken := true
	for event := range watch.Events() {
		switch {
		case event.Key == "":
		case event.Deleted:
			place.takeRemoved(event.Key, event.Revision, keeper)
		default:
			taken = place.take(event.KeyValue, keeper, SourceWatch) && taken
		}
		if !event.Current.IsZero() && taken {
			keeper.Proven(keeper.Version(), event.Current)
		}
	}
	return watch.Err()
}

// itemsMost is how many items under the place one read asks for: the configuration and
// what concerns single services.
const itemsMost = 1000

// readOnce takes in what lies at the place now and returns the revision after
// which nothing is missed: that of the store, not that of a key, which may be
// older than the history that a watch can begin in. What concerns single services comes
// before the configuration: a node that serves knows all orders given before.
func readOnce(ctx context.Context, reader store.Reader, place *Place, keeper *Keeper) (after uint64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := clock.Now()
	found, after, err := reader.Range(bounded, place.Prefix, place.Prefix, itemsMost)
	if err != nil {
		return 0, err
	}
	isConfiguration := func(item store.KeyValue) bool { return item.Key == place.Key }
	for _, item := range found {
		if !isConfiguration(item) {
			place.take(item, keeper, SourceRead)
		}
	}
	if len(found) < itemsMost {
		place.takeList(found, after, keeper)
	}
	if index := slices.IndexFunc(found, isConfiguration); index >= 0 && place.take(found[index], keeper, SourceRead) {
		keeper.Proven(keeper.Version(), asked)
	}
	return after, nil
}

// Refresh takes in what the store has at the place now.
func Refresh(ctx context.Context, reader store.Reader, place Place, keeper *Keeper) error {
	_, err := readOnce(ctx, reader, &place, keeper)
	return err
}

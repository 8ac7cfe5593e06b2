package configuration

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

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

// Reader is what a follower needs of the store.
type Reader interface {
	store.Reader
	// GetAt is Get, with the store's revision at that moment.
	GetAt(ctx context.Context, key string) (found store.KeyValue, at uint64, err error)
}

// Follow keeps the keeper at what the store has under the key until the context
// ends. After every end of a watch the key is read anew: what was missed
// meanwhile must not stay unheard. While reads returns false the store is left
// alone.
func Follow(ctx context.Context, reader Reader, key string, keeper *Keeper, reads func() bool, logger *zap.Logger) {
	backoff := pause.Backoff{Base: pauseBase, Most: pauseMost}
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
		err := followOnce(turn, reader, key, keeper)
		ended := turn.Err() != nil
		end()
		if ctx.Err() != nil {
			return
		}
		if ended {
			continue
		}
		if err == nil || errors.Is(err, store.ErrCompacted) {
			if !healthy {
				logger.Info("store regained", zap.String("key", key))
			}
			healthy = true
			backoff.Succeeded()
			pause.Wait(ctx, pauseBase/2)
			continue
		}
		if healthy {
			logger.Warn("store lost", zap.String("key", key), zap.Error(err))
		}
		healthy = false
		if backoff.Most = pauseMost; keeper.Version() > 0 {
			backoff.Most = refusedMost
		}
		backoff.Failed(ctx)
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

// followOnce reads the key, then watches it until the watch ends. A nil error
// means that the store had answered.
func followOnce(ctx context.Context, reader Reader, key string, keeper *Keeper) error {
	after, err := readOnce(ctx, reader, key, keeper)
	if err != nil {
		return err
	}
	watch, err := reader.Watch(ctx, key, after)
	if err != nil {
		return err
	}
	defer watch.Close()
	for event := range watch.Events() {
		if event.Key == key && !event.Deleted {
			_ = keeper.Offer(event.Value, SourceWatch)
		}
	}
	return watch.Err()
}

// readOnce offers what is under the key now and returns the revision after
// which nothing is missed: that of the store, not that of the key, which may be
// older than the history that a watch can begin in.
func readOnce(ctx context.Context, reader Reader, key string, keeper *Keeper) (after uint64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if keeper.Version() == 0 {
		return readFirst(bounded, reader, key, keeper)
	}
	found, after, err := reader.GetAt(bounded, key)
	if err != nil {
		return 0, err
	}
	_ = keeper.Offer(found.Value, SourceRead)
	return after, nil
}

// readFirst is readOnce for a key that may be absent: only a read of a range tells
// the store's revision then.
func readFirst(ctx context.Context, reader Reader, key string, keeper *Keeper) (after uint64, err error) {
	found, after, err := reader.Range(ctx, key, key, 1)
	if err != nil {
		return 0, err
	}
	if len(found) > 0 && found[0].Key == key {
		_ = keeper.Offer(found[0].Value, SourceRead)
	}
	return after, nil
}

// Refresh offers the keeper what the store has under the key now.
func Refresh(ctx context.Context, reader Reader, key string, keeper *Keeper) error {
	_, err := readOnce(ctx, reader, key, keeper)
	return err
}

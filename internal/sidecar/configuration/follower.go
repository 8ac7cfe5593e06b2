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
	// minPause and pauseMost bound the wait after a failure of the store.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// maxPauseInForce bounds it for a node that has a configuration: a newer one comes
	// from its peers, and every refused call is paid for.
	maxPauseInForce = 3 * time.Second
	// readerCheckInterval is the time between two looks at whether it is the node's turn
	// to read.
	readerCheckInterval = 400 * time.Millisecond
	// startupCheckInterval is that time while there is no configuration.
	startupCheckInterval = 50 * time.Millisecond
)

// Keyspace is where the store has what operators write.
type Keyspace struct {
	// Key is that of the configuration. Prefix begins it, and the keys of all else that
	// operators write: one watch brings everything.
	Key, Prefix string
	// OnOther takes in what lies under another key; nil takes nothing.
	OnOther func(store.KeyValue)
	// OnRemoved takes in that another key was removed at a revision; nil takes nothing.
	OnRemoved func(key string, revision uint64)
	// OnListed takes in all that lay under other keys at a revision: what is not among it is not
	// there; nil takes nothing.
	OnListed func(found []store.KeyValue, revision uint64)
}

// deliver offers an item to whom it concerns. One that sets off a panic is left out, as one
// that cannot be read is: the error is in the log. It reports whether the item is not a
// configuration that was left out.
func (k *Keyspace) deliver(item store.KeyValue, keeper *Keeper, source Source) bool {
	switch {
	case item.Key == k.Key:
		err := keeper.Offer(item.Value, source)
		return err == nil || errors.Is(err, ErrNotNewer)
	case k.OnOther != nil:
		_ = contain.Run("order", keeper.logger, func() { k.OnOther(item) })
	}
	return true
}

// deliverRemoved passes on that a key was removed. The configuration is never without a version.
func (k *Keyspace) deliverRemoved(key string, revision uint64, keeper *Keeper) {
	if key != k.Key && k.OnRemoved != nil {
		_ = contain.Run("removed order", keeper.logger, func() { k.OnRemoved(key, revision) })
	}
}

// deliverList passes on what a read of the whole place has found.
func (k *Keyspace) deliverList(found []store.KeyValue, revision uint64, keeper *Keeper) {
	if k.OnListed != nil {
		_ = contain.Run("orders", keeper.logger, func() { k.OnListed(found, revision) })
	}
}

// Follow keeps the keeper at what the store has under the key until the context
// ends. After every end of a watch the place is read anew: what was missed
// meanwhile must not stay unheard. While reads returns false the store is left
// alone.
func Follow(ctx context.Context, reader store.Reader, keys Keyspace, keeper *Keeper, isReader func() bool, logger *zap.Logger) {
	backoff := pause.Backoff{Base: minPause, Most: maxPause}
	healthy := true
	wasReader := true
	for ctx.Err() == nil {
		if turn := isReader(); turn != wasReader {
			wasReader = turn
			logger.Info("turn to read the store", zap.Bool("reads", wasReader), zap.Uint64("inForce", keeper.Version()))
		}
		if !wasReader {
			pause.Wait(ctx, checkInterval(keeper))
			continue
		}
		turn, end := whileReader(ctx, isReader)
		var since time.Time // when the store answered, zero before
		answered := func() {
			if !healthy {
				logger.Info("store regained", zap.String("key", keys.Key), zap.Uint64("inForce", keeper.Version()))
			}
			healthy = true
			since = clock.Now()
		}
		err := followOnce(turn, reader, &keys, keeper, answered)
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
			backoff.Succeeded()
			pause.Wait(ctx, minPause/2)
			continue
		}
		if healthy {
			logger.Warn("store lost", zap.String("key", keys.Key), zap.Uint64("inForce", keeper.Version()), zap.Error(err))
		}
		healthy = false
		if !since.IsZero() && clock.Since(since) >= maxPauseInForce {
			backoff.Succeeded()
		}
		if backoff.Most = maxPause; keeper.Version() > 0 {
			backoff.Most = maxPauseInForce
		}
		backoff.Failed(ctx)
	}
}

// checkInterval is the time until the next look at whether it is the node's turn.
func checkInterval(keeper *Keeper) time.Duration {
	if keeper.Version() == 0 {
		return startupCheckInterval
	}
	return readerCheckInterval
}

// whileReader returns a context that ends when the node's turn to read does.
func whileReader(ctx context.Context, isReader func() bool) (context.Context, context.CancelFunc) {
	turn, end := context.WithCancel(ctx)
	go func() {
		for turn.Err() == nil {
			pause.Wait(turn, readerCheckInterval)
			if !isReader() {
				end()
			}
		}
	}()
	return turn, end
}

// followOnce reads the place, then watches it until the watch ends; answered is called once the
// store has answered the read. A nil error means that the watch ended in order.
func followOnce(ctx context.Context, reader store.Reader, keys *Keyspace, keeper *Keeper, answered func()) error {
	after, err := readAll(ctx, reader, keys, keeper)
	if err != nil {
		return err
	}
	answered()
	watch, err := reader.Watch(ctx, keys.Prefix, after)
	if err != nil {
		return err
	}
	defer watch.Close()
	taken := true
	for event := range watch.Events() {
		switch {
		case event.Key == "":
		case event.Deleted:
			keys.deliverRemoved(event.Key, event.Revision, keeper)
		default:
			taken = keys.deliver(event.KeyValue, keeper, SourceWatch) && taken
		}
		if !event.Current.IsZero() && taken {
			keeper.RecordProof(keeper.Version(), event.Current)
		}
	}
	return watch.Err()
}

// maxItems is how many items under the place one read asks for: the configuration and
// what concerns single services.
const maxItems = 1000

// readAll takes in what lies at the place now and returns the revision after
// which nothing is missed: that of the store, not that of a key, which may be
// older than the history that a watch can begin in. What concerns single services comes
// before the configuration: a node that serves knows all orders given before.
func readAll(ctx context.Context, reader store.Reader, keys *Keyspace, keeper *Keeper) (after uint64, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := clock.Now()
	found, after, err := reader.Range(bounded, keys.Prefix, keys.Prefix, maxItems)
	if err != nil {
		return 0, err
	}
	isConfiguration := func(item store.KeyValue) bool { return item.Key == keys.Key }
	for _, item := range found {
		if !isConfiguration(item) {
			keys.deliver(item, keeper, SourceRead)
		}
	}
	if len(found) < maxItems {
		keys.deliverList(found, after, keeper)
	}
	if index := slices.IndexFunc(found, isConfiguration); index >= 0 && keys.deliver(found[index], keeper, SourceRead) {
		keeper.RecordProof(keeper.Version(), asked)
	}
	return after, nil
}

// Refresh takes in what the store has at the place now.
func Refresh(ctx context.Context, reader store.Reader, keys Keyspace, keeper *Keeper) error {
	_, err := readAll(ctx, reader, &keys, keeper)
	return err
}

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
	// minPause and maxPause bound the pause after a failure of the store.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// maxPauseInForce is the longest pause of a node that has a configuration: it gets
	// newer ones from its peers, and refused calls are billed too.
	maxPauseInForce = 3 * time.Second
	// readerCheckInterval is the time between two checks whether the node is a reader.
	readerCheckInterval = 400 * time.Millisecond
	// startupCheckInterval is that interval while the node has no configuration.
	startupCheckInterval = 50 * time.Millisecond
)

// Keyspace names the keys under which the store holds what operators write, and the callbacks
// for those other than the configuration.
type Keyspace struct {
	// Key is the key of the configuration. Prefix is common to it and to all other keys that
	// operators write, so that one watch covers everything.
	Key, Prefix string
	// OnOther is called with each item under another key; it may be nil.
	OnOther func(store.KeyValue)
	// OnRemoved is called when another key was removed at a revision; it may be nil.
	OnRemoved func(key string, revision uint64)
	// OnListed is called with all items under the prefix at a revision, so that items missing from
	// them are known to be absent; it may be nil.
	OnListed func(found []store.KeyValue, revision uint64)
}

// deliver passes an item to the keeper or to OnOther. An item that causes a panic is skipped, as
// one that cannot be decoded is; the error is logged. It returns false only when the item is
// a configuration that was refused.
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

// deliverRemoved reports a removed key to OnRemoved. Removal of the configuration is ignored: a version
// stays in force until a newer one replaces it.
func (k *Keyspace) deliverRemoved(key string, revision uint64, keeper *Keeper) {
	if key != k.Key && k.OnRemoved != nil {
		_ = contain.Run("removed order", keeper.logger, func() { k.OnRemoved(key, revision) })
	}
}

// deliverList passes the result of a complete read to OnListed.
func (k *Keyspace) deliverList(found []store.KeyValue, revision uint64, keeper *Keeper) {
	if k.OnListed != nil {
		_ = contain.Run("orders", keeper.logger, func() { k.OnListed(found, revision) })
	}
}

// Follow keeps the keeper up to date with the store until the context ends. After
// every end of a watch all keys are read again, so that changes missed in between
// take effect. While isReader returns false the store is not accessed.
func Follow(ctx context.Context, reader store.Reader, keys Keyspace, keeper *Keeper, isReader func() bool, logger *zap.Logger) {
	backoff := pause.Backoff{Base: minPause, Max: maxPause}
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
		var since time.Time // when the store answered, zero until then
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
			backoff.Reset()
			pause.Wait(ctx, minPause/2)
			continue
		}
		if healthy {
			logger.Warn("store lost", zap.String("key", keys.Key), zap.Uint64("inForce", keeper.Version()), zap.Error(err))
		}
		healthy = false
		if !since.IsZero() && clock.Since(since) >= maxPauseInForce {
			backoff.Reset()
		}
		if backoff.Max = maxPause; keeper.Version() > 0 {
			backoff.Max = maxPauseInForce
		}
		backoff.Pause(ctx)
	}
}

// checkInterval returns the time until the next check whether the node is a reader.
func checkInterval(keeper *Keeper) time.Duration {
	if keeper.Version() == 0 {
		return startupCheckInterval
	}
	return readerCheckInterval
}

// whileReader returns a context that ends when the node is no longer a reader.
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

// followOnce reads all keys, then watches them until the watch ends; answered is called once the
// store has answered the read. A nil error means that the watch ended normally.
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
	accepted := true
	for event := range watch.Events() {
		switch {
		case event.Key == "":
		case event.Deleted:
			keys.deliverRemoved(event.Key, event.Revision, keeper)
		default:
			accepted = keys.deliver(event.KeyValue, keeper, SourceWatch) && accepted
		}
		if !event.Current.IsZero() && accepted {
			keeper.RecordProof(keeper.Version(), event.Current)
		}
	}
	return watch.Err()
}

// maxItems is the most items that one read requests: the configuration and the orders for
// single services.
const maxItems = 1000

// readAll reads and delivers all keys, and returns the revision after which a watch
// misses nothing: that of the store, since the revision of a key may be older than the
// history from which a watch can start. Orders for single services are delivered before
// the configuration: a node that serves knows all orders given before. A list that
// reaches maxItems may be incomplete and is not passed to OnListed.
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

// Refresh reads all keys once and delivers them.
func Refresh(ctx context.Context, reader store.Reader, keys Keyspace, keeper *Keeper) error {
	_, err := readAll(ctx, reader, &keys, keeper)
	return err
}

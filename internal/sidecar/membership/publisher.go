package membership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// publisher maintains the node's own key. All methods but withdraw, scheduleRecheck and signal are
// called by one goroutine.
type publisher struct {
	store   Store
	members *roster.Roster
	logger  *zap.Logger
	wake    chan struct{}
	// written is closed once the stored record is up to date.
	written     chan struct{}
	writtenOnce sync.Once
	// revisionKnown means that revision and stored reflect the own key.
	revisionKnown bool
	// recheck means that the key must be read again, since the store may have lost it.
	recheck atomic.Bool
	// revision is the revision of the own key, zero if it is absent or unknown.
	revision atomic.Uint64
	stored   roster.Record
	// withdrawn means that the key must not be written any more.
	withdrawn atomic.Bool
}

func newPublisher(options *Options) *publisher {
	created := &publisher{
		store: options.Store, members: options.Members, logger: options.Logger, revisionKnown: options.FirstStart,
		wake: make(chan struct{}, 1), written: make(chan struct{}),
	}
	options.Members.Observe(func(changed []*roster.Record) {
		for _, record := range changed {
			if record.Node == created.members.Own().Node {
				created.signal()
			}
		}
	})
	return created
}

// recheckTimePerNode is the time, per known node, over which the nodes spread their checks after
// the store was restored from a copy: 500 nodes a second, each with a read and a write.
const recheckTimePerNode = 2 * time.Millisecond

// scheduleRecheck has the key read, and written again if it is missing or outdated, after a random
// delay, as all nodes learn of the restore at once.
func (p *publisher) scheduleRecheck() {
	p.recheck.Store(true)
	time.AfterFunc(rand.N(time.Duration(p.members.View().Count()+1)*recheckTimePerNode), p.signal)
}

func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run updates the key now and after each change, until the context is done.
func (p *publisher) run(ctx context.Context) {
	backoff := pause.Backoff{Base: retryBase, Max: maxRetryDelay}
	for ctx.Err() == nil {
		if err := p.publish(ctx); err != nil {
			backoff.Pause(ctx)
			continue
		}
		backoff.Reset()
		p.writtenOnce.Do(func() { close(p.written) })
		select {
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

// loaded sets the state of the own key from a read, nil if it is absent.
func (p *publisher) loaded(item *store.KeyValue) {
	p.revisionKnown, p.stored = true, roster.Record{}
	if item == nil {
		p.revision.Store(0)
		return
	}
	p.revision.Store(item.Revision)
	record, err := readRecord(*item)
	if err != nil {
		p.logger.Warn("own key does not hold a record of this node, replacing it", zap.Error(err))
		return
	}
	p.stored = *record
}

// loadedSnapshot sets the own record in the snapshot, nil if it has none. Without an own key, this
// is the stored record.
func (p *publisher) loadedSnapshot(record *roster.Record) {
	if record != nil && p.stored.Node == "" {
		p.stored = *record
	}
}

// outdated reports whether the stored record must be replaced: others cannot reach the node by it,
// or it does not say whether the back end is draining or which requests are quarantined, which must
// survive a simultaneous failure of all nodes. All other state is exchanged between the nodes and,
// after a restart, reported by the back end's next heartbeat. The epoch need not be up to date: a
// node raises its own above the one that it finds, and runs that reach the same epoch differ in
// their run id.
func outdated(stored, own *roster.Record) bool {
	if stored.Node != own.Node || stored.Address != own.Address || stored.PeerAddress != own.PeerAddress ||
		stored.Zone != own.Zone || stored.Link != own.Link || !own.Evidence.SameQuarantined(stored.Evidence) {
		return true
	}
	storedEndpoint, ownEndpoint := stored.Endpoint, own.Endpoint
	switch {
	case ownEndpoint == nil || storedEndpoint == nil:
		return ownEndpoint != storedEndpoint
	}
	return storedEndpoint.Service != ownEndpoint.Service || (storedEndpoint.State == roster.Ready) != (ownEndpoint.State == roster.Ready)
}

// publish updates the own key. After an unknown outcome the key is read first; writes are
// conditional on its revision, so that a delayed write cannot undo a later one.
func (p *publisher) publish(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p.recheck.Swap(false) {
		p.revisionKnown = false
	}
	if !p.revisionKnown {
		if err := p.read(callCtx); err != nil {
			return err
		}
	}
	own := *p.members.Own()
	if p.withdrawn.Load() || !outdated(&p.stored, &own) {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	revision, err := p.store.CompareAndSwap(callCtx, store.Swap{
		Key: KeyPrefix + own.Node, ExpectedRevision: p.revision.Load(), Value: value,
	})
	if err != nil {
		p.revisionKnown = errors.Is(err, store.ErrRateLimited) || errors.Is(err, store.ErrUnavailable)
		p.logger.Warn("record not stored", zap.Uint64("counter", own.Counter), zap.Error(err))
		return err
	}
	p.revision.Store(revision)
	p.stored = own
	return nil
}

// read loads the own key's revision and merges the record that a previous run left there.
func (p *publisher) read(ctx context.Context) error {
	loaded, err := p.store.Get(ctx, KeyPrefix+p.members.Own().Node)
	if errors.Is(err, store.ErrNotFound) {
		p.loaded(nil)
		return nil
	}
	if err != nil {
		return err
	}
	p.loaded(&loaded)
	if p.stored.Node != "" {
		previous := p.stored
		p.members.Merge([]*roster.Record{&previous})
	}
	return nil
}

// withdraw removes the own key, without a read if its revision is known and current.
func (p *publisher) withdraw(ctx context.Context) error {
	p.withdrawn.Store(true)
	own := KeyPrefix + p.members.Own().Node
	if revision := p.revision.Load(); revision > 0 {
		_, err := p.store.CompareAndSwap(ctx, store.Swap{Key: own, ExpectedRevision: revision, Delete: true})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	found, err := p.store.Get(ctx, own)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, store.Swap{Key: found.Key, ExpectedRevision: found.Revision, Delete: true})
	return err
}

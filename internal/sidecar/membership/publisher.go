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

// publisher keeps the node's own key. All but withdraw is used by one goroutine.
type publisher struct {
	store   Store
	members *roster.Roster
	logger  *zap.Logger
	wake    chan struct{}
	// written is closed once the key holds what the others need.
	written chan struct{}
	once    sync.Once
	// known: revision and stored are those of the own key.
	known bool
	// lost: the key is to be read again, since the store may have lost it.
	lost atomic.Bool
	// revision is that of the own key, zero when it is absent or not known.
	revision atomic.Uint64
	stored   roster.Record
	// withdrawn: the key is to be absent from now on.
	withdrawn atomic.Bool
}

func newPublisher(options *Options) *publisher {
	created := &publisher{
		store: options.Store, members: options.Members, logger: options.Logger, known: options.FirstStart,
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

// restoredPerNode is the time over which nodes look after their keys when the store has come back
// from a copy, for each of them: 500 nodes a second, each with a read and a write.
const restoredPerNode = 2 * time.Millisecond

// restored has the key read, and written again when it is gone or old, in the node's own time: all
// nodes hear of it at once.
func (p *publisher) restored() {
	p.lost.Store(true)
	time.AfterFunc(rand.N(time.Duration(p.members.View().Count()+1)*restoredPerNode), p.signal)
}

func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run brings the key up to date now and after each change, until the context ends.
func (p *publisher) run(ctx context.Context) {
	backoff := pause.Backoff{Base: pauseBase, Max: pauseMost}
	for ctx.Err() == nil {
		if err := p.publish(ctx); err != nil {
			backoff.Pause(ctx)
			continue
		}
		backoff.Reset()
		p.once.Do(func() { close(p.written) })
		select {
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

// found takes in the own key from a read of all, nil when it is absent.
func (p *publisher) found(item *store.KeyValue) {
	p.known, p.stored = true, roster.Record{}
	if item == nil {
		p.revision.Store(0)
		return
	}
	p.revision.Store(item.Revision)
	record, err := readRecord(*item)
	if err != nil {
		p.logger.Warn("the own key holds no record of this node, it will be replaced", zap.Error(err))
		return
	}
	p.stored = *record
}

// remembered takes in the own record of the snapshot, nil when it has none: where there is no own
// key, it is what the store has.
func (p *publisher) remembered(record *roster.Record) {
	if record != nil && p.stored.Node == "" {
		p.stored = *record
	}
}

// outdated reports whether the stored record does not lead others to the node any
// more, or does not say whether its back end is leaving or which requests are held back:
// that has to outlive an end of all nodes at once. All else is told between
// the nodes, and after a restart by the back end's next heartbeat. The epoch need
// not be stored: a node goes above the one that it finds, by an amount that no two
// lives share.
func outdated(stored, own *roster.Record) bool {
	if stored.Node != own.Node || stored.Address != own.Address || stored.PeerAddress != own.PeerAddress ||
		stored.Zone != own.Zone || stored.Link != own.Link || !own.Evidence.HoldsSame(stored.Evidence) {
		return true
	}
	held, now := stored.Endpoint, own.Endpoint
	switch {
	case now == nil:
		return false
	case held == nil:
		return true
	}
	return held.Service != now.Service || (held.State == roster.Ready) != (now.State == roster.Ready)
}

// publish brings the own key up to date. After an unknown outcome the key is read
// first: a condition on its revision keeps a late write from undoing a later one.
func (p *publisher) publish(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p.lost.Swap(false) {
		p.known = false
	}
	if !p.known {
		if err := p.read(bounded); err != nil {
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
	revision, err := p.store.CompareAndSwap(bounded, store.Swap{
		Key: KeyPrefix + own.Node, ExpectedRevision: p.revision.Load(), Value: value,
	})
	if err != nil {
		p.known = errors.Is(err, store.ErrRateLimited) || errors.Is(err, store.ErrUnavailable)
		p.logger.Warn("record not stored", zap.Uint64("counter", own.Counter), zap.Error(err))
		return err
	}
	p.revision.Store(revision)
	p.stored = own
	return nil
}

// read learns the own key's revision and what an earlier life left there.
func (p *publisher) read(ctx context.Context) error {
	found, err := p.store.Get(ctx, KeyPrefix+p.members.Own().Node)
	if errors.Is(err, store.ErrNotFound) {
		p.found(nil)
		return nil
	}
	if err != nil {
		return err
	}
	p.found(&found)
	if p.stored.Node != "" {
		remembered := p.stored
		p.members.Merge([]*roster.Record{&remembered})
	}
	return nil
}

// withdraw removes the own key. Its revision is mostly known.
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

package membership

import (
	"context"
	"encoding/json"
	"errors"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Publisher writes the node's own record.
type Publisher struct {
	store   Store
	members *roster.Roster
	logger  *zap.Logger
	wake    chan struct{}
	// revision is that of the own key, as far as known.
	revision uint64
	known    bool
	stored   roster.Record
}

// NewPublisher returns a publisher that Run starts.
func NewPublisher(target Store, members *roster.Roster, logger *zap.Logger) *Publisher {
	created := &Publisher{store: target, members: members, logger: logger, wake: make(chan struct{}, 1)}
	members.Observe(func(changed []*roster.Record) {
		for _, record := range changed {
			if record.Node == members.Own().Node {
				created.signal()
			}
		}
	})
	return created
}

func (p *Publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run writes the record now and after each change, until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	backoff := pause.Backoff{Base: pauseBase, Most: pauseMost}
	for ctx.Err() == nil {
		if err := p.publish(ctx); err != nil {
			backoff.Failed(ctx)
			continue
		}
		backoff.Succeeded()
		select {
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

// publish brings the own key to the own record. After an unknown outcome the
// key is read first: a condition on its revision keeps a late write from
// undoing a later one.
func (p *Publisher) publish(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !p.known {
		if err := p.read(bounded); err != nil {
			return err
		}
	}
	own := *p.members.Own()
	if own.Epoch == p.stored.Epoch && own.Counter == p.stored.Counter {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	revision, err := p.store.CompareAndSwap(bounded, store.Swap{
		Key: KeyPrefix + own.Node, ExpectedRevision: p.revision, Value: value,
	})
	if err != nil {
		p.known = errors.Is(err, store.ErrRateLimited) || errors.Is(err, store.ErrUnavailable)
		p.logger.Warn("record not stored", zap.Uint64("counter", own.Counter), zap.Error(err))
		return err
	}
	p.revision, p.stored = revision, own
	return nil
}

// read learns the own key's revision and what an earlier life left there.
func (p *Publisher) read(ctx context.Context) error {
	own := p.members.Own()
	found, err := p.store.Get(ctx, KeyPrefix+own.Node)
	if errors.Is(err, store.ErrNotFound) {
		p.known, p.revision, p.stored = true, 0, roster.Record{}
		return nil
	}
	if err != nil {
		return err
	}
	p.known, p.revision, p.stored = true, found.Revision, roster.Record{}
	record := &roster.Record{}
	if json.Unmarshal(found.Value, record) == nil && record.Node == own.Node {
		p.stored = *record
		p.members.Merge([]*roster.Record{record})
	}
	return nil
}

// Withdraw removes the own key: the node and its back end do not come back.
func (p *Publisher) Withdraw(ctx context.Context) error {
	found, err := p.store.Get(ctx, KeyPrefix+p.members.Own().Node)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, store.Swap{Key: found.Key, ExpectedRevision: found.Revision, Delete: true})
	return err
}

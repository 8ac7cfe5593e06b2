// Package membership lets nodes find each other through the store: each node
// writes one key with its own record and reads the keys of all others. The keys
// bear no lease: that the store is silent says nothing about a node.
package membership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// KeyPrefix is the prefix of the nodes' keys in the store.
const KeyPrefix = "kestrel/nodes/"

const (
	callTimeout = 2 * time.Second
	pauseBase   = 100 * time.Millisecond
	pauseMost   = 1500 * time.Millisecond
	// pageKeys is how many keys one read asks for.
	pageKeys = 500
)

// rangeFunction reads one page of keys.
type rangeFunction func(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)

// settling are the times between the first reads: nodes that start together
// write their keys while the others read. Later reads may be seconds old; a
// change travels between the nodes themselves.
var settling = []time.Duration{time.Second, 3 * time.Second}

const settledInterval = 20 * time.Second

// Follow reads the records of all nodes from the store until the context ends.
// joined is called after each read that succeeded while settling.
func Follow(ctx context.Context, reader Store, members *roster.Roster, joined func(), logger *zap.Logger) {
	pause := pauseBase
	for reads := 0; ctx.Err() == nil; {
		read := reader.RangeStale
		if reads <= len(settling) {
			read = reader.Range
		}
		if err := readAll(ctx, read, members, logger); err != nil {
			wait(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		pause = pauseBase
		interval := settledInterval
		if reads < len(settling) {
			interval = settling[reads]
			joined()
		}
		reads++
		wait(ctx, interval)
	}
}

// readAll takes in every key.
func readAll(ctx context.Context, read rangeFunction, members *roster.Roster, logger *zap.Logger) error {
	from := KeyPrefix
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		found, _, err := read(bounded, KeyPrefix, from, pageKeys)
		cancel()
		if err != nil {
			return err
		}
		for _, item := range found {
			take(members, item, logger)
		}
		if len(found) < pageKeys {
			return nil
		}
		from = found[len(found)-1].Key + "\x00"
	}
}

// take merges one item. What is not a record of ours is left alone.
func take(members *roster.Roster, item store.KeyValue, logger *zap.Logger) {
	record := &roster.Record{}
	if err := json.Unmarshal(item.Value, record); err != nil || KeyPrefix+record.Node != item.Key {
		logger.Warn("item of the store is no node's record", zap.String("key", item.Key), zap.Error(err))
		return
	}
	members.Merge([]*roster.Record{record})
}

// Store is what a publisher needs of the store.
type Store interface {
	store.Reader
	store.Writer
	// RangeStale is Range, but what it returns may be seconds old.
	RangeStale(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)
}

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
	pause := pauseBase
	for ctx.Err() == nil {
		err := p.publish(ctx)
		if err != nil {
			wait(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		pause = pauseBase
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

// wait pauses for half to all of the duration.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration/2 + rand.N(duration/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

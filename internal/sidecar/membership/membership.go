// Package membership lets nodes find each other through the store: each node
// writes one key with its own record and reads the keys of all others. The keys
// bear no lease: that the store is silent says nothing about a node.
package membership

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
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
// joined is called after each read that succeeded while settling. While reads
// returns false a node that has read once leaves the store alone: it is kept
// level by its peers.
func Follow(ctx context.Context, reader Store, members *roster.Roster, joined func(), reads func() bool, logger *zap.Logger) {
	backoff := pause.Backoff{Base: pauseBase, Most: pauseMost}
	for rounds := 0; ctx.Err() == nil; {
		read := reader.RangeStale
		if rounds <= len(settling) {
			read = reader.Range
		}
		if rounds == 0 || reads() {
			if err := readAll(ctx, read, members, logger); err != nil {
				backoff.Failed(ctx)
				continue
			}
			backoff.Succeeded()
		}
		interval := settledInterval
		if rounds < len(settling) {
			interval = settling[rounds]
			joined()
		}
		rounds++
		pause.Wait(ctx, interval)
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

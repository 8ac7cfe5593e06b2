package membership

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

const (
	// SnapshotKey holds the records of all nodes as one of them knew them. It sorts before the
	// nodes' keys, which are newer than the snapshot, so that one read returns both in that order.
	SnapshotKey = "kestrel/members"
	// readPrefix is the common prefix of the snapshot's key and the nodes' keys.
	readPrefix = "kestrel/"
)

const (
	// compactionThreshold is the number of nodes' keys from which on a snapshot is worth its calls.
	// 984 keys take 0.4 MB and two calls for each node that starts: 0.39 GB if all start at once, 3
	// s of the store's link. A snapshot of as many records takes 0.03 MB.
	compactionThreshold = 64
	// compactionInterval is the time between two checks for enough keys, idleCompactionInterval the
	// time after a check that found too few, and compactionRankDelay how much later each further
	// node by rank checks, in case those before it do not.
	compactionInterval     = 6 * time.Second
	idleCompactionInterval = 30 * time.Second
	compactionRankDelay    = 4 * time.Second
	// maxSnapshotBytes bounds the size of a decompressed snapshot.
	maxSnapshotBytes = 64 << 20
)

// encodeSnapshot returns the records as compressed JSON.
func encodeSnapshot(records []*roster.Record) ([]byte, error) {
	written := &bytes.Buffer{}
	compressor := gzip.NewWriter(written)
	if err := json.NewEncoder(compressor).Encode(records); err != nil {
		return nil, trace.Wrap(err, "encode the snapshot of nodes")
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err, "compress the snapshot of nodes")
	}
	return written.Bytes(), nil
}

// decodeSnapshot decodes the result of encodeSnapshot. Invalid records are skipped, as others may
// write to the store as well.
func decodeSnapshot(raw []byte) (records []*roster.Record, err error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, trace.Wrap(err, "decompress the snapshot of nodes")
	}
	var read []*roster.Record
	if err := json.NewDecoder(io.LimitReader(decompressor, maxSnapshotBytes)).Decode(&read); err != nil {
		return nil, trace.Wrap(err, "decode the snapshot of nodes")
	}
	for _, record := range read {
		if record != nil && record.Validate() == nil {
			records = append(records, record)
		}
	}
	return records, nil
}

// compactor moves the records in the nodes' keys into the snapshot. It is used by one goroutine.
type compactor struct {
	options *Options
	// found are the nodes' keys and snapshot is the revision of the snapshot, as last read.
	found    []store.KeyValue
	snapshot uint64
}

// compact maintains the snapshot whenever it is the node's turn, until the context is done.
func (m *Membership) compact(ctx context.Context) {
	interval := compactionInterval
	for last := clock.Now(); ctx.Err() == nil; {
		pause.Wait(ctx, compactionInterval/2)
		rank, ranked := m.options.CompactionRank()
		few := m.options.Members.View().Count() < compactionThreshold
		if few || !ranked || clock.Since(last) < interval+time.Duration(rank)*compactionRankDelay {
			continue
		}
		last, interval = clock.Now(), idleCompactionInterval
		err := contain.Run("snapshot of nodes", m.options.Logger, func() {
			if m.compactOnce(ctx) {
				interval = compactionInterval
			}
		})
		if err != nil {
			m.options.Logger.Error("snapshot of nodes not written", zap.Error(err))
		}
	}
}

// compactOnce reads the nodes' keys and moves them into the snapshot if there are many. It reports
// whether there are, or the read failed.
func (m *Membership) compactOnce(ctx context.Context) (many bool) {
	one := &compactor{options: &m.options}
	err := m.readAll(ctx, m.options.Store.Range, func(item store.KeyValue) {
		if item.Key == SnapshotKey {
			one.snapshot = item.Revision
			return
		}
		one.found = append(one.found, item)
	})
	if many = err != nil || len(one.found) >= compactionThreshold; err == nil && many {
		err = one.write(ctx)
	}
	switch {
	case err == nil:
	case errors.Is(err, store.ErrConflict):
		// A node has changed its key meanwhile, or another node compacts.
		m.options.Logger.Info("snapshot of nodes left to another look", zap.Error(err))
	default:
		m.logReadFailure(err)
	}
	return many
}

// write writes the snapshot and deletes the keys that it covers, in several calls if there are
// many. A key that was changed meanwhile stays and ends the operation.
func (c *compactor) write(ctx context.Context) error {
	records := c.options.Members.View().Records()
	present := make([]*roster.Record, 0, len(records))
	for _, record := range records {
		if !record.Gone() {
			present = append(present, record)
		}
	}
	value, err := encodeSnapshot(present)
	if err != nil {
		return err
	}
	swaps := []store.Swap{{Key: SnapshotKey, ExpectedRevision: c.snapshot, Value: value}}
	for _, item := range c.found {
		swaps = append(swaps, store.Swap{Key: item.Key, ExpectedRevision: item.Revision, Delete: true})
	}
	calls := 0
	for ; len(swaps) > 0; calls++ {
		part := swaps[:min(len(swaps), store.MostSwaps)]
		swaps = swaps[len(part):]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := c.options.Store.Apply(callCtx, part)
		cancel()
		if err != nil {
			return trace.Wrap(err, "write the snapshot of nodes after %d calls", calls)
		}
	}
	c.options.Logger.Info("snapshot of nodes written", zap.Int("nodes", len(present)), zap.Int("bytes", len(value)),
		zap.Int("keys", len(c.found)), zap.Int("calls", calls))
	return nil
}

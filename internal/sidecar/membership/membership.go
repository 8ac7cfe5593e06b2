// Package membership lets nodes discover each other through the store. Each node writes its own
// record under one key, rarely more than once per run, and reads the keys of all others when it
// starts. The keys have no lease, as an unreachable store does not mean that a node has failed.
package membership

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// KeyPrefix is the prefix of the nodes' keys in the store.
const KeyPrefix = "kestrel/nodes/"

const (
	callTimeout   = 2 * time.Second
	retryBase     = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// pageSize is the number of keys requested by one read.
	pageSize = 500
	// refreshInterval is the time between two reads of a node that reads the store on behalf of
	// others. Its reads may return data that is seconds old, as the nodes exchange changes among
	// themselves.
	refreshInterval = 20 * time.Second
	// endpointWaitHeartbeats is the maximum time for which the first write waits for the back end
	// to announce itself, in heartbeat intervals, so that one write is enough. The second interval
	// covers a late heartbeat.
	endpointWaitHeartbeats = 2
	// contactDelay is the time after its write for which a node waits for contact from another one
	// before it reads the keys again. When many nodes start together, the first ones to read inform
	// the others.
	contactDelay = 1500 * time.Millisecond
	// maxContactDelay bounds the time between two such reads of a node that stays isolated.
	maxContactDelay = refreshInterval
)

// Store is the part of the store that membership uses.
type Store interface {
	store.Reader
	store.Writer
	store.Batcher
	// RangeStale is like Range but may return data that is seconds old.
	RangeStale(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)
}

// Options configure a membership.
type Options struct {
	Store   Store
	Members *roster.Roster
	// FirstStart means that the whole system starts for the first time and no node has a key yet.
	FirstStart bool
	// HeartbeatInterval is the expected time between two heartbeats of a back end.
	HeartbeatInterval time.Duration
	// OnDiscovery is called after each read that searched for other nodes. resumed means that the
	// node adopted the record of its previous run unchanged and has nothing new to publish.
	OnDiscovery func(resumed bool)
	// HadContact reports whether another node has contacted this one.
	HadContact func() bool
	// IsReader reports whether the node reads the store on behalf of others.
	IsReader func() bool
	// CompactionRank returns the node's rank, from zero, among those that maintain the snapshot of
	// all records, and false if it is not one of them.
	CompactionRank func() (rank int, ranked bool)
	Logger         *zap.Logger
}

// Membership maintains the node's key and discovers the other nodes.
type Membership struct {
	options   Options
	publisher *publisher
	// ownInSnapshot is the node's own record in the last snapshot that contained one.
	ownInSnapshot atomic.Pointer[roster.Record]
	// searches holds the request for an early search. searched: the keys were read again after the
	// node's own write, so that the nodes that started together with it are known.
	searches chan struct{}
	searched atomic.Bool
}

// New returns a membership that is started by Run.
func New(options Options) *Membership {
	return &Membership{options: options, publisher: newPublisher(&options), searches: make(chan struct{}, 1)}
}

// Run discovers the other nodes and maintains the node's key until the context is done.
//
// A node reads all keys when it starts. When nodes start together, each may have read before the
// others wrote. Therefore a node that no other node has contacted since its write reads again: of
// any two groups of nodes that do not know each other, the last node to read finds a key of the
// other group.
func (m *Membership) Run(ctx context.Context) {
	if !m.options.FirstStart {
		m.discoverWithRetry(ctx)
	}
	m.awaitEndpoint(ctx)
	var running sync.WaitGroup
	running.Go(func() { m.publisher.run(ctx) })
	running.Go(func() { m.compact(ctx) })
	defer running.Wait()
	select {
	case <-m.publisher.written:
	case <-ctx.Done():
		return
	}
	m.awaitContact(ctx)
	m.refresh(ctx)
}

// Restored must be called when the store has been restored from an older copy. The own key is then
// checked again.
func (m *Membership) Restored() { m.publisher.scheduleRecheck() }

// Search reports whether nodes that started together with this one may still be unknown to it, and makes
// it read the keys without further delay. At the first start of the whole system it does not: there the
// reads are spread over time.
func (m *Membership) Search() bool {
	if m.searched.Load() || m.options.HadContact() {
		return false
	}
	if !m.options.FirstStart {
		select {
		case m.searches <- struct{}{}:
		default:
		}
	}
	return true
}

// Withdraw removes the own key, for a node that does not return.
func (m *Membership) Withdraw(ctx context.Context) error { return m.publisher.withdraw(ctx) }

// discoverWithRetry reads all keys, including the own one, until it succeeds.
func (m *Membership) discoverWithRetry(ctx context.Context) {
	backoff := pause.Backoff{Base: retryBase, Max: maxRetryDelay}
	for ctx.Err() == nil {
		left, err := m.discover(ctx)
		if err == nil {
			m.publisher.loaded(left.item)
			m.publisher.loadedSnapshot(left.snapshot)
			return
		}
		m.logReadFailure(err)
		backoff.Pause(ctx)
	}
}

// previousState is the state that a previous run of the node left in the store.
type previousState struct {
	// item is the own key, record the record in it, and snapshot the own record in the snapshot.
	// Each is nil if absent.
	item             *store.KeyValue
	record, snapshot *roster.Record
}

// records returns the records that are present.
func (l *previousState) records() (found []*roster.Record) {
	for _, record := range []*roster.Record{l.snapshot, l.record} {
		if record != nil {
			found = append(found, record)
		}
	}
	return found
}

// discover reads all keys, resumes from what a previous run of the node left, and returns that.
func (m *Membership) discover(ctx context.Context) (own previousState, err error) {
	name := KeyPrefix + m.options.Members.Own().Node
	err = m.readAll(ctx, m.options.Store.Range, func(item store.KeyValue) {
		if item.Key != name {
			return
		}
		own.item = &item
		if record, err := readRecord(item); err == nil {
			own.record = record
		}
	})
	if err != nil {
		return previousState{}, err
	}
	own.snapshot = m.ownInSnapshot.Load()
	resumed := m.options.Members.Resume(own.records())
	m.options.OnDiscovery(resumed)
	return own, nil
}

// awaitEndpoint waits for a limited time until the back end is known.
func (m *Membership) awaitEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endpointWaitHeartbeats*m.options.HeartbeatInterval)
	defer cancel()
	for ctx.Err() == nil && m.options.Members.Own().Endpoint == nil {
		pause.Wait(ctx, retryBase)
	}
}

// awaitContact reads the keys at increasing intervals until another node has contacted this one.
func (m *Membership) awaitContact(ctx context.Context) {
	for wait := m.firstContactDelay(); ; wait = min(2*max(wait, contactDelay), maxContactDelay) {
		m.searchEarly(ctx, wait)
		if ctx.Err() != nil || m.options.HadContact() {
			return
		}
		if _, err := m.discover(ctx); err != nil {
			m.logReadFailure(err)
			continue
		}
		m.searched.Store(true)
	}
}

// searchEarly waits like pause.Wait. Meanwhile it reads the keys when a search is requested, at
// increasing intervals, until another node has contacted this one.
func (m *Membership) searchEarly(ctx context.Context, wait time.Duration) {
	waiting, cancel := context.WithTimeout(ctx, wait/2+rand.N(wait/2+1))
	defer cancel()
	for backoff := (pause.Backoff{Base: retryBase, Max: contactDelay}); ; backoff.Pause(waiting) {
		select {
		case <-m.searches:
		case <-waiting.Done():
			return
		}
		if m.options.HadContact() {
			return
		}
		if _, err := m.discover(ctx); err != nil {
			m.logReadFailure(err)
		}
	}
}

// rampExponent sets how much more likely a node is to read at the end of its first wait than at the
// beginning, as an exponent of e. Of a thousand nodes about three read in the first seventh of the
// wait.
const rampExponent = 7

// firstContactDelay returns how long a node waits for contact after its write before it reads the
// keys. At the first start of the whole system there are no requests yet, and keys are written over
// the span of a heartbeat interval. The distribution makes few nodes read early, and these contact
// the others, so that fewer nodes read than with waits drawn uniformly (TestReadsOfFirstStart).
func (m *Membership) firstContactDelay() time.Duration {
	if !m.options.FirstStart {
		return contactDelay
	}
	span := max(m.options.HeartbeatInterval, contactDelay).Seconds()
	delay := span * math.Log1p(rand.Float64()*math.Expm1(rampExponent)) / rampExponent
	return contactDelay + time.Duration(delay*float64(time.Second))
}

// refresh periodically reads all keys while the node reads on behalf of others, so that groups of
// nodes that have lost each other reconnect.
func (m *Membership) refresh(ctx context.Context) {
	for {
		pause.Wait(ctx, refreshInterval)
		if ctx.Err() != nil {
			return
		}
		if !m.options.IsReader() {
			continue
		}
		if err := m.readAll(ctx, m.options.Store.RangeStale, func(store.KeyValue) {}); err != nil {
			m.logReadFailure(err)
		}
	}
}

// logReadFailure logs a failed read of the keys, which is retried.
func (m *Membership) logReadFailure(err error) {
	m.options.Logger.Warn("other nodes not read", zap.Error(err))
}

// rangeFunction reads one page of keys.
type rangeFunction func(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)

// readAll reads all keys page by page, merges each item and passes it to visit.
func (m *Membership) readAll(ctx context.Context, read rangeFunction, visit func(store.KeyValue)) error {
	from := readPrefix
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, _, err := read(callCtx, readPrefix, from, pageSize)
		cancel()
		if err != nil {
			return err
		}
		m.options.Members.Batch(func() {
			for _, item := range found {
				// A record that causes a panic is skipped; the panic is logged with its key.
				_ = contain.Run("record "+item.Key, m.options.Logger, func() { m.mergeItem(item) })
				visit(item)
			}
		})
		if len(found) < pageSize {
			return nil
		}
		from = found[len(found)-1].Key + "\x00"
	}
}

// mergeItem merges one item. Invalid items are left in the store, as another application may have
// written them.
func (m *Membership) mergeItem(item store.KeyValue) {
	if item.Key == SnapshotKey {
		records, err := decodeSnapshot(item.Value)
		if err != nil {
			m.options.Logger.Warn("snapshot of nodes cannot be read", zap.Error(err))
			return
		}
		if own := slices.IndexFunc(records, m.options.Members.Own().SameNode); own >= 0 {
			m.ownInSnapshot.Store(records[own])
		}
		m.options.Members.Merge(m.othersOnly(records...))
		return
	}
	record, err := readRecord(item)
	if err != nil {
		m.options.Logger.Warn("item of the store is no node's record", zap.String("key", item.Key), zap.Error(err))
		return
	}
	m.options.Members.Merge(m.othersOnly(record))
}

// othersOnly removes the node's own records. Those of a previous run are applied together by
// Resume.
func (m *Membership) othersOnly(records ...*roster.Record) []*roster.Record {
	own := m.options.Members.Own()
	return slices.DeleteFunc(records, own.SameNode)
}

// readRecord decodes and validates the record in an item.
func readRecord(item store.KeyValue) (*roster.Record, error) {
	record := &roster.Record{}
	if err := json.Unmarshal(item.Value, record); err != nil {
		return nil, trace.Wrap(err, "read %s", item.Key)
	}
	if KeyPrefix+record.Node != item.Key {
		return nil, trace.BadParameter("node: %q does not match the key", record.Node)
	}
	return record, record.Validate()
}

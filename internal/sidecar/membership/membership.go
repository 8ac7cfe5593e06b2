// Package membership lets nodes find each other through the store: each node
// writes one key with its own record, rarely more than once a life, and reads the
// keys of all others when it starts. The keys bear no lease: that the store is
// silent says nothing about a node.
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
	callTimeout = 2 * time.Second
	pauseBase   = 100 * time.Millisecond
	pauseMost   = 1500 * time.Millisecond
	// pageKeys is how many keys one read asks for.
	pageKeys = 500
	// settledInterval is the time between two reads of a node that reads the store
	// for others. They may be seconds old; a change travels between the nodes
	// themselves.
	settledInterval = 20 * time.Second
	// endpointPatience is how long the first write waits for the back end to make
	// itself known, in heartbeats, so that one write is enough. The second one
	// covers a heartbeat that is late.
	endpointPatience = 2
	// meetDelay is how long after its write a node waits for another one to be in
	// touch with it before it reads the keys again, half of it at least. Where many
	// nodes start together the first of them to read tell the others.
	meetDelay = 1500 * time.Millisecond
	// meetMost bounds the time between two such reads of a node that stays alone.
	meetMost = settledInterval
)

// Store is what membership needs of the store.
type Store interface {
	store.Reader
	store.Writer
	store.Batcher
	// RangeStale is Range, but what it returns may be seconds old.
	RangeStale(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)
}

// Options configure a membership.
type Options struct {
	Store   Store
	Members *roster.Roster
	// FirstStart: the whole system starts for the first time, no node has a key.
	FirstStart bool
	// HeartbeatInterval is the usual time between two heartbeats of a back end.
	HeartbeatInterval time.Duration
	// Joined is called after each read that looked for other nodes. resumed says that the node goes
	// on with the record that an earlier life of it left: it has no news for others.
	Joined func(resumed bool)
	// Met reports whether another node was in touch with this one.
	Met func() bool
	// Reads reports whether the node reads the store for others.
	Reads func() bool
	// CompactRank is the node's place among those that keep the snapshot of all records, from
	// zero; false when it is none of them.
	CompactRank func() (rank int, ranked bool)
	Logger      *zap.Logger
}

// Membership keeps the node's key and finds the other nodes.
type Membership struct {
	options   Options
	publisher *publisher
	// ownInSnapshot is the own record of the last snapshot that had one.
	ownInSnapshot atomic.Pointer[roster.Record]
}

// New returns a membership that Run starts.
func New(options Options) *Membership {
	return &Membership{options: options, publisher: newPublisher(&options)}
}

// Run finds the other nodes and keeps the node's key until the context ends.
//
// A node reads all keys when it starts. Where nodes start together each may have
// read before the others wrote. So a node that nobody was in touch with after its
// write reads again: of any two groups of nodes that know nothing of each other,
// the last to read would have seen a key of the other one.
func (m *Membership) Run(ctx context.Context) {
	if !m.options.FirstStart {
		m.findUntilRead(ctx)
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
	m.meet(ctx)
	m.refresh(ctx)
}

// Restored takes in that the store has come back from an older copy: the own key is looked after
// again.
func (m *Membership) Restored() { m.publisher.restored() }

// Withdraw removes the own key: the node and its back end do not come back.
func (m *Membership) Withdraw(ctx context.Context) error { return m.publisher.withdraw(ctx) }

// findUntilRead reads all keys, the own one among them, until that succeeds.
func (m *Membership) findUntilRead(ctx context.Context) {
	backoff := pause.Backoff{Base: pauseBase, Max: pauseMost}
	for ctx.Err() == nil {
		left, err := m.find(ctx)
		if err == nil {
			m.publisher.found(left.item)
			m.publisher.remembered(left.snapshot)
			return
		}
		m.notRead(err)
		backoff.Pause(ctx)
	}
}

// left is what an earlier life of the node left in the store.
type left struct {
	// item is the own key, with the record that it holds; snapshot the own record of the snapshot.
	// All are nil when they are absent.
	item             *store.KeyValue
	record, snapshot *roster.Record
}

// records returns those that there are.
func (l *left) records() (found []*roster.Record) {
	for _, record := range []*roster.Record{l.snapshot, l.record} {
		if record != nil {
			found = append(found, record)
		}
	}
	return found
}

// find reads all keys and returns what there is of the own node, which goes on where an earlier life
// of it ended.
func (m *Membership) find(ctx context.Context) (own left, err error) {
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
		return left{}, err
	}
	own.snapshot = m.ownInSnapshot.Load()
	resumed := m.options.Members.Resume(own.records())
	m.options.Joined(resumed)
	return own, nil
}

// awaitEndpoint waits until the back end is known, but not for ever.
func (m *Membership) awaitEndpoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endpointPatience*m.options.HeartbeatInterval)
	defer cancel()
	for ctx.Err() == nil && m.options.Members.Own().Endpoint == nil {
		pause.Wait(ctx, pauseBase)
	}
}

// meet returns once another node was in touch with this one.
func (m *Membership) meet(ctx context.Context) {
	for wait := m.firstMeetDelay(); ; wait = min(2*max(wait, meetDelay), meetMost) {
		pause.Wait(ctx, wait)
		if ctx.Err() != nil || m.options.Met() {
			return
		}
		if _, err := m.find(ctx); err != nil {
			m.notRead(err)
		}
	}
}

// rampGrowth says how much more likely a node is to read at the end of its first wait than at the
// beginning, as the exponent of e: of a thousand nodes some three read in the first seventh.
const rampGrowth = 7

// firstMeetDelay is how long a node waits after its write to be met, before it reads the keys. Where
// the whole system starts for the first time nobody calls yet, and keys come over a heartbeat's
// interval. Few nodes read early in it and meet the others: about half of the reads of waits that are
// drawn evenly over 0.75 s (TestAFirstStartOfMany).
func (m *Membership) firstMeetDelay() time.Duration {
	if !m.options.FirstStart {
		return meetDelay
	}
	most := max(m.options.HeartbeatInterval, meetDelay).Seconds()
	drawn := most * math.Log1p(rand.Float64()*math.Expm1(rampGrowth)) / rampGrowth
	return meetDelay + time.Duration(drawn*float64(time.Second))
}

// refresh reads all keys from time to time while the node reads for others: should
// groups of nodes have lost each other, they find each other again.
func (m *Membership) refresh(ctx context.Context) {
	for {
		pause.Wait(ctx, settledInterval)
		if ctx.Err() != nil {
			return
		}
		if !m.options.Reads() {
			continue
		}
		if err := m.readAll(ctx, m.options.Store.RangeStale, func(store.KeyValue) {}); err != nil {
			m.notRead(err)
		}
	}
}

// notRead logs a read of the keys that failed; it is tried again.
func (m *Membership) notRead(err error) {
	m.options.Logger.Warn("other nodes not read", zap.Error(err))
}

// rangeFunction reads one page of keys.
type rangeFunction func(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error)

// readAll takes in every key; seen is told of each.
func (m *Membership) readAll(ctx context.Context, read rangeFunction, seen func(store.KeyValue)) error {
	from := readPrefix
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		found, _, err := read(bounded, readPrefix, from, pageKeys)
		cancel()
		if err != nil {
			return err
		}
		m.options.Members.Together(func() {
			for _, item := range found {
				// A record that sets off a panic is left out; the log names it.
				_ = contain.Run("record "+item.Key, m.options.Logger, func() { m.take(item) })
				seen(item)
			}
		})
		if len(found) < pageKeys {
			return nil
		}
		from = found[len(found)-1].Key + "\x00"
	}
}

// take merges one item. What is not a record of ours is left alone: another writer may have
// put it there.
func (m *Membership) take(item store.KeyValue) {
	if item.Key == SnapshotKey {
		records, err := decodeSnapshot(item.Value)
		if err != nil {
			m.options.Logger.Warn("snapshot of nodes cannot be read", zap.Error(err))
			return
		}
		if own := slices.IndexFunc(records, m.options.Members.Own().Same); own >= 0 {
			m.ownInSnapshot.Store(records[own])
		}
		m.options.Members.Merge(m.ofOthers(records...))
		return
	}
	record, err := readRecord(item)
	if err != nil {
		m.options.Logger.Warn("item of the store is no node's record", zap.String("key", item.Key), zap.Error(err))
		return
	}
	m.options.Members.Merge(m.ofOthers(record))
}

// ofOthers leaves the own records out: what an earlier life has left is taken in as one.
func (m *Membership) ofOthers(records ...*roster.Record) []*roster.Record {
	own := m.options.Members.Own()
	return slices.DeleteFunc(records, own.Same)
}

// readRecord reads the record that an item holds.
func readRecord(item store.KeyValue) (*roster.Record, error) {
	record := &roster.Record{}
	if err := json.Unmarshal(item.Value, record); err != nil {
		return nil, trace.Wrap(err, "read %s", item.Key)
	}
	if KeyPrefix+record.Node != item.Key {
		return nil, trace.BadParameter("node: %q is not the key's", record.Node)
	}
	return record, record.Validate()
}

package membership_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/membership"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/memory"
)

const heartbeat = 1500 * time.Millisecond

// countingStore counts calls and can make them fail.
type countingStore struct {
	*memory.Store
	gets, ranges, writes atomic.Int64
	// failure is the error of every call, nil for none.
	failure atomic.Pointer[error]
}

// failing returns the error of calls.
func (s *countingStore) failing() error {
	if err := s.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// calls returns the numbers of reads of one key, reads of all keys, and writes.
func (s *countingStore) calls() []int64 {
	return []int64{s.gets.Load(), s.ranges.Load(), s.writes.Load()}
}

func (s *countingStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	s.gets.Add(1)
	if err := s.failing(); err != nil {
		return store.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	s.ranges.Add(1)
	if err := s.failing(); err != nil {
		return nil, 0, err
	}
	return s.Store.Range(ctx, prefix, from, limit)
}

func (s *countingStore) RangeStale(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	return s.Store.Range(ctx, prefix, from, limit)
}

func (s *countingStore) CompareAndSwap(ctx context.Context, swap store.Swap) (uint64, error) {
	s.writes.Add(1)
	if err := s.failing(); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

// Apply applies the swaps one by one, since the stores of the tests have one writer at a time.
func (s *countingStore) Apply(ctx context.Context, swaps []store.Swap) (uint64, error) {
	s.writes.Add(1)
	if err := s.failing(); err != nil {
		return 0, err
	}
	for _, swap := range swaps {
		found, err := s.Store.Get(ctx, swap.Key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return 0, err
		}
		if found.Revision != swap.ExpectedRevision {
			return 0, store.ErrConflict
		}
	}
	revision := uint64(0)
	for _, swap := range swaps {
		var err error
		if revision, err = s.Store.CompareAndSwap(ctx, swap); err != nil {
			return 0, err
		}
	}
	return revision, nil
}

// testNode is one run of a node's membership.
type testNode struct {
	t       *testing.T
	store   *countingStore
	members *roster.Roster
	node    *membership.Membership
	met     atomic.Bool
	// compacts means that the node maintains the snapshot.
	compacts atomic.Bool
	// joined is called after each read that searched for other nodes; optional.
	joined func()
	end    func()
}

func startNode(t *testing.T, target *countingStore, node string, firstStart, met bool) *testNode {
	started := &testNode{t: t, store: target}
	started.met.Store(met)
	started.members = roster.New(roster.Record{Node: node, Epoch: 1, Counter: 1, Address: node + ":1", PeerAddress: node + ":2", Zone: "z", RunID: rand.Uint64()})
	started.node = membership.New(membership.Options{
		Store: target, Members: started.members, FirstStart: firstStart, HeartbeatInterval: heartbeat,
		OnDiscovery: func(bool) {}, HadContact: started.met.Load, IsReader: func() bool { return false }, Logger: zap.NewNop(),
		CompactionRank: func() (int, bool) { return 0, started.compacts.Load() },
	})
	started.run()
	return started
}

// run runs the membership until end is called.
func (l *testNode) run() {
	ctx, cancel := context.WithCancel(l.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.node.Run(ctx)
	}()
	l.end = func() {
		cancel()
		<-ended
	}
}

// report sets the state that the back end reports.
func (l *testNode) report(id string, state roster.State, sequence uint64) {
	l.members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Endpoint = &roster.Endpoint{ID: id, Service: "s", Slots: 4, State: state, Sequence: sequence}
		return record, true
	})
	advance(time.Second)
}

// stored returns the record in the node's key, nil if it is absent.
func (l *testNode) stored() *roster.Record {
	found, err := l.store.Store.Get(l.t.Context(), membership.KeyPrefix+l.members.Own().Node)
	if err != nil {
		return nil
	}
	record := &roster.Record{}
	if err := json.Unmarshal(found.Value, record); err != nil {
		l.t.Fatal(err)
	}
	return record
}

func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func withFakeClock(t *testing.T, test func(t *testing.T, g *WithT, target *countingStore)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, NewWithT(t), &countingStore{Store: memory.New(memory.Options{})})
	})
}

// TestWritesOfOneRun checks that a node writes once its back end is known and again when the back
// end starts draining, but not for changes that peers exchange among themselves.
func TestWritesOfOneRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := startNode(t, target, "a", true, true)
		defer node.end()
		advance(time.Second)
		g.Expect(target.writes.Load()).To(BeZero())
		node.report("i-1", roster.Ready, 1)
		g.Expect(node.stored().Endpoint.ID).To(Equal("i-1"))
		node.report("i-1", roster.Ready, 2)
		node.report("i-2", roster.Ready, 1)
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
		node.report("i-2", roster.Draining, 2)
		g.Expect(node.stored().Endpoint.State).To(Equal(roster.Draining))
		node.report("i-2", roster.Gone, 2)
		g.Expect(target.writes.Load()).To(BeEquivalentTo(2))
		g.Expect(node.node.Withdraw(t.Context())).To(Succeed())
		g.Expect(node.stored()).To(BeNil())
		node.report("i-2", roster.Gone, 3)
		g.Expect(node.stored()).To(BeNil(), "withdrawn for good")
		g.Expect(target.calls()).To(Equal([]int64{0, 0, 3}))
	})
}

// TestQuarantineIsStored checks that a quarantined request survives a failure of all nodes and that
// mere suspicion causes no write.
func TestQuarantineIsStored(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := startNode(t, target, "a", true, true)
		node.report("i-1", roster.Ready, 1)
		setEvidence := func(evidence *roster.Evidence) {
			node.members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Evidence = evidence
				return record, true
			})
			advance(time.Second)
		}
		setEvidence(&roster.Evidence{Crashes: []roster.Crash{{Endpoint: "i-0", Running: []fingerprint.Fingerprint{{}}}}})
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
		held := []roster.Quarantined{{Digest: fingerprint.Digest{1}, Service: "s", Endpoints: []string{"i-0", "i-1"}}}
		setEvidence(&roster.Evidence{Quarantined: held})
		g.Expect(target.writes.Load()).To(BeEquivalentTo(2))
		g.Expect(node.stored().Evidence.Quarantined).To(Equal(held))
		node.end()
		restarted := startNode(t, target, "a", false, false)
		defer restarted.end()
		advance(10 * time.Second)
		g.Expect(restarted.members.Own().Evidence).NotTo(BeNil())
		g.Expect(restarted.members.Own().Evidence.Quarantined).To(Equal(held))
	})
}

// TestSilentBackEnd checks that a node whose back end sends no heartbeat is still discovered.
func TestSilentBackEnd(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := startNode(t, target, "a", true, true)
		defer node.end()
		advance(time.Minute)
		g.Expect(node.stored().Address).To(Equal("a:1"))
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
	})
}

// TestRestart checks that a restarted node makes one read and no write and knows its back end. It
// keeps the record of its previous run until it has something to publish; its next record is newer
// and has another run id.
func TestRestart(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := startNode(t, target, "a", true, true)
		before.report("i-1", roster.Ready, 7)
		advance(time.Minute)
		before.end()
		target.writes.Store(0)
		restarted := startNode(t, target, "a", false, true)
		defer restarted.end()
		advance(time.Minute)
		g.Expect(target.calls()).To(Equal([]int64{0, 1, 0}))
		g.Expect(restarted.members.Own()).To(Equal(before.members.Own()))
		g.Expect(restarted.members.View().Digest()).To(Equal(before.members.View().Digest()))
		g.Expect(restarted.members.Own().Endpoint.ID).To(Equal("i-1"))
		restarted.report("i-1", roster.Draining, 9)
		g.Expect(restarted.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(restarted.members.Own().RunID).NotTo(Equal(before.members.Own().RunID))
	})
}

// TestRestartWithChanges checks that a node restarted at another address after a planned shutdown
// supersedes the record of its previous run.
func TestRestartWithChanges(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := startNode(t, target, "a", true, true)
		before.report("i-1", roster.Ready, 7)
		before.members.Update(func(record roster.Record) (roster.Record, bool) {
			record.Leaving = true
			record.Address = "elsewhere:1"
			return record, true
		})
		advance(time.Minute)
		before.end()
		restarted := startNode(t, target, "a", false, true)
		defer restarted.end()
		advance(time.Minute)
		g.Expect(restarted.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(restarted.members.Own().Leaving).To(BeFalse())
		g.Expect(restarted.members.Own().Address).To(Equal("a:1"))
		g.Expect(restarted.members.Own().Endpoint.ID).To(Equal("i-1"))
	})
}

// TestFirstStartFindsExistingKey checks that the key of a previous run is found even if the node is
// configured for the first start of the system.
func TestFirstStartFindsExistingKey(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := startNode(t, target, "a", true, true)
		before.report("i-1", roster.Draining, 7)
		before.end()
		again := startNode(t, target, "a", true, true)
		defer again.end()
		again.report("i-2", roster.Ready, 1)
		advance(time.Minute)
		g.Expect(again.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(again.stored().Endpoint.ID).To(Equal("i-2"))
	})
}

// TestSimultaneousStart checks two nodes that each read before the other wrote: as no other node
// contacts them, they read again and find each other.
func TestSimultaneousStart(t *testing.T) {
	for name, firstStart := range map[string]bool{"first start": true, "new nodes": false} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
				first, second := startNode(t, target, "a", firstStart, false), startNode(t, target, "b", firstStart, false)
				defer first.end()
				defer second.end()
				first.report("i-1", roster.Ready, 1)
				second.report("i-2", roster.Ready, 1)
				advance(10 * time.Second)
				g.Expect(first.members.View().Count()).To(Equal(2))
				g.Expect(second.members.View().Count()).To(Equal(2))
			})
		})
	}
}

// TestReadsOfIsolatedNode checks that an isolated node reads at increasing intervals and stops once
// it was contacted.
func TestReadsOfIsolatedNode(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := startNode(t, target, "a", true, false)
		defer node.end()
		node.report("i-1", roster.Ready, 1)
		advance(5 * time.Minute)
		g.Expect(target.ranges.Load()).To(BeNumerically(">=", 14))
		g.Expect(target.ranges.Load()).To(BeNumerically("<=", 40))
		node.met.Store(true)
		advance(time.Minute)
		seen := target.ranges.Load()
		advance(time.Hour)
		g.Expect(target.ranges.Load()).To(Equal(seen))
	})
}

// TestUnavailableStore checks that a node retries with backoff while the store fails and has its
// key written soon after it recovers.
func TestUnavailableStore(t *testing.T) {
	for name, outage := range map[string]error{
		"refuses": store.ErrRateLimited, "unavailable": store.ErrUnavailable, "loses answers": store.ErrUnknownOutcome,
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
				target.failure.Store(&outage)
				node := startNode(t, target, "a", false, true)
				defer node.end()
				node.report("i-1", roster.Ready, 1)
				advance(time.Minute)
				calls := target.calls()
				g.Expect(calls[0] + calls[1] + calls[2]).To(BeNumerically("<=", 90))
				target.failure.Store(nil)
				advance(10 * time.Second)
				g.Expect(node.stored().Endpoint.ID).To(Equal("i-1"))
			})
		})
	}
}

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

// countingStore counts calls and can turn them away.
type countingStore struct {
	*memory.Store
	gets, ranges, writes atomic.Int64
	// fails is the error of every call; nil for none.
	fails atomic.Pointer[error]
}

// failing returns the error of calls.
func (s *countingStore) failing() error {
	if err := s.fails.Load(); err != nil {
		return *err
	}
	return nil
}

// calls returns how many reads of one key, of all keys, and writes there were.
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

// Apply applies the swaps one by one: the tests' stores have one writer at a time.
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

// life is one run of a node's membership.
type life struct {
	t       *testing.T
	store   *countingStore
	members *roster.Roster
	node    *membership.Membership
	met     atomic.Bool
	// compacts: the node keeps the snapshot.
	compacts atomic.Bool
	// joined is called after each read that looked for others; tests that do not need it leave it.
	joined func()
	end    func()
}

func begin(t *testing.T, target *countingStore, node string, firstStart, met bool) *life {
	begun := &life{t: t, store: target}
	begun.met.Store(met)
	begun.members = roster.New(roster.Record{Node: node, Epoch: 1, Counter: 1, Address: node + ":1", PeerAddress: node + ":2", Zone: "z", RunID: rand.Uint64()})
	begun.node = membership.New(membership.Options{
		Store: target, Members: begun.members, FirstStart: firstStart, HeartbeatInterval: heartbeat,
		OnDiscovery: func(bool) {}, Met: begun.met.Load, Reads: func() bool { return false }, Logger: zap.NewNop(),
		CompactionRank: func() (int, bool) { return 0, begun.compacts.Load() },
	})
	begun.run()
	return begun
}

// run runs the membership until end is called.
func (l *life) run() {
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

// says has the back end say something of itself.
func (l *life) says(id string, state roster.State, sequence uint64) {
	l.members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Endpoint = &roster.Endpoint{ID: id, Service: "s", Slots: 4, State: state, Sequence: sequence}
		return record, true
	})
	pass(time.Second)
}

// stored returns what the node's key holds, nil when it is absent.
func (l *life) stored() *roster.Record {
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

func pass(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func play(t *testing.T, test func(t *testing.T, g *WithT, target *countingStore)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, NewWithT(t), &countingStore{Store: memory.New(memory.Options{})})
	})
}

// TestALife: one write once the back end is known; another when it begins to leave;
// none for what peers tell each other.
func TestALife(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := begin(t, target, "a", true, true)
		defer node.end()
		pass(time.Second)
		g.Expect(target.writes.Load()).To(BeZero())
		node.says("i-1", roster.Ready, 1)
		g.Expect(node.stored().Endpoint.ID).To(Equal("i-1"))
		node.says("i-1", roster.Ready, 2)
		node.says("i-2", roster.Ready, 1)
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
		node.says("i-2", roster.Draining, 2)
		g.Expect(node.stored().Endpoint.State).To(Equal(roster.Draining))
		node.says("i-2", roster.Gone, 2)
		g.Expect(target.writes.Load()).To(BeEquivalentTo(2))
		g.Expect(node.node.Withdraw(t.Context())).To(Succeed())
		g.Expect(node.stored()).To(BeNil())
		node.says("i-2", roster.Gone, 3)
		g.Expect(node.stored()).To(BeNil(), "withdrawn for good")
		g.Expect(target.calls()).To(Equal([]int64{0, 0, 3}))
	})
}

// TestWhatIsHeldBackIsWritten: the verdict on a request outlives an end of all nodes; what
// is only suspected costs no write.
func TestWhatIsHeldBackIsWritten(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := begin(t, target, "a", true, true)
		node.says("i-1", roster.Ready, 1)
		knows := func(evidence *roster.Evidence) {
			node.members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Evidence = evidence
				return record, true
			})
			pass(time.Second)
		}
		knows(&roster.Evidence{Crashes: []roster.Crash{{Endpoint: "i-0", Running: []fingerprint.Fingerprint{{}}}}})
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
		held := []roster.Quarantined{{Digest: fingerprint.Digest{1}, Service: "s", Endpoints: []string{"i-0", "i-1"}}}
		knows(&roster.Evidence{Quarantined: held})
		g.Expect(target.writes.Load()).To(BeEquivalentTo(2))
		g.Expect(node.stored().Evidence.Quarantined).To(Equal(held))
		node.end()
		next := begin(t, target, "a", false, false)
		defer next.end()
		pass(10 * time.Second)
		g.Expect(next.members.Own().Evidence).NotTo(BeNil())
		g.Expect(next.members.Own().Evidence.Quarantined).To(Equal(held))
	})
}

// TestABackEndThatSaysNothing does not keep its node from being found.
func TestABackEndThatSaysNothing(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := begin(t, target, "a", true, true)
		defer node.end()
		pass(time.Minute)
		g.Expect(node.stored().Address).To(Equal("a:1"))
		g.Expect(target.writes.Load()).To(BeEquivalentTo(1))
	})
}

// TestANextLife: one read, no write, and knowing its back end. While it has nothing to say it goes on
// as the life before ended; what it says then is above that and does not look like it.
func TestANextLife(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := begin(t, target, "a", true, true)
		before.says("i-1", roster.Ready, 7)
		pass(time.Minute)
		before.end()
		target.writes.Store(0)
		next := begin(t, target, "a", false, true)
		defer next.end()
		pass(time.Minute)
		g.Expect(target.calls()).To(Equal([]int64{0, 1, 0}))
		g.Expect(next.members.Own()).To(Equal(before.members.Own()))
		g.Expect(next.members.View().Digest()).To(Equal(before.members.View().Digest()))
		g.Expect(next.members.Own().Endpoint.ID).To(Equal("i-1"))
		next.says("i-1", roster.Draining, 9)
		g.Expect(next.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(next.members.Own().RunID).NotTo(Equal(before.members.Own().RunID))
	})
}

// TestANextLifeThatDiffers, on another address after one that was leaving, goes above the life before.
func TestANextLifeThatDiffers(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := begin(t, target, "a", true, true)
		before.says("i-1", roster.Ready, 7)
		before.members.Update(func(record roster.Record) (roster.Record, bool) {
			record.Leaving = true
			record.Address = "elsewhere:1"
			return record, true
		})
		pass(time.Minute)
		before.end()
		next := begin(t, target, "a", false, true)
		defer next.end()
		pass(time.Minute)
		g.Expect(next.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(next.members.Own().Leaving).To(BeFalse())
		g.Expect(next.members.Own().Address).To(Equal("a:1"))
		g.Expect(next.members.Own().Endpoint.ID).To(Equal("i-1"))
	})
}

// TestAKeyThatShouldBeAbsent: also at a first start an earlier life's key is found.
func TestAKeyThatShouldBeAbsent(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		before := begin(t, target, "a", true, true)
		before.says("i-1", roster.Draining, 7)
		before.end()
		again := begin(t, target, "a", true, true)
		defer again.end()
		again.says("i-2", roster.Ready, 1)
		pass(time.Minute)
		g.Expect(again.members.Own().Newer(before.members.Own())).To(BeTrue())
		g.Expect(again.stored().Endpoint.ID).To(Equal("i-2"))
	})
}

// TestTwoThatStartTogether: each has read before the other wrote; one that nobody
// was in touch with reads again, and both keys are found.
func TestTwoThatStartTogether(t *testing.T) {
	for name, firstStart := range map[string]bool{"first start": true, "new nodes": false} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, g *WithT, target *countingStore) {
				first, second := begin(t, target, "a", firstStart, false), begin(t, target, "b", firstStart, false)
				defer first.end()
				defer second.end()
				first.says("i-1", roster.Ready, 1)
				second.says("i-2", roster.Ready, 1)
				pass(10 * time.Second)
				g.Expect(first.members.View().Count()).To(Equal(2))
				g.Expect(second.members.View().Count()).To(Equal(2))
			})
		})
	}
}

// TestAlone: a node that stays alone reads more and more rarely.
func TestAlone(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, target *countingStore) {
		node := begin(t, target, "a", true, false)
		defer node.end()
		node.says("i-1", roster.Ready, 1)
		pass(5 * time.Minute)
		g.Expect(target.ranges.Load()).To(BeNumerically(">=", 14))
		g.Expect(target.ranges.Load()).To(BeNumerically("<=", 40))
		node.met.Store(true)
		pass(time.Minute)
		seen := target.ranges.Load()
		pass(time.Hour)
		g.Expect(target.ranges.Load()).To(Equal(seen))
	})
}

// TestAStoreThatIsAway: the node asks again, ever more rarely, and has its key
// written soon after the store is back.
func TestAStoreThatIsAway(t *testing.T) {
	for name, away := range map[string]error{
		"refuses": store.ErrRateLimited, "unavailable": store.ErrUnavailable, "loses answers": store.ErrUnknownOutcome,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, g *WithT, target *countingStore) {
				target.fails.Store(&away)
				node := begin(t, target, "a", false, true)
				defer node.end()
				node.says("i-1", roster.Ready, 1)
				pass(time.Minute)
				calls := target.calls()
				g.Expect(calls[0] + calls[1] + calls[2]).To(BeNumerically("<=", 90))
				target.fails.Store(nil)
				pass(10 * time.Second)
				g.Expect(node.stored().Endpoint.ID).To(Equal("i-1"))
			})
		})
	}
}

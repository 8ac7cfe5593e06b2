package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout/controller"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

const (
	service    = "s"
	newVersion = "v2"
	duration   = 14 * time.Second
)

// fakeStore is a store with one key. It is safe for concurrent use.
type fakeStore struct {
	mu       sync.Mutex // guards all below
	value    []byte
	revision uint64
	calls    int
	// written holds the written phases in order.
	written []rollout.Phase
	// nextFault returns the fault of the next call.
	nextFault func() fault
}

// fault is a fault of a store call.
type fault int

const (
	none fault = iota
	// refused: the call has no effect.
	refused
	// unanswered: the call takes effect without an answer. late: it takes effect seconds later.
	unanswered
	late
)

const lateWriteDelay = 2 * time.Second

func (s *fakeStore) next() fault {
	s.calls++
	if s.nextFault == nil {
		return none
	}
	return s.nextFault()
}

// Get implements controller.Store.
func (s *fakeStore) Get(context.Context, string) (store.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.next() != none:
		return store.KeyValue{}, store.ErrUnavailable
	case s.revision == 0:
		return store.KeyValue{}, store.ErrNotFound
	}
	return store.KeyValue{Value: s.value, Revision: s.revision}, nil
}

// CompareAndSwap implements controller.Store.
func (s *fakeStore) CompareAndSwap(_ context.Context, swap store.Swap) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.next() {
	case refused:
		return 0, store.ErrUnavailable
	case unanswered:
		_, _ = s.swap(swap)
		return 0, store.ErrUnknownOutcome
	case late:
		time.AfterFunc(lateWriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.swap(swap)
		})
		return 0, store.ErrUnknownOutcome
	}
	return s.swap(swap)
}

func (s *fakeStore) swap(swap store.Swap) (uint64, error) {
	if swap.ExpectedRevision != s.revision {
		return 0, store.ErrConflict
	}
	s.revision++
	s.value = swap.Value
	status := controller.Status{}
	if err := json.Unmarshal(swap.Value, &status); err != nil {
		return 0, err
	}
	s.written = append(s.written, status.Phase)
	return s.revision, nil
}

func (s *fakeStore) phase() rollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.written) == 0 {
		return rollout.Trial
	}
	return s.written[len(s.written)-1]
}

// node is a node of the fleet.
type node struct {
	name    string
	members *roster.Roster
	// control is replaced when the node restarts.
	control *controller.Controller
	stop    context.CancelFunc
	alive   bool
}

// fleet is a service with back ends of two versions, each with a node. All nodes read the
// store. It is used by one goroutine.
type fleet struct {
	store  *fakeStore
	nodes  []*node
	random *rand.Rand
}

const oldNodes, newNodes = 4, 4

func newFleet(seed uint64) *fleet {
	f := &fleet{store: &fakeStore{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range oldNodes + newNodes {
		f.nodes = append(f.nodes, &node{name: fmt.Sprint("node-", i)})
	}
	for i := range f.nodes {
		f.startAt(i, time.Now().Add(-settleTime))
	}
	f.gossip()
	return f
}

func versionOf(index int) string {
	if index < oldNodes {
		return "v1"
	}
	return newVersion
}

// settleTime is the time until a node counts as settled.
const settleTime = 5 * time.Second

// start starts the process of a node, without any state.
func (f *fleet) start(index int) { f.startAt(index, time.Now()) }

// startAt starts a process that counts as started at the given time. It shares nothing with the
// previous process, which may still be finishing its last step.
func (f *fleet) startAt(index int, startedAt time.Time) {
	n := f.nodes[index]
	epoch := uint64(1)
	if n.members != nil {
		epoch = n.members.Own().Epoch + 1
	}
	members := roster.New(roster.Record{
		Node: n.name, Epoch: epoch, Counter: 1, Address: n.name,
		Endpoint: &roster.Endpoint{ID: "i-" + n.name, Service: service, Version: versionOf(index), Slots: 4, State: roster.Ready},
	})
	control := controller.New(controller.Options{
		Store: f.store, Members: members,
		Codec: controller.Codec{
			StatusKey:    func(of string) string { return "status/" + of },
			EncodeStatus: func(status controller.Status) ([]byte, error) { return json.Marshal(status) },
			DecodeStatus: func(raw []byte) (status controller.Status, err error) {
				err = json.Unmarshal(raw, &status)
				return status, err
			},
		},
		Limits: rollout.DefaultLimits,
		Load:   func(string, string) float64 { return 0.5 },
		Readers: func() []*roster.Record {
			return slices.DeleteFunc(members.View().Records(), func(record *roster.Record) bool { return record.Gone() })
		},
		Settled:   func() bool { return time.Since(startedAt) >= settleTime },
		Broadcast: func() {}, BroadcastRecord: func() {},
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	members.Observe(control.Follow)
	ctx, stop := context.WithCancel(context.Background())
	n.members, n.control, n.stop, n.alive = members, control, stop, true
	go control.Run(ctx)
}

func (f *fleet) kill(index int) {
	f.nodes[index].alive = false
	f.nodes[index].stop()
}

func (f *fleet) end() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// gossip sends the state of every node to all others.
func (f *fleet) gossip() {
	for _, sender := range f.nodes {
		if !sender.alive {
			continue
		}
		own, states := sender.members.Own(), sender.control.Export()
		for _, receiver := range f.nodes {
			if receiver != sender && receiver.alive {
				receiver.control.Import(states)
				receiver.members.Merge([]*roster.Record{own})
			}
		}
	}
}

func (f *fleet) order(revision uint64) {
	for _, n := range f.nodes {
		if n.alive {
			n.control.ApplyOrder(rollout.Order{Service: service, Version: newVersion, Revision: revision, Duration: duration})
		}
	}
}

// request sends one request through a random node and returns the version that took it; empty
// if none did.
func (f *fleet) request(bad func(*node) bool) string {
	from := f.nodes[f.random.IntN(len(f.nodes))]
	if !from.alive {
		return ""
	}
	selected := rollout.All()
	if plan := from.control.Plan(service); plan != nil {
		selected = plan.Select(false)
	}
	var candidates []int
	for i, other := range f.nodes {
		if record := from.members.View().Record(other.name); record != nil && (selected.Admits == nil || selected.Admits(record)) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	index := candidates[f.random.IntN(len(candidates))]
	target := f.nodes[index]
	if !target.alive || target.control.Refuses() {
		return ""
	}
	if target.control.Judges() {
		target.control.Answered(rollout.Answer{Route: "r", Failed: bad(target), BaselineRates: rollout.BaselineRates{Failing: 0.01, Slow: 0.01}})
	}
	return target.members.Own().Endpoint.Version
}

func neverBad(*node) bool { return false }

// run sends requests for the given time and exchanges the nodes' states ten times a second.
func (f *fleet) run(length time.Duration, bad func(*node) bool) (counts map[string]int) {
	const perSecond = 400
	counts = map[string]int{}
	until := time.Now().Add(length)
	for number := 0; time.Now().Before(until); number++ {
		counts[f.request(bad)]++
		if number%(perSecond/10) == 0 {
			f.gossip()
		}
		time.Sleep(time.Second / perSecond)
	}
	return counts
}

// TestGoodVersionIsPromoted checks that a good version is on trial, then promoted, then
// completed by the deadline, with few calls to the store.
func TestGoodVersionIsPromoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		defer f.end()
		f.order(7)
		counts := f.run(12*time.Second, neverBad)
		g.Expect(f.store.phase()).To(Equal(rollout.Trial))
		g.Expect(counts[newVersion]).To(And(BeNumerically(">", 60), BeNumerically("<", 12*400/20)), "some 3 in 100 requests and the slack")
		f.run(2*time.Second, neverBad)
		g.Expect(f.store.written).To(Equal([]rollout.Phase{rollout.Trial, rollout.Promoting, rollout.Completed}))
		counts = f.run(time.Second, neverBad)
		g.Expect(counts["v1"]).To(BeZero())
		g.Expect(f.store.calls).To(BeNumerically("<=", 2*3+len(f.nodes)), "a read and a write per phase, and one read by each node whose turn comes")
	})
}

// TestBadVersionIsRolledBack checks that a bad version gets nothing from any node after a few
// bad answers and that the rollback is recorded in the store.
func TestBadVersionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(2)
		defer f.end()
		f.order(7)
		answers := 0
		counts := f.run(6*time.Second, func(*node) bool {
			answers++
			return answers%3 == 0
		})
		g.Expect(f.store.phase()).To(Equal(rollout.RolledBack))
		g.Expect(answers).To(BeNumerically("<", 100))
		g.Expect(counts[newVersion]).To(Equal(answers))
		counts = f.run(10*time.Second, neverBad)
		g.Expect(counts[newVersion]).To(BeZero())
		g.Expect(f.store.phase()).To(Equal(rollout.RolledBack))
	})
}

// TestStoreUnavailable checks that without the store a bad version still gets nothing and a
// good one is not promoted.
func TestStoreUnavailable(t *testing.T) {
	for name, bad := range map[string]func(*node) bool{"good": neverBad, "bad": func(*node) bool { return true }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(3)
				defer f.end()
				f.order(7)
				f.run(3*time.Second, neverBad)
				f.store.mu.Lock()
				f.store.nextFault = func() fault { return refused }
				f.store.mu.Unlock()
				f.run(3*time.Second, bad)
				counts := f.run(13*time.Second, bad)
				g.Expect(f.store.written).To(Equal([]rollout.Phase{rollout.Trial}))
				g.Expect(counts["v1"]).To(BeNumerically(">", 4500))
				g.Expect(f.run(time.Second, bad)[newVersion]).To(BeZero(), "without a result it is rolled back after the deadline")
				f.store.mu.Lock()
				f.store.nextFault = nil
				f.store.mu.Unlock()
				f.run(3*time.Second, bad)
				g.Expect(f.store.phase()).To(Equal(rollout.RolledBack))
			})
		})
	}
}

// TestVersionWithoutOrder checks that a version without an order gets nothing until an order
// arrives, or until maxWithhold has passed and it counts as deployed in another way.
func TestVersionWithoutOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(4)
		defer f.end()
		counts := f.run(9*time.Second, neverBad)
		g.Expect(counts["v1"]).To(BeNumerically(">", 1500))
		for _, n := range f.nodes[:oldNodes] {
			plan := n.control.Plan(service)
			g.Expect(plan).NotTo(BeNil(), n.name)
			g.Expect(plan.Select(false).Admits(f.nodes[oldNodes].members.Own())).To(BeFalse(), n.name)
		}
		f.run(2*time.Second, neverBad)
		for _, n := range f.nodes {
			g.Expect(n.control.Plan(service)).To(BeNil(), n.name)
		}
	})
}

// TestRestartedNode checks that a node that has just started takes all versions for versions in
// use, in whichever order their records arrive.
func TestRestartedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(5)
		defer f.end()
		f.order(7)
		f.run(2*time.Second, neverBad)
		started := f.nodes[oldNodes]
		f.kill(oldNodes)
		f.start(oldNodes)
		started.control.Import(f.nodes[0].control.Export())
		started.members.Merge([]*roster.Record{f.nodes[oldNodes+1].members.Own()})
		started.members.Merge([]*roster.Record{f.nodes[0].members.Own()})
		g.Expect(started.control.Plan(service).Select(true).Admits(f.nodes[0].members.Own())).To(BeTrue())
	})
}

// runIdle exchanges states for the given time without requests.
func (f *fleet) runIdle(length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		f.gossip()
	}
}

// endOldVersion ends all back ends of the old version, with their nodes.
func (f *fleet) endOldVersion() {
	for index := range oldNodes {
		f.kill(index)
		gone, _ := f.nodes[index].members.Own().MarkEnded(roster.Incarnation{ID: "i-" + f.nodes[index].name})
		gone.Counter++
		for _, n := range f.nodes[oldNodes:] {
			n.members.Merge([]*roster.Record{&gone})
		}
	}
	f.nodes = f.nodes[oldNodes:]
}

// TestOnlyVersionLeft checks that a version is not rolled back for lack of evidence if no other
// version is left.
func TestOnlyVersionLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(7)
		defer f.end()
		f.order(7)
		f.runIdle(3 * time.Second)
		f.endOldVersion()
		f.runIdle(duration)
		g.Expect(f.store.phase()).To(Equal(rollout.Completed))
		g.Expect(f.run(time.Second, neverBad)[""]).To(BeZero())
	})
}

// setLeaving starts or ends a planned restart of the nodes of the old version.
func (f *fleet) setLeaving(leaving bool) {
	for _, n := range f.nodes[:oldNodes] {
		n.members.Update(func(record roster.Record) (roster.Record, bool) {
			record.Leaving = leaving
			return record, true
		})
	}
	f.gossip()
}

// TestOrderWhileOldVersionRestarts guards against a bad version that counts as the only one in use because the nodes
// of the others are being restarted.
func TestOrderWhileOldVersionRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(8)
		defer f.end()
		f.runIdle(settleTime)
		f.setLeaving(true)
		f.order(7)
		bad := func(*node) bool { return f.random.Float64() < 0.5 }
		counts := f.run(3*time.Second, bad)
		g.Expect(f.store.phase()).To(Equal(rollout.Trial))
		g.Expect(counts[newVersion]).To(BeZero(), "nothing to compare with")
		f.setLeaving(false)
		f.run(duration, bad)
		g.Expect(f.store.phase()).To(Equal(rollout.RolledBack))
	})
}

// TestOrderForVersionInUse checks that an order for the version in use never leaves requests
// without back ends, with and without traffic, and with bad answers.
func TestOrderForVersionInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(6)
		defer f.end()
		f.order(7)
		f.run(duration, neverBad)
		g.Expect(f.store.phase()).To(Equal(rollout.Completed))
		f.endOldVersion()
		f.order(8)
		g.Expect(f.run(duration+time.Second, neverBad)[""]).To(BeZero())
		f.order(9)
		f.runIdle(duration + time.Second)
		g.Expect(f.run(time.Second, neverBad)[""]).To(BeZero())
		f.order(10)
		g.Expect(f.run(duration+time.Second, func(*node) bool { return f.random.Float64() < 0.5 })[""]).To(BeZero())
		g.Expect(f.store.phase()).To(Equal(rollout.Completed))
		g.Expect(f.store.revision).To(BeEquivalentTo(3+3), "three phases of the first order and one of each repeated order")
	})
}

// TestRandomFaults runs rollouts with random evidence, store faults and node restarts. No write
// follows a final phase, a final phase is reached soon after the deadline once the store works
// again, and then all nodes act on it.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(seed)
				defer f.end()
				badFraction := []float64{0, 0, 0.1, 0.4, 1}[f.random.IntN(5)]
				bad := func(*node) bool { return f.random.Float64() < badFraction }
				faultProbability := f.random.Float64() * 0.6
				faults := rand.New(rand.NewPCG(seed, 2)) // accessed with the store's lock held
				f.store.nextFault = func() fault {
					if faults.Float64() >= faultProbability {
						return none
					}
					return []fault{refused, unanswered, late}[faults.IntN(3)]
				}
				f.order(7)
				for range 16 {
					f.run(time.Second, bad)
					for i, n := range f.nodes {
						switch {
						case !n.alive:
							f.start(i)
							n.control.ApplyOrder(rollout.Order{Service: service, Version: newVersion, Revision: 7, Duration: duration})
						case f.random.Float64() < 0.08:
							f.kill(i)
						}
					}
				}
				f.store.mu.Lock()
				f.store.nextFault = nil
				f.store.mu.Unlock()
				for i, n := range f.nodes {
					if !n.alive {
						f.start(i)
						n.control.ApplyOrder(rollout.Order{Service: service, Version: newVersion, Revision: 7, Duration: duration})
					}
				}
				f.run(12*time.Second, bad)
				last := f.store.phase()
				g.Expect(last.Final()).To(BeTrue(), "%v", f.store.written)
				for i, phase := range f.store.written[:len(f.store.written)-1] {
					g.Expect(phase.Final()).To(BeFalse(), "a write follows %s at %d: %v", phase, i, f.store.written)
				}
				counts := f.run(time.Second, bad)
				other := "v1"
				if last == rollout.RolledBack {
					other = newVersion
				}
				g.Expect(counts[other]).To(BeZero(), "%v", f.store.written)
			})
		})
	}
}

// restore restores the store from a copy with the given value and revision counter in a new
// era, and the operator writes the order again.
func (f *fleet) restore(era uint64, value []byte, counter uint64) {
	f.store.mu.Lock()
	f.store.value, f.store.revision = value, store.RevisionIn(era, counter)
	if counter == 0 {
		f.store.revision = 0
	}
	f.store.mu.Unlock()
	for _, n := range f.nodes {
		if n.alive {
			n.control.Restored()
		}
	}
	f.order(store.RevisionIn(era, 3))
}

// TestStoreRestoredFromCopy restores the store from older copies up to three times at any step
// of a rollout. A decision must be kept and written again, and the rollout must end as it would
// have.
func TestStoreRestoredFromCopy(t *testing.T) {
	for seed := range uint64(restoreSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(seed)
				defer f.end()
				bad := neverBad
				if seed%3 == 0 {
					bad = func(*node) bool { return f.random.Float64() < 0.4 }
				}
				f.order(store.RevisionIn(1, 500))
				type storeCopy struct {
					value   []byte
					counter uint64
				}
				copies := []storeCopy{{}}
				decided := rollout.Trial
				restores := 1 + f.random.IntN(3)
				for second := range 18 {
					f.run(time.Second, bad)
					f.store.mu.Lock()
					copies = append(copies, storeCopy{value: f.store.value, counter: store.CounterOf(f.store.revision)})
					f.store.mu.Unlock()
					if phase := f.store.phase(); phase.Final() && !decided.Final() {
						decided = phase
					}
					if restores > 0 && f.random.IntN(18-second) < restores {
						from := copies[max(0, len(copies)-1-f.random.IntN(5))]
						f.restore(uint64(5-restores), from.value, from.counter)
						restores--
					}
				}
				f.run(3*time.Second, bad)
				last := f.store.phase()
				g.Expect(last.Final()).To(BeTrue(), "%v", f.store.written)
				if decided.Final() {
					g.Expect(last).To(Equal(decided), "%v", f.store.written)
				}
				f.store.mu.Lock()
				stored := controller.Status{}
				g.Expect(json.Unmarshal(f.store.value, &stored)).To(Succeed())
				f.store.mu.Unlock()
				g.Expect(stored.Phase).To(Equal(last), "the store has recorded the final phase")
				other := "v1"
				if last == rollout.RolledBack {
					other = newVersion
				}
				g.Expect(f.run(time.Second, bad)[other]).To(BeZero())
			})
		})
	}
}

// restoreSeeds is the number of simulated rollouts; 1,000 were run manually.
const restoreSeeds = 30

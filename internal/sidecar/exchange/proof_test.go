package exchange

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// smallestBound is the shortest bound that a deployment sets for a version to be in force.
const smallestBound = 2 * time.Second

// TestStaleProofDoesNotConfirm checks that a request is not refused for good because a reader that is
// cut off from the store holds an equal version: its proof is old and says nothing about newer versions.
func TestStaleProofDoesNotConfirm(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		peer.keeper.RecordProof(7, time.Now())
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "the proof is new")
		time.Sleep(5 * smallestBound)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "the proof is old")
		peer.keeper.RecordProof(7, time.Now())
		time.Sleep(smallestBound / 4)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "the reader has fresh proof again")
	})
}

// TestConfirmFindsNewerVersionInOtherZone checks that a request is not refused for good when the reader of
// the own zone is cut off from the store while one of another zone holds the next version.
func TestConfirmFindsNewerVersionInOtherZone(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
				far := newVirtualMember(in, "far", "other")
				far.offer(t, 7)
				far.offer(t, 8)
				late.exchanger.options.Roster.Merge([]*roster.Record{peer.record, far.record})
				late.keeper.RecordProof(7, time.Now())
				peer.keeper.RecordProof(7, time.Now())
				time.Sleep(smallestBound)
				far.keeper.RecordProof(8, time.Now())
				g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue())
				g.Expect(late.keeper.Version()).To(BeEquivalentTo(8))
			})
		})
	}
}

// TestConfirmAcceptsExistingProof checks that nodes that hang do not delay a refusal by a node whose own
// proof is fresh.
func TestConfirmAcceptsExistingProof(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		var hanging []*roster.Record
		for i := range 8 {
			address := fmt.Sprintf("hanging-%d:1", i)
			in.set(address, silent)
			hanging = append(hanging, &roster.Record{Node: fmt.Sprint("hanging-", i), Epoch: 1, Counter: 1, Zone: "near", PeerAddress: address})
		}
		late.exchanger.options.Roster.Merge(hanging)
		late.keeper.RecordProof(7, time.Now())
		began := time.Now()
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue())
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*confirmHedgeDelay))
	})
}

// sharedStore holds the newest version of a fleet.
type sharedStore struct{ version atomic.Uint64 }

var errRefused = errors.New("call refused")

// storeMember is a virtual member with a store that may refuse its calls.
type storeMember struct {
	*virtualMember
	store *sharedStore
	// unavailable: the store refuses all calls of the node. refuses: it refuses only reads for lack of proof.
	unavailable, refuses atomic.Bool
	// phase and watchPhase delay the start of the node and of its watch, so that no two of them act at the same
	// moment: a play of a seed would depend on the scheduler otherwise.
	phase, watchPhase time.Duration
	// calls counts the calls of the watch, reads those for lack of proof.
	calls, reads atomic.Int64
}

// read reads the store like configuration.Refresh.
func (m *storeMember) read(context.Context) error {
	m.reads.Add(1)
	asked := time.Now()
	if m.unavailable.Load() || m.refuses.Load() {
		return errRefused
	}
	version := m.store.version.Load()
	if err := m.keeper.Offer(fmt.Append(nil, version), configuration.SourceRead); err != nil && !errors.Is(err, configuration.ErrNotNewer) {
		return err
	}
	m.keeper.RecordProof(version, asked)
	return nil
}

// lookInterval is the time between two looks of a watch at the store.
const lookInterval = 10 * time.Millisecond

// follow watches the store as the node with the given rank among count readers. A call that returns a
// version proves nothing later than its start; one that times out proves its end. A version that the
// node already has from a peer ends the call too.
func (m *storeMember) follow(ctx context.Context, rank, count int) {
	const rest, spacing = 550 * time.Millisecond, smallestBound * 3 / 10
	time.Sleep(m.watchPhase)
	began := time.Now()
	due := began.Add(time.Duration(rank) * spacing)
	seen := m.store.version.Load()
	for ; ctx.Err() == nil; time.Sleep(lookInterval) {
		version := m.store.version.Load()
		switch {
		case m.unavailable.Load():
		case version != seen:
			seen = version
			m.calls.Add(1)
			_ = m.keeper.Offer(fmt.Append(nil, version), configuration.SourceWatch)
			m.keeper.RecordProof(version, began)
			began = time.Now().Add(rest)
			due = began.Add(time.Duration(rank) * spacing)
		case !time.Now().Before(due):
			m.calls.Add(1)
			m.keeper.RecordProof(version, time.Now())
			began = time.Now()
			due = began.Add(time.Duration(count) * spacing)
		}
	}
}

// zoneSize is a zone with its number of nodes.
type zoneSize struct {
	name  string
	nodes int
}

// delayed returns a dialer whose connections delay what they send. The delay of each pair of nodes is fixed by the
// seed, so that no two messages arrive at the same moment: a play of a seed would depend on the scheduler otherwise.
func (n *network) delayed(from string, seed uint64) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := n.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		delay := time.Duration(xxhash.Sum64String(fmt.Sprint(seed, from, address)) % uint64(maxDelay))
		return &delayedConn{Conn: conn, delay: delay}, nil
	}
}

// maxDelay is the longest delay of a message.
const maxDelay = time.Millisecond

// delayedConn delays what is sent.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// fleet returns nodes in zones on one network that know each other and exchange until the
// context ends.
func fleet(ctx context.Context, t *testing.T, in *network, zones []zoneSize, store *sharedStore, seed uint64) []*storeMember {
	random := rand.New(rand.NewPCG(seed, 0))
	var made []*storeMember
	for _, zone := range zones {
		for i := range zone.nodes {
			name := fmt.Sprintf("%s-%d", zone.name, i)
			member := &storeMember{virtualMember: newSeededMember(in.delayed(name, seed), in, name, zone.name, 1+random.Uint64N(math.MaxUint64)), store: store}
			member.phase = time.Duration(random.Int64N(int64(lookInterval)))
			member.watchPhase = time.Duration(random.Int64N(int64(lookInterval)))
			member.refresh = member.read
			made = append(made, member)
		}
	}
	for _, member := range made {
		for _, other := range made {
			member.exchanger.options.Roster.Merge([]*roster.Record{other.record})
		}
		member.offer(t, store.version.Load())
		member.keeper.Observe(func(_ *route.Table, source configuration.Source) {
			switch source {
			case configuration.SourceWatch:
				go member.exchanger.AnnounceVersion()
			case configuration.SourceRead:
				go member.exchanger.Broadcast(ctx)
				go member.exchanger.AnnounceVersion()
			}
		})
		go func() {
			time.Sleep(member.phase)
			member.exchanger.Run(ctx)
		}()
	}
	return made
}

// readersOf returns the members that are readers.
func readersOf(members []*storeMember) (found []*storeMember) {
	for _, member := range members {
		if readers.IsReader(member.exchanger.options.Roster.View(), member.record, member.exchanger.Reachable) {
			found = append(found, member)
		}
	}
	return found
}

// runFleet runs a test with ten nodes in three zones that hold version 7, as the store does; the readers
// follow the store. The seed determines all that is drawn at random.
func runFleet(t *testing.T, seed uint64, test func(g *WithT, members, following []*storeMember, store *sharedStore)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		in := &network{nodes: map[string]func(net.Conn){}}
		store := &sharedStore{}
		store.version.Store(7)
		members := fleet(ctx, t, in, []zoneSize{{"a", 4}, {"b", 3}, {"c", 3}}, store, seed)
		following := readersOf(members)
		g.Expect(following).To(HaveLen(6))
		for i, member := range following {
			go member.follow(ctx, i, len(following))
		}
		defer func() { // also after a failure, so that the goroutines of the fleet end
			end()
			in.close()
			time.Sleep(time.Minute)
		}()
		time.Sleep(10 * time.Second)
		test(g, members, following, store)
	})
}

// TestNodesReadStoreWhenReadersAreCutOff checks that a version reaches the other nodes in time when the
// store refuses the readers but not them.
func TestNodesReadStoreWhenReadersAreCutOff(t *testing.T) {
	for round := range 10 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			runFleet(t, uint64(round), func(g *WithT, members, following []*storeMember, store *sharedStore) {
				for _, member := range following {
					member.unavailable.Store(true)
				}
				time.Sleep(time.Duration(round) * smallestBound / 10)
				store.version.Store(8)
				time.Sleep(smallestBound)
				for _, member := range members {
					if !member.unavailable.Load() {
						g.Expect(member.keeper.Version()).To(BeEquivalentTo(8), member.record.Node)
					}
				}
			})
		})
	}
}

// TestWatchesAreProofEnoughWhileAllIsWell checks that a healthy fleet hardly reads the store for proof: at
// most one read per 20 calls of the watches.
func TestWatchesAreProofEnoughWhileAllIsWell(t *testing.T) {
	for _, seed := range []uint64{1, 73, 104} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, seed, func(g *WithT, members, _ []*storeMember, store *sharedStore) {
				for _, member := range members {
					member.refuses.Store(true)
				}
				count := func() (calls, reads int64) {
					for _, member := range members {
						calls += member.calls.Load()
						reads += member.reads.Load()
					}
					return calls, reads
				}
				callsBefore, readsBefore := count()
				for range 20 {
					store.version.Add(1)
					time.Sleep(3 * time.Second)
				}
				calls, reads := count()
				t.Logf("%d reads, %d calls", reads-readsBefore, calls-callsBefore)
				g.Expect(reads-readsBefore).To(BeNumerically("<=", (calls-callsBefore)/20), "of %d calls", calls-callsBefore)
			})
		})
	}
}

// TestStoreReadsAreBoundedWhileUnavailable checks that few nodes read the store for proof while it refuses
// calls, whatever the size of the fleet: refused calls are billed too.
func TestStoreReadsAreBoundedWhileUnavailable(t *testing.T) {
	for _, size := range []int{10, 300, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				in := &network{nodes: map[string]func(net.Conn){}}
				var calls atomic.Int64
				nodes := make([]*proofChecker, size)
				known := manyRecords(size - 1)
				for i := range nodes {
					made := newVirtualMember(in, fmt.Sprintf("looking-%d", i), "zone")
					made.exchanger.options.Roster.Merge(known)
					made.refresh = func(context.Context) error {
						calls.Add(1)
						return errRefused
					}
					nodes[i] = made.exchanger.proof
				}
				const span = time.Minute
				for began := time.Now(); time.Since(began) < span; time.Sleep(minCheckPause) {
					for _, node := range nodes {
						node.readStoreInTurn(t.Context())
					}
				}
				synctest.Wait()
				g.Expect(calls.Load()).To(BeNumerically("<=", 5*span.Seconds()), "calls per second")
				g.Expect(calls.Load()).To(BeNumerically(">=", span.Seconds()), "calls per second")
			})
		})
	}
}

// TestInvalidProofAgeIsIgnored checks that a negative age, or one that overflows or exceeds the limit,
// proves nothing.
func TestInvalidProofAgeIsIgnored(t *testing.T) {
	for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1000, maxProofAge.Microseconds() + 1} {
		runWithPeer(t, func(_ *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
			late.exchanger.proof.recordProof(7, &age, time.Now())
			_, proven := late.keeper.ProofAge()
			g.Expect(proven).To(BeFalse())
		})
	}
}

// TestNewProofResetsPauseOfChecks guards against long pauses between checks that each bring new proof, which is
// too old again at the next check.
func TestNewProofResetsPauseOfChecks(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		limits := late.exchanger.limits
		ctx, end := context.WithCancel(t.Context())
		go late.exchanger.proof.run(ctx)
		late.keeper.RecordProof(7, time.Now())
		for began := time.Now(); time.Since(began) < 10*limits.storeReads; time.Sleep(minPollInterval) {
			peer.keeper.RecordProof(7, time.Now().Add(2*minPollInterval-limits.refresh))
			age, _ := late.keeper.ProofAge()
			g.Expect(age).To(BeNumerically("<=", limits.refresh+minCheckPause))
		}
		end()
		time.Sleep(time.Second)
	})
}

// TestStoreReadPauseResetsAfterProof checks that the rounds of store reads start again with the shortest
// pause after new proof, also when another node provided it.
func TestStoreReadPauseResetsAfterProof(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
		var calls atomic.Int64
		late.refresh = func(context.Context) error {
			calls.Add(1)
			return errRefused
		}
		ctx, end := context.WithCancel(t.Context())
		go late.exchanger.proof.run(ctx)
		time.Sleep(time.Minute)
		late.keeper.RecordProof(7, time.Now())
		time.Sleep(smallestBound / 4)
		began := calls.Load()
		time.Sleep(smallestBound)
		g.Expect(calls.Load()-began).To(BeNumerically(">=", 3), "within the bound")
		end()
		time.Sleep(time.Second)
	})
}

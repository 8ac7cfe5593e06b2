package exchange

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// smallestBound is the shortest time that a deployment leaves until a version is in force.
const smallestBound = 2 * time.Second

// TestNoFinalRefusalOnTheWordOfAReaderThatHearsNothing: an equal version whose proof is old says
// nothing about newer ones.
func TestNoFinalRefusalOnTheWordOfAReaderThatHearsNothing(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		peer.keeper.RecordProof(7, time.Now())
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "the proof is new")
		time.Sleep(5 * smallestBound)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "the proof is old")
		peer.keeper.RecordProof(7, time.Now())
		time.Sleep(smallestBound / 4)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "the reader hears again")
	})
}

// TestNoFinalRefusalWhileAnotherZoneKnowsBetter: the reader of the own zone hears nothing, one of
// another zone holds the next version.
func TestNoFinalRefusalWhileAnotherZoneKnowsBetter(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
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

// TestProofFromElsewhereEndsTheWaitOfARefusal: nodes that hang hold up nobody whose proof is new.
func TestProofFromElsewhereEndsTheWaitOfARefusal(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
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

var errTurnedAway = errors.New("turned away")

// storeMember is a virtual member with a store that may turn it away.
type storeMember struct {
	*virtualMember
	store *sharedStore
	// away: the store turns the node away. refuses: it does so with reads for want of proof only.
	away, refuses atomic.Bool
	// calls counts those of the watch, reads those for want of proof.
	calls, reads atomic.Int64
}

// read takes in what the store holds, as a read of the place does.
func (m *storeMember) read(context.Context) error {
	m.reads.Add(1)
	asked := time.Now()
	if m.away.Load() || m.refuses.Load() {
		return errTurnedAway
	}
	version := m.store.version.Load()
	if err := m.keeper.Offer(fmt.Append(nil, version), configuration.SourceRead); err != nil && !errors.Is(err, configuration.ErrNotNewer) {
		return err
	}
	m.keeper.RecordProof(version, asked)
	return nil
}

// follow watches the store as the one of so many nodes that has the rank: a call that brings a
// version proves nothing later than its beginning, one that runs out its end.
func (m *storeMember) follow(ctx context.Context, rank, count int) {
	const look, rest, spacing = 10 * time.Millisecond, 550 * time.Millisecond, smallestBound * 3 / 10
	began := time.Now()
	due := began.Add(time.Duration(rank) * spacing)
	for ; ctx.Err() == nil; time.Sleep(look) {
		version := m.store.version.Load()
		switch {
		case m.away.Load():
		case version != m.keeper.Version():
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

// fleet returns nodes in zones on one network that know each other and exchange until the
// context ends.
func fleet(ctx context.Context, t *testing.T, in *network, sizes map[string]int, store *sharedStore) []*storeMember {
	var made []*storeMember
	for zone, size := range sizes {
		for i := range size {
			member := &storeMember{virtualMember: newVirtualMember(in, fmt.Sprintf("%s-%d", zone, i), zone), store: store}
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
		go member.exchanger.Run(ctx)
	}
	return made
}

// reading returns those of the members that read the store.
func reading(members []*storeMember) (found []*storeMember) {
	for _, member := range members {
		if readers.IsReader(member.exchanger.options.Roster.View(), member.record, member.exchanger.Reachable) {
			found = append(found, member)
		}
	}
	return found
}

// playFleet runs a test with ten nodes in three zones that hold version 7, as the store does; those
// that read follow it.
func playFleet(t *testing.T, test func(g *WithT, members, following []*storeMember, store *sharedStore)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(t.Context())
		in := &network{nodes: map[string]func(net.Conn){}}
		store := &sharedStore{}
		store.version.Store(7)
		members := fleet(ctx, t, in, map[string]int{"a": 4, "b": 3, "c": 3}, store)
		following := reading(members)
		g.Expect(following).To(HaveLen(6))
		for i, member := range following {
			go member.follow(ctx, i, len(following))
		}
		time.Sleep(10 * time.Second)
		test(g, members, following, store)
		end()
		in.close()
		time.Sleep(time.Minute)
	})
}

// TestAVersionReachesNodesWhoseReadersHearNothing in time, when they reach the store themselves.
func TestAVersionReachesNodesWhoseReadersHearNothing(t *testing.T) {
	for round := range 10 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			playFleet(t, func(g *WithT, members, following []*storeMember, store *sharedStore) {
				for _, member := range following {
					member.away.Store(true)
				}
				time.Sleep(time.Duration(round) * smallestBound / 10)
				store.version.Store(8)
				time.Sleep(smallestBound)
				for _, member := range members {
					if !member.away.Load() {
						g.Expect(member.keeper.Version()).To(BeEquivalentTo(8), member.record.Node)
					}
				}
			})
		})
	}
}

// TestWatchesAreProofEnoughWhileAllIsWell: hardly a call of the store is made for proof beside them.
func TestWatchesAreProofEnoughWhileAllIsWell(t *testing.T) {
	playFleet(t, func(g *WithT, members, _ []*storeMember, store *sharedStore) {
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
		g.Expect(reads-readsBefore).To(BeNumerically("<=", (calls-callsBefore)/20), "of %d calls", calls-callsBefore)
	})
}

// TestFewReadTheStoreForProofWhileItIsAway, whatever the size of the fleet: calls that are turned
// away are paid for as well.
func TestFewReadTheStoreForProofWhileItIsAway(t *testing.T) {
	for _, size := range []int{10, 300, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				in := &network{nodes: map[string]func(net.Conn){}}
				var calls atomic.Int64
				nodes := make([]*proofChecker, size)
				known := crowd(size - 1)
				for i := range nodes {
					made := newVirtualMember(in, fmt.Sprintf("looking-%d", i), "zone")
					made.exchanger.options.Roster.Merge(known)
					made.refresh = func(context.Context) error {
						calls.Add(1)
						return errTurnedAway
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
				g.Expect(calls.Load()).To(BeNumerically("<=", 5*span.Seconds()), "a second")
				g.Expect(calls.Load()).To(BeNumerically(">=", span.Seconds()), "a second")
			})
		})
	}
}

// TestAProofAgeThatCannotBeProvesNothing: below zero, or so great that it cannot be counted.
func TestAProofAgeThatCannotBeProvesNothing(t *testing.T) {
	for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1000, maxProofAge.Microseconds() + 1} {
		play(t, func(_ *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
			late.exchanger.proof.recordProof(7, &age, time.Now())
			_, proven := late.keeper.ProofAge()
			g.Expect(proven).To(BeFalse())
		})
	}
}

// TestRoundsBeginAnewAfterNewProof, also when another node has brought it.
func TestRoundsBeginAnewAfterNewProof(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
		var calls atomic.Int64
		late.refresh = func(context.Context) error {
			calls.Add(1)
			return errTurnedAway
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

package exchange

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestSourcesAreAskedInOrder: whoever has not failed first, of those whoever spoke last.
func TestSourcesAreAskedInOrder(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	known := &sources{}
	hear := func(node string, version uint64, now time.Time, delay time.Duration) {
		known.report(&roster.Record{Node: node}, version, now, delay)
	}
	hear("early", 8, at(0), 0)
	hear("late", 8, at(10), 0)
	hear("old", 6, at(20), 0)
	hear("far", 9, at(20), 100*time.Millisecond)
	g.Expect(known.next(7, at(30)).peer.Node).To(Equal("late"))
	g.Expect(known.untried(7)).To(BeTrue())
	known.next(7, at(30)).fetching = true
	g.Expect(known.next(7, at(30)).peer.Node).To(Equal("early"))
	known.next(7, at(30)).recordFailure(at(30))
	g.Expect(known.next(7, at(30))).To(BeNil(), "one is asked, one has failed, one is not due, one has nothing newer")
	g.Expect(known.wait(7, at(30), time.Minute)).To(Equal(90 * time.Millisecond))
	hear("far", 9, at(40), time.Hour)
	g.Expect(known.next(7, at(130)).peer.Node).To(Equal("far"), "what was said again does not delay it")
	known.next(7, at(130)).recordFailure(at(130))
	g.Expect(known.untried(7)).To(BeFalse())
	g.Expect(known.next(7, at(231)).peer.Node).To(Equal("early"), "as often in vain, due before")
	for range 20 {
		known.all["early"].recordFailure(at(0))
	}
	g.Expect(known.all["early"].notBefore).To(Equal(at(0).Add(retryMax)))
	known.clear()
	g.Expect(known.next(0, at(1000000))).To(BeNil())
}

// play runs a test with a late node, which holds version 7, and a peer on a virtual clock.
func play(t *testing.T, test func(t *testing.T, g *WithT, late, peer *virtualMember, in *network)) {
	synctest.Test(t, func(t *testing.T) {
		in := &network{nodes: map[string]func(net.Conn){}}
		defer synctest.Wait()
		defer in.close()
		defer time.Sleep(2 * storeTimeout) // what is under way ends
		late, peer := newVirtualMember(in, "late", "near"), newVirtualMember(in, "peer", "near")
		late.offer(t, 7)
		peer.offer(t, 7)
		test(t, NewWithT(t), late, peer, in)
	})
}

// TestNewsThatComesMeanwhileIsNotLost: a version that is told of while an older one is fetched
// is fetched too, without being told of again.
func TestNewsThatComesMeanwhileIsNotLost(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		answer := in.nodes[peer.record.PeerAddress]
		in.set(peer.record.PeerAddress, func(connection net.Conn) {
			time.Sleep(40 * time.Millisecond)
			answer(connection)
		})
		peer.offer(t, 8)
		late.exchanger.HandlePeerVersion(peer.record, 8)
		time.Sleep(20 * time.Millisecond)
		late.exchanger.HandlePeerVersion(peer.record, 9)
		time.Sleep(300 * time.Millisecond)
		peer.offer(t, 9) // the peer had it announced before it was in force
		time.Sleep(time.Second)
		g.Expect(late.keeper.Version()).To(BeEquivalentTo(9))
	})
}

// TestTheNextVersionIsFetchedToo: after a node has caught up it does so again.
func TestTheNextVersionIsFetchedToo(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		for version := uint64(8); version < 20; version++ {
			peer.offer(t, version)
			late.exchanger.HandlePeerVersion(peer.record, version)
			time.Sleep(100 * time.Millisecond)
			g.Expect(late.keeper.Version()).To(Equal(version))
		}
	})
}

// TestTheStoreIsAskedAtLast: when no peer brings the version the store is asked, with growing
// pauses, since its calls are paid for; one that it does not have was claimed wrongly and is
// not looked for any more.
func TestTheStoreIsAskedAtLast(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
		var calls atomic.Int64
		var healthy atomic.Bool
		late.refresh = func(context.Context) error {
			calls.Add(1)
			if healthy.Load() {
				return nil
			}
			return errors.New("turned away")
		}
		late.exchanger.HandlePeerVersion(&roster.Record{Node: "nobody", Zone: "near", PeerAddress: "nobody:1"}, 8)
		time.Sleep(storeDelay - time.Millisecond)
		g.Expect(calls.Load()).To(BeZero())
		time.Sleep(time.Minute)
		g.Expect(calls.Load()).To(And(BeNumerically(">=", 10), BeNumerically("<=", 25)))
		healthy.Store(true)
		time.Sleep(2 * maxStorePause)
		g.Expect(late.exchanger.updater.upToDate()).To(BeTrue())
		before := calls.Load()
		time.Sleep(time.Minute)
		g.Expect(calls.Load()).To(Equal(before))
	})
}

// TestAnOldAnswerOfTheStore says nothing of a version that was heard of after the question.
func TestAnOldAnswerOfTheStore(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		asked := make(chan struct{}, 1)
		late.refresh = func(context.Context) error {
			asked <- struct{}{}
			time.Sleep(time.Second)
			return nil
		}
		late.exchanger.HandlePeerVersion(&roster.Record{Node: "nobody", Zone: "near", PeerAddress: "nobody:1"}, 8)
		<-asked
		answer := in.nodes[peer.record.PeerAddress]
		in.set(peer.record.PeerAddress, nil)
		late.exchanger.HandlePeerVersion(peer.record, 9)
		time.Sleep(1100 * time.Millisecond)
		g.Expect(late.exchanger.updater.upToDate()).To(BeFalse())
		peer.offer(t, 9)
		in.set(peer.record.PeerAddress, answer)
		time.Sleep(2 * retryMax)
		g.Expect(late.keeper.Version()).To(BeEquivalentTo(9))
	})
}

// TestCatchingUpIsLogged: who told first, and how long the node was behind.
func TestCatchingUpIsLogged(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		core, logged := observer.New(zap.InfoLevel)
		late.exchanger.updater.logger = zap.New(core)
		in.set("quiet:1", silent)
		peer.offer(t, 8)
		late.exchanger.HandlePeerVersion(&roster.Record{Node: "quiet", Zone: "near", PeerAddress: "quiet:1"}, 8)
		time.Sleep(10 * time.Millisecond)
		late.exchanger.HandlePeerVersion(peer.record, 8)
		time.Sleep(2 * time.Second)
		g.Expect(logged.FilterMessage("newer configuration announced").Len()).To(Equal(1), "once a version")
		caught := logged.FilterMessage("configuration caught up").All()
		g.Expect(caught).To(HaveLen(1))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("first", "quiet"))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("told", ConsistOf("quiet", "peer")))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("behind", hedgeDelay))
	})
}

// TestANodeThatIsNotToldLearns within half of the time that it has: it asks the readers
// whether it is level, and one of them that hangs delays that by a quarter of a second.
func TestANodeThatIsNotToldLearns(t *testing.T) {
	for hanging := range 3 {
		t.Run(strconv.Itoa(hanging), func(t *testing.T) {
			play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
				known := []*roster.Record{peer.record}
				for i := range hanging {
					address := "hanging-" + strconv.Itoa(i) + ":1"
					in.set(address, silent)
					known = append(known, &roster.Record{Node: "hanging-" + strconv.Itoa(i), Epoch: 1, Counter: 1, Zone: "near", PeerAddress: address})
				}
				late.exchanger.options.Roster.Merge(known)
				ctx, end := context.WithCancel(t.Context())
				go late.exchanger.proof.run(ctx)
				time.Sleep(10 * time.Second)
				peer.offer(t, 8)
				written := time.Now()
				for late.keeper.Version() < 8 && time.Since(written) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				const tick = 10 * time.Millisecond
				most := time.Second + time.Duration(1+hanging)*time.Second/4 + tick
				g.Expect(time.Since(written)).To(BeNumerically("<=", most))
				end()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestProofTravels: from a node that knows that it is level to one that holds as much, less the
// time on the way; it says nothing to one that is behind.
func TestProofTravels(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		_, proven := late.keeper.ProofAge()
		g.Expect(proven).To(BeFalse())
		peer.keeper.RecordProof(7, time.Now())
		time.Sleep(time.Second)
		g.Expect(late.exchanger.proof.ask(t.Context(), peer.record, 0)).To(Succeed())
		age, proven := late.keeper.ProofAge()
		g.Expect(proven).To(BeTrue())
		g.Expect(age).To(Equal(time.Second))
		g.Expect(late.exchanger.ExchangeWith(t.Context(), peer.record)).To(Succeed())

		peer.offer(t, 8)
		peer.keeper.RecordProof(8, time.Now())
		late.exchanger.proof.recordProof(8, new(int64), time.Now())
		age, _ = late.keeper.ProofAge()
		g.Expect(age).To(Equal(time.Second), "it does not hold that version")
		late.keeper.RecordProof(7, time.Now().Add(-time.Hour))
		age, _ = late.keeper.ProofAge()
		g.Expect(age).To(Equal(time.Second), "older proof takes nothing away")
	})
}

// TestConfirm: a node asks before it says that there is no such route, catches up when it is
// behind, and does not wait long where nobody answers.
func TestConfirm(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		var answers atomic.Bool
		late.refresh = func(ctx context.Context) error {
			if !answers.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			late.keeper.RecordProof(7, time.Now())
			return nil
		}
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "there is nobody else, and the store does not answer")
		time.Sleep(maxRoundPause)
		answers.Store(true)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "there is nobody else, and the store answers")
		answers.Store(false)
		time.Sleep(time.Minute)
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		peer.offer(t, 8)
		peer.keeper.RecordProof(8, time.Now())
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue())
		g.Expect(late.keeper.Version()).To(BeEquivalentTo(8))

		time.Sleep(time.Minute)
		in.set(peer.record.PeerAddress, silent)
		in.close()
		began := time.Now()
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse())
		g.Expect(time.Since(began)).To(Equal(confirmTimeout))
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "the only reader still owes the answer before")
		time.Sleep(time.Second)
	})
}

// TestAFloodIsConfirmedTogether: many requests for routes that are not there share a question.
func TestAFloodIsConfirmedTogether(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		peer.keeper.RecordProof(7, time.Now())
		var asked atomic.Int64
		plain := late.exchanger.client.Transport
		late.exchanger.client.Transport = counted{plain, &asked}
		for range 1000 {
			g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue())
			time.Sleep(time.Millisecond)
		}
		g.Expect(asked.Load()).To(BeNumerically("<=", 10))
	})
}

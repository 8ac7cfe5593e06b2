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

// TestSourceOrder checks that peers with fewer failures are asked first, and among them the one that
// reported last.
func TestSourceOrder(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	known := &sources{}
	reportVersion := func(node string, version uint64, now time.Time, delay time.Duration) {
		known.reportVersion(&roster.Record{Node: node}, version, now, delay)
	}
	reportVersion("early", 8, at(0), 0)
	reportVersion("late", 8, at(10), 0)
	reportVersion("old", 6, at(20), 0)
	reportVersion("far", 9, at(20), 100*time.Millisecond)
	g.Expect(known.next(7, at(30)).peer.Node).To(Equal("late"))
	g.Expect(known.untried(7)).To(BeTrue())
	known.next(7, at(30)).fetching = true
	g.Expect(known.next(7, at(30)).peer.Node).To(Equal("early"))
	known.next(7, at(30)).recordFailure(at(30))
	g.Expect(known.next(7, at(30))).To(BeNil(), "one is being asked, one has failed, one is not due, one has nothing newer")
	g.Expect(known.wait(7, at(30), time.Minute)).To(Equal(90 * time.Millisecond))
	reportVersion("far", 9, at(40), time.Hour)
	g.Expect(known.next(7, at(130)).peer.Node).To(Equal("far"), "a repeated report does not delay it")
	known.next(7, at(130)).recordFailure(at(130))
	g.Expect(known.untried(7)).To(BeFalse())
	g.Expect(known.next(7, at(231)).peer.Node).To(Equal("early"), "equally many failures, due earlier")
	for range 20 {
		known.all["early"].recordFailure(at(0))
	}
	g.Expect(known.all["early"].notBefore).To(Equal(at(0).Add(retryMax)))
	known.clear()
	g.Expect(known.next(0, at(1000000))).To(BeNil())
}

// runWithPeer runs a test on a virtual clock with a late node and a peer that hold version 7.
func runWithPeer(t *testing.T, test func(t *testing.T, g *WithT, late, peer *virtualMember, in *network)) {
	synctest.Test(t, func(t *testing.T) {
		in := &network{nodes: map[string]func(net.Conn){}}
		defer synctest.Wait()
		defer in.close()
		defer time.Sleep(2 * storeTimeout) // running fetches and reads end
		late, peer := newVirtualMember(in, "late", "near"), newVirtualMember(in, "peer", "near")
		late.offer(t, 7)
		peer.offer(t, 7)
		test(t, NewWithT(t), late, peer, in)
	})
}

// TestVersionReportedDuringFetchIsFetched checks that a version that is reported while an older one
// is fetched is fetched too, without being reported again.
func TestVersionReportedDuringFetchIsFetched(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		answer := in.nodes[peer.record.PeerAddress]
		in.set(peer.record.PeerAddress, func(connection net.Conn) {
			time.Sleep(40 * time.Millisecond)
			answer(connection)
		})
		peer.offer(t, 8)
		late.exchanger.NewerVersionReported(peer.record, 8)
		time.Sleep(20 * time.Millisecond)
		late.exchanger.NewerVersionReported(peer.record, 9)
		time.Sleep(300 * time.Millisecond)
		peer.offer(t, 9) // the peer reported it before it was in force there
		time.Sleep(time.Second)
		g.Expect(late.keeper.Version()).To(BeEquivalentTo(9))
	})
}

// TestCatchUpRepeats checks that a node that has caught up does so again for later versions.
func TestCatchUpRepeats(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		for version := uint64(8); version < 20; version++ {
			peer.offer(t, version)
			late.exchanger.NewerVersionReported(peer.record, version)
			time.Sleep(100 * time.Millisecond)
			g.Expect(late.keeper.Version()).To(Equal(version))
		}
	})
}

// TestStoreIsReadWhenPeersFail checks that the store is read when no peer provides the version, with
// growing pauses, since its calls are billed. A version that the store does not have was reported
// wrongly and is no longer sought.
func TestStoreIsReadWhenPeersFail(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, _ *virtualMember, _ *network) {
		var calls atomic.Int64
		var healthy atomic.Bool
		late.refresh = func(context.Context) error {
			calls.Add(1)
			if healthy.Load() {
				return nil
			}
			return errors.New("call refused")
		}
		late.exchanger.NewerVersionReported(&roster.Record{Node: "nobody", Zone: "near", PeerAddress: "nobody:1"}, 8)
		time.Sleep(storeDelay - time.Millisecond)
		g.Expect(calls.Load()).To(BeZero())
		time.Sleep(time.Minute)
		g.Expect(calls.Load()).To(And(BeNumerically(">=", 10), BeNumerically("<=", 25)))
		healthy.Store(true)
		time.Sleep(2 * maxStorePause)
		g.Expect(late.exchanger.updater.level()).To(BeTrue())
		before := calls.Load()
		time.Sleep(time.Minute)
		g.Expect(calls.Load()).To(Equal(before))
	})
}

// TestStaleStoreReadIsIgnored checks that a read of the store does not rule out a version that was
// reported after the read started.
func TestStaleStoreReadIsIgnored(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		asked := make(chan struct{}, 1)
		late.refresh = func(context.Context) error {
			asked <- struct{}{}
			time.Sleep(time.Second)
			return nil
		}
		late.exchanger.NewerVersionReported(&roster.Record{Node: "nobody", Zone: "near", PeerAddress: "nobody:1"}, 8)
		<-asked
		answer := in.nodes[peer.record.PeerAddress]
		in.set(peer.record.PeerAddress, nil)
		late.exchanger.NewerVersionReported(peer.record, 9)
		time.Sleep(1100 * time.Millisecond)
		g.Expect(late.exchanger.updater.level()).To(BeFalse())
		peer.offer(t, 9)
		in.set(peer.record.PeerAddress, answer)
		time.Sleep(2 * retryMax)
		g.Expect(late.keeper.Version()).To(BeEquivalentTo(9))
	})
}

// TestCatchUpIsLogged checks that the log names the peer that reported first and the time that the
// node was behind.
func TestCatchUpIsLogged(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		core, logged := observer.New(zap.InfoLevel)
		late.exchanger.updater.logger = zap.New(core)
		in.set("quiet:1", silent)
		peer.offer(t, 8)
		late.exchanger.NewerVersionReported(&roster.Record{Node: "quiet", Zone: "near", PeerAddress: "quiet:1"}, 8)
		time.Sleep(10 * time.Millisecond)
		late.exchanger.NewerVersionReported(peer.record, 8)
		time.Sleep(2 * time.Second)
		g.Expect(logged.FilterMessage("newer configuration announced").Len()).To(Equal(1), "once per version")
		caught := logged.FilterMessage("configuration caught up").All()
		g.Expect(caught).To(HaveLen(1))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("first", "quiet"))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("told", ConsistOf("quiet", "peer")))
		g.Expect(caught[0].ContextMap()).To(HaveKeyWithValue("behind", hedgeDelay))
	})
}

// TestUnnotifiedNodeCatchesUp checks that a node that receives no notice catches up in time: it
// requests the readers' versions, and each of them that hangs delays it by a quarter of a second.
func TestUnnotifiedNodeCatchesUp(t *testing.T) {
	for hanging := range 3 {
		t.Run(strconv.Itoa(hanging), func(t *testing.T) {
			runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
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

// TestProofIsPassedOn checks that a node's proof reaches a peer that holds the same version, with
// the round trip added to its age, and has no effect on a peer that is behind.
func TestProofIsPassedOn(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
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
		g.Expect(age).To(Equal(time.Second), "the node does not hold that version")
		late.keeper.RecordProof(7, time.Now().Add(-time.Hour))
		age, _ = late.keeper.ProofAge()
		g.Expect(age).To(Equal(time.Second), "an older proof has no effect")
	})
}

// TestConfirm checks that a node asks other nodes or the store before it refuses a request for lack
// of a route, catches up when it is behind, and does not wait long when nobody responds.
func TestConfirm(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, in *network) {
		var answers atomic.Bool
		late.refresh = func(ctx context.Context) error {
			if !answers.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			late.keeper.RecordProof(7, time.Now())
			return nil
		}
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "no other node, and the store does not answer")
		time.Sleep(maxRoundPause)
		answers.Store(true)
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue(), "no other node, and the store answers")
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
		g.Expect(late.exchanger.Confirm(t.Context())).To(BeFalse(), "the request to the only reader is still pending")
		time.Sleep(time.Second)
	})
}

// TestConfirmsShareRequests checks that many requests that match no route share a confirmation.
func TestConfirmsShareRequests(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, late, peer *virtualMember, _ *network) {
		late.exchanger.options.Roster.Merge([]*roster.Record{peer.record})
		peer.keeper.RecordProof(7, time.Now())
		var asked atomic.Int64
		plain := late.exchanger.client.Transport
		late.exchanger.client.Transport = countingTransport{plain, &asked}
		for range 1000 {
			g.Expect(late.exchanger.Confirm(t.Context())).To(BeTrue())
			time.Sleep(time.Millisecond)
		}
		g.Expect(asked.Load()).To(BeNumerically("<=", 10))
	})
}

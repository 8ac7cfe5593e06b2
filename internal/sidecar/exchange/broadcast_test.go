package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// newZones starts members in three zones that know each other.
func newZones(t *testing.T, perZone int) (all []*member) {
	for _, zone := range []string{"east", "south", "west"} {
		for i := range perZone {
			started := newMember(t, fmt.Sprintf("%s-%d", zone, i))
			started.members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Zone = zone
				return record, true
			})
			started.record = started.members.Own()
			all = append(all, started)
		}
	}
	records := make([]*roster.Record, len(all))
	for i, started := range all {
		records[i] = started.record
	}
	for _, started := range all {
		started.members.Merge(records)
	}
	return all
}

// TestCrossZoneNotices checks that all nodes of small zones are notified directly, and that a notice is sent to
// a few nodes of each larger zone and forwarded there.
func TestCrossZoneNotices(t *testing.T) {
	cases := []struct{ perZone, received int }{
		{smallZoneSize, 3*smallZoneSize - 1},
		{smallZoneSize + 3, smallZoneSize + 2 + 2*relaysPerZone},
	}
	for _, size := range cases {
		t.Run(fmt.Sprint(size.perZone), func(t *testing.T) {
			g := NewWithT(t)
			all := newZones(t, size.perZone)
			all[0].members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Leaving = true
				return record, true
			})
			g.Expect(all[0].exchanger.Broadcast(t.Context())).To(Equal(size.received))
			for _, other := range all {
				g.Eventually(func() bool { return other.members.View().Record("east-0").Leaving }).
					WithTimeout(waitTimeout).Should(BeTrue(), other.record.Node)
			}
		})
	}
}

// TestBroadcastSkipsUnresponsiveRelays checks that another node of a zone is notified when one does not respond.
func TestBroadcastSkipsUnresponsiveRelays(t *testing.T) {
	g := NewWithT(t)
	all := newZones(t, smallZoneSize+1)
	dead := *all[len(all)-1].record
	dead.Counter, dead.PeerAddress = dead.Counter+1, "127.0.0.1:1"
	all[0].members.Merge([]*roster.Record{&dead})
	g.Expect(all[0].exchanger.Broadcast(t.Context())).To(Equal(smallZoneSize + 2*relaysPerZone))
}

// TestKnownNoticeIsNotForwarded checks that a notice of a known record is not forwarded.
func TestKnownNoticeIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	all := newZones(t, 2)
	subject := *all[2].record
	subject.Counter++
	notice := &Notice{Record: &subject, From: "south-0", Relay: true}
	all[0].exchanger.handleNotice(notice)
	g.Eventually(func() uint64 { return all[1].members.View().Record("south-0").Counter }).
		WithTimeout(waitTimeout).Should(Equal(subject.Counter))
	before := all[1].bytes.Load()
	all[0].exchanger.handleNotice(notice)
	g.Consistently(all[1].bytes.Load).WithTimeout(100 * time.Millisecond).Should(Equal(before))
}

// TestBroadcastUntilFirstReturnsEarly checks that the call returns once one peer has received the notice,
// although another one never responds.
func TestBroadcastUntilFirstReturnsEarly(t *testing.T) {
	g := NewWithT(t)
	all := newZones(t, 3)
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer hanging.Close()
	silent := *all[1].record
	silent.Counter, silent.PeerAddress = silent.Counter+1, hanging.Addr().String()
	all[0].members.Merge([]*roster.Record{&silent})
	all[0].members.Update(func(record roster.Record) (roster.Record, bool) {
		record.Leaving = true
		return record, true
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	all[0].exchanger.BroadcastUntilFirst(ctx)
	received := 0
	for _, other := range all[2:] {
		if other.members.View().Record("east-0").Leaving {
			received++
		}
	}
	g.Expect(received).To(BeNumerically(">", 0))
}

// TestBroadcastUntilFirstWithoutPeers checks that the call returns when no peer responds.
func TestBroadcastUntilFirstWithoutPeers(t *testing.T) {
	alone := newMember(t, "first")
	alone.members.Merge([]*roster.Record{{Node: "second", Epoch: 1, PeerAddress: "127.0.0.1:1"}})
	alone.exchanger.BroadcastUntilFirst(t.Context())
}

// TestRelayHedgesHangingPeers checks that two of four candidates in another zone that hang do not delay the
// notice to the other two.
func TestRelayHedgesHangingPeers(t *testing.T) {
	runWithPeer(t, func(t *testing.T, g *WithT, sender, first *virtualMember, in *network) {
		second := newVirtualMember(in, "second", "near")
		in.set("hanging:1", silent)
		hanging := &roster.Record{Node: "hanging", PeerAddress: "hanging:1"}
		received := &deliveries{}
		began := time.Now()
		notice := sender.exchanger.notice(sender.record)
		sender.exchanger.relay(t.Context(), received, []*roster.Record{hanging, hanging, first.record, second.record}, notice)
		g.Expect(received.count.Load()).To(BeEquivalentTo(relaysPerZone))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*hedgeDelay))
	})
}

// TestLeavingNoticeSpreadsInZone simulates, without a network, which nodes of a zone learn that one of them is
// leaving: those that it notifies directly, and those to which each node that learns of it forwards the notice.
func TestLeavingNoticeSpreadsInZone(t *testing.T) {
	leaves := &Notice{Record: &roster.Record{Node: "a", Leaving: true}}
	for _, size := range []int{30, 167, 334} {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(uint64(size), 1))
		const plays = 200
		informedFraction, sent := 0.0, 0
		for range plays {
			received := make([]bool, size)
			next := random.Perm(size)[:min(size, maxZonePeers)]
			for len(next) > 0 {
				batch := next
				next = nil
				for _, node := range batch {
					sent++
					if !received[node] {
						received[node] = true
						next = append(next, random.Perm(size)[:min(size, fanout(leaves))]...)
					}
				}
			}
			for _, has := range received {
				if has {
					informedFraction += 1 / float64(size*plays)
				}
			}
		}
		g.Expect(informedFraction).To(BeNumerically(">", 0.97), "%d nodes", size)
		g.Expect(float64(sent)/plays/float64(size)).To(BeNumerically("<", 5.2), "messages per node")
	}
	g := NewWithT(t)
	ready := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{State: roster.Ready}}
	g.Expect(fanout(&Notice{Record: ready})).To(BeZero())
	g.Expect(fanout(&Notice{Record: &roster.Record{Node: "a"}})).To(BeZero(), "it has just started")
	g.Expect(fanout(&Notice{Record: ready, Relay: true})).To(Equal(relayFanout))
}

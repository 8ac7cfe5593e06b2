package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

func viewOf(nodes int) *roster.View {
	held := roster.New(roster.Record{Node: "self", Epoch: 1})
	records := make([]*roster.Record, nodes)
	for i := range records {
		records[i] = &roster.Record{Node: fmt.Sprintf("node-%d", i), Epoch: 1}
	}
	held.Merge(records) // at once: one by one a large roster's view lags behind
	return held.View()
}

// TestLostPeersAreRetried checks that lost peers are retried often in a small fleet, seldom by each
// node of a large one, and not for ever.
func TestLostPeersAreRetried(t *testing.T) {
	cases := []struct {
		nodes           int
		least, mostEach float64
	}{{10, 0.4, 0.6}, {1000, 0.003, 0.012}}
	for _, size := range cases {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			g := NewWithT(t)
			view := viewOf(size.nodes)
			now := time.Unix(1000, 0)
			lost, random := &lostPeers{}, newRandom(1, exchangeStream)
			g.Expect(lost.pick(view, now, random)).To(BeNil())
			lost.add("node-7", now)
			const tries = 20000
			picked := 0
			for range tries {
				if record := lost.pick(view, now, random); record != nil {
					g.Expect(record.Node).To(Equal("node-7"))
					picked++
				}
			}
			g.Expect(float64(picked) / tries).To(And(BeNumerically(">", size.least), BeNumerically("<", size.mostEach)))
			lost.remove("node-7")
			g.Expect(lost.pick(view, now, random)).To(BeNil())
			lost.add("node-7", now)
			g.Expect(lost.pick(view, now.Add(time.Hour), random)).To(BeNil())
			g.Expect(lost.since).To(BeEmpty())
		})
	}
}

// TestLostPeerRecoversOnContact checks that a lost peer counts as reachable once it starts an exchange or
// announces its presence. When all nodes start together, the first ones record the others as lost, and retry
// one of them every 0.8 s.
func TestLostPeerRecoversOnContact(t *testing.T) {
	g := NewWithT(t)
	first, second := newMember(t, "first"), newMember(t, "second")
	lost := func() bool { return !first.exchanger.Reachable(second.record) }
	first.exchanger.MarkLost("second")
	g.Expect(lost()).To(BeTrue())
	g.Expect(second.exchanger.ExchangeWith(t.Context(), first.record)).To(Succeed())
	g.Expect(lost()).To(BeFalse())
	first.exchanger.MarkLost("second")
	second.members.Merge([]*roster.Record{first.record})
	second.exchanger.AnnouncePresence(t.Context())
	g.Expect(lost()).To(BeFalse())
}

package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestSearchFindsNodesThatStartedTogether checks that a node that looks for others finds those that wrote
// their keys after its first read, without further delay.
func TestSearchFindsNodesThatStartedTogether(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
		start := func(name string, met bool) *testNode {
			started := startNode(t, target, name, false, met)
			started.members.Update(func(record roster.Record) (roster.Record, bool) {
				record.Endpoint = &roster.Endpoint{ID: "i", Service: "s", Slots: 4, State: roster.Ready, Sequence: 1}
				return record, true
			})
			advance(200 * time.Millisecond)
			return started
		}
		first := start("a", false)
		defer first.end()
		second := start("b", true)
		defer second.end()
		g.Expect(second.stored()).NotTo(BeNil())
		g.Expect(first.members.View().Record("b")).To(BeNil())
		g.Expect(first.node.Search()).To(BeTrue())
		advance(time.Millisecond)
		g.Expect(first.members.View().Record("b")).NotTo(BeNil())
		g.Expect(second.node.Search()).To(BeFalse(), "another node has contacted it")
	})
}

// TestSearchReadsAreBounded checks that a node on its own reads the keys a few times only, however often it is asked
// to look for others, and never ahead of time at the first start of the whole system.
func TestSearchReadsAreBounded(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		withFakeClock(t, func(t *testing.T, g *WithT, target *countingStore) {
			node := startNode(t, target, "a", firstStart, false)
			defer node.end()
			node.report("i-1", roster.Ready, 1)
			before := target.ranges.Load()
			searching := 0
			for range 10000 {
				if node.node.Search() {
					searching++
				}
				advance(time.Millisecond)
			}
			g.Expect(searching).To(BeNumerically("<", 4000), "it ends when the node has read on its own")
			early := map[bool]int64{false: 6, true: 0}[firstStart]
			const scheduled = 4
			g.Expect(target.ranges.Load() - before).To(BeNumerically("<=", early+scheduled))
		})
	}
}

package membership_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/membership"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store/memory"
)

// TestReadsOfFirstStart checks that only few nodes read all keys, however many start together. A
// node that has read contacts a quarter of the nodes that it found, as it does through its peers
// and the relays of other zones. With delays drawn uniformly over 0.75 s, 100, 400 and 800 nodes
// make 26, 46 and 85 reads instead of 16, 25 and 48. Above 500 nodes each read takes two calls.
func TestReadsOfFirstStart(t *testing.T) {
	const maxReads = 60
	for _, size := range []int{100, 400, 800} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &countingStore{Store: memory.New(memory.Options{})}
				random := rand.New(rand.NewPCG(uint64(size), 3))
				nodes := map[string]*testNode{}
				var mu sync.Mutex // guards random
				for i := range size {
					node := newTestNode(t, target, fmt.Sprintf("node-%03d", i), 5*time.Second)
					node.joined = func() {
						mu.Lock()
						defer mu.Unlock()
						for _, record := range node.members.View().Records() {
							if other := nodes[record.Node]; other != nil && random.IntN(4) == 0 {
								other.met.Store(true)
								node.met.Store(true)
							}
						}
					}
					nodes[node.members.Own().Node] = node
				}
				for _, node := range nodes {
					node.run()
				}
				for _, node := range nodes {
					mu.Lock()
					wait := time.Duration(random.Int64N(int64(5 * time.Second)))
					mu.Unlock()
					time.AfterFunc(wait, func() {
						node.members.Update(func(record roster.Record) (roster.Record, bool) {
							record.Endpoint = &roster.Endpoint{ID: "i", Service: "s", Slots: 1, State: roster.Ready}
							return record, true
						})
					})
				}
				advance(30 * time.Second)
				for _, node := range nodes {
					g.Expect(node.met.Load()).To(BeTrue())
					node.end()
				}
				t.Log(target.ranges.Load(), "reads")
				g.Expect(target.ranges.Load()).To(BeNumerically("<=", maxReads))
				g.Expect(target.writes.Load()).To(BeEquivalentTo(size))
			})
		})
	}
}

// newTestNode returns a node at the first start of the system that does not run yet.
func newTestNode(t *testing.T, target *countingStore, node string, heartbeats time.Duration) *testNode {
	created := &testNode{t: t, store: target}
	created.members = roster.New(roster.Record{Node: node, Epoch: 1, Counter: 1, Address: node + ":1", PeerAddress: node + ":2", Zone: "z", RunID: rand.Uint64()})
	created.node = membership.New(membership.Options{
		Store: target, Members: created.members, FirstStart: true, HeartbeatInterval: heartbeats,
		OnDiscovery: func(bool) { created.joined() }, HadContact: created.met.Load, IsReader: func() bool { return false }, Logger: zap.NewNop(),
		CompactionRank: func() (int, bool) { return 0, false },
	})
	return created
}

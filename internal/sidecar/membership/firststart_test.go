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

// TestAFirstStartOfMany: few nodes read all keys, however many start. A node that has read meets a
// quarter of those that it has found, as it does by its peers and the relays of other zones. With
// waits drawn evenly over 0.75 s there are 26, 46 and 85 reads of 100, 400 and 800 nodes, where these
// are 16, 25 and 48; beyond 500 nodes each counts twice.
func TestAFirstStartOfMany(t *testing.T) {
	const mostReads = 60
	for _, size := range []int{100, 400, 800} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &countingStore{Store: memory.New(memory.Options{})}
				random := rand.New(rand.NewPCG(uint64(size), 3))
				lives := map[string]*life{}
				var mu sync.Mutex // guards random
				for i := range size {
					begun := newLife(t, target, fmt.Sprintf("node-%03d", i), 5*time.Second)
					begun.joined = func() {
						mu.Lock()
						defer mu.Unlock()
						for _, record := range begun.members.View().Records() {
							if other := lives[record.Node]; other != nil && random.IntN(4) == 0 {
								other.met.Store(true)
								begun.met.Store(true)
							}
						}
					}
					lives[begun.members.Own().Node] = begun
				}
				for _, begun := range lives {
					begun.run()
				}
				for _, begun := range lives {
					mu.Lock()
					wait := time.Duration(random.Int64N(int64(5 * time.Second)))
					mu.Unlock()
					time.AfterFunc(wait, func() {
						begun.members.Update(func(record roster.Record) (roster.Record, bool) {
							record.Endpoint = &roster.Endpoint{ID: "i", Service: "s", Slots: 1, State: roster.Ready}
							return record, true
						})
					})
				}
				pass(30 * time.Second)
				for _, begun := range lives {
					g.Expect(begun.met.Load()).To(BeTrue())
					begun.end()
				}
				t.Log(target.ranges.Load(), "reads")
				g.Expect(target.ranges.Load()).To(BeNumerically("<=", mostReads))
				g.Expect(target.writes.Load()).To(BeEquivalentTo(size))
			})
		})
	}
}

// newLife returns a life of a node at the very first start that is not run yet.
func newLife(t *testing.T, target *countingStore, node string, heartbeats time.Duration) *life {
	made := &life{t: t, store: target}
	made.members = roster.New(roster.Record{Node: node, Epoch: 1, Counter: 1, Address: node + ":1", PeerAddress: node + ":2", Zone: "z", RunID: rand.Uint64()})
	made.node = membership.New(membership.Options{
		Store: target, Members: made.members, FirstStart: true, HeartbeatInterval: heartbeats,
		OnDiscovery: func(bool) { made.joined() }, Met: made.met.Load, Reads: func() bool { return false }, Logger: zap.NewNop(),
		CompactionRank: func() (int, bool) { return 0, false },
	})
	return made
}

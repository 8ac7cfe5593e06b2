package membership_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/membership"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/memory"
)

// storeNodes writes the keys of the given number of nodes.
func storeNodes(t *testing.T, target *countingStore, nodes int) {
	for i := range nodes {
		record := &roster.Record{
			Node: fmt.Sprintf("node-%04d", i), Epoch: 3, Counter: 2, RunID: uint64(i + 1), Zone: "z",
			Address: fmt.Sprintf("node-%04d:1", i), PeerAddress: fmt.Sprintf("node-%04d:2", i),
			Endpoint: &roster.Endpoint{ID: fmt.Sprintf("i-%x", 0xfc2bf3ef*(i+1)), Service: "service", Version: "v1", Slots: 14, State: roster.Ready, Sequence: 7},
		}
		value, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := target.Store.CompareAndSwap(t.Context(), store.Swap{Key: membership.KeyPrefix + record.Node, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
}

// keys returns the number of nodes' keys and the length of the snapshot.
func keys(t *testing.T, target *countingStore) (count, snapshot int) {
	found, _, err := target.Store.Range(t.Context(), "kestrel/", "kestrel/", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range found {
		if strings.HasPrefix(item.Key, membership.KeyPrefix) {
			count++
		} else {
			snapshot = len(item.Value)
		}
	}
	return count, snapshot
}

// TestCompaction checks that many keys are replaced by one snapshot, which a starting node reads
// with one call regardless of its size, and that few keys are left alone. A snapshot of 984 nodes
// has less than a tenth of the bytes of their keys.
func TestCompaction(t *testing.T) {
	cases := []struct {
		nodes, keysLeft int
		reads           int64
	}{{40, 41, 1}, {100, 0, 1}, {984, 0, 1}, {2000, 0, 1}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &countingStore{Store: memory.New(memory.Options{})}
				storeNodes(t, target, tc.nodes)
				keeper := startNode(t, target, "keeper", false, true)
				keeper.compacts.Store(true)
				keeper.report("i-k", roster.Ready, 1)
				advance(15 * time.Second)
				keeper.end()
				left, bytes := keys(t, target)
				g.Expect(left).To(Equal(tc.keysLeft))
				g.Expect(bytes).To(BeNumerically("<=", 40*tc.nodes))

				target.gets.Store(0)
				target.ranges.Store(0)
				target.writes.Store(0)
				begun := startNode(t, target, "node-0007", false, true)
				advance(15 * time.Second)
				g.Expect(begun.members.View().Count()).To(Equal(tc.nodes+1), "knows all nodes")
				g.Expect(begun.members.Own().Endpoint.ID).To(Equal("i-"+fmt.Sprintf("%x", 0xfc2bf3ef*8)), "knows its own back end")
				g.Expect(target.calls()).To(Equal([]int64{0, tc.reads, 0}), "one read, and no write without changes")
				begun.end()
			})
		})
	}
}

// TestKeyWrittenAfterSnapshot checks that a key written after the snapshot takes precedence over
// it.
func TestKeyWrittenAfterSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &countingStore{Store: memory.New(memory.Options{})}
		storeNodes(t, target, 100)
		keeper := startNode(t, target, "keeper", false, true)
		keeper.compacts.Store(true)
		keeper.report("i-k", roster.Ready, 1)
		advance(15 * time.Second)
		defer keeper.end()

		leaving := startNode(t, target, "node-0007", false, true)
		advance(4 * time.Second)
		leaving.report(leaving.members.Own().Endpoint.ID, roster.Draining, 9)
		leaving.end()
		g.Expect(leaving.stored().Endpoint.State).To(Equal(roster.Draining))
		again := startNode(t, target, "node-0007", false, true)
		advance(4 * time.Second)
		g.Expect(again.members.Own().Endpoint.State).To(Equal(roster.Draining))
		again.end()
		other := startNode(t, target, "node-0008", false, true)
		advance(4 * time.Second)
		g.Expect(other.members.View().Record("node-0007").Endpoint.State).To(Equal(roster.Draining))
		other.end()
	})
}

// TestForeignSnapshot checks that an invalid snapshot adds no node and does not make a node fail.
func TestForeignSnapshot(t *testing.T) {
	for name, value := range map[string]string{"no compressed text": "{}", "cut off": "\x1f\x8b\x08\x00", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &countingStore{Store: memory.New(memory.Options{})}
				storeNodes(t, target, 3)
				_, err := target.Store.CompareAndSwap(t.Context(), store.Swap{Key: membership.SnapshotKey, Value: []byte(value)})
				g.Expect(err).NotTo(HaveOccurred())
				begun := startNode(t, target, "node-0001", false, true)
				advance(10 * time.Second)
				g.Expect(begun.members.View().Count()).To(Equal(3))
				begun.end()
			})
		})
	}
}

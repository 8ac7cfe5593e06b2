package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// recordedOrders are the orders of one node with what they tell.
type recordedOrders struct {
	*evacuation.Orders
	spreads int
	changes []string
}

func newRecordedOrders() *recordedOrders {
	made := &recordedOrders{}
	made.Orders = evacuation.New(evacuation.Options{
		ZoneExists: func(string) bool { return true },
		Broadcast:  func() { made.spreads++ },
		OnChange: func(zone string, emptied bool) {
			made.changes = append(made.changes, fmt.Sprint(zone, " ", emptied))
		},
		Logger: zap.NewNop(),
	})
	return made
}

// TestNewestOrderWins whatever the order in which words come, and from whom.
func TestNewestOrderWins(t *testing.T) {
	orders := []evacuation.Order{
		{Zone: "a", Revision: 3, Emptied: true}, {Zone: "a", Revision: 5}, {Zone: "a", Revision: 9, Emptied: true},
		{Zone: "b", Revision: 4, Emptied: true}, {Zone: "b", Revision: 8},
	}
	random := rand.New(rand.NewPCG(3, 4))
	for range 100 {
		g := NewWithT(t)
		made := newRecordedOrders()
		for _, index := range random.Perm(len(orders)) {
			if random.IntN(2) == 0 {
				made.Ordered(orders[index])
			} else {
				made.Hear([]evacuation.Order{orders[index]})
			}
		}
		g.Expect(made.Zones().Names()).To(Equal([]string{"a"}))
		g.Expect(made.Hear(orders)).To(BeFalse(), "nothing of it is news")
		g.Expect(made.Tell()).To(Equal([]evacuation.Order{orders[2], orders[4]}))
	}
}

// TestReconcileRevokesMissingOrder: a read of all orders that lacks one takes it back, but not one
// that was given after the read.
func TestReconcileRevokesMissingOrder(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	made.Ordered(evacuation.Order{Zone: "a", Revision: 3, Emptied: true})
	made.Ordered(evacuation.Order{Zone: "b", Revision: 4, Emptied: true})
	made.Ordered(evacuation.Order{Zone: "late", Revision: 20, Emptied: true})
	made.Reconcile([]string{"b"}, 10, time.Now())
	g.Expect(made.Zones().Names()).To(Equal([]string{"b", "late"}))
	g.Expect(made.changes).To(Equal([]string{"a true", "b true", "late true", "a false"}))
	g.Expect(made.spreads).To(Equal(4))
	made.Reconcile([]string{"b"}, 10, time.Now())
	g.Expect(made.spreads).To(Equal(4), "no news")
}

// TestReconcileAfterStoreRestore is kept until operators have had the time to write it again.
func TestReconcileAfterStoreRestore(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	made := newRecordedOrders()
	made.Ordered(evacuation.Order{Zone: "a", Revision: store.RevisionIn(1, 500), Emptied: true})
	made.Ordered(evacuation.Order{Zone: "b", Revision: store.RevisionIn(1, 501), Emptied: true})
	g.Expect(made.Reconcile(nil, store.RevisionIn(2, 490), start)).To(BeTrue())
	g.Expect(made.Zones().Names()).To(Equal([]string{"a", "b"}))
	made.Ordered(evacuation.Order{Zone: "a", Revision: store.RevisionIn(2, 495), Emptied: true})
	g.Expect(made.Reconcile([]string{"a"}, store.RevisionIn(2, 496), start.Add(time.Second))).To(BeTrue())
	g.Expect(made.Reconcile([]string{"a"}, store.RevisionIn(2, 496), start.Add(evacuation.RewriteGracePeriod))).To(BeFalse())
	g.Expect(made.Zones().Names()).To(Equal([]string{"a"}))
	// Within the new era what is not there was taken back.
	g.Expect(made.Reconcile(nil, store.RevisionIn(2, 499), start.Add(time.Minute))).To(BeFalse())
	g.Expect(made.Zones()).To(BeNil())
}

// TestInvalidOrdersAreRejected change nothing, and however many zones are named the memory is bounded.
func TestInvalidOrdersAreRejected(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	g.Expect(made.Hear([]evacuation.Order{
		{Revision: 1, Emptied: true}, {Zone: "a", Emptied: true}, {Zone: strings.Repeat("z", 201), Revision: 1, Emptied: true},
	})).To(BeFalse())
	g.Expect(made.Tell()).To(BeNil())
	for i := range 1000 {
		made.Hear([]evacuation.Order{{Zone: fmt.Sprint(i), Revision: uint64(i + 1), Emptied: true}})
	}
	g.Expect(len(made.Tell())).To(Equal(256))
	made.Hear([]evacuation.Order{{Zone: "0", Revision: 5000}})
	g.Expect(made.Zones().Contains("0")).To(BeFalse(), "words on zones that are kept still count")
}

// TestRepeatedChangesKeepOnlyLast: an order that is given and taken back in quick succession leaves no trace but
// the last word.
func TestRepeatedChangesKeepOnlyLast(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	for revision := range uint64(100) {
		made.Ordered(evacuation.Order{Zone: "a", Revision: revision + 1, Emptied: revision%2 == 0})
	}
	g.Expect(made.Zones().Contains("a")).To(BeFalse())
	g.Expect(made.Zones()).To(BeNil())
	g.Expect(made.changes).To(HaveLen(100))
}

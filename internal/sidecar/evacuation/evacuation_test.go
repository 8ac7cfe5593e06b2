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

// recordedOrders are the orders of one node with the calls of its callbacks.
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
		OnChange: func(zone string, evacuated bool) {
			made.changes = append(made.changes, fmt.Sprint(zone, " ", evacuated))
		},
		Logger: zap.NewNop(),
	})
	return made
}

// TestNewestOrderWins checks that the newest order for a zone applies regardless of the sequence of
// arrival and of the source.
func TestNewestOrderWins(t *testing.T) {
	orders := []evacuation.Order{
		{Zone: "a", Revision: 3, Evacuated: true}, {Zone: "a", Revision: 5}, {Zone: "a", Revision: 9, Evacuated: true},
		{Zone: "b", Revision: 4, Evacuated: true}, {Zone: "b", Revision: 8},
	}
	random := rand.New(rand.NewPCG(3, 4))
	for range 100 {
		g := NewWithT(t)
		made := newRecordedOrders()
		for _, index := range random.Perm(len(orders)) {
			if random.IntN(2) == 0 {
				made.ApplyOrder(orders[index])
			} else {
				made.Import([]evacuation.Order{orders[index]})
			}
		}
		g.Expect(made.Zones().Names()).To(Equal([]string{"a"}))
		g.Expect(made.Import(orders)).To(BeFalse(), "no order is new")
		g.Expect(made.Export()).To(Equal([]evacuation.Order{orders[2], orders[4]}))
	}
}

// TestReconcileRevokesMissingOrder checks that an order missing from a listing is revoked, unless
// it was given after the listing was read.
func TestReconcileRevokesMissingOrder(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	made.ApplyOrder(evacuation.Order{Zone: "a", Revision: 3, Evacuated: true})
	made.ApplyOrder(evacuation.Order{Zone: "b", Revision: 4, Evacuated: true})
	made.ApplyOrder(evacuation.Order{Zone: "late", Revision: 20, Evacuated: true})
	made.Reconcile([]string{"b"}, 10, time.Now())
	g.Expect(made.Zones().Names()).To(Equal([]string{"b", "late"}))
	g.Expect(made.changes).To(Equal([]string{"a true", "b true", "late true", "a false"}))
	g.Expect(made.spreads).To(Equal(4))
	made.Reconcile([]string{"b"}, 10, time.Now())
	g.Expect(made.spreads).To(Equal(4), "nothing new")
}

// TestReconcileAfterStoreRestore checks that an order lost by a restored store is kept until
// operators have had time to write it again.
func TestReconcileAfterStoreRestore(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	made := newRecordedOrders()
	made.ApplyOrder(evacuation.Order{Zone: "a", Revision: store.RevisionIn(1, 500), Evacuated: true})
	made.ApplyOrder(evacuation.Order{Zone: "b", Revision: store.RevisionIn(1, 501), Evacuated: true})
	g.Expect(made.Reconcile(nil, store.RevisionIn(2, 490), start)).To(BeTrue())
	g.Expect(made.Zones().Names()).To(Equal([]string{"a", "b"}))
	made.ApplyOrder(evacuation.Order{Zone: "a", Revision: store.RevisionIn(2, 495), Evacuated: true})
	g.Expect(made.Reconcile([]string{"a"}, store.RevisionIn(2, 496), start.Add(time.Second))).To(BeTrue())
	g.Expect(made.Reconcile([]string{"a"}, store.RevisionIn(2, 496), start.Add(evacuation.RewriteGracePeriod))).To(BeFalse())
	g.Expect(made.Zones().Names()).To(Equal([]string{"a"}))
	// An order of the new era that is missing was revoked.
	g.Expect(made.Reconcile(nil, store.RevisionIn(2, 499), start.Add(time.Minute))).To(BeFalse())
	g.Expect(made.Zones()).To(BeNil())
}

// TestInvalidOrdersAreRejected checks that invalid orders change nothing and that the number of
// zones is bounded.
func TestInvalidOrdersAreRejected(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	g.Expect(made.Import([]evacuation.Order{
		{Revision: 1, Evacuated: true}, {Zone: "a", Evacuated: true}, {Zone: strings.Repeat("z", 201), Revision: 1, Evacuated: true},
	})).To(BeFalse())
	g.Expect(made.Export()).To(BeNil())
	for i := range 1000 {
		made.Import([]evacuation.Order{{Zone: fmt.Sprint(i), Revision: uint64(i + 1), Evacuated: true}})
	}
	g.Expect(len(made.Export())).To(Equal(256))
	made.Import([]evacuation.Order{{Zone: "0", Revision: 5000}})
	g.Expect(made.Zones().Contains("0")).To(BeFalse(), "orders for known zones still apply")
}

// TestRepeatedChangesKeepOnlyLast checks that of an order that is given and revoked in quick
// succession only the last state remains.
func TestRepeatedChangesKeepOnlyLast(t *testing.T) {
	g := NewWithT(t)
	made := newRecordedOrders()
	for revision := range uint64(100) {
		made.ApplyOrder(evacuation.Order{Zone: "a", Revision: revision + 1, Evacuated: revision%2 == 0})
	}
	g.Expect(made.Zones().Contains("a")).To(BeFalse())
	g.Expect(made.Zones()).To(BeNil())
	g.Expect(made.changes).To(HaveLen(100))
}

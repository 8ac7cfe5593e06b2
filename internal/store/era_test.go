package store_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// TestRevisionsRiseOverEras and survive their way through JSON.
func TestRevisionsRiseOverEras(t *testing.T) {
	g := NewWithT(t)
	before := uint64(0)
	for _, at := range []struct{ era, counter uint64 }{{0, 1}, {0, 500}, {0, store.MostCounter}, {1, 0}, {1, 499}, {2, 1}, {store.MostEra, store.MostCounter}} {
		revision := store.RevisionIn(at.era, at.counter)
		g.Expect(revision).To(BeNumerically(">", before))
		g.Expect(store.EraOf(revision)).To(Equal(at.era))
		g.Expect(store.CounterOf(revision)).To(Equal(at.counter))
		g.Expect(uint64(float64(revision))).To(Equal(revision))
		encoded, err := json.Marshal(revision)
		g.Expect(err).NotTo(HaveOccurred())
		var decoded uint64
		g.Expect(json.Unmarshal(encoded, &decoded)).To(Succeed())
		g.Expect(decoded).To(Equal(revision))
		before = revision
	}
}

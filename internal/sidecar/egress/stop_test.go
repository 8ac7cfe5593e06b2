package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefuseFromEarliest: a later time does not replace an earlier one, so that calls already
// refused stay refused.
func TestRefuseFromEarliest(t *testing.T) {
	g := NewWithT(t)
	handler := newHandler(t, &fakeObserver{}, probeOK)
	start := time.Unix(1_700_000_000, 0)
	g.Expect(handler.refuses(start)).To(BeFalse())
	handler.RefuseFrom(start.Add(time.Second))
	handler.RefuseFrom(start.Add(2 * time.Second))
	g.Expect(handler.refuses(start.Add(time.Second))).To(BeTrue())
	handler.RefuseFrom(start)
	g.Expect(handler.refuses(start)).To(BeTrue())
	g.Expect(handler.refuses(start.Add(-time.Nanosecond))).To(BeFalse())
}

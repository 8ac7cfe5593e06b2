package egress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTheEarliestMomentHolds: a call that is refused is not taken again when a
// later moment is named.
func TestTheEarliestMomentHolds(t *testing.T) {
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

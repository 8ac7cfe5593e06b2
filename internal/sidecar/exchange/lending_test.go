package exchange

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// TestPeerWithoutLending checks that a peer of the previous version, which lends nothing, counts as
// reachable: it contributes no share, and is not recorded as lost.
func TestPeerWithoutLending(t *testing.T) {
	g := NewWithT(t)
	asking, before := newMember(t, "asking"), newMember(t, "before")
	answer, err := asking.exchanger.AskRepeats(context.Background(), before.record, &lending.GrantRequest{From: "asking"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Closed).To(BeTrue())
}

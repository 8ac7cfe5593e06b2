package exchange

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

// TestAPeerThatLendsNothing, one of the version before, is there all the same: it counts with no
// share, and is not taken for lost.
func TestAPeerThatLendsNothing(t *testing.T) {
	g := NewWithT(t)
	asking, before := newMember(t, "asking"), newMember(t, "before")
	answer, err := asking.exchanger.AskRepeats(context.Background(), before.record, &lending.GrantRequest{From: "asking"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Closed).To(BeTrue())
}

package stream

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

func TestAReportPutBeforeTheTakeIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	pending := newPendingReport()
	pending.put(distribution.Report{Applied: 1})
	<-pending.available
	pending.put(distribution.Report{Applied: 2})
	g.Expect(pending.take()).To(Equal(&distribution.Report{Applied: 2}))
	g.Expect(pending.available).To(Receive(), "the second put was signalled too")
	g.Expect(pending.take()).To(BeNil())
}

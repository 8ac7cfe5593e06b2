package stream

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// TestAReportPutBeforeTheTakeIsTakenOnce checks that a report which is added
// between the signal and take is returned by that take; the second signal then
// finds nothing.
func TestAReportPutBeforeTheTakeIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	pending := newPendingReport()
	pending.put(distribution.Report{Applied: 1})
	<-pending.available
	pending.put(distribution.Report{Applied: 2})
	g.Expect(pending.take()).To(Equal(&distribution.Report{Applied: 2}))
	g.Expect(pending.available).To(Receive(), "the second put is signalled too")
	g.Expect(pending.take()).To(BeNil())
}

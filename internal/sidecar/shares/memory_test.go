package shares

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestMemoryIsBounded checks that memory is bounded for any number of reported priorities and
// tenants.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var meter Meter
	var tracker Tracker
	now := time.Unix(1, 0)
	for number := range 3 * maxTenants {
		meter.RecordArrival(number, "t", time.Millisecond, FullFraction, now)
		meter.RecordArrival(0, fmt.Sprint(number), time.Millisecond, FullFraction, now)
		tracker.Observe(Flow{Tenant: fmt.Sprint(number)}, Allocation{Share: 1, Demand: 9}, now)
	}
	g.Expect(len(meter.classes)).To(BeNumerically("<=", maxClasses))
	g.Expect(len(meter.classes[0].demands)).To(BeNumerically("<=", maxTenants))
	g.Expect(len(tracker.flows)).To(BeNumerically("<=", maxFlows))
}

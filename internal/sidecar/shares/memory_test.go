package shares

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestMemoryIsBounded whatever priorities and tenants nodes tell.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var meter Meter
	var heard Tracker
	now := time.Unix(1, 0)
	for number := range 3 * mostTenants {
		meter.RecordArrival(number, "t", time.Millisecond, FullFraction, now)
		meter.RecordArrival(0, fmt.Sprint(number), time.Millisecond, FullFraction, now)
		heard.Observe(Flow{Tenant: fmt.Sprint(number)}, Allocation{Share: 1, Demand: 9}, now)
	}
	g.Expect(len(meter.classes)).To(BeNumerically("<=", mostClasses))
	g.Expect(len(meter.classes[0].demands)).To(BeNumerically("<=", mostTenants))
	g.Expect(len(heard.parts)).To(BeNumerically("<=", mostHeard))
}

package occupancy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
)

// TestAverage checks that the average follows the reports per slot, is bounded for any report,
// and decays to zero without reports.
func TestAverage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var average occupancy.Average
	g.Expect(average.PerSlot(now)).To(BeZero())
	average = average.After(3, 6, now)
	g.Expect(average.PerSlot(now)).To(Equal(0.5), "first report")
	for range 40 {
		average = average.After(18, 18, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("~", 1, 0.01))
	g.Expect(average.PerSlot(now.Add(5 * time.Second))).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(average.PerSlot(now.Add(time.Minute))).To(BeNumerically("<", 0.001))
	g.Expect(average.PerSlot(now.Add(-time.Minute))).To(BeNumerically("~", 1, 0.01), "clock went back")
	for range 100 {
		average = average.After(1e12, 0, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("<=", 8), "bounded for any report")
	for range 100 {
		average = average.After(-5, 6, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("~", 0, 0.01))
}

// TestWeight checks the remaining weight of a report.
func TestWeight(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var estimate occupancy.Estimate
	g.Expect(estimate.Weight(now)).To(BeZero())
	estimate = estimate.After(4, 6, time.Second, now)
	estimate = estimate.After(4, 6, time.Second, now.Add(time.Millisecond))
	g.Expect(estimate.Weight(now.Add(time.Millisecond))).To(Equal(1.0))
	g.Expect(estimate.Weight(now.Add(-time.Hour))).To(Equal(1.0), "clock went back")
	g.Expect(estimate.Weight(now.Add(time.Second + time.Millisecond))).To(BeNumerically("~", 0.5, 0.001))
}

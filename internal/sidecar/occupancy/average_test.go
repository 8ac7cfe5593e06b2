package occupancy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
)

// TestAverage: an average moves with what is reported, by slot, is bounded whatever is reported,
// and says nothing when nobody reports for long.
func TestAverage(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var average occupancy.Average
	g.Expect(average.PerSlot(now)).To(BeZero())
	average = average.After(3, 6, now)
	g.Expect(average.PerSlot(now)).To(Equal(0.5), "the first report")
	for range 40 {
		average = average.After(18, 18, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("~", 1, 0.01))
	g.Expect(average.PerSlot(now.Add(5 * time.Second))).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(average.PerSlot(now.Add(time.Minute))).To(BeNumerically("<", 0.001))
	g.Expect(average.PerSlot(now.Add(-time.Minute))).To(BeNumerically("~", 1, 0.01), "a clock that goes back")
	for range 100 {
		average = average.After(1e12, 0, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("<=", 8), "whatever is reported")
	for range 100 {
		average = average.After(-5, 6, now)
	}
	g.Expect(average.PerSlot(now)).To(BeNumerically("~", 0, 0.01))
}

// TestWeight: the part of a report that still counts.
func TestWeight(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var estimate occupancy.Estimate
	g.Expect(estimate.Weight(now)).To(BeZero())
	estimate = estimate.After(4, 6, time.Second, now)
	estimate = estimate.After(4, 6, time.Second, now.Add(time.Millisecond))
	g.Expect(estimate.Weight(now.Add(time.Millisecond))).To(Equal(1.0))
	g.Expect(estimate.Weight(now.Add(-time.Hour))).To(Equal(1.0), "a clock that goes back")
	g.Expect(estimate.Weight(now.Add(time.Second + time.Millisecond))).To(BeNumerically("~", 0.5, 0.001))
}

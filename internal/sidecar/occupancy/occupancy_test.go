package occupancy_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
)

const (
	ms        = time.Millisecond
	slotCount = 8
)

// estimateAfter returns the estimate after that many reports of others, a gap apart, and the
// time of the last one.
func estimateAfter(reports int, others float64, gap, holdTime time.Duration) (occupancy.Estimate, time.Time) {
	now := time.Unix(100, 0)
	estimate := occupancy.Estimate{}.After(others, slotCount, holdTime, now)
	for range reports - 1 {
		now = now.Add(gap)
		estimate = estimate.After(others, slotCount, holdTime, now)
	}
	return estimate, now
}

func TestOtherRequests(t *testing.T) {
	cases := []struct {
		name          string
		reports       int
		others        float64
		gap, holdTime time.Duration
		age           time.Duration
		want          float64
	}{
		{"fresh", 1, 5, 0, 300 * ms, 0, 5},
		{"first report has the longest half-life", 1, 6, 0, 300 * ms, 30 * time.Second, 3},
		{"half is left after four gaps", 50, 6, 200 * ms, 50 * ms, 800 * ms, 3},
		{"rare reports: most is left after a gap", 50, 6, 2 * time.Second, 50 * ms, 2 * time.Second, 6 * math.Exp2(-0.25)},
		{"half-life of at least the hold time", 50, 6, 10 * ms, 2 * time.Second, 2 * time.Second, 3},
		{"frequent reports: minimum half-life", 50, 6, ms, 10 * ms, 100 * ms, 3},
		{"hourly reports: maximum half-life", 3, 6, time.Hour, 50 * ms, 30 * time.Second, 3},
		{"implausible hold time: maximum half-life", 3, 6, 200 * ms, time.Hour, 30 * time.Second, 3},
		{"more requests than possible", 1, 1e12, 0, 300 * ms, 0, 64},
		{"a negative count", 1, -4, 0, 300 * ms, 0, 0},
		{"an infinite count", 1, math.Inf(1), 0, 300 * ms, 0, 64},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			estimate, last := estimateAfter(tc.reports, tc.others, tc.gap, tc.holdTime)
			g.Expect(estimate.OtherRequests(last.Add(tc.age))).To(BeNumerically("~", tc.want, 1e-6))
		})
	}
}

// TestNoReport checks that a back end without a report counts as idle, so that it is tried.
func TestNoReport(t *testing.T) {
	g := NewWithT(t)
	g.Expect(occupancy.Estimate{}.OtherRequests(time.Unix(100, 0))).To(BeZero())
}

// TestOutlierReport checks that the next report replaces an outlier.
func TestOutlierReport(t *testing.T) {
	g := NewWithT(t)
	estimate, last := estimateAfter(10, 3, 200*ms, 50*ms)
	estimate = estimate.After(1e9, slotCount, time.Hour, last.Add(200*ms))
	estimate = estimate.After(3, slotCount, 50*ms, last.Add(400*ms))
	g.Expect(estimate.OtherRequests(last.Add(1200 * ms))).To(BeNumerically("~", 1.5, 1e-6))
}

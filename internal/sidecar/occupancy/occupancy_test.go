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

// after returns the estimate after reports of that many others, a gap apart, and
// the moment of the last.
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
		{"the first one is kept", 1, 6, 0, 300 * ms, 30 * time.Second, 3},
		{"after four gaps half is left", 50, 6, 200 * ms, 50 * ms, 800 * ms, 3},
		{"heard rarely: still known after a gap", 50, 6, 2 * time.Second, 50 * ms, 2 * time.Second, 6 * math.Exp2(-0.25)},
		{"slots that are held for long are still taken", 50, 6, 10 * ms, 2 * time.Second, 2 * time.Second, 3},
		{"heard all the time, short work", 50, 6, ms, 10 * ms, 100 * ms, 3},
		{"heard every hour", 3, 6, time.Hour, 50 * ms, 30 * time.Second, 3},
		{"held for ever, it is said", 3, 6, 200 * ms, time.Hour, 30 * time.Second, 3},
		{"more than can be", 1, 1e12, 0, 300 * ms, 0, 64},
		{"less than none", 1, -4, 0, 300 * ms, 0, 0},
		{"no number", 1, math.Inf(1), 0, 300 * ms, 0, 64},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			estimate, last := estimateAfter(tc.reports, tc.others, tc.gap, tc.holdTime)
			g.Expect(estimate.OtherRequests(last.Add(tc.age))).To(BeNumerically("~", tc.want, 1e-6))
		})
	}
}

// TestNothingHeard: who was never heard of is taken for idle, so that it is tried.
func TestNoReport(t *testing.T) {
	g := NewWithT(t)
	g.Expect(occupancy.Estimate{}.OtherRequests(time.Unix(100, 0))).To(BeZero())
}

// TestOneWrongReport: the next report replaces it.
func TestOutlierReport(t *testing.T) {
	g := NewWithT(t)
	estimate, last := estimateAfter(10, 3, 200*ms, 50*ms)
	estimate = estimate.After(1e9, slotCount, time.Hour, last.Add(200*ms))
	estimate = estimate.After(3, slotCount, 50*ms, last.Add(400*ms))
	g.Expect(estimate.OtherRequests(last.Add(1200 * ms))).To(BeNumerically("~", 1.5, 1e-6))
}

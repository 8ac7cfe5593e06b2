package occupancy_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
)

const (
	ms    = time.Millisecond
	eight = 8
)

// after returns the estimate after reports of that many others, a gap apart, and
// the moment of the last.
func after(reports int, others float64, gap, held time.Duration) (occupancy.Estimate, time.Time) {
	now := time.Unix(100, 0)
	estimate := occupancy.Estimate{}.After(others, eight, held, now)
	for range reports - 1 {
		now = now.Add(gap)
		estimate = estimate.After(others, eight, held, now)
	}
	return estimate, now
}

func TestOthers(t *testing.T) {
	cases := []struct {
		name      string
		reports   int
		others    float64
		gap, held time.Duration
		age       time.Duration
		want      float64
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
	for _, heard := range cases {
		t.Run(heard.name, func(t *testing.T) {
			g := NewWithT(t)
			estimate, last := after(heard.reports, heard.others, heard.gap, heard.held)
			g.Expect(estimate.OtherRequests(last.Add(heard.age))).To(BeNumerically("~", heard.want, 1e-6))
		})
	}
}

// TestNothingHeard: who was never heard of is taken for idle, so that it is tried.
func TestNothingHeard(t *testing.T) {
	g := NewWithT(t)
	g.Expect(occupancy.Estimate{}.OtherRequests(time.Unix(100, 0))).To(BeZero())
}

// TestOneWrongReport: the next report replaces it.
func TestOneWrongReport(t *testing.T) {
	g := NewWithT(t)
	estimate, last := after(10, 3, 200*ms, 50*ms)
	estimate = estimate.After(1e9, eight, time.Hour, last.Add(200*ms))
	estimate = estimate.After(3, eight, 50*ms, last.Add(400*ms))
	g.Expect(estimate.OtherRequests(last.Add(1200 * ms))).To(BeNumerically("~", 1.5, 1e-6))
}

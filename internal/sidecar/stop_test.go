package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

// TestStopPlan checks that a stopping node is done once nothing is in flight and either no more calls
// arrive or every call would be rejected, and that it never continues beyond the cutoff.
func TestStopPlan(t *testing.T) {
	plan := stopPlan{grace: 6 * time.Second}
	cases := []struct {
		name      string
		elapsed   time.Duration
		idle      bool
		sinceCall time.Duration
		done      bool
	}{
		{"calls may still arrive", 2000 * ms, true, time.Minute, false},
		{"no more calls arrive", 2300 * ms, true, 600 * ms, true},
		{"a call arrived just now", 2300 * ms, true, 10 * ms, false},
		{"calls keep arriving and are rejected", 2400 * ms, true, 0, true},
		{"a request is in flight", 4000 * ms, false, time.Second, false},
		{"a request is in flight shortly before the cutoff", 5650 * ms, false, time.Second, false},
		{"a request is in flight after the cutoff", 5700 * ms, false, time.Second, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(plan.done(test.elapsed, test.idle, test.sinceCall)).To(Equal(test.done))
		})
	}
	g := NewWithT(t)
	g.Expect(plan.acceptUntil()).To(BeNumerically("<", 3*time.Second), "calls accepted later would be cancelled")
}

// TestStopPlanFollowsGrace guards against a step of a stop that ends requests earlier than the grace time requires,
// or later than it allows.
func TestStopPlanFollowsGrace(t *testing.T) {
	for _, grace := range []time.Duration{500 * ms, time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			g := NewWithT(t)
			plan := stopPlan{grace: grace}
			at := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
			g.Expect(plan.announceAt()).To(BeNumerically("<", plan.acceptUntil()))
			g.Expect(plan.minimum()).To(BeNumerically("<=", plan.acceptUntil()))
			g.Expect(plan.acceptUntil()).To(BeNumerically("<", 3*time.Second), "calls accepted later would be cancelled")
			g.Expect(plan.done(max(at(0.94), grace-310*ms), false, 0)).To(BeFalse(), "requests in flight are served")
			g.Expect(plan.done(max(at(0.95), grace-300*ms), false, 0)).To(BeTrue(), "requests in flight are cancelled")
			for _, elapsed := range []time.Duration{0, at(0.4), plan.cutoff(), plan.cutoff() + plan.closing()/2} {
				closeBy := plan.closeBy(elapsed, closeTimeout)
				g.Expect(closeBy).To(BeNumerically(">", elapsed))
				g.Expect(closeBy).To(BeNumerically("<", grace))
			}
		})
	}
}

// fakeNode has nothing in flight until rejectNew is called; at that moment a request has just arrived
// that takes requestTime.
type fakeNode struct {
	lastCallAt  time.Time
	requestTime time.Duration
	rejectedAt  time.Time
	ends        time.Time
}

func (n *fakeNode) lastCall() time.Time { return n.lastCallAt }

func (n *fakeNode) rejectNew() {
	n.rejectedAt = time.Now()
	n.ends = n.rejectedAt.Add(n.requestTime)
}

func (n *fakeNode) inFlight() int {
	if time.Now().Before(n.ends) {
		return 1
	}
	return 0
}

// TestDrainServesLateRequest checks that a request that arrives just before new ones are rejected is
// still served, but not beyond the cutoff: peers may send until the node rejects requests.
func TestDrainServesLateRequest(t *testing.T) {
	cases := []struct {
		name              string
		requestTime, ends time.Duration
	}{
		{"no request", 0, 2300 * ms},
		{"one request", 800 * ms, 3100 * ms},
		{"one request beyond the cutoff", time.Minute, 5700 * ms},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				started := time.Now()
				node := &fakeNode{lastCallAt: started, requestTime: test.requestTime}
				stopPlan{grace: 6 * time.Second}.waitIdle(started, node)
				g.Expect(node.rejectedAt.Sub(started)).To(Equal(2300 * ms))
				g.Expect(time.Since(started)).To(Equal(test.ends))
			})
		})
	}
}

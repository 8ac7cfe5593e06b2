package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

// TestStopPlan: a stopping node leaves once nothing is under way and either no
// call comes any more or every call would be refused; it never stays beyond the
// time at which the rest is cut.
func TestStopPlan(t *testing.T) {
	plan := stopPlan{grace: 6 * time.Second}
	cases := []struct {
		name      string
		elapsed   time.Duration
		idle      bool
		sinceCall time.Duration
		done      bool
	}{
		{"callers may still come", 2000 * ms, true, time.Minute, false},
		{"none comes any more", 2300 * ms, true, 600 * ms, true},
		{"one came just now", 2300 * ms, true, 10 * ms, false},
		{"they keep coming and are refused", 2400 * ms, true, 0, true},
		{"one is under way", 4000 * ms, false, time.Second, false},
		{"it is still under way near the end", 5100 * ms, false, time.Second, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(plan.done(test.elapsed, test.idle, test.sinceCall)).To(Equal(test.done))
		})
	}
	g := NewWithT(t)
	g.Expect(plan.acceptUntil()).To(BeNumerically("<", 3*time.Second), "later ones would be broken off")
	g.Expect(stopPlan{grace: time.Second}.done(100*ms, false, 0)).To(BeTrue(), "a short grace time leaves no time to wait")
}

// fakeNode has nothing under way until it is found idle; in that moment a
// request comes in that takes some time.
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

// TestDrainServesLateRequest: peers may send until all is refused.
func TestDrainServesLateRequest(t *testing.T) {
	cases := []struct {
		name              string
		requestTime, ends time.Duration
	}{
		{"nothing came", 0, 2300 * ms},
		{"one came", 800 * ms, 3100 * ms},
		{"one came that lasts too long", time.Minute, 5100 * ms},
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

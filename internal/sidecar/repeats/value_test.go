package repeats

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWorth(t *testing.T) {
	g := NewWithT(t)
	nested, returning, first := Request{Nested: true}, Request{Returning: true}, Request{}
	for _, accepted := range []float64{0.1, 0.45, 1} {
		g.Expect(nested.expectedValue(accepted)).To(BeNumerically(">", returning.expectedValue(accepted)))
		g.Expect(returning.expectedValue(accepted)).To(BeNumerically(">", first.expectedValue(accepted)))
	}
	g.Expect(nested.expectedValue(0.5)).To(BeNumerically(">=", minExpectedValue))
	g.Expect(nested.expectedValue(0.01)).To(BeNumerically("<", minExpectedValue), "nearly all requests are rejected")
}

func TestReserveForNestedCalls(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	counter := &demandCounter{}
	nested, client := Request{Nested: true}, Request{}
	g.Expect(mayTake(1, counter.add(client, now))).To(BeTrue(), "no nested calls were recorded")
	for range 10 {
		g.Expect(counter.add(nested, now)).To(BeZero(), "nested calls may use the reserve")
	}
	reserve := counter.add(client, now)
	g.Expect(reserve).To(BeNumerically("~", 10*reserveTime.Seconds(), 0.001))
	g.Expect(mayTake(reserve+0.9, reserve)).To(BeFalse())
	g.Expect(mayTake(reserve+1, reserve)).To(BeTrue())
	g.Expect(mayTake(1, counter.add(client, now.Add(10*time.Second)))).To(BeTrue(), "no recent nested calls")
}

func TestAcceptanceDecays(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	estimate := &acceptance{}
	g.Expect(estimate.acceptedFraction(now)).To(Equal(1.0), "no samples")
	for range 20 {
		estimate.add(false, now)
	}
	g.Expect(estimate.acceptedFraction(now)).To(BeZero())
	for range 20 {
		estimate.add(true, now)
	}
	g.Expect(estimate.acceptedFraction(now)).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(estimate.acceptedFraction(now.Add(10*time.Second))).To(Equal(1.0), "samples have decayed")
}

// TestDrainReturnsDeficitOnce: what a node has overspent of its equal share is charged to the lent
// account, and only once. Otherwise turning lending on would grant the same repeats again.
func TestDrainReturnsDeficitOnce(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	even := &budget{}
	g.Expect(even.drain(limits, 1, now)).To(BeZero(), "nothing was spent")
	for range 100 {
		even.recordRequest(limits, 1, now)
	}
	before := even.remaining()
	for even.take(limits, 1, now) {
	}
	g.Expect(even.drain(limits, 1, now)).To(BeNumerically(">", 0))
	g.Expect(even.drain(limits, 1, now)).To(BeZero(), "the deficit is returned once")
	g.Expect(even.take(limits, 1, now)).To(BeFalse(), "the tokens are not available again when lending ends")
	g.Expect(even.remaining()).To(BeNumerically("<", before))
}

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
		g.Expect(nested.worth(accepted)).To(BeNumerically(">", returning.worth(accepted)))
		g.Expect(returning.worth(accepted)).To(BeNumerically(">", first.worth(accepted)))
	}
	g.Expect(nested.worth(0.5)).To(BeNumerically(">=", leastWorth))
	g.Expect(nested.worth(0.01)).To(BeNumerically("<", leastWorth), "whatever comes is rejected")
}

func TestTokensAreKeptForWhatSavesMore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	seen := &calls{}
	nested, client := Request{Nested: true}, Request{}
	g.Expect(spends(1, seen.add(client, now))).To(BeTrue(), "nothing else is called for")
	for range 10 {
		g.Expect(seen.add(nested, now)).To(BeZero(), "nothing is kept from it")
	}
	kept := seen.add(client, now)
	g.Expect(kept).To(BeNumerically("~", 10*keptFor.Seconds(), 0.001))
	g.Expect(spends(kept+0.9, kept)).To(BeFalse())
	g.Expect(spends(kept+1, kept)).To(BeTrue())
	g.Expect(spends(1, seen.add(client, now.Add(10*time.Second)))).To(BeTrue(), "of late there was none")
}

func TestAcceptanceFades(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	seen := &acceptance{}
	g.Expect(seen.share(now)).To(Equal(1.0), "nothing is known")
	for range 20 {
		seen.add(false, now)
	}
	g.Expect(seen.share(now)).To(BeZero())
	for range 20 {
		seen.add(true, now)
	}
	g.Expect(seen.share(now)).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(seen.share(now.Add(10*time.Second))).To(Equal(1.0), "too old")
}

// TestWhatWasSpentBeforeIsOwed: what a node spent of its even share counts when shares are lent, once.
func TestWhatWasSpentBeforeIsOwed(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	even := &budget{}
	g.Expect(even.drain(limits, 1, now)).To(BeZero(), "nothing was spent")
	for range 100 {
		even.first(limits, 1, now)
	}
	most := even.left()
	for even.take(limits, 1, now) {
	}
	g.Expect(even.drain(limits, 1, now)).To(BeNumerically(">", 0))
	g.Expect(even.drain(limits, 1, now)).To(BeZero(), "it is owed once")
	g.Expect(even.take(limits, 1, now)).To(BeFalse(), "and not had again when nothing is lent any more")
	g.Expect(even.left()).To(BeNumerically("<", most))
}

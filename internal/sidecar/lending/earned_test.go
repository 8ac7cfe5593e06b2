package lending_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

var terms = lending.Terms{
	Rate: 1, Depth: 1, EarnedDepth: 0.1, EarnedKept: 0.05, Window: 10 * time.Second, Members: 1,
}

// TestWhatIsPassedOnIsGone before the message leaves, whatever becomes of it.
func TestWhatIsPassedOnIsGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.Earn("s", 100, terms, now)
	passed := holder.Pass("s", terms, now)
	g.Expect(passed).To(BeNumerically(">", 10))
	g.Expect(holder.TakeEarned("s", terms, now)).To(BeFalse())
	g.Expect(holder.Pass("s", terms, now)).To(BeZero())
}

// TestANodeKeepsWhatItNeeds and no more than may be saved up.
func TestANodeKeepsWhatItNeeds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.Earn("s", 100, terms, now)
	for range 8 {
		holder.Came("s", now)
	}
	holder.Pass("s", terms, now)
	g.Expect(holder.Held("s", terms, now)).To(BeNumerically("~", 8, 0.01))
	holder.Earn("s", 100, terms, now)
	g.Expect(holder.Held("s", terms, now)).To(BeNumerically("<=", (terms.EarnedDepth+terms.EarnedKept)*200))
}

// TestWhatIsOwedIsPassedOnToo, so that all make up for it.
func TestWhatIsOwedIsPassedOnToo(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder, granter := lending.NewHolder("n"), lending.NewGranter()
	granter.Bring("s", 1000, terms, now)
	want := lending.Want{Account: "s", Tokens: 1}
	g.Expect(granter.Grant(want, terms, now).Tokens).To(Equal(1))
	holder.Owe("s", 200)
	granter.Bring("s", holder.Pass("s", terms, now), terms, now)
	g.Expect(granter.Grant(want, terms, now).Tokens).To(BeZero())
	holder.Earn("s", 1, terms, now)
	g.Expect(holder.Held("s", terms, now)).To(BeNumerically("<", 1), "it owes no more")
}

// TestWhatAGranterSavesUp: part of what was brought within the window, those given out and not
// spent yet included.
func TestWhatAGranterSavesUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	granter := lending.NewGranter()
	granter.Bring("s", 1000, terms, now)
	all := lending.Want{Account: "s", Tokens: 10_000}
	given := granter.Grant(all, terms, now).Tokens
	g.Expect(given).To(Equal(100))
	granter.Bring("s", 50, terms, now.Add(100*time.Millisecond))
	g.Expect(granter.Grant(all, terms, now.Add(100*time.Millisecond)).Tokens).To(BeNumerically("<=", 5))
	granter.Bring("s", 50, terms, now.Add(time.Second))
	g.Expect(granter.Grant(all, terms, now.Add(time.Second)).Tokens).To(BeNumerically(">=", 45))
	g.Expect(granter.Grant(all, terms, now.Add(time.Minute)).Tokens).To(BeZero(), "nothing lasts")
}

// TestASmallShare: many nodes that have earned less than a token each save up about as many whole
// tokens together as their parts add up to.
func TestASmallShare(t *testing.T) {
	g := NewWithT(t)
	saved := 0
	for i := range 1000 {
		holder := lending.NewHolder(fmt.Sprint("n", i))
		now := time.Unix(1000, 0)
		for range 60 {
			now = now.Add(500 * time.Millisecond)
			holder.Earn("s", 0.1, terms, now)
		}
		for holder.TakeEarned("s", terms, now) {
			saved++
		}
	}
	g.Expect(saved).To(BeNumerically("~", 1000*2*(terms.EarnedDepth+terms.EarnedKept), 50))
}

func TestBringsThatNoNodeSends(t *testing.T) {
	g := NewWithT(t)
	asked := &lending.Ask{From: "n", Brings: []lending.Bring{{Account: "s", Tokens: -3.5}}}
	g.Expect(asked.Validate()).To(Succeed())
	asked.Brings[0].Tokens = 1e9
	g.Expect(asked.Validate()).To(MatchError(ContainSubstring("brings.tokens")))
	asked.Brings = make([]lending.Bring, 10_001)
	g.Expect(asked.Validate()).To(MatchError(ContainSubstring("brings")))
}

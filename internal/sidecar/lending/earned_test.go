package lending_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
)

var terms = lending.Terms{
	Rate: 1, Depth: 1, EarnedDepth: 0.1, LocalEarnedDepth: 0.05, Window: 10 * time.Second, Members: 1,
}

// TestWhatIsPassedOnIsGone before the message leaves, whatever becomes of it.
func TestWithdrawSurplusRemovesTokens(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.Earn("s", 100, terms, now)
	surplus := holder.WithdrawSurplus("s", terms, now)
	g.Expect(surplus).To(BeNumerically(">", 10))
	g.Expect(holder.TakeEarned("s", terms, now)).To(BeFalse())
	g.Expect(holder.WithdrawSurplus("s", terms, now)).To(BeZero())
}

// TestANodeKeepsWhatItNeeds and no more than may be saved up.
func TestWithdrawSurplusKeepsExpectedDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.Earn("s", 100, terms, now)
	for range 8 {
		holder.RecordDemand("s", now)
	}
	holder.WithdrawSurplus("s", terms, now)
	g.Expect(holder.Available("s", terms, now)).To(BeNumerically("~", 8, 0.01))
	holder.Earn("s", 100, terms, now)
	g.Expect(holder.Available("s", terms, now)).To(BeNumerically("<=", (terms.EarnedDepth+terms.LocalEarnedDepth)*200))
}

// TestWhatIsOwedStays with the node until it is made up for, whatever messages are lost: nothing is
// spent or passed on before.
func TestDebtBlocksSpendingUntilRepaid(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	g.Expect(holder.Lend("s", "granter", terms, now)).To(BeTrue())
	holder.AddDebt("s", 3, now)
	holder.Earn("s", 1, terms, now)
	for range 5 {
		g.Expect(holder.WithdrawSurplus("s", terms, now)).To(BeZero())
		g.Expect(holder.TakeEarned("s", terms, now)).To(BeFalse())
		g.Expect(holder.RepayDebt("s", terms, now)).To(BeFalse())
	}
	g.Expect(holder.TokensToRequest("s", time.Second, now)).To(BeNumerically(">=", 3), "it is called for")
	holder.AddGrant("s", lending.Grant{Tokens: 3}, now, now)
	g.Expect(holder.RepayDebt("s", terms, now)).To(BeTrue())
	g.Expect(holder.Available("s", terms, now)).To(Equal(1.0), "two paid for it")
	holder.AddDebt("s", 1, now)
	holder.Earn("s", 1, terms, now)
	g.Expect(holder.RepayDebt("s", terms, now)).To(BeTrue(), "so does what is earned")
}

// TestTokensThatExpire unspent become the node's own as far as it may save up, once.
func TestExpiredTokensBecomeEarned(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.Earn("s", 40, terms, now)
	for holder.TakeEarned("s", terms, now) {
	}
	holder.AddGrant("s", lending.Grant{Tokens: 20}, now, now)
	g.Expect(holder.Available("s", terms, now)).To(Equal(20.0))
	later := now.Add(lending.TokenLifetime)
	g.Expect(holder.Available("s", terms, later)).To(BeNumerically("~", 40*(terms.EarnedDepth+terms.LocalEarnedDepth), 0.01))
	for holder.TakeEarned("s", terms, later) {
	}
	g.Expect(holder.Available("s", terms, later)).To(BeNumerically("<", 1))
}

// TestATokenThatIsNotDue pays for nothing, also when it comes back.
func TestTakeDueSkipsTokensNotYetDue(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	holder.AddGrant("s", lending.Grant{Tokens: 1, WaitMS: 50}, now, now)
	g.Expect(holder.TakeDue("s", now)).To(BeFalse())
	_, token := holder.Take("s", now)
	g.Expect(token.Wait).To(Equal(50 * time.Millisecond))
	holder.Return(token)
	g.Expect(holder.TakeDue("s", now)).To(BeFalse())
	g.Expect(holder.TakeDue("s", now.Add(50*time.Millisecond))).To(BeTrue())
}

// TestAShareThatIsLentIsNotForgotten with its account, before the lease is over.
func TestRetainKeepsLentShares(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	holder := lending.NewHolder("n")
	none := func(string) bool { return false }
	g.Expect(holder.Lend("s", "one", terms, now)).To(BeTrue())
	holder.Retain(none, now)
	g.Expect(holder.Lend("s", "two", terms, now)).To(BeFalse())
	holder.Retain(none, now.Add(time.Minute))
	g.Expect(holder.Lend("s", "two", terms, now.Add(time.Minute))).To(BeTrue())
}

// TestWhatAGranterSavesUp: part of what was brought within the window, those given out and not
// spent yet included.
func TestGranterDepthFollowsDeposits(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	granter := lending.NewGranter()
	granter.Deposit("s", 1000, terms, now)
	all := lending.Want{Account: "s", Tokens: 10_000}
	granted := granter.Grant(all, terms, now).Tokens
	g.Expect(granted).To(Equal(100))
	granter.Deposit("s", 50, terms, now.Add(100*time.Millisecond))
	g.Expect(granter.Grant(all, terms, now.Add(100*time.Millisecond)).Tokens).To(BeNumerically("<=", 5))
	granter.Deposit("s", 50, terms, now.Add(time.Second))
	g.Expect(granter.Grant(all, terms, now.Add(time.Second)).Tokens).To(BeNumerically(">=", 45))
	g.Expect(granter.Grant(all, terms, now.Add(time.Minute)).Tokens).To(BeZero(), "nothing lasts")
}

// TestASmallShare: many nodes that have earned less than a token each save up about as many whole
// tokens together as their parts add up to.
func TestSmallEarningsRoundInAggregate(t *testing.T) {
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
	g.Expect(saved).To(BeNumerically("~", 1000*2*(terms.EarnedDepth+terms.LocalEarnedDepth), 50))
}

func TestValidateRejectsInvalidDeposits(t *testing.T) {
	g := NewWithT(t)
	request := &lending.GrantRequest{From: "n", Deposits: []lending.Deposit{{Account: "s", Tokens: 3.5}}}
	g.Expect(request.Validate()).To(Succeed())
	for _, tokens := range []float64{1e9, -1} {
		request.Deposits[0].Tokens = tokens
		g.Expect(request.Validate()).To(MatchError(ContainSubstring("brings.tokens")))
	}
	request.Deposits = make([]lending.Deposit, 10_001)
	g.Expect(request.Validate()).To(MatchError(ContainSubstring("brings")))
}

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

// TestWithdrawSurplusRemovesTokens: withdrawn tokens leave the node before the message is sent.
// Otherwise a lost or delayed message would let them be spent twice.
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

// TestWithdrawSurplusKeepsExpectedDemand: a node keeps the tokens that it expects to spend, but no
// more than its depth.
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

// TestDebtBlocksSpendingUntilRepaid: a debt stays with the node until it is repaid, whichever
// messages are lost. Nothing is spent or withdrawn before that.
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
	g.Expect(holder.TokensToRequest("s", time.Second, now)).To(BeNumerically(">=", 3), "the debt counts as demand")
	holder.AddGrant("s", lending.Grant{Tokens: 3}, now, now)
	g.Expect(holder.RepayDebt("s", terms, now)).To(BeTrue())
	g.Expect(holder.Available("s", terms, now)).To(Equal(1.0), "two tokens repaid the debt")
	holder.AddDebt("s", 1, now)
	holder.Earn("s", 1, terms, now)
	g.Expect(holder.RepayDebt("s", terms, now)).To(BeTrue(), "earned tokens repay a debt")
}

// TestExpiredTokensBecomeEarned: granted tokens that expire unspent become earned tokens up to the
// node's depth, and only once.
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

// TestTakeDueSkipsTokensNotYetDue: a token that is not due yet is not taken, also after it was
// returned.
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

// TestRetainKeepsLentShares: an account is not forgotten before the lease of its share has ended.
// Otherwise the share could be lent to a second granter.
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

// TestGranterDepthFollowsDeposits: a granter's depth is a fraction of the tokens deposited within
// the window, granted tokens that are not spent yet included.
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
	g.Expect(granter.Grant(all, terms, now.Add(time.Minute)).Tokens).To(BeZero(), "tokens do not outlive the window")
}

// TestSmallEarningsRoundInAggregate: many nodes that have each earned less than one token save up
// about as many whole tokens together as their fractions add up to.
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

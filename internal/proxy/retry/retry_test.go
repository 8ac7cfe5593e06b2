package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/proxy/retry"
)

var _ = DescribeTable("Decide",
	func(change func(*retry.Attempt), again bool) {
		attempt := retry.Attempt{Number: 1, Outcome: outcome.NotRun, Remaining: time.Second, Random: 1_500_000}
		change(&attempt)
		decision := retry.Policy{Attempts: 3}.Decide(attempt)
		Expect(decision.Retry).To(Equal(again))
		Expect(decision.Wait).To(BeNumerically("<", attempt.Remaining))
	},
	Entry("not run", func(*retry.Attempt) {}, true),
	Entry("unknown, not repeatable", func(a *retry.Attempt) { a.Outcome = outcome.Unknown }, false),
	Entry("unknown, repeatable", func(a *retry.Attempt) { a.Outcome, a.Repeatable = outcome.Unknown, true }, true),
	Entry("no outcome, not repeatable", func(a *retry.Attempt) { a.Outcome = "" }, false),
	Entry("second attempt", func(a *retry.Attempt) { a.Number = 2 }, true),
	Entry("last attempt", func(a *retry.Attempt) { a.Number = 3 }, false),
	Entry("retried upstream", func(a *retry.Attempt) { a.RetriedUpstream = true }, false),
	Entry("body consumed", func(a *retry.Attempt) { a.BodyConsumed = true }, false),
	Entry("wait not shorter than the remaining time", func(a *retry.Attempt) { a.Remaining = 1_500_000 }, false),
	Entry("wait just shorter than the remaining time", func(a *retry.Attempt) { a.Remaining = 1_500_001 }, true),
)

var _ = It("doubles the bound of the wait with each attempt up to a maximum", func() {
	policy := retry.Policy{Attempts: 100}
	longest := func(number int) time.Duration {
		bound := 2 * time.Millisecond << min(number-1, 10)
		bound = min(bound, 100*time.Millisecond)
		decision := policy.Decide(retry.Attempt{Number: number, Outcome: outcome.NotRun, Remaining: time.Hour, Random: uint64(bound) - 1})
		Expect(decision.Wait).To(Equal(bound - 1))
		return bound
	}
	for number := 1; number < 20; number++ {
		Expect(longest(number)).To(BeNumerically("<=", 100*time.Millisecond))
	}
})

var _ = Describe("Budget", func() {
	spend := func(budget *retry.Budget) (repeats int) {
		for budget.Withdraw() {
			repeats++
		}
		return repeats
	}

	It("allows its percentage of first attempts after the initial balance", func() {
		budget := retry.NewBudget(20)
		Expect(spend(budget)).To(Equal(10))
		for range 100 {
			budget.Deposit()
		}
		Expect(spend(budget)).To(Equal(20))
	})

	It("bounds the balance", func() {
		budget := retry.NewBudget(20)
		for range 100_000 {
			budget.Deposit()
		}
		Expect(spend(budget)).To(Equal(200))
	})

	It("earns nothing at zero percent", func() {
		budget := retry.NewBudget(0)
		spend(budget)
		for range 1000 {
			budget.Deposit()
		}
		Expect(spend(budget)).To(BeZero())
	})
})

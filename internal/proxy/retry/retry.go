// Package retry decides whether an attempt that failed is followed by another
// one. The decision is a pure function; the budget is a few atomics.
package retry

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

// Policy bounds the attempts of one request.
type Policy struct {
	// Attempts is the most attempts of one request, the first included.
	Attempts int
	// BudgetPercent is the most repeated attempts per hundred first ones.
	BudgetPercent int
}

// Defaults of a service that declares no retry policy.
const (
	DefaultAttempts      = 3
	DefaultBudgetPercent = 20
)

// WithDefaults fills in what is not declared.
func (p Policy) WithDefaults() Policy {
	if p.Attempts == 0 {
		p.Attempts = DefaultAttempts
	}
	if p.BudgetPercent == 0 {
		p.BudgetPercent = DefaultBudgetPercent
	}
	return p
}

const (
	// backoffBase bounds the first wait; each further bound is twice as high
	// up to backoffMaximum.
	backoffBase    = 2 * time.Millisecond
	backoffMaximum = 100 * time.Millisecond
)

// Attempt is what is known after an attempt that failed.
type Attempt struct {
	// Number counts attempts from one.
	Number  int
	Outcome outcome.Outcome
	// Repeatable requests may be run more than once.
	Repeatable bool
	// RetriedUpstream: an earlier hop of the chain is already repeating.
	RetriedUpstream bool
	// BodyConsumed: the request's body is gone and cannot be sent again.
	BodyConsumed bool
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Random is uniform over all values.
	Random uint64
}

// Decision says whether to try again, and if so after which wait.
type Decision struct {
	Retry bool
	Wait  time.Duration
}

// Decide returns the decision as far as the request alone is concerned; the
// caller then asks the service's Budget. A non-repeatable request is tried
// again only after a proven not-run.
func (p Policy) Decide(attempt Attempt) Decision {
	if attempt.Number >= p.Attempts || attempt.RetriedUpstream || attempt.BodyConsumed {
		return Decision{}
	}
	if attempt.Outcome != outcome.NotRun && !attempt.Repeatable {
		return Decision{}
	}
	wait := backoff(attempt.Number, attempt.Random)
	if wait >= attempt.Remaining {
		return Decision{}
	}
	return Decision{Retry: true, Wait: wait}
}

// backoff is uniform over [0, bound) with a bound that doubles.
func backoff(number int, random uint64) time.Duration {
	bound := backoffBase
	for range number - 1 {
		bound = min(2*bound, backoffMaximum)
	}
	return time.Duration(random % uint64(bound))
}

const (
	// tokensPerRetry keeps percents exact in whole numbers.
	tokensPerRetry = 100
	// initialRetries may be spent before any first attempt has earned some.
	initialRetries = 10
	// maxSavedAttempts is how many first attempts can be saved up.
	maxSavedAttempts = 1000
)

// Budget bounds the repeated attempts of one service. It is safe for
// concurrent use.
type Budget struct {
	percent atomic.Int64
	tokens  atomic.Int64
}

// NewBudget returns a budget of that many repeats per hundred first attempts.
func NewBudget(percent int) *Budget {
	budget := &Budget{}
	budget.percent.Store(int64(percent))
	budget.tokens.Store(initialRetries * tokensPerRetry)
	return budget
}

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.percent.Store(int64(percent)) }

// Deposit notes a first attempt, which earns a share of a repeat. A full budget
// is not written to, so that it costs callers nothing.
func (b *Budget) Deposit() {
	percent := b.percent.Load()
	ceiling := max(percent*maxSavedAttempts, initialRetries*tokensPerRetry)
	if b.tokens.Load() < ceiling {
		b.tokens.Add(percent)
	}
}

// Withdraw takes one repeat out of the budget if there is one.
func (b *Budget) Withdraw() bool {
	for {
		balance := b.tokens.Load()
		if balance < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(balance, balance-tokensPerRetry) {
			return true
		}
	}
}
